// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Brittle servers: one that has to turn more than a few requests away within a second
 * ends. A host sends to them only within its own share of their slots, which all hosts
 * together never exceed, and nothing for a second after a rejection.
 *
 * @module
 */
import type { Clock, Logger } from "rampswitch-utils";
import type { ServerRecord } from "../choice/mod.ts";
import type { ServerIncarnation } from "../model/backend_server.ts";
import type { ServingMetrics } from "../observation/mod.ts";
import { ShareWaits } from "./share_waits.ts";
import { type RatesByHost, slotShare, weightsOf } from "./slot_share.ts";

/** Time without a statement after which a server no longer counts, in milliseconds. */
const STATEMENT_LIFETIME_MILLISECONDS = 15_000;

/** Time over which a server's rejections count, in milliseconds. */
const REJECTION_SPAN_MILLISECONDS = 1_000;

/** Share of a server's bound from which on known rejections stop all sends to it. */
const SPENT_SHARE = 0.5;

/** Time after which a share that rises counts, in milliseconds. */
const RISE_MILLISECONDS = 1_500;

/** Time for which a host's shares are computed once, in milliseconds. */
const SHARE_LIFETIME_MILLISECONDS = 500;

/**
 * Time after its start in which a host sends nothing to brittle servers, in milliseconds:
 * the other hosts take it into account when they divide the slots by then.
 */
const START_MILLISECONDS = 1_500;

/** Maximum number of servers in one message. */
const MAXIMUM_REPORTED_SERVERS = 64;

/** What a host reports of one brittle server. */
export interface BrittleUpdate extends ServerIncarnation {
  /** Rejections within a second that the server bears. */
  readonly bound: number;
  /** Age of the statement, in milliseconds. */
  readonly age: number;
  /** Rejections that the host met within the last second. */
  readonly rejections: number;
}

/** Dependencies of the brittle servers. */
export interface BrittleServersParts {
  /** A monotonic clock. */
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: ServingMetrics;
  /** Name of this host. */
  readonly host: string;
  /** All present hosts, this one included. */
  hosts(): readonly string[];
  /** Requests per second of a service, by host as far as they are known. */
  rates(service: string): RatesByHost;
  /** A listed server. */
  server(id: string): ServerRecord | undefined;
  /** Called when the other hosts should know at once. */
  broadcast(): void;
}

/** A host's share of a server's slots, as computed at some time. */
interface ComputedShare {
  readonly slots: number;
  readonly at: number;
}

interface Statement {
  readonly record: ServerRecord;
  readonly bound: number;
  readonly at: number;
}

interface PeerRejections {
  readonly count: number;
  readonly at: number;
}

/** The brittle servers as one host knows them. */
export class BrittleServers {
  readonly #parts: BrittleServersParts;
  readonly #startedAt: number;
  /** Requests that wait for a place of this host's share. */
  readonly waits: ShareWaits;
  /** Newest advertisement of each brittle server, by its id. */
  readonly #statements = new Map<string, Statement>();
  /** Times of this host's rejections by a server. */
  readonly #ownRejections = new Map<string, readonly number[]>();
  /** Rejections that peers met, by server and then by host. */
  readonly #peerRejections = new Map<string, Map<string, PeerRejections>>();
  /** Shares by server, the newest last. */
  readonly #shares = new Map<string, readonly ComputedShare[]>();

  constructor(parts: BrittleServersParts) {
    this.#parts = parts;
    this.#startedAt = parts.clock.now();
    this.waits = new ShareWaits(parts.clock);
  }

