// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Keeps quarantined requests in the platform's store, so that hosts which start
 * when all that knew them are gone know them too. Read once at a start; written
 * when a request has lost its third server, or a later one, and when it is freed.
 *
 * @module
 */
import {
  type Clock,
  jitter,
  type Logger,
  parseJson,
  type Random,
  repeat,
  type Repetition,
} from "rampswitch-utils";
import type { ObjectStore, StoredObject } from "rampswitch-store";
import * as z from "zod";
import type { ServingMetrics } from "../observation/mod.ts";
import { FINGERPRINT_PATTERN } from "./fingerprint.ts";
import { STORED_MILLISECONDS } from "./quarantine_entry.ts";
import type { Quarantine, QuarantineNews } from "./quarantine.ts";

/** What the store is used with. */
export interface QuarantineStoreParts {
  readonly quarantine: Quarantine;
  readonly store: ObjectStore;
  /** Prefix of the only object's key in the store. */
  readonly prefix: string;
  /** A steady clock. */
  readonly clock: Clock;
  /** Time of day on which the hosts agree, in milliseconds. */
  readonly wallTime: () => number;
  readonly random: Random;
  readonly logger: Logger;
  readonly metrics: ServingMetrics;
}

/** Name of the object below the prefix. */
const OBJECT_NAME = "requests";

/**
 * Greatest age of a loss that the store tells of, in milliseconds. Whoever wrote it
 * remembered it, so that no later host's clock alone may take it for forgotten.
 */
const OLDEST_LOSS_MILLISECONDS = STORED_MILLISECONDS / 2;

/** Wait after a call that failed, in milliseconds. */
const RETRY_MILLISECONDS = 1_000;

/** Wait where there is nothing to do, in milliseconds. */
const IDLE_MILLISECONDS = 60_000;

const wallTimes = z.record(z.string(), z.number());

/** Times of day in place of ages. */
const OBJECT_SCHEMA = z.object({
  requests: z.record(
    z.string().regex(FINGERPRINT_PATTERN),
    z.object({
      lostLives: wallTimes,
      tried: z.number().optional(),
      trials: z.number().nonnegative(),
    }),
  ),
});

type StoredQuarantine = z.output<typeof OBJECT_SCHEMA>;

/** The object with the quarantined requests. */
export class QuarantineStore implements AsyncDisposable {
  readonly #parts: QuarantineStoreParts;
  readonly #repetition: Repetition;
  #wasRead = false;
  #isChanged = false;

  constructor(parts: QuarantineStoreParts) {
    this.#parts = parts;
    this.#repetition = repeat(
      parts.clock,
      () => jitter(parts.random, this.#wait()),
      () => this.#work(),
    );
    this.#repetition.hurry();
    // The copy that the store came back from may lack what was kept.
    parts.store.onEra(() => {
      if (parts.quarantine.stored().length > 0) this.changed();
    });
  }

  /** Has the store keep what the quarantine now holds. */
  changed(): void {
    this.#isChanged = true;
    this.#repetition.hurry();
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.#repetition[Symbol.asyncDispose]();
  }

  #wait(): number {
    return this.#wasRead && !this.#isChanged
      ? IDLE_MILLISECONDS
      : RETRY_MILLISECONDS;
  }

  async #work(): Promise<void> {
    if (this.#wasRead && !this.#isChanged) return;
    const { store, prefix, metrics } = this.#parts;
    // What is written must follow what others wrote; at a start, seconds may pass.
    const listed = await store.list(prefix, { mayBeStale: !this.#isChanged });
    if (listed.isErr) {
      metrics.event("quarantine_store_failed");
      return;
    }
    const [object] = listed.value.objects;
    if (object !== undefined) this.#restore(object);
    this.#wasRead = true;
    if (this.#isChanged) await this.#write(object?.version);
  }

  #restore(object: StoredObject): void {
    const { quarantine, logger, wallTime } = this.#parts;
    const read = parseJson(object.value).map((value) =>
      OBJECT_SCHEMA.safeParse(value),
    );
    if (read.isErr || !read.value.success) {
      logger.warn("stored quarantine can't be read", { key: object.key });
      return;
    }
    const news = newsOf(read.value.data, wallTime());
    quarantine.heard(news);
    logger.info("stored quarantine read", { requests: news.length });
  }

  async #write(version: number | undefined): Promise<void> {
    const { quarantine, store, prefix, wallTime, logger, metrics } =
      this.#parts;
    this.#isChanged = false;
    const kept = quarantine.stored();
    const value = JSON.stringify(storedOf(kept, wallTime()));
    const put = await store.put(`${prefix}${OBJECT_NAME}`, value, {
      expected: version ?? "absent",
    });
    // Also after a conflict: another host has just written, so this one joins.
    if (put.isErr) this.#isChanged = true;
    metrics.event(`quarantine_${put.isOk ? "stored" : "not_stored"}`);
    logger.info("quarantine stored", {
      requests: kept.length,
      outcome: put.isOk ? "stored" : put.error.kind,
    });
  }
}

function storedOf(
  news: readonly QuarantineNews[],
  wallTime: number,
): StoredQuarantine {
  return {
    requests: Object.fromEntries(
      news.map(({ fingerprint, lostLives, tried, trials }) => [
        fingerprint,
        {
          trials,
          lostLives: shifted(lostLives, wallTime),
          ...(tried === undefined ? {} : { tried: wallTime - tried }),
        },
      ]),
    ),
  };
}

function newsOf(
  { requests }: StoredQuarantine,
  wallTime: number,
): readonly QuarantineNews[] {
  return Object.entries(requests).map(([fingerprint, stored]) => ({
    fingerprint,
    lostLives: shifted(stored.lostLives, wallTime, OLDEST_LOSS_MILLISECONDS),
    tried: stored.tried === undefined ? undefined : wallTime - stored.tried,
    trials: stored.trials,
    ranWhole: undefined,
  }));
}

/** Turns ages into times of day, and the other way round, up to a greatest one. */
function shifted(
  times: Readonly<Record<string, number>>,
  wallTime: number,
  greatest = Infinity,
): Record<string, number> {
  return Object.fromEntries(
    Object.entries(times).map(([life, time]) => [
      life,
      Math.min(Math.round(wallTime - time), greatest),
    ]),
  );
}
