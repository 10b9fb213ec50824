// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Work of all hosts but one, from the work of all and that of the one.
 *
 * @module
 */
import type { ReportedWork } from "./server_record.ts";

type ReportedWorkByServer = Readonly<Record<string, ReportedWork>>;

/** Subtracts one host's work, of the same incarnations, from that of all hosts. */
export function workWithout(
  all: ReportedWorkByServer,
  own: ReportedWorkByServer,
): ReportedWorkByServer {
  const others = { ...all };
  for (const [
    server,
    { running, pendingPrefillTokens, born },
  ] of Object.entries(own)) {
    const total = all[server];
    if (total === undefined || total.born !== born) continue;
    if (total.running <= running) Reflect.deleteProperty(others, server);
    else {
      others[server] = {
        running: total.running - running,
        pendingPrefillTokens: Math.max(
          0,
          total.pendingPrefillTokens - pendingPrefillTokens,
        ),
        born,
      };
    }
  }
  return others;
}
