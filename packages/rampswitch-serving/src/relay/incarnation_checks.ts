// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Asks servers which incarnation they are: before a stream that broke goes on there, and
 * once a stream began there after a host had lost the server. A server that crashed may
 * be back under its id as another version before its new entry is read.
 *
 * @module
 */
import { type Clock, type Logger, runInBackground } from "rampswitch-utils";
import {
  type AdvertisementReader,
  readEngineReport,
} from "../advertisements/mod.ts";
import type { ServerContact } from "../attempt/mod.ts";
import type { ServerRecord } from "../choice/mod.ts";
import type { Service } from "../model/configuration.ts";
import {
  incarnationId,
  type ServerIncarnation,
} from "../model/backend_server.ts";
import type { EngineControl, EngineReport } from "../model/engine_control.ts";
import type { LostServers } from "../reach/mod.ts";
import type { StreamOrigins } from "../streams/mod.ts";
import { type IncarnationStatus, statusByReport } from "./retained_memory.ts";

/** What the checks depend on. */
export interface IncarnationCheckParts {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly engineControl: EngineControl;
  readonly advertisements: AdvertisementReader;
  readonly lostServers: Pick<LostServers, "lostAt" | "onReported">;
  readonly streams: Pick<StreamOrigins, "begunByStart">;
}

/**
 * Time for which a report counts, in milliseconds; shorter than a server takes to end and
 * start again. Many streams that break or move together share one.
 */
const CONFIRMATION_MILLISECONDS = 100;

/**
 * Minimum time between two questions to a server because streams begin there, in
 * milliseconds: it may answer none for as long as a contact lasts.
 */
const ASK_INTERVAL_MILLISECONDS = 1_000;

/**
 * Time by which another host may notice a loss late, in milliseconds: some turns of a busy
 * event loop. A contact that began within it before a loss may be with the next process.
 */
const NOTICE_MILLISECONDS = 2_000;

/** Maximum number of servers whose latest stream is kept. */
const MAXIMUM_SERVERS = 16_384;

/** A report that was asked for. */
interface SharedReport {
  /** On the monotonic clock. */
  readonly askedAt: number;
  readonly report: Promise<EngineReport | undefined>;
}

/** The begin of a stream at a server that tells which incarnation it is. */
export interface StreamBegin {
  readonly record: ServerRecord;
  readonly contact: ServerContact;
  /** On the monotonic clock. */
  readonly begunAt: number;
}

/** Which servers are the incarnations that are listed. */
export class IncarnationChecks {
  readonly #parts: IncarnationCheckParts;
  readonly #reports = new WeakMap<ServerRecord, SharedReport>();
  /** When a server that was asked was last the listed incarnation, on the monotonic clock. */
  readonly #confirmedAt = new WeakMap<ServerRecord, number>();
  /** Starts of the incarnations that contacts are with. */
  readonly #starts = new WeakMap<ServerContact, number>();
  /** Servers that are being asked during a contact. */
  readonly #asked = new WeakMap<ServerContact, Promise<void>>();
  /** When a server was last asked during a contact, on the monotonic clock. */
  readonly #askedAt = new WeakMap<ServerContact, number>();
  /** When the first stream of a contact began, on the monotonic clock. */
  readonly #firstBeginAt = new WeakMap<ServerContact, number>();
  /** Contacts that began after a loss, so that they may be with another process. */
  readonly #doubted = new WeakSet<ServerContact>();
  /** The latest stream of each incarnation. */
  readonly #latest = new Map<string, StreamBegin>();

  constructor(parts: IncarnationCheckParts) {
    this.#parts = parts;
    parts.lostServers.onReported((incarnation) =>
      this.#lostElsewhere(incarnation),
    );
  }

  /** Whether a server tells which incarnation it is. */
  canAsk({ entry }: ServerRecord, { engine }: Service): boolean {
    return entry.born !== undefined && engine !== undefined;
  }

  /**
   * Whether a server may be taken for the incarnation that its record names: it says that
   * it is, or can't be asked.
   */
  async mayContinueAt(
    record: ServerRecord,
    service: Service,
  ): Promise<boolean> {
    return !this.canAsk(record, service) || this.confirm(record);
  }

  /** Whether a server is the incarnation that its record names. */
  async confirm(record: ServerRecord): Promise<boolean> {
    const report = await this.#sharedReport(record);
    return report?.born === record.entry.born && !record.ended;
  }

  /** What a server's report shows of the incarnation that its record names. */
  async statusOf(record: ServerRecord): Promise<IncarnationStatus> {
    const isAsked = !record.ended && record.entry.born !== undefined;
    const report = isAsked ? await this.#sharedReport(record) : undefined;
    return statusByReport(record, report);
  }

