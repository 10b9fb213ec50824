// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Directory of all backend servers that the platform lists, by id and by service. A
 * record holds the state of one incarnation of a server. When a later incarnation is
 * listed under the same id, the former record ends and its state is dropped.
 *
 * @module
 */
import {
  type BackendServer,
  incarnationId,
  type ServerIncarnation,
} from "../model/backend_server.ts";
import { silentPeers } from "../model/silent_peers.ts";
import {
  LeavingIncarnations,
  type LeavingUpdate,
  type LeavingOrigin,
} from "./leaving_incarnations.ts";
import {
  ServerRecord,
  type ReportedWork,
  type WorkAtServer,
} from "./server_record.ts";

/** Outcome of an entry. */
export type EntryOutcome =
  /** The entry names a known incarnation, or the first one of its id. */
  | { readonly kind: "listed" }
  /** The entry names a later incarnation; the former one has ended. */
  | { readonly kind: "started_again"; readonly former: ServerRecord }
  /** The entry names an incarnation before the known one, and was ignored. */
  | { readonly kind: "former_life"; readonly known: ServerRecord }
  /** The entry names no incarnation although an earlier one did, so it is invalid. */
  | { readonly kind: "without_life"; readonly known: ServerRecord };

/**
 * Time for which the record of a server is retained after its entry is removed, in
 * milliseconds; longer than any request may take.
 */
const GONE_SERVER_RETENTION_MILLISECONDS = 60_000;

/** Servers at which a peer has work, by its newest update. */
interface ServersOfPeer {
  readonly records: ReadonlySet<ServerRecord>;
  /** In milliseconds on the monotonic clock. */
  readonly receivedAt: number;
}

/** A server whose entry was removed. */
interface GoneServer {
  readonly record: ServerRecord;
  /** When its entry was removed, in milliseconds on the monotonic clock. */
  readonly at: number;
}

/** Backend servers known to this host. */
export class ServerDirectory {
  readonly #records = new Map<string, ServerRecord>();
  readonly #gone = new Map<string, GoneServer>();
  readonly #byService = new Map<string, ReadonlySet<ServerRecord>>();
  /** Servers whose entries can be read, by service; dropped when any entry changes. */
  readonly #readable = new Map<string, readonly ServerRecord[]>();
  /**
   * Servers with work of each peer, so that its updates, several per second, do not
   * look at all the others.
   */
  readonly #withWorkOf = new Map<string, ServersOfPeer>();
  readonly #leavingIncarnations = new LeavingIncarnations();
  readonly #listeners: ((record: ServerRecord) => void)[] = [];

  /** Number of servers listed. */
  get size(): number {
    return this.#records.size;
  }

  /** Number of peers whose work at servers is retained. */
  get peersWithWork(): number {
    return this.#withWorkOf.size;
  }

  /** Registers a listener for servers whose end is announced or whose entry is removed. */
  onLeaving(listener: (record: ServerRecord) => void): void {
    this.#listeners.push(listener);
  }

  /** Applies a server's entry. */
  put(entry: BackendServer, now: number): EntryOutcome {
    const known =
      this.#records.get(entry.id) ?? this.#gone.get(entry.id)?.record;
    if (known === undefined) {
      this.#list(new ServerRecord(entry), entry, now);
      return { kind: "listed" };
    }
    if (entry.born === undefined && known.entry.born !== undefined) {
      return { kind: "without_life", known };
    }
    const order = compareIncarnations(entry.born, known.entry.born);
    if (order < 0) return { kind: "former_life", known };
    if (order > 0) return this.#restart(known, entry, now);
    this.#list(this.#sameIncarnation(known, entry), entry, now);
    return { kind: "listed" };
  }

  /**
   * Records that a server's entry can't be read. The state of the server is retained
   * until the entry can be read again.
   */
  unreadable(id: string): void {
    const record = this.#records.get(id);
    if (record === undefined) return;
    record.isReadable = false;
    this.#readable.clear();
  }

  /** Removes a server whose entry was removed; its incarnation may still run. */
  remove(id: string, now: number): void {
    const record = this.#records.get(id);
    if (record === undefined) return;
    this.#unlist(record);
    this.#forgetExpired(now);
    this.#gone.set(id, { record, at: now });
    const wasReady = record.entry.state === "ready";
    record.entry = { ...record.entry, state: "leaving" };
    if (wasReady) this.#notifyLeaving(record, now);
  }

