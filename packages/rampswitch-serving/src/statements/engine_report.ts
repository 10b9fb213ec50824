// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Engines' own reports, which say of their servers what answers to requests do.
 *
 * @module
 */
import type { ServerRecord } from "../choice/mod.ts";
import type { EngineControl, EngineReport } from "../model/engine_control.ts";
import type { StatementReader } from "./server_advertisements.ts";

/**
 * The report of whoever answers at a server's address, if anybody does; what it says
 * of itself is taken in where it is this life of the server.
 */
export async function toldReport(
  record: ServerRecord,
  parts: {
    readonly engineControl: EngineControl;
    readonly statements: StatementReader;
  },
): Promise<EngineReport | undefined> {
  const report = await parts.engineControl.report(record.entry.address);
  const tellsLife = report?.born !== undefined;
  if (tellsLife && record.isLife(report.born)) {
    parts.statements.read(record, report.says, { isLate: true });
  }
  return report;
}
