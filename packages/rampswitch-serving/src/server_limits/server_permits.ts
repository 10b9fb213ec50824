// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Turns at backend servers that name limits, over all hosts: one host gives those of
 * a service, and the others ask it. Who gets no turn sends nothing.
 *
 * @module
 */
import type { Clock, Logger } from "rampswitch-utils";
import { type BackendServer, nameOfLife } from "../model/backend_server.ts";
import type { ServingMetrics } from "../observation/mod.ts";
import { LimitBook, type LimitNews } from "./limit_table.ts";
import {
  LEAST_PER_SECOND,
  type SlotOwners,
  TurnLedger,
  type TurnOutcome,
  type TurnTerms,
  type TurnUrgency,
} from "./permit_ledger.ts";
import { type LendingPace, type LentTo, TurnLenders } from "./permit_lenders.ts";
import { TurnWaits } from "./permit_waits.ts";

/** What is asked for: a turn at one of some servers. */
export interface TurnRequest {
  readonly service: string;
  /** Ids, the preferred ones first. */
  readonly servers: readonly string[];
  readonly urgency: TurnUrgency;
}

/** The answer: a turn at one of them, or when to ask again. */
export type TurnReply =
  | { readonly kind: "given"; readonly server: string }
  | { readonly kind: "wait"; readonly milliseconds: number };

/** What a host tells of limits and turns. */
export interface TurnNews {
  readonly limits: readonly LimitNews[];
  readonly lentTo: LentTo;
}

/** A server as far as turns go; its record changes with its entry. */
export interface LimitedServer {
  readonly entry: Pick<BackendServer, "id" | "born" | "service">;
}

/** What turns are given with. */
export interface ServerTurnsParts {
  readonly host: string;
  /** A steady clock. */
  readonly clock: Clock;
  /** A clock that tells of pauses, also of those over a suspension. */
  readonly cautiousClock: Clock;
  readonly logger: Logger;
  readonly metrics: ServingMetrics;
  /** Time on which all hosts agree, in milliseconds. */
  agreedTime(): number;
  pace(): LendingPace;
  /** Hosts of the system that may be serving. */
  hosts(): number;
  /** The present life of a server. */
  server(id: string): LimitedServer | undefined;
  /** Asks another host; `undefined` where no answer comes in time. */
  ask(holder: string, request: TurnRequest): Promise<TurnReply | undefined>;
  /** A server named a limit that is new, or lower: tells the others at once. */
  tell(): void;
}

/** Servers that a question names at most; any of them will do. */
export const MOST_ASKED_SERVERS = 16;

/**
 * Time without a word of a limited server after which it is sent a request to hear
 * one, in milliseconds; the same for hosts that don't give its turns.
 */
const PROBE_MILLISECONDS = { holder: 2_000, others: 5_000 };

/** Wait while no host gives the turns of a service, in milliseconds. */
const NO_HOLDER_MILLISECONDS = 300;

const NO_HOLDER: TurnReply = {
  kind: "wait",
  milliseconds: NO_HOLDER_MILLISECONDS,
};

/** Servers of a service whose free turns are shown. */
const MOST_SHOWN_SERVERS = 64;

/** A server that is asked for, and its turns. */
interface AskedServer {
  readonly id: string;
  readonly terms: TurnTerms;
}

/** Limited servers and their turns, as one host knows them. */
export class ServerTurns {
  readonly #parts: ServerTurnsParts;
  readonly #book: LimitBook;
  readonly #lenders: TurnLenders;
  readonly #ledger = new TurnLedger();
  readonly #waits = new TurnWaits();

  constructor(parts: ServerTurnsParts) {
    this.#parts = parts;
    this.#book = new LimitBook({ ...parts, onLower: () => parts.tell() });
    this.#lenders = new TurnLenders(parts.host);
  }

  /** Requests a second that a server takes; `undefined`: it names no limit. */
  limitOf({ entry }: LimitedServer): number | undefined {
    return this.#book.isEmpty
      ? undefined
      : this.#book.of(entry, this.#parts.clock.now());
  }

