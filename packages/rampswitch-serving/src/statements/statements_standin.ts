// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Advertised state of servers for tests that do not depend on it.
 *
 * @module
 */
import { SILENT_LOGGER } from "rampswitch-utils";
import type { ServerStatements } from "../model/request.ts";
import { ServingMetrics } from "../observation/mod.ts";
import { StatementReader } from "./server_advertisements.ts";

/** The state of an answer that advertises nothing. */
export const SAYS_NOTHING: ServerStatements = {
  limit: { kind: "nothing" },
  leaving: { kind: "nothing" },
  rest: { kind: "nothing" },
};

/** Creates a reader whose handlers ignore all advertisements. */
export function silentStatements(): StatementReader {
  const ignored = { holdsLate: false, take: () => undefined };
  return new StatementReader({
    logger: SILENT_LOGGER,
    metrics: new ServingMetrics(),
    handlers: { limit: ignored, leaving: ignored, rest: ignored },
  });
}
