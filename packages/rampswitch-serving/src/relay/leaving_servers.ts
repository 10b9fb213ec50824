// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Moves runs away from engines that were announced to end before the runs do.
 *
 * @module
 */
import { type Clock, type Logger, sleep } from "rampswitch-utils";
import type { ServerRecord } from "../choice/mod.ts";
import type { EngineControl } from "../model/engine_control.ts";
import { type StatementReader, toldReport } from "../statements/mod.ts";
import type { RequestRun } from "./request_run.ts";
import type { CallerServer } from "../intake/caller_server.ts";

/**
 * Runs are moved this long before an engine's announced end, in milliseconds;
 * before that they may still finish by themselves.
 */
const MOVE_BEFORE_END_MILLISECONDS = 1_200;

/**
 * Age of an engine's report, in milliseconds: asked earlier, it would not tell
 * of an end that was announced just now.
 */
const REPORT_LAG_MILLISECONDS = 400;

/** What the moves work with. */
export interface LeavingParts {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly engineControl: EngineControl;
  readonly statements: StatementReader;
  /** Time that a leaving server serves on, where it tells none. */
  readonly drainMilliseconds: number;
}

/** Moves runs at the right time. */
export class LeavingServers {
  readonly #callers: CallerServer;
  readonly #parts: LeavingParts;

  constructor(callers: CallerServer, parts: LeavingParts) {
    this.#callers = callers;
    this.#parts = parts;
  }

  /** A server was announced to leave, or its entry is gone. */
  async left(record: ServerRecord): Promise<void> {
    const { clock, drainMilliseconds } = this.#parts;
    const announcedAt = record.leavingSince ?? clock.now();
    await sleep(clock, REPORT_LAG_MILLISECONDS);
    // Runs may still come where no other server takes them.
    const report =
      this.#runsAt((server) => server === record).length === 0
        ? undefined
        : await toldReport(record, this.#parts);
    // A later life tells nothing of this one's end.
    const told =
      report !== undefined && record.isLife(report.born)
        ? report.leavesMilliseconds
        : undefined;
    const left = told ?? drainMilliseconds - (clock.now() - announcedAt);
    const wait = Math.max(0, left - MOVE_BEFORE_END_MILLISECONDS);
    clock.after(wait, () => this.#move(record, told));
  }

  /** Moves the runs of servers that get no requests any more. */
  leave(isLeft: (record: ServerRecord) => boolean): void {
    this.#runsAt(isLeft).forEach((run) => void run.moveAway());
  }

  /** Streams of engines; nothing else has memory to move. */
  #runsAt(isThere: (server: ServerRecord) => boolean): readonly RequestRun[] {
    return this.#callers.runs.filter(
      ({ server, movable }) =>
        movable && server !== undefined && isThere(server),
    );
  }

  #move(record: ServerRecord, told: number | undefined): void {
    // Its entry had lapsed and is back: its runs need not go elsewhere.
    if (record.isReady) return;
    const runs = this.#runsAt((server) => server === record);
    if (runs.length === 0) return;
    this.#parts.logger.info("moving runs", {
      server: record.entry.id,
      toldMilliseconds: told,
      runs: runs.length,
    });
    runs.forEach((run) => void run.moveAway());
  }
}