  /** Those of some servers that name no limit. */
  unlimited<Server extends LimitedServer>(
    servers: readonly Server[],
  ): readonly Server[] {
    if (this.#book.isEmpty) return servers;
    return servers.filter((server) => this.limitOf(server) === undefined);
  }

  /** Those of some servers that name a limit. */
  limited<Server extends LimitedServer>(
    servers: readonly Server[],
  ): readonly Server[] {
    if (this.#book.isEmpty) return [];
    return servers.filter((server) => this.limitOf(server) !== undefined);
  }

  /** Takes in the limit that an answer names; `undefined`: it names none. */
  read({ entry }: LimitedServer, perSecond: number | undefined): void {
    this.#book.read(entry, perSecond, this.#parts.clock.now());
  }

  /**
   * What to tell the others in this round of the news, after a look at the hosts
   * that may give turns.
   */
  news(seen: {
    readonly holders: readonly string[];
    /** Whether the others hear all limits from this host, and not only its own. */
    readonly tellsAll: boolean;
  }): TurnNews {
    const parts = this.#parts;
    const limits = this.limits(parts.clock.now(), !seen.tellsAll);
    const services = this.#limitedServices();
    this.#lenders.look(
      { services, holders: seen.holders },
      parts.cautiousClock.now(),
      parts.pace(),
    );
    this.#countFree(services);
    return { limits, lentTo: this.#lenders.lentTo };
  }

  /** Limits to tell. */
  limits(now: number, ownOnly = false): readonly LimitNews[] {
    return this.#book.news(now, { ownOnly });
  }

  /** A host is listed that has told nothing yet. */
  expected(host: string): void {
    this.#lenders.expected(host, this.#parts.cautiousClock.now());
  }

  /** Takes in a host's word, and how long ago it gave it, in milliseconds. */
  heard(
    host: string,
    told: TurnNews & { readonly stopping: boolean },
    age: number,
  ): void {
    const at = this.#parts.cautiousClock.now() - age;
    this.#lenders.heard(host, told, { at, pace: this.#parts.pace() });
    this.heardLimits(told.limits, age);
  }

  /** Takes in limits that another host told. */
  heardLimits(limits: readonly LimitNews[], age: number): void {
    const now = this.#parts.clock.now();
    this.#book.heard(
      limits.map((one) => ({ ...one, age: one.age + age })),
      now,
    );
  }

  /** Takes a turn at one of some servers, here or at the host that gives them. */
  async take(request: TurnRequest): Promise<TurnReply> {
    const { host, clock, metrics } = this.#parts;
    const { service } = request;
    const holder = this.#lenders.holder(service);
    if (holder === host) return this.#noted(service, this.give(request));
    const waits = request.urgency === "continuation" ? undefined : this.#waits;
    if (holder === undefined || waits?.mayAsk(service, clock.now()) === false) {
      metrics.event("turn_not_asked_for");
      return NO_HOLDER;
    }
    const servers = request.servers.slice(0, MOST_ASKED_SERVERS);
    const reply = await this.#parts.ask(holder, { ...request, servers });
    if (reply === undefined) {
      this.#waits.unanswered(service, clock.now());
      metrics.event("turn_unanswered");
      return NO_HOLDER;
    }
    return this.#noted(service, reply);
  }

  /** Gives a turn, as far as this host is the one that gives them. */
  give({ service, servers, urgency }: TurnRequest): TurnReply {
    const owners = this.#ownersOf(service);
    if (owners.lenders.size === 0) return NO_HOLDER;
    const asked = servers
      .slice(0, MOST_ASKED_SERVERS)
      .flatMap((id) => this.#termsOf(id, owners) ?? []);
    return this.#giveFirst(asked, urgency);
  }

  /**
   * A turn at a server that has said nothing for a while, so that the end of its
   * limit is heard of; only at the host that gives the turns.
   */
  probe(service: string, limited: readonly LimitedServer[]): TurnReply {
    const isHolder = this.#lenders.holder(service) === this.#parts.host;
    const due = isHolder
      ? this.#silentFor(limited, PROBE_MILLISECONDS.holder)
      : [];
    return due.length === 0
      ? { kind: "wait", milliseconds: PROBE_MILLISECONDS.holder }
      : this.give({ service, servers: idsOf(due), urgency: "urgent" });
  }

  /** Servers that nobody has heard for so long that any host may ask for a probe. */
  unheard<Server extends LimitedServer>(
    limited: readonly Server[],
  ): readonly Server[] {
    return this.#silentFor(limited, PROBE_MILLISECONDS.others);
  }

  /**
   * Time after which a caller may come back that got no turn, in milliseconds; each
   * one is told a turn of its own.
   */
  waitToTell(service: string, limited: readonly LimitedServer[]): number {
    const perSecond = limited.reduce(
      (sum, server) =>
        sum + Math.max(LEAST_PER_SECOND, this.limitOf(server) ?? 0),
      0,
    );
    const share = { perSecond, hosts: this.#parts.hosts() };
    return this.#waits.tell(service, share, this.#parts.clock.now());
  }

  /** A life of a server is over. */
  forget({ entry }: LimitedServer): void {
    this.#book.forget(entry);
    this.#ledger.forget(nameOfLife(entry));
  }

  /** Shows the free turns of the servers whose turns this host gives. */
  #countFree(services: readonly string[]): void {
    if (this.#book.isEmpty) return;
    const { metrics, host } = this.#parts;
    const free = services
      .filter((service) => this.#lenders.holder(service) === host)
      .flatMap((service) => {
        const owners = this.#ownersOf(service);
        return this.#book.lives
          .filter(({ id }) => this.#serviceOf(id) === service)
          .slice(0, MOST_SHOWN_SERVERS)
          .flatMap(({ id }) => this.#termsOf(id, owners) ?? []);
      })
      .map(({ id, terms }) => [id, this.#ledger.free(terms)] as const);
    metrics.byServer("turns_free", new Map(free));
  }

  #ownersOf(service: string): SlotOwners {
    const parts = this.#parts;
    const now = parts.cautiousClock.now();
    return this.#lenders.owners(service, now, parts.pace());
  }

  #serviceOf(id: string): string | undefined {
    return this.#parts.server(id)?.entry.service;
  }

  /** The turns of a server; `undefined` where it needs none. */
  #termsOf(id: string, owners: SlotOwners): AskedServer | undefined {
    const server = this.#parts.server(id);
    const perSecond = server === undefined ? undefined : this.limitOf(server);
    if (server === undefined || perSecond === undefined) return undefined;
    const life = nameOfLife(server.entry);
    const time = this.#parts.agreedTime();
    return { id, terms: { life, perSecond, time, owners } };
  }

  #giveFirst(asked: readonly AskedServer[], urgency: TurnUrgency): TurnReply {
    // Who has most turns left is asked least.
    const ranked = asked
      .map((one) => ({ ...one, free: this.#ledger.free(one.terms) }))
      .toSorted((left, right) => right.free - left.free);
    const waits: number[] = [];
    const given = ranked.find(({ terms }) => {
      const outcome: TurnOutcome = this.#ledger.give(terms, urgency);
      if (outcome.kind === "wait") waits.push(outcome.milliseconds);
      return outcome.kind === "given";
    });
    if (given !== undefined) return { kind: "given", server: given.id };
    return waits.length === 0
      ? NO_HOLDER
      : { kind: "wait", milliseconds: Math.min(...waits) };
  }

  #noted(service: string, reply: TurnReply): TurnReply {
    const { clock, metrics } = this.#parts;
    metrics.event(`turn_${reply.kind === "given" ? "given" : "refused"}`);
    if (reply.kind === "wait") {
      this.#waits.refused(service, reply.milliseconds, clock.now());
    }
    return reply;
  }

  #silentFor<Server extends LimitedServer>(
    limited: readonly Server[],
    milliseconds: number,
  ): readonly Server[] {
    const now = this.#parts.clock.now();
    return limited.filter(
      ({ entry }) => this.#book.ageOf(entry, now) >= milliseconds,
    );
  }

  /** Services of the servers that are known to have a limit. */
  #limitedServices(): readonly string[] {
    return [
      ...new Set(
        this.#book.lives.flatMap(({ id }) => this.#serviceOf(id) ?? []),
      ),
    ];
  }
}

function idsOf(servers: readonly LimitedServer[]): readonly string[] {
  return servers.map(({ entry }) => entry.id);
}
