// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Frees memory that engines retain for stopped runs, unless its handle may name the
 * memory of another request by now.
 *
 * @module
 */
import type { Clock, Logger } from "rampswitch-utils";
import {
  type AdvertisementReader,
  readEngineReport,
} from "../advertisements/mod.ts";
import type { ServerRecord } from "../choice/mod.ts";
import type { EngineControl, EngineReport } from "../model/engine_control.ts";
import type { ServingMetrics } from "../observation/mod.ts";
import { dropMemory } from "./memory_migration.ts";
import type { MemoryHolders } from "./suspended_run.ts";

/** Dependencies of calls to engines. */
export interface EngineCallParts {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: ServingMetrics;
  readonly engineControl: EngineControl;
  readonly advertisements: AdvertisementReader;
}

/** Memory that is retained for a run. */
export interface RetainedRun {
  readonly attemptId: string | undefined;
  readonly holders: MemoryHolders;
  readonly handle: string;
}

/** Whether a server is still the incarnation that issued a handle. */
export type IncarnationStatus = "same" | "later" | "not_told";

/**
 * Whether a handle still names the same memory at a server as when it was
 * issued. A later incarnation restarts the count of its handles, so there the
 * handle may name the memory of another request. The list of servers shows a
 * new incarnation some hundred milliseconds late; the server's own report shows
 * it at once.
 */
export async function incarnationStatusOf(
  record: ServerRecord,
  parts: Pick<EngineCallParts, "engineControl" | "advertisements">,
): Promise<IncarnationStatus> {
  const isAsked = !record.ended && record.entry.born !== undefined;
  const report = isAsked ? await readEngineReport(record, parts) : undefined;
  return statusByReport(record, report);
}

/** What a server's report, or none, shows of the incarnation that its record names. */
export function statusByReport(
  { ended, entry: { born } }: ServerRecord,
  report: EngineReport | undefined,
): IncarnationStatus {
  if (ended) return "later";
  if (born === undefined) return "same";
  if (report === undefined) return "not_told";
  return (report.born ?? born) === born ? "same" : "later";
}

/**
 * Frees the memory of a run, by a call to its source, which frees both copies. A call
 * without a clear answer is made once more: to other servers the handle may name the
 * memory of a run of their own. The copy of a source that is gone is freed where it is.
 */
export async function freeMemory(
  { attemptId, holders, handle }: RetainedRun,
  parts: EngineCallParts,
): Promise<void> {
  const { logger, metrics, engineControl } = parts;
  const isSourceGone =
    (await incarnationStatusOf(holders.from, parts)) === "later";
  const holder = isSourceGone ? holders.to : holders.from;
  const dropAt = async (record: ServerRecord) => {
    const { id, address, born } = record.entry;
    const status = await incarnationStatusOf(record, parts);
    if (status === "same" && !record.ended) {
      return engineControl.dropCopy(address, handle);
    }
    logger.info("memory not freed at its server", {
      request: attemptId,
      server: id,
      born,
    });
    return false;
  };
  const freed =
    holder !== undefined &&
    (await dropMemory({ from: holder, to: holder }, dropAt));
  const outcome = freed ? "freed" : "not_freed";
  metrics.event(`memory_${outcome}`);
  logger.info("memory dropped", { request: attemptId, outcome });
}
