// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Asks servers which incarnation they are before a stream that broke goes on there. A
 * server that crashed may be back under its id as another version before its new entry is
 * read.
 *
 * @module
 */
import type { Clock } from "rampswitch-utils";
import {
  type AdvertisementReader,
  readEngineReport,
} from "../advertisements/mod.ts";
import type { ServerRecord } from "../choice/mod.ts";
import type { Service } from "../model/configuration.ts";
import type { EngineControl } from "../model/engine_control.ts";

/** What the checks depend on. */
export interface IncarnationCheckParts {
  readonly clock: Clock;
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

/** Which servers are the incarnations that are listed. */
export class IncarnationChecks {
  readonly #parts: IncarnationCheckParts;
  readonly #confirmations = new WeakMap<ServerRecord, Confirmation>();

  constructor(parts: IncarnationCheckParts) {
    this.#parts = parts;
  }

  /** Whether a server tells which incarnation it is. */
  canAsk({ entry }: ServerRecord, { engine }: Service): boolean {
    return entry.born !== undefined && engine !== undefined;
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

  #ask(record: ServerRecord, now: number): Confirmation {
    const confirmation = { askedAt: now, isConfirmed: this.#isSame(record) };
    this.#confirmations.set(record, confirmation);
    return confirmation;
  }

  async #isSame(record: ServerRecord): Promise<boolean> {
    const report = await readEngineReport(record, this.#parts);
    return report?.born === record.entry.born;
  }
}
