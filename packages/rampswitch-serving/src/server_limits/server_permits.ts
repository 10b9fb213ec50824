// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Permits to send requests to backend servers that advertise a limit, shared by all
 * hosts. For each service, one host grants the permits (the holder), and the others
 * query it. A host without a permit sends nothing.
 *
 * @module
 */
import type { Clock, Logger } from "rampswitch-utils";
import { type BackendServer, incarnationId } from "../model/backend_server.ts";
import type { ServingMetrics } from "../observation/mod.ts";
import { LimitTable, type LimitUpdate } from "./limit_table.ts";
import {
  MINIMUM_PERMITS_PER_SECOND,
  type TimeSlotOwners,
  PermitLedger,
  type PermitOutcome,
  type PermitTerms,
  type PermitUrgency,
} from "./permit_ledger.ts";
import {
  type LendingIntervals,
  type HoldersByService,
  PermitLenders,
} from "./permit_lenders.ts";
import { PermitWaits } from "./permit_waits.ts";

/** A request for a permit at one of some servers. */
export interface PermitRequest {
  readonly service: string;
  /** Ids of the servers, the preferred ones first. */
  readonly servers: readonly string[];
  readonly urgency: PermitUrgency;
}

/**
 * A permit at one of the servers, or the time after which to query again, in
 * milliseconds.
 */
export type PermitReply =
  | { readonly kind: "given"; readonly server: string }
  | { readonly kind: "wait"; readonly milliseconds: number };

/** What a host reports about limits and permits. */
export interface PermitUpdate {
  readonly limits: readonly LimitUpdate[];
  readonly lentTo: HoldersByService;
}

/** A server that may advertise a limit. Its entry can change. */
export interface LimitedServer {
  readonly entry: Pick<BackendServer, "id" | "born" | "service">;
}

/** Dependencies of {@link ServerPermits}. */
export interface ServerPermitsParts {
  readonly host: string;
  /** A monotonic clock. */
  readonly clock: Clock;
  /**
   * A clock that detects pauses of the process, including a suspension of the
   * machine.
   */
  readonly cautiousClock: Clock;
  readonly logger: Logger;
  readonly metrics: ServingMetrics;
  /** Fleet time, in milliseconds. */
  fleetTime(): number;
  gossipIntervals(): LendingIntervals;
  /** This host's part of the requests for a service, 0 to 1. */
  ownPart(service: string): number;
  /** The current incarnation of a server. */
  server(id: string): LimitedServer | undefined;
  /** Queries the holder; `undefined` if no answer arrives in time. */
  queryHolder(
    holder: string,
    request: PermitRequest,
  ): Promise<PermitReply | undefined>;
  /**
   * Called when an answer advertised a limit that is new or lower, to report it to
   * the other hosts at once.
   */
  broadcast(): void;
}

/** Maximum number of servers in a query; the holder may choose any of them. */
export const MAXIMUM_QUERIED_SERVERS = 16;

/**
 * Time after which a limited server whose limit was not reported is sent a probe,
 * in milliseconds. The answer tells whether the limit has changed or ended. Hosts
 * that are not the holder wait longer.
 */
const PROBE_INTERVAL_MILLISECONDS = { holder: 2_000, others: 5_000 };

/** Time until the next query while a service has no holder, in milliseconds. */
const NO_HOLDER_WAIT_MILLISECONDS = 300;

const NO_HOLDER: PermitReply = {
  kind: "wait",
  milliseconds: NO_HOLDER_WAIT_MILLISECONDS,
};

/**
 * Maximum number of servers of a service whose free permits are shown as a metric.
 */
const MAXIMUM_MEASURED_SERVERS = 64;

/** A server in a query, with the terms of its permits. */
interface QueriedServer {
  readonly id: string;
  readonly terms: PermitTerms;
}

/** The limited servers and their permits, as one host sees them. */
export class ServerPermits {
  readonly #parts: ServerPermitsParts;
  readonly #limitTable: LimitTable;
  readonly #lenders: PermitLenders;
  readonly #ledger = new PermitLedger();
  readonly #waits = new PermitWaits();

