// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Reports of engines, which advertise the same state of their servers as answers to
 * requests do.
 *
 * @module
 */
import type { ServerRecord } from "../choice/mod.ts";
import type { EngineControl, EngineReport } from "../model/engine_control.ts";
import type { AdvertisementReader } from "./server_advertisements.ts";

/**
 * Requests the report of the engine at a server's address; `undefined` if nothing
 * answers. Its advertised state is applied only if the report names the incarnation
 * of the record, since another process may listen at the address by now.
 */
export async function readEngineReport(
  record: ServerRecord,
  parts: {
    readonly engineControl: EngineControl;
    readonly advertisements: AdvertisementReader;
  },
): Promise<EngineReport | undefined> {
  const report = await parts.engineControl.report(record.entry.address);
  const namesIncarnation = report?.born !== undefined;
  if (namesIncarnation && record.matchesIncarnation(report.born)) {
    parts.advertisements.read(record, report.advertised, { isLate: true });
  }
  return report;
}