  /** Records what a server advertised in an answer; `undefined`: that it is not brittle. */
  recordAdvertised(record: ServerRecord, bound: number | undefined): void {
    const { id, service } = record.entry;
    if (bound === undefined) {
      if (this.#statements.delete(id))
        this.#log("server no longer brittle", id);
      return;
    }
    const isNew = !this.isBrittleService(service);
    if (!this.#statements.has(id)) this.#log("server brittle", id, bound);
    const at = this.#parts.clock.now();
    this.#statements.set(id, { record, bound, at });
    if (isNew) this.#parts.broadcast();
  }

  /** Records that a server turned a request of this host away. */
  recordRejection({ entry: { id } }: ServerRecord): void {
    if (!this.#statements.has(id)) return;
    const now = this.#parts.clock.now();
    this.#ownRejections.set(id, [...this.#recentRejections(id), now]);
    this.#parts.metrics.event("brittle_server_rejected");
    this.#parts.broadcast();
  }

  /**
   * Whether one more request may be sent to a server. All servers of a service count as
   * brittle while one of them advertises it.
   */
  allows(record: ServerRecord): boolean {
    if (this.#statements.size === 0) return true;
    const bound = this.#boundOf(record);
    if (bound === undefined) return true;
    const { clock } = this.#parts;
    if (clock.now() - this.#startedAt < START_MILLISECONDS) return false;
    const { id } = record.entry;
    if (this.#recentRejections(id).length > 0) return false;
    if (this.#peerRejectionsOf(id) >= SPENT_SHARE * bound) return false;
    return record.ownRunning < this.#shareOf(record);
  }

  /**
   * Whether all servers are brittle and this host has a free share of some: then the
   * shares alone bound the work, and estimates of the room are not needed.
   */
  hasFreeShare(records: readonly ServerRecord[]): boolean {
    if (this.#statements.size === 0 || records.length === 0) return false;
    return (
      records.every((record) => this.#boundOf(record) !== undefined) &&
      records.some((record) => record.isReady && this.allows(record))
    );
  }

  /** What a relay reports of all hosts. */
  fleetUpdates(): readonly BrittleUpdate[] {
    return this.updates().map((update) => ({
      ...update,
      rejections: update.rejections + this.#peerRejectionsOf(update.id),
    }));
  }

  /** What to report to the peers. */
  updates(): readonly BrittleUpdate[] {
    this.#dropOld();
    const now = this.#parts.clock.now();
    return [...this.#statements.values()]
      .slice(0, MAXIMUM_REPORTED_SERVERS)
      .map(({ record: { entry }, bound, at }) => ({
        id: entry.id,
        born: entry.born,
        bound,
        age: now - at,
        rejections: this.#recentRejections(entry.id).length,
      }));
  }

  /** Applies what a peer reported `age` milliseconds ago. */
  receive(host: string, updates: readonly BrittleUpdate[], age: number): void {
    const now = this.#parts.clock.now();
    updates.forEach((update) => {
      const record = this.#parts.server(update.id);
      if (record?.matchesIncarnation(update.born) !== true) return;
      const at = now - age - update.age;
      const known = this.#statements.get(update.id);
      // If the server is no longer brittle, its next answer to this host removes this.
      if (known === undefined || known.at < at) {
        this.#statements.set(update.id, { record, bound: update.bound, at });
      }
      this.#receiveRejections(host, update, now - age);
    });
  }

  #receiveRejections(host: string, update: BrittleUpdate, at: number): void {
    const known = this.#peerRejections.get(update.id);
    if (update.rejections === 0) {
      known?.delete(host);
      return;
    }
    const byHost = known ?? new Map<string, PeerRejections>();
    byHost.set(host, { count: update.rejections, at });
    this.#peerRejections.set(update.id, byHost);
  }

  #boundOf({ entry: { id, service } }: ServerRecord): number | undefined {
    const own = this.#statements.get(id);
    if (own !== undefined && this.#isFresh(own)) return own.bound;
    const bounds = this.#freshOf(service).map(({ bound }) => bound);
    return bounds.length === 0 ? undefined : Math.min(...bounds);
  }

  /** Whether a service has brittle servers. */
  isBrittleService(service: string): boolean {
    return this.#statements.size > 0 && this.#freshOf(service).length > 0;
  }

  #freshOf(service: string): readonly Statement[] {
    return [...this.#statements.values()].filter(
      (one) => one.record.entry.service === service && this.#isFresh(one),
    );
  }

  #isFresh({ at }: Statement): boolean {
    return this.#parts.clock.now() - at < STATEMENT_LIFETIME_MILLISECONDS;
  }

  #dropOld(): void {
    [...this.#statements]
      .filter(([, one]) => !this.#isFresh(one))
      .forEach(([id]) => this.#statements.delete(id));
    [
      ...this.#ownRejections.keys(),
      ...this.#peerRejections.keys(),
      ...this.#shares.keys(),
    ]
      .filter((id) => !this.#statements.has(id))
      .forEach((id) => {
        this.#shares.delete(id);
        this.#ownRejections.delete(id);
        this.#peerRejections.delete(id);
      });
  }

  #recentRejections(id: string): readonly number[] {
    const oldest = this.#parts.clock.now() - REJECTION_SPAN_MILLISECONDS;
    return (this.#ownRejections.get(id) ?? []).filter((at) => at > oldest);
  }

  #peerRejectionsOf(id: string): number {
    const oldest = this.#parts.clock.now() - REJECTION_SPAN_MILLISECONDS;
    return [...(this.#peerRejections.get(id)?.values() ?? [])]
      .filter(({ at }) => at > oldest)
      .reduce((sum, { count }) => sum + count, 0);
  }

  /**
   * This host's share of a server's slots. A share that falls counts at once, one that
   * rises only when the other hosts have given up theirs.
   */
  #shareOf({ entry: { id, slots, service } }: ServerRecord): number {
    const parts = this.#parts;
    const now = parts.clock.now();
    const known = this.#shares.get(id) ?? [];
    const newest = known.at(-1);
    if (
      newest === undefined ||
      now - newest.at >= SHARE_LIFETIME_MILLISECONDS
    ) {
      const hosts = parts.hosts();
      const weights = weightsOf(parts.rates(service), hosts);
      const computed = slotShare({ id, slots }, parts.host, { hosts, weights });
      this.#shares.set(id, [
        ...known.filter(({ at }) => now - at < RISE_MILLISECONDS),
        { slots: computed, at: now },
      ]);
    }
    const counted = this.#shares.get(id) ?? [];
    return Math.min(...counted.map((share) => share.slots));
  }

  #log(message: string, server: string, bound?: number): void {
    this.#parts.logger.info(message, { server, bound });
  }
}
