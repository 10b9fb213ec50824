// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Moves runs away from engines that were announced to end before the runs do.
 *
 * @module
 */
import type { Clock, Logger } from "rampswitch-utils";
import type { ServerRecord } from "../choice/mod.ts";
import type { CallerServer } from "../intake/caller_server.ts";

/**
 * Runs are moved this long before an engine's announced end, in milliseconds;
 * before that they may still finish by themselves.
 */
const MOVE_BEFORE_END_MILLISECONDS = 1_200;

/** Moves runs at the right time. */
export class LeavingServers {
  readonly #callers: CallerServer;
  readonly #clock: Clock;
  readonly #logger: Logger;

  constructor(
    callers: CallerServer,
    parts: { readonly clock: Clock; readonly logger: Logger },
  ) {
    this.#callers = callers;
    this.#clock = parts.clock;
    this.#logger = parts.logger;
  }

  /** A server was announced to leave. */
  left(record: ServerRecord): void {
    const ends = record.entry.leavesInMilliseconds;
    if (ends === undefined) return;
    const wait = Math.max(0, ends - MOVE_BEFORE_END_MILLISECONDS);
    this.#clock.after(wait, () => this.#move(record));
  }

  #move(record: ServerRecord): void {
    const runs = this.#callers.runs.filter((run) => run.server === record);
    if (runs.length === 0) return;
    this.#logger.info("moving runs", {
      server: record.entry.id,
      runs: runs.length,
    });
    runs.forEach((run) => void run.moveAway());
  }
}