  constructor(parts: ServerPermitsParts) {
    this.#parts = parts;
    this.#limitTable = new LimitTable({
      ...parts,
      onLowered: () => parts.broadcast(),
    });
    this.#lenders = new PermitLenders(parts.host);
  }

  /**
   * Requests per second that a server takes; `undefined` if it advertises no limit.
   */
  limitOf({ entry }: LimitedServer): number | undefined {
    return this.#limitTable.isEmpty
      ? undefined
      : this.#limitTable.limitOf(entry, this.#parts.clock.now());
  }

  /** Returns the servers without a limit. */
  unlimited<Server extends LimitedServer>(
    servers: readonly Server[],
  ): readonly Server[] {
    if (this.#limitTable.isEmpty) return servers;
    return servers.filter((server) => this.limitOf(server) === undefined);
  }

  /** Returns the servers with a limit. */
  limited<Server extends LimitedServer>(
    servers: readonly Server[],
  ): readonly Server[] {
    if (this.#limitTable.isEmpty) return [];
    return servers.filter((server) => this.limitOf(server) !== undefined);
  }

  /**
   * Records the limit that an answer advertised; `undefined` if it advertised none.
   */
  recordAdvertised(
    { entry }: LimitedServer,
    perSecond: number | undefined,
  ): void {
    this.#limitTable.recordAdvertised(
      entry,
      perSecond,
      this.#parts.clock.now(),
    );
  }

  /**
   * Returns what to report to the other hosts in this gossip interval, and updates
   * the loans of this host's time slots.
   */
  updates(options: {
    readonly holders: readonly string[];
    /**
     * Whether this host reports all limits, and not only those that it read itself.
     */
    readonly reportsAll: boolean;
  }): PermitUpdate {
    const parts = this.#parts;
    const limits = this.limitUpdates(parts.clock.now(), !options.reportsAll);
    const services = this.#limitedServices();
    this.#lenders.updateLoans(
      { services, holders: options.holders },
      parts.cautiousClock.now(),
      parts.gossipIntervals(),
    );
    this.#measureFreePermits(services);
    return { limits, lentTo: this.#lenders.lentTo };
  }

  /** Returns the limits to report. */
  limitUpdates(now: number, ownOnly = false): readonly LimitUpdate[] {
    return this.#limitTable.updates(now, { ownOnly });
  }

  /** Adds a host that is listed and has not reported yet. */
  expectHost(host: string): void {
    this.#lenders.expectHost(host, this.#parts.cautiousClock.now());
  }

  /** Receives the update of a host, which was sent `age` milliseconds ago. */
  receive(
    host: string,
    update: PermitUpdate & { readonly stopping: boolean },
    age: number,
  ): void {
    const at = this.#parts.cautiousClock.now() - age;
    this.#lenders.receive(host, update, {
      at,
      pace: this.#parts.gossipIntervals(),
    });
    this.receiveLimits(update.limits, age);
  }

  /** Receives the limits that another host reported `age` milliseconds ago. */
  receiveLimits(limits: readonly LimitUpdate[], age: number): void {
    const now = this.#parts.clock.now();
    this.#limitTable.receive(
      limits.map((one) => ({ ...one, age: one.age + age })),
      now,
    );
  }

  /** Requests a permit at one of some servers, from this host or from the holder. */
  async acquire(request: PermitRequest): Promise<PermitReply> {
    const { host, clock, metrics } = this.#parts;
    const { service } = request;
    const holder = this.#lenders.holder(service);
    if (holder === host) return this.#recordReply(service, this.grant(request));
    const waits = request.urgency === "continuation" ? undefined : this.#waits;
    if (
      holder === undefined ||
      waits?.canQuery(service, clock.now()) === false
    ) {
      metrics.event("turn_not_asked_for");
      return NO_HOLDER;
    }
    const servers = request.servers.slice(0, MAXIMUM_QUERIED_SERVERS);
    const reply = await this.#parts.queryHolder(holder, {
      ...request,
      servers,
    });
    if (reply === undefined) {
      this.#waits.recordNoAnswer(service, clock.now());
      metrics.event("turn_unanswered");
      return NO_HOLDER;
    }
    return this.#recordReply(service, reply);
  }

  /** Grants a permit if this host is the holder of the service. */
  grant({ service, servers, urgency }: PermitRequest): PermitReply {
    const owners = this.#ownersOf(service);
    if (owners.lenders.size === 0) return NO_HOLDER;
    const queried = servers
      .slice(0, MAXIMUM_QUERIED_SERVERS)
      .flatMap((id) => this.#termsOf(id, owners) ?? []);
    return this.#grantFirst(queried, urgency);
  }

  /**
   * Grants a permit at a server whose limit was not reported for a while, so that
   * the end of the limit is noticed. Only the holder grants these.
   */
  probe(service: string, limited: readonly LimitedServer[]): PermitReply {
    const isHolder = this.#lenders.holder(service) === this.#parts.host;
    const due = isHolder
      ? this.#withoutReportFor(limited, PROBE_INTERVAL_MILLISECONDS.holder)
      : [];
    return due.length === 0
      ? { kind: "wait", milliseconds: PROBE_INTERVAL_MILLISECONDS.holder }
      : this.grant({ service, servers: idsOf(due), urgency: "urgent" });
  }

  /**
   * Returns the servers whose limit was not reported for so long that any host may
   * request a permit for a probe.
   */
  withoutRecentReport<Server extends LimitedServer>(
    limited: readonly Server[],
  ): readonly Server[] {
    return this.#withoutReportFor(limited, PROBE_INTERVAL_MILLISECONDS.others);
  }

  /**
   * Returns the delay after which a caller that got no permit may retry, in
   * milliseconds. Each caller gets the time of a permit of its own.
   */
  assignRetryDelay(service: string, limited: readonly LimitedServer[]): number {
    const perSecond = limited.reduce(
      (sum, server) =>
        sum + Math.max(MINIMUM_PERMITS_PER_SECOND, this.limitOf(server) ?? 0),
      0,
    );
    const share = { perSecond, part: this.#parts.ownPart(service) };
    return this.#waits.assignRetryDelay(
      service,
      share,
      this.#parts.clock.now(),
    );
  }

  /** Removes the state of an incarnation that has ended. */
  forget({ entry }: LimitedServer): void {
    this.#limitTable.forget(entry);
    this.#ledger.forget(incarnationId(entry));
  }

  /**
   * Updates the metric of free permits for the servers of which this host is the
   * holder.
   */
  #measureFreePermits(services: readonly string[]): void {
    if (this.#limitTable.isEmpty) return;
    const { metrics, host } = this.#parts;
    const free = services
      .filter((service) => this.#lenders.holder(service) === host)
      .flatMap((service) => {
        const owners = this.#ownersOf(service);
        return this.#limitTable.incarnations
          .filter(({ id }) => this.#serviceOf(id) === service)
          .slice(0, MAXIMUM_MEASURED_SERVERS)
          .flatMap(({ id }) => this.#termsOf(id, owners) ?? []);
      })
      .map(({ id, terms }) => [id, this.#ledger.freePermits(terms)] as const);
    metrics.gaugeByServer("turns_free", new Map(free));
  }

  #ownersOf(service: string): TimeSlotOwners {
    const parts = this.#parts;
    const now = parts.cautiousClock.now();
    return this.#lenders.owners(service, now, parts.gossipIntervals());
  }

  #serviceOf(id: string): string | undefined {
    return this.#parts.server(id)?.entry.service;
  }

  /**
   * The terms of a server's permits; `undefined` if it is unknown or has no limit.
   */
  #termsOf(id: string, owners: TimeSlotOwners): QueriedServer | undefined {
    const server = this.#parts.server(id);
    const perSecond = server === undefined ? undefined : this.limitOf(server);
    if (server === undefined || perSecond === undefined) return undefined;
    const incarnationName = incarnationId(server.entry);
    const time = this.#parts.fleetTime();
    return { id, terms: { incarnationName, perSecond, time, owners } };
  }

  #grantFirst(
    queried: readonly QueriedServer[],
    urgency: PermitUrgency,
  ): PermitReply {
    // The server with the most free permits is used least.
    const ranked = queried
      .map((one) => ({ ...one, free: this.#ledger.freePermits(one.terms) }))
      .toSorted((left, right) => right.free - left.free);
    const waits: number[] = [];
    const given = ranked.find(({ terms }) => {
      const outcome: PermitOutcome = this.#ledger.grant(terms, urgency);
      if (outcome.kind === "wait") waits.push(outcome.milliseconds);
      return outcome.kind === "given";
    });
    if (given !== undefined) return { kind: "given", server: given.id };
    return waits.length === 0
      ? NO_HOLDER
      : { kind: "wait", milliseconds: Math.min(...waits) };
  }

  #recordReply(service: string, reply: PermitReply): PermitReply {
    const { clock, metrics } = this.#parts;
    metrics.event(`turn_${reply.kind === "given" ? "given" : "refused"}`);
    if (reply.kind === "wait") {
      this.#waits.recordRefusal(service, reply.milliseconds, clock.now());
    }
    return reply;
  }

  #withoutReportFor<Server extends LimitedServer>(
    limited: readonly Server[],
    milliseconds: number,
  ): readonly Server[] {
    const now = this.#parts.clock.now();
    return limited.filter(
      ({ entry }) => this.#limitTable.advertisedAge(entry, now) >= milliseconds,
    );
  }

  /** Services of the servers that have a limit or had one recently. */
  #limitedServices(): readonly string[] {
    return [
      ...new Set(
        this.#limitTable.incarnations.flatMap(
          ({ id }) => this.#serviceOf(id) ?? [],
        ),
      ),
    ];
  }
}

function idsOf(servers: readonly LimitedServer[]): readonly string[] {
  return servers.map(({ entry }) => entry.id);
}
