// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * All backend servers that the platform lists, by id and by service. A record is
 * one life of a server: when a later life is listed under the same id, the former
 * record ends, and all that was known of it goes with it.
 *
 * @module
 */
import {
  type BackendServer,
  nameOfLife,
  type ServerLife,
} from "../model/backend_server.ts";
import {
  LeavingLives,
  type LeavingNews,
  type LeavingOrigin,
} from "./leaving_incarnations.ts";
import {
  ServerRecord,
  type ToldWork,
  type WorkAtServer,
} from "./server_record.ts";

/** What became of an entry. */
export type EntryOutcome =
  /** It is of a life that is known, or of the first one of its id. */
  | { readonly kind: "listed" }
  /** It tells a later life; the former one has ended. */
  | { readonly kind: "started_again"; readonly former: ServerRecord }
  /** It tells a life before the known one, and was left out. */
  | { readonly kind: "former_life"; readonly known: ServerRecord }
  /** It tells no life where one was told, so it can't be read. */
  | { readonly kind: "without_life"; readonly known: ServerRecord };

/**
 * Time for which the life of a server is remembered whose entry went, in
 * milliseconds; longer than any request may take.
 */
const REMEMBERED_MILLISECONDS = 60_000;

/** A server whose entry went. */
interface GoneServer {
  readonly record: ServerRecord;
  readonly at: number;
}

/** Backend servers known to this host. */
export class ServerDirectory {
  readonly #records = new Map<string, ServerRecord>();
  readonly #gone = new Map<string, GoneServer>();
  readonly #byService = new Map<string, ReadonlySet<ServerRecord>>();
  readonly #leavingLives = new LeavingLives();
  readonly #listeners: ((record: ServerRecord) => void)[] = [];

  /** Number of servers listed. */
  get size(): number {
    return this.#records.size;
  }

  /** Calls back when a server is announced to leave or is gone. */
  onLeaving(listener: (record: ServerRecord) => void): void {
    this.#listeners.push(listener);
  }

