// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Identifies incarnations of servers in log lines: a server may restart under the
 * same id.
 *
 * @module
 */
import type { ServerRecord } from "../choice/mod.ts";
import type { ServerIncarnation } from "../model/backend_server.ts";

/** The incarnation that a server's entry shows now. */
export function incarnationOf({ entry }: ServerRecord): ServerIncarnation {
  const { id, born }: ServerIncarnation = entry;
  return { id, born };
}

/** Start times of incarnations, separated by commas; `undefined` if none is known. */
export function startTimesOf(
  incarnations: readonly ServerIncarnation[],
): string | undefined {
  return incarnations.some(({ born }) => born !== undefined)
    ? incarnations.map(({ born }) => born ?? "").join(",")
    : undefined;
}
