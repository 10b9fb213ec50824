// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * All backend servers that the platform lists, by id and by service.
 *
 * @module
 */
import type { BackendServer } from "../model/backend_server.ts";
import { ServerRecord, type WorkAtServer } from "./server_record.ts";

/** Backend servers known to this host. */
export class ServerDirectory {
  readonly #records = new Map<string, ServerRecord>();
  readonly #byService = new Map<string, ReadonlySet<ServerRecord>>();
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
  put(entry: BackendServer, now: number): void {
    const known = this.#records.get(entry.id);
    const record = known ?? new ServerRecord(entry);
    const wasReady = record.entry.state === "ready";
    if (record.entry.service !== entry.service) this.#unlist(record);
    record.entry = entry;
    record.isReadable = true;
    this.#records.set(entry.id, record);
    this.#byService.set(
      entry.service,
      new Set([...this.#listed(entry.service), record]),
    );
    if (entry.state === "leaving" && (wasReady || known === undefined)) {
      this.#leaves(record, now);
    }
  }

  /**
   * Takes in that a server's entry can't be read. What is known of the server
   * stays, for when the entry is good again.
   */
  unreadable(id: string): void {
    const record = this.#records.get(id);
    if (record !== undefined) record.isReadable = false;
  }

  /** Forgets a server whose entry is gone. */
  remove(id: string, now: number): void {
    const record = this.#records.get(id);
    if (record === undefined) return;
    this.#records.delete(id);
    this.#unlist(record);
    const wasReady = record.entry.state === "ready";
    record.entry = { ...record.entry, state: "leaving" };
    if (wasReady) this.#leaves(record, now);
  }

  /** One server. */
  get(id: string): ServerRecord | undefined {
    return this.#records.get(id);
  }

  /** Servers of a service whose entries can be read. */
  of(service: string): readonly ServerRecord[] {
    return this.#listed(service).filter(({ isReadable }) => isReadable);
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
    work: Readonly<Record<string, WorkAtServer>>,
    now: number,
  ): void {
    this.#records.forEach((record, id) => {
      record.heardPeer(peer, work[id], now);
    });
  }

  /** Work of all hosts but one, by server id; idle servers are left out. */
  workBeside(
    peer: string,
    now: number,
  ): Readonly<Record<string, WorkAtServer>> {
    return Object.fromEntries(
      this.all()
        .map(
          (record) => [record.entry.id, record.workBeside(peer, now)] as const,
        )
        .filter(([, work]) => work.running > 0),
    );
  }

  #listed(service: string): readonly ServerRecord[] {
    return [...(this.#byService.get(service) ?? [])];
  }

  #unlist(record: ServerRecord): void {
    const { service } = record.entry;
    const others = this.#listed(service).filter((other) => other !== record);
    this.#byService.set(service, new Set(others));
  }

  #leaves(record: ServerRecord, now: number): void {
    record.leavingSince ??= now;
    this.#listeners.forEach((listener) => listener(record));
  }
}