  /** Takes in a server's entry. */
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
    const order = orderOfLives(entry.born, known.entry.born);
    if (order < 0) return { kind: "former_life", known };
    if (order > 0) return this.#startAgain(known, entry, now);
    this.#list(this.#sameLife(known, entry), entry, now);
    return { kind: "listed" };
  }

  /**
   * Takes in that a server's entry can't be read. What is known of the server
   * stays, for when the entry is good again.
   */
  unreadable(id: string): void {
    const record = this.#records.get(id);
    if (record !== undefined) record.isReadable = false;
  }

  /** Takes a server off the list whose entry is gone; its life may go on. */
  remove(id: string, now: number): void {
    const record = this.#records.get(id);
    if (record === undefined) return;
    this.#unlist(record);
    this.#forgetOldest(now);
    this.#gone.set(id, { record, at: now });
    const wasReady = record.entry.state === "ready";
    record.entry = { ...record.entry, state: "leaving" };
    if (wasReady) this.#leaves(record, now);
  }

  /**
   * Takes in that a life said itself that it leaves. It holds whatever its entry
   * says; returns whether it is news.
   */
  saidLeaving(
    life: ServerLife,
    statement: {
      readonly since: number;
      readonly now: number;
      readonly origin: LeavingOrigin;
    },
  ): boolean {
    if (!this.#leavingLives.said(life, statement)) return false;
    const record = this.#records.get(life.id);
    const isListed =
      record !== undefined && nameOfLife(record.entry) === nameOfLife(life);
    if (isListed && record.entry.state === "ready") {
      this.#list(record, record.entry, statement.now);
    }
    return true;
  }

  /** Lives that said that they leave, to tell other hosts. */
  leavingNews(
    now: number,
    { ownOnly }: { readonly ownOnly: boolean },
  ): readonly LeavingNews[] {
    return this.#leavingLives.news(now, {
      ownOnly,
      // Its entry does not tell it to anybody.
      isWantedLonger: ({ id }) => this.#records.get(id)?.isListedReady === true,
    });
  }

  /** One server. */
  get(id: string): ServerRecord | undefined {
    return this.#records.get(id);
  }

  /** Whether an entry is of a life that is known and whose entry has gone. */
  isGone(entry: BackendServer): boolean {
    const gone = this.#gone.get(entry.id)?.record;
    return (
      gone !== undefined &&
      gone.life === nameOfLife(entry) &&
      gone.entry.address === entry.address
    );
  }

  /** Servers of a service whose entries can be read. */
  of(service: string): readonly ServerRecord[] {
    return this.#listed(service).filter(({ isReadable }) => isReadable);
  }

  /** The same, with those whose entries can't be read or went lately. */
  everOf(service: string): readonly ServerRecord[] {
    const gone = [...this.#gone.values()]
      .map(({ record }) => record)
      .filter(({ entry }) => entry.service === service);
    return [...this.#listed(service), ...gone];
  }

  /** Requests at all servers of a service, from all hosts. */
  load(service: string, now: number): number {
    return this.#listed(service).reduce(
      (sum, record) => sum + record.load(now),
      0,
    );
  }

  /** All servers, those whose entries can't be read included. */
  all(): readonly ServerRecord[] {
    return [...this.#records.values()];
  }

  /** Takes in a peer's work at servers, by server id. */
  heardPeer(
    peer: string,
    work: Readonly<Record<string, ToldWork>>,
    now: number,
  ): void {
    this.#records.forEach((record, id) => {
      const told = work[id];
      // Peers hear of a new life earlier or later than this host.
      const ofThisLife = told !== undefined && record.isLife(told.born);
      record.heardPeer(peer, ofThisLife ? told : undefined, now);
    });
  }

  /** Work of all hosts but one, by server id; idle servers are left out. */
  workBeside(peer: string, now: number): Readonly<Record<string, ToldWork>> {
    return Object.fromEntries(
      this.all()
        .map((record) => [record, record.workBeside(peer, now)] as const)
        .filter(([, work]) => work.running > 0)
        .map(([record, work]) => [record.entry.id, toldOf(record, work)]),
    );
  }

  #listed(service: string): readonly ServerRecord[] {
    return [...(this.#byService.get(service) ?? [])];
  }

  /** Work of this host, by server id; idle servers are left out. */
  ownWork(): Readonly<Record<string, ToldWork>> {
    return Object.fromEntries(
      this.all()
        .filter((record) => record.ownRunning > 0)
        .map((record) => [record.entry.id, toldOf(record, record.ownWork)]),
    );
  }

  #startAgain(
    former: ServerRecord,
    entry: BackendServer,
    now: number,
  ): EntryOutcome {
    this.#unlist(former);
    former.end();
    this.#list(new ServerRecord(entry, { startedAgain: true }), entry, now);
    return { kind: "started_again", former };
  }

  /**
   * The record of a life that is listed on, or again. An entry may lapse while
   * its server lives, and requests that run there still hold the record. Without
   * a life told, an entry that comes back may be of another one.
   */
  #sameLife(known: ServerRecord, entry: BackendServer): ServerRecord {
    const lapsed = this.#gone.has(entry.id);
    return lapsed && entry.born === undefined
      ? new ServerRecord(entry, { startedAgain: false, rest: known.rest })
      : known;
  }

  #list(record: ServerRecord, entry: BackendServer, now: number): void {
    const { id, service } = entry;
    if (entry.state === "leaving") {
      this.#leavingLives.said(entry, { since: now, origin: "entry" });
    }
    const saidSince = this.#leavingLives.since(entry);
    const state = saidSince === undefined ? entry.state : "leaving";
    const listedBefore = this.#records.get(id) === record;
    const announced = listedBefore && record.entry.state !== "ready";
    const moved = listedBefore && record.entry.service !== service;
    if (moved) this.#unlist(record);
    this.#gone.delete(id);
    record.entry = { ...entry, state };
    record.isListedReady = entry.state === "ready";
    record.isReadable = true;
    this.#records.set(id, record);
    this.#byService.set(service, new Set([...this.#listed(service), record]));
    if (state === "ready") record.leavingSince = undefined;
    else if (!announced) this.#leaves(record, saidSince ?? now);
  }

  #unlist(record: ServerRecord): void {
    const { id, service } = record.entry;
    if (this.#records.get(id) === record) this.#records.delete(id);
    this.#byService.set(
      service,
      new Set(this.#listed(service).filter((other) => other !== record)),
    );
  }

  #forgetOldest(now: number): void {
    [...this.#gone]
      .filter(([, { at }]) => now - at > REMEMBERED_MILLISECONDS)
      .forEach(([id]) => this.#gone.delete(id));
  }

  #leaves(record: ServerRecord, since: number): void {
    record.leavingSince ??= since;
    this.#listeners.forEach((listener) => listener(record));
  }
}

/**
 * Positive where the first life began later. A server tells its life in all that
 * it says or in nothing, so one that is told follows one that is not.
 */
function orderOfLives(
  born: number | undefined,
  other: number | undefined,
): number {
  return (born ?? -Infinity) === (other ?? -Infinity)
    ? 0
    : (born ?? -Infinity) - (other ?? -Infinity);
}

function toldOf({ entry }: ServerRecord, work: WorkAtServer): ToldWork {
  return { ...work, born: entry.born };
}