  /**
   * Records that an incarnation advertised that it leaves; returns whether this is new.
   * The advertisement takes precedence over the state in the server's entry.
   */
  advertisedLeaving(
    incarnation: ServerIncarnation,
    advertised: {
      readonly since: number;
      readonly now: number;
      readonly origin: LeavingOrigin;
    },
  ): boolean {
    if (!this.#leavingIncarnations.add(incarnation, advertised)) return false;
    const record = this.#records.get(incarnation.id);
    const isListed =
      record !== undefined &&
      incarnationId(record.entry) === incarnationId(incarnation);
    if (isListed && record.entry.state === "ready") {
      this.#list(record, record.entry, advertised.now);
    }
    return true;
  }

  /** Returns the incarnations that advertised that they leave, for other hosts. */
  leavingUpdates(
    now: number,
    { ownOnly }: { readonly ownOnly: boolean },
  ): readonly LeavingUpdate[] {
    return this.#leavingIncarnations.updates(now, {
      ownOnly,
      // While the entry still says "ready", other hosts can't read this in the store.
      isStillNeeded: ({ id }) => this.#records.get(id)?.isListedReady === true,
    });
  }

  /** Returns one server; `undefined` if it is not listed. */
  get(id: string): ServerRecord | undefined {
    return this.#records.get(id);
  }

  /** Whether an entry names a known incarnation whose entry was removed. */
  isGone(entry: BackendServer): boolean {
    const gone = this.#gone.get(entry.id)?.record;
    return (
      gone !== undefined &&
      gone.incarnation === incarnationId(entry) &&
      gone.entry.address === entry.address
    );
  }

  /** Returns the servers of a service whose entries can be read. */
  of(service: string): readonly ServerRecord[] {
    const known = this.#readable.get(service);
    if (known !== undefined) return known;
    const readable = this.#listed(service).filter(
      ({ isReadable }) => isReadable,
    );
    this.#readable.set(service, readable);
    return readable;
  }

  /**
   * Returns the servers of a service, including those whose entries can't be read or
   * were removed recently.
   */
  allOf(service: string): readonly ServerRecord[] {
    const gone = [...this.#gone.values()]
      .map(({ record }) => record)
      .filter(({ entry }) => entry.service === service);
    return [...this.#listed(service), ...gone];
  }

  /** Returns the number of requests at all servers of a service, from all hosts. */
  load(service: string, now: number): number {
    return this.#listed(service).reduce(
      (sum, record) => sum + record.load(now),
      0,
    );
  }

  /** Returns all listed servers, including those whose entries can't be read. */
  all(): readonly ServerRecord[] {
    return [...this.#records.values()];
  }

  /** Applies an update of a peer's work at servers, by server id. */
  receivePeerWork(
    peer: string,
    work: Readonly<Record<string, ReportedWork>>,
    now: number,
  ): void {
    const before = this.#withWorkOf.get(peer);
    const withWork = new Set<ServerRecord>();
    Object.entries(work).forEach(([id, reported]) => {
      const record = this.#records.get(id);
      // Peers receive a new incarnation earlier or later than this host.
      if (record?.matchesIncarnation(reported.born) !== true) return;
      record.receivePeerWork(peer, reported, now);
      withWork.add(record);
    });
    before?.records.forEach((record) => {
      if (withWork.has(record)) return;
      const { id } = record.entry;
      if (this.#records.get(id) === record) {
        record.receivePeerWork(peer, undefined, now);
      } else if (this.#gone.get(id)?.record === record) withWork.add(record);
    });
    if (withWork.size === 0) {
      this.#withWorkOf.delete(peer);
      return;
    }
    if (before === undefined) this.#forgetSilentPeers(now);
    this.#withWorkOf.set(peer, { records: withWork, receivedAt: now });
  }

  #forgetSilentPeers(now: number): void {
    silentPeers(this.#withWorkOf, now).forEach((peer) => {
      this.#withWorkOf
        .get(peer)
        ?.records.forEach((record) =>
          record.receivePeerWork(peer, undefined, now),
        );
      this.#withWorkOf.delete(peer);
    });
  }

  /**
   * Returns the work of all hosts but one (`undefined`: of all hosts), by server id,
   * without idle servers.
   */
  workExcept(
    peer: string | undefined,
    now: number,
  ): Readonly<Record<string, ReportedWork>> {
    return Object.fromEntries(
      this.all()
        .map((record) => [record, record.workExcept(peer, now)] as const)
        .filter(([, work]) => work.running > 0)
        .map(([record, work]) => [
          record.entry.id,
          reportedWorkOf(record, work),
        ]),
    );
  }

  #listed(service: string): readonly ServerRecord[] {
    return [...(this.#byService.get(service) ?? [])];
  }

  /** Returns the work of this host, by server id, without idle servers. */
  ownWork(): Readonly<Record<string, ReportedWork>> {
    return Object.fromEntries(
      this.all()
        .filter((record) => record.ownRunning > 0)
        .map((record) => [
          record.entry.id,
          reportedWorkOf(record, record.ownWork),
        ]),
    );
  }

  #restart(
    former: ServerRecord,
    entry: BackendServer,
    now: number,
  ): EntryOutcome {
    this.#unlist(former);
    former.end();
    this.#list(new ServerRecord(entry, { restarted: true }), entry, now);
    return { kind: "started_again", former };
  }

  /**
   * Returns the record of an incarnation that is still listed or listed again. An
   * entry may lapse while its server runs, and the requests that run there still use
   * the record. An entry without an incarnation gets a new record after a lapse, since
   * it may belong to a restarted server. It takes over only the back-off.
   */
  #sameIncarnation(known: ServerRecord, entry: BackendServer): ServerRecord {
    const lapsed = this.#gone.has(entry.id);
    return lapsed && entry.born === undefined
      ? new ServerRecord(entry, { restarted: false, backOff: known.backOff })
      : known;
  }

  #list(record: ServerRecord, entry: BackendServer, now: number): void {
    const { id, service } = entry;
    if (entry.state === "leaving") {
      this.#leavingIncarnations.add(entry, { since: now, origin: "entry" });
    }
    const advertisedSince = this.#leavingIncarnations.since(entry);
    const state = advertisedSince === undefined ? entry.state : "leaving";
    const wasListed = this.#records.get(id) === record;
    const wasLeaving = wasListed && record.entry.state !== "ready";
    const changesService = wasListed && record.entry.service !== service;
    if (changesService) this.#unlist(record);
    this.#gone.delete(id);
    record.entry = { ...entry, state };
    record.isListedReady = entry.state === "ready";
    record.isReadable = true;
    this.#records.set(id, record);
    this.#byService.set(service, new Set([...this.#listed(service), record]));
    this.#readable.clear();
    if (state === "ready") record.leavingSince = undefined;
    else if (!wasLeaving) this.#notifyLeaving(record, advertisedSince ?? now);
  }

  #unlist(record: ServerRecord): void {
    const { id, service } = record.entry;
    if (this.#records.get(id) === record) this.#records.delete(id);
    this.#byService.set(
      service,
      new Set(this.#listed(service).filter((other) => other !== record)),
    );
    this.#readable.clear();
  }

  #forgetExpired(now: number): void {
    [...this.#gone]
      .filter(([, { at }]) => now - at > GONE_SERVER_RETENTION_MILLISECONDS)
      .forEach(([id]) => this.#gone.delete(id));
  }

  #notifyLeaving(record: ServerRecord, since: number): void {
    record.leavingSince ??= since;
    this.#listeners.forEach((listener) => listener(record));
  }
}

/**
 * Compares two incarnations; positive if the first one started later. A server names
 * its incarnation always or never, so a named one counts as later than an unnamed one.
 */
function compareIncarnations(
  born: number | undefined,
  other: number | undefined,
): number {
  return (born ?? -Infinity) === (other ?? -Infinity)
    ? 0
    : (born ?? -Infinity) - (other ?? -Infinity);
}

function reportedWorkOf(
  { entry }: ServerRecord,
  work: WorkAtServer,
): ReportedWork {
  return { ...work, born: entry.born };
}
