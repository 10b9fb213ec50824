// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Asks servers which incarnation they are: before a stream that broke goes on there, and
 * once a stream began there after this host had lost the server. A server that crashed may
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
import type { EngineControl } from "../model/engine_control.ts";

/** What the checks depend on. */
export interface IncarnationCheckParts {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly engineControl: EngineControl;
  readonly advertisements: AdvertisementReader;
}

/**
 * Time for which a confirmation counts, in milliseconds; shorter than a server takes to
 * end and start again. Many streams that break together share one.
 */
const CONFIRMATION_MILLISECONDS = 100;

/** A confirmation that was asked for. */
interface Confirmation {
  /** On the monotonic clock. */
  readonly askedAt: number;
  readonly isConfirmed: Promise<boolean>;
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
  readonly #confirmations = new WeakMap<ServerRecord, Confirmation>();
  /** When a server that was asked was last the listed incarnation, on the monotonic clock. */
  readonly #confirmedAt = new WeakMap<ServerRecord, number>();
  /** Starts of the incarnations that contacts are with. */
  readonly #starts = new WeakMap<ServerContact, number>();
  /** Servers that are being asked during a contact. */
  readonly #asked = new WeakMap<ServerContact, Promise<void>>();

  constructor(parts: IncarnationCheckParts) {
    this.#parts = parts;
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
    const now = this.#parts.clock.now();
    const known = this.#confirmations.get(record);
    const isUsable =
      known !== undefined && now - known.askedAt < CONFIRMATION_MILLISECONDS;
    const confirmation = isUsable ? known : this.#ask(record, now);
    return (await confirmation.isConfirmed) && !record.ended;
  }

  /**
   * Notes that a stream began at a server that this host had lost before. The server is
   * asked, unless it was confirmed during this contact; nothing waits for it. `undefined`
   * without a loss, or if the server can't be asked.
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
    const isAsked = contact?.followsLoss && this.canAsk(record, service);
    if (!isAsked) return undefined;
    const begin = { record, contact, begunAt: this.#parts.clock.now() };
    if (!this.#isKnown(begin)) {
      runInBackground("start of a server", this.#parts, () =>
        this.#askDuring(begin),
      );
    }
    return begin;
  }

  /** Whether a stream certainly began at the incarnation that was listed. */
  isConfirmed({ record, contact, begunAt }: StreamBegin): boolean {
    const confirmedAt = this.#confirmedAt.get(record) ?? -Infinity;
    const start = this.#starts.get(contact);
    return confirmedAt >= begunAt || start === record.entry.born;
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

  /** Whether it is known which incarnation began a stream. */
  #isKnown(begin: StreamBegin): boolean {
    return this.#starts.has(begin.contact) || this.isConfirmed(begin);
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
    const start = await this.#startOf(record);
    // Another process may answer once no connection is left.
    if (start !== undefined && contact.isUnbroken) {
      this.#starts.set(contact, start);
    }
  }

  #ask(record: ServerRecord, now: number): Confirmation {
    const confirmation = { askedAt: now, isConfirmed: this.#isSame(record) };
    this.#confirmations.set(record, confirmation);
    return confirmation;
  }

  async #isSame(record: ServerRecord): Promise<boolean> {
    return (await this.#startOf(record)) === record.entry.born;
  }

  /** Start of the process at a server's address, if it answers and tells it. */
  async #startOf(record: ServerRecord): Promise<number | undefined> {
    const askedAt = this.#parts.clock.now();
    const report = await readEngineReport(record, this.#parts);
    const isSame = report?.born === record.entry.born;
    if (isSame) this.#confirmedAt.set(record, askedAt);
    return report?.born;
  }
}
