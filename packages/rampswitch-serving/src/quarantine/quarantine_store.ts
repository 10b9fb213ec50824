// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Keeps quarantined requests, or prompt parts, in the platform's store, so that hosts that start
 * after all others have ended know them too. The store is read once at startup. It
 * is written when a request has lost its third or a later server, and when a
 * request is released.
 *
 * @module
 */
import {
  type Clock,
  failureReporter,
  jitter,
  type Logger,
  type Random,
  repeat,
  type Repetition,
} from "rampswitch-utils";
import type { ObjectStore, StoredObject } from "rampswitch-store";
import * as z from "zod";
import { decodeJson, recordOf } from "rampswitch-validation";
import type { ServingMetrics } from "../observation/mod.ts";
import { FINGERPRINT_PATTERN } from "./fingerprint.ts";
import { STORED_ENTRY_RETENTION_MILLISECONDS } from "./quarantine_entry.ts";
import type { Quarantine } from "./quarantine.ts";
import type { QuarantineUpdate } from "./quarantine_update.ts";

/** Dependencies of a {@link QuarantineStore}. */
export interface QuarantineStoreParts {
  readonly quarantine: Pick<Quarantine, "receive" | "stored">;
  readonly store: ObjectStore;
  /** Prefix of the key of the only object. */
  readonly prefix: string;
  /** A monotonic clock. */
  readonly clock: Clock;
  /** Fleet time, in milliseconds since the epoch. */
  readonly wallTime: () => number;
  readonly random: Random;
  readonly logger: Logger;
  readonly metrics: ServingMetrics;
}

/** Name of the object below the prefix. */
const OBJECT_NAME = "requests";

/**
 * Maximum age of a loss that is read from the store, in milliseconds. The host that
 * wrote the loss still retained it, so a later host must not expire it only because
 * its own clock is ahead.
 */
const MAXIMUM_LOSS_AGE_MILLISECONDS = STORED_ENTRY_RETENTION_MILLISECONDS / 2;

/** Delay after a call that failed, in milliseconds. */
const RETRY_DELAY_MILLISECONDS = 1_000;

/** Interval while there is nothing to do, in milliseconds. */
const IDLE_INTERVAL_MILLISECONDS = 60_000;

const WALL_TIMES_SCHEMA = recordOf(z.number());

/** Stored requests, with times of day in place of ages. */
const OBJECT_SCHEMA = z.object({
  requests: recordOf(
    z.object({
      lostLives: WALL_TIMES_SCHEMA,
      tried: z.number().optional(),
      trials: z.number().nonnegative(),
    }),
    z.string().regex(FINGERPRINT_PATTERN),
  ),
});

type StoredQuarantine = z.output<typeof OBJECT_SCHEMA>;

/** Reads and writes the object with the quarantined requests. */
export class QuarantineStore implements AsyncDisposable {
  readonly #parts: QuarantineStoreParts;
  readonly #repetition: Repetition;
  #hasRead = false;
  #hasChanges = false;

  constructor(parts: QuarantineStoreParts) {
    this.#parts = parts;
    this.#repetition = repeat(
      parts.clock,
      () => jitter(parts.random, this.#wait()),
      {
        name: "stored quarantine",
        reportFailure: failureReporter(parts),
        run: () => this.#synchronize(),
      },
    );
    this.#repetition.runNow();
    // A copy that the store was restored from may lack what was written before.
    parts.store.onEra(() => {
      if (parts.quarantine.stored().length > 0) this.scheduleWrite();
    });
  }

  /** Schedules a write of the current quarantine. */
  scheduleWrite(): void {
    this.#hasChanges = true;
    this.#repetition.runNow();
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.#repetition[Symbol.asyncDispose]();
  }

  #wait(): number {
    return this.#hasRead && !this.#hasChanges
      ? IDLE_INTERVAL_MILLISECONDS
      : RETRY_DELAY_MILLISECONDS;
  }

  async #synchronize(): Promise<void> {
    if (this.#hasRead && !this.#hasChanges) return;
    const { store, prefix, metrics } = this.#parts;
    // A write must include what other hosts wrote. At startup, a result that is
    // some seconds old is sufficient.
    const listed = await store.list(prefix, { mayBeStale: !this.#hasChanges });
    if (listed.isErr) {
      metrics.event("quarantine_store_failed");
      return;
    }
    const [object] = listed.value.objects;
    if (object !== undefined) this.#restore(object);
    this.#hasRead = true;
    if (this.#hasChanges) await this.#write(object?.version);
  }

  #restore(object: StoredObject): void {
    const { quarantine, logger, wallTime } = this.#parts;
    const read = decodeJson(OBJECT_SCHEMA, object.value, "quarantine");
    if (read.isErr) {
      logger.warn("stored quarantine can't be read", {
        key: object.key,
        detail: read.error,
      });
      return;
    }
    const updates = updatesOf(read.value, wallTime());
    quarantine.receive(updates);
    logger.info("stored quarantine read", { requests: updates.length });
  }

  async #write(version: number | undefined): Promise<void> {
    const { quarantine, store, prefix, wallTime, logger, metrics } =
      this.#parts;
    this.#hasChanges = false;
    const updates = quarantine.stored();
    const value = JSON.stringify(storedOf(updates, wallTime()));
    const put = await store.put(`${prefix}${OBJECT_NAME}`, value, {
      expected: version ?? "absent",
    });
    // A conflict is retried as well: another host has just written, and the next
    // attempt merges its entries.
    if (put.isErr) this.#hasChanges = true;
    metrics.event(`quarantine_${put.isOk ? "stored" : "not_stored"}`);
    logger.info("quarantine stored", {
      requests: updates.length,
      outcome: put.isOk ? "stored" : put.error.kind,
    });
  }
}

function storedOf(
  updates: readonly QuarantineUpdate[],
  wallTime: number,
): StoredQuarantine {
  return {
    requests: Object.fromEntries(
      updates.map(
        ({
          fingerprint,
          lostIncarnations: losses,
          lastTrialAge: tried,
          trials,
        }) => [
          fingerprint,
          {
            trials,
            lostLives: convertTimes(losses, wallTime),
            ...(tried === undefined ? {} : { tried: wallTime - tried }),
          },
        ],
      ),
    ),
  };
}

function updatesOf(
  { requests }: StoredQuarantine,
  wallTime: number,
): readonly QuarantineUpdate[] {
  return Object.entries(requests).map(([fingerprint, stored]) => ({
    fingerprint,
    lostIncarnations: convertTimes(
      stored.lostLives,
      wallTime,
      MAXIMUM_LOSS_AGE_MILLISECONDS,
    ),
    lastTrialAge:
      stored.tried === undefined ? undefined : wallTime - stored.tried,
    trials: stored.trials,
    completedAge: undefined,
  }));
}

/**
 * Converts ages into times of day or times of day into ages, up to a maximum value.
 */
function convertTimes(
  times: Readonly<Record<string, number>>,
  wallTime: number,
  maximum = Infinity,
): Record<string, number> {
  return Object.fromEntries(
    Object.entries(times).map(([incarnation, time]) => [
      incarnation,
      Math.min(Math.round(wallTime - time), maximum),
    ]),
  );
}
