// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Statements of servers for tests that are about something else.
 *
 * @module
 */
import { SILENT_LOGGER } from "rampswitch-utils";
import type { ServerStatements } from "../model/request.ts";
import { ServingMetrics } from "../observation/mod.ts";
import { StatementReader } from "./server_advertisements.ts";

/** An answer that says nothing of its server. */
export const SAYS_NOTHING: ServerStatements = {
  limit: { kind: "nothing" },
  leaving: { kind: "nothing" },
  rest: { kind: "nothing" },
};

/** A reader that nobody listens to. */
export function silentStatements(): StatementReader {
  const passedOver = { holdsLate: false, take: () => undefined };
  return new StatementReader({
    logger: SILENT_LOGGER,
    metrics: new ServingMetrics(),
    handlers: { limit: passedOver, leaving: passedOver, rest: passedOver },
  });
}
