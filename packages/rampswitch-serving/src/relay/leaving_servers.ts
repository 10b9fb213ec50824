// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Migrates runs away from engines whose announced end comes before that of the runs.
 *
 * @module
 */
import { type Clock, type Logger, sleep } from "rampswitch-utils";
import type { ServerRecord } from "../choice/mod.ts";
import type { EngineControl } from "../model/engine_control.ts";
import {
  type AdvertisementReader,
  readEngineReport,
} from "../advertisements/mod.ts";
import type { RequestRun } from "./request_run.ts";
import type { CallerServer } from "../intake/caller_server.ts";

/**
 * Runs are migrated this long before an engine's announced end, in milliseconds.
 * Until then they may still finish where they are.
 */
const MIGRATE_BEFORE_END_MILLISECONDS = 1_200;

/**
 * Delay before an engine's report is queried, in milliseconds. A report may be this
 * old, so an earlier query would miss an end that was announced just now.
 */
const REPORT_LAG_MILLISECONDS = 400;

/** What the migrations work with. */
export interface LeavingParts {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly engineControl: EngineControl;
  readonly advertisements: AdvertisementReader;
  /** Time for which a leaving server still serves, if it reports none, in ms. */
  readonly drainMilliseconds: number;
}

/** Migrates the runs of leaving servers before these end. */
export class LeavingServers {
  readonly #callers: CallerServer;
  readonly #parts: LeavingParts;

  constructor(callers: CallerServer, parts: LeavingParts) {
    this.#callers = callers;
    this.#parts = parts;
  }

  /** Schedules migrations for a server that announced its end or lost its entry. */
  async scheduleMigration(record: ServerRecord): Promise<void> {
    const { clock, drainMilliseconds } = this.#parts;
    const announcedAt = record.leavingSince ?? clock.now();
    await sleep(clock, REPORT_LAG_MILLISECONDS);
    // Without other servers, runs may still be sent to this one during the wait.
    const report =
      this.#runsAt((server) => server === record).length === 0
        ? undefined
        : await readEngineReport(record, this.#parts);
    // The report of a later incarnation does not apply to this one.
    const reportedMilliseconds =
      report !== undefined && record.matchesIncarnation(report.born)
        ? report.endsInMilliseconds
        : undefined;
    const millisecondsLeft =
      reportedMilliseconds ?? drainMilliseconds - (clock.now() - announcedAt);
    const wait = Math.max(
      0,
      millisecondsLeft - MIGRATE_BEFORE_END_MILLISECONDS,
    );
    clock.after(wait, () => this.#migrate(record, reportedMilliseconds));
  }

  /** Streams of engines at the affected servers; nothing else has memory to migrate. */
  #runsAt(
    isAffected: (server: ServerRecord) => boolean,
  ): readonly RequestRun[] {
    return this.#callers.runs.filter(
      ({ server, migratable }) =>
        migratable && server !== undefined && isAffected(server),
    );
  }

  #migrate(
    record: ServerRecord,
    reportedMilliseconds: number | undefined,
  ): void {
    // Its entry had lapsed and is back, so its runs can stay.
    if (record.isReady) return;
    const runs = this.#runsAt((server) => server === record);
    if (runs.length === 0) return;
    this.#parts.logger.info("moving runs", {
      server: record.entry.id,
      toldMilliseconds: reportedMilliseconds,
      runs: runs.length,
    });
    runs.forEach((run) => run.startMigration());
  }
}