  /**
   * Notes that a stream began at a server. If a host lost the server before, it is asked,
   * unless it was confirmed since; nothing waits for it. `undefined` if the server can't
   * be asked.
   */
  began(
    record: ServerRecord,
    {
      service,
      contact,
    }: {
      readonly service: Service;
      readonly contact: ServerContact | undefined;
    },
  ): StreamBegin | undefined {
    if (contact === undefined || !this.canAsk(record, service)) {
      return undefined;
    }
    const begin = { record, contact, begunAt: this.#parts.clock.now() };
    this.#note(begin);
    if (this.#followsLoss(begin)) this.#doubt(begin);
    return begin;
  }

  /**
   * Start of the incarnation that began a stream, if it is known to be another one than
   * its record names.
   */
  otherStart({ record, contact }: StreamBegin): number | undefined {
    const start = this.#starts.get(contact);
    return start === record.entry.born ? undefined : start;
  }

  /** Whether a stream certainly began at the incarnation that was listed. */
  isConfirmed({ record, contact, begunAt }: StreamBegin): boolean {
    const start = this.#starts.get(contact);
    if (start !== undefined) return start === record.entry.born;
    const isDoubted = this.#doubted.has(contact);
    return !isDoubted || this.#lastConfirmedAt(record) >= begunAt;
  }

  /**
   * Whether a stream that broke began at the version that was listed: at the listed
   * incarnation, or at one that is listed now with the same version. Without a report it
   * can't be told.
   */
  async isOfListedVersion(
    begin: StreamBegin,
    listedNow: () => ServerRecord | undefined,
  ): Promise<boolean> {
    const { record, contact } = begin;
    await this.#asked.get(contact);
    if (!this.#isKnown(begin)) await this.#askDuring(begin);
    if (this.isConfirmed(begin)) return true;
    const start = this.#starts.get(contact);
    const entry = listedNow()?.entry;
    return (
      start !== undefined &&
      entry?.born === start &&
      entry.version === record.entry.version
    );
  }

  #note(begin: StreamBegin): void {
    const { record, contact, begunAt } = begin;
    if (!this.#firstBeginAt.has(contact)) {
      this.#firstBeginAt.set(contact, begunAt);
    }
    this.#latest.set(record.incarnation, begin);
    const [oldest] = this.#latest.keys();
    if (this.#latest.size <= MAXIMUM_SERVERS || oldest === undefined) return;
    this.#latest.delete(oldest);
  }

  /** Whether a contact began after a loss, and its server was not confirmed since. */
  #followsLoss({ record, contact }: StreamBegin): boolean {
    const lostAt = this.#parts.lostServers.lostAt(record.entry);
    return (
      lostAt > this.#lastConfirmedAt(record) &&
      lostAt <= this.#firstBegin(contact)
    );
  }

  /** Asks the server of a contact that may be with another incarnation. */
  #doubt(begin: StreamBegin): void {
    this.#doubted.add(begin.contact);
    this.#askInBackground(begin);
  }

  /** Handles a loss that another host reports, maybe after streams began. */
  #lostElsewhere(incarnation: ServerIncarnation): void {
    const name = incarnationId(incarnation);
    const begin = this.#latest.get(name);
    if (begin === undefined) return;
    if (!begin.contact.isUnbroken) {
      this.#latest.delete(name);
      return;
    }
    const lostAt = this.#parts.lostServers.lostAt(incarnation);
    const mayFollow =
      lostAt - this.#firstBegin(begin.contact) <= NOTICE_MILLISECONDS;
    if (this.#followsLoss(begin)) this.#doubt(begin);
    else if (mayFollow) this.#askInBackground(begin);
  }

  #firstBegin(contact: ServerContact): number {
    return this.#firstBeginAt.get(contact) ?? -Infinity;
  }

  #lastConfirmedAt(record: ServerRecord): number {
    return this.#confirmedAt.get(record) ?? -Infinity;
  }

  /** Whether it is known which incarnation began a stream. */
  #isKnown({ record, contact, begunAt }: StreamBegin): boolean {
    return (
      this.#starts.has(contact) || this.#lastConfirmedAt(record) >= begunAt
    );
  }

  #askInBackground(begin: StreamBegin): void {
    const askedAt = this.#askedAt.get(begin.contact) ?? -Infinity;
    const now = this.#parts.clock.now();
    const isDue = now - askedAt >= ASK_INTERVAL_MILLISECONDS;
    if (!isDue || this.#isKnown(begin)) return;
    this.#askedAt.set(begin.contact, now);
    runInBackground("start of a server", this.#parts, () =>
      this.#askDuring(begin),
    );
  }

  /** Asks a server once for all streams of a contact. */
  #askDuring({ record, contact }: StreamBegin): Promise<void> {
    const asked =
      this.#asked.get(contact) ??
      this.#readStart(record, contact).finally(() =>
        this.#asked.delete(contact),
      );
    this.#asked.set(contact, asked);
    return asked;
  }

  async #readStart(
    record: ServerRecord,
    contact: ServerContact,
  ): Promise<void> {
    const start = (await this.#read(record))?.born;
    // Another process may answer once no connection is left.
    if (start === undefined || !contact.isUnbroken) return;
    this.#starts.set(contact, start);
    if (start === record.entry.born) return;
    this.#parts.streams.begunByStart(record.incarnation, {
      start,
      since: this.#firstBegin(contact),
    });
  }

  /** The report of a server, shared by all that ask for it within a moment. */
  #sharedReport(record: ServerRecord): Promise<EngineReport | undefined> {
    const askedAt = this.#parts.clock.now();
    const known = this.#reports.get(record);
    const isUsable =
      known !== undefined &&
      askedAt - known.askedAt < CONFIRMATION_MILLISECONDS;
    if (isUsable) return known.report;
    const report = this.#read(record);
    this.#reports.set(record, { askedAt, report });
    return report;
  }

  /** Report of the process at a server's address, if it answers. */
  async #read(record: ServerRecord): Promise<EngineReport | undefined> {
    const askedAt = this.#parts.clock.now();
    const report = await readEngineReport(record, this.#parts);
    const isSame = report?.born === record.entry.born;
    if (isSame) this.#confirmedAt.set(record, askedAt);
    return report;
  }
}
