// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Slowdowns of backend servers that hosts learned from their answers, as they report
 * them to each other. Figures that servers report are not among them: they change faster
 * than messages pass through relays.
 *
 * @module
 */
import type { LearnedSlowdown, SlowdownSource } from "../estimates/mod.ts";
import type { ServerIncarnation } from "../model/backend_server.ts";
import type { ServerDirectory } from "./server_directory.ts";
import type { ServerRecord } from "./server_record.ts";

/** Slowdown of one incarnation of a server, in a message to another host. */
export interface SlowdownUpdate extends ServerIncarnation, LearnedSlowdown {}

/** Maximum servers in one message, the greatest deviations from 1 first. */
const MAXIMUM_UPDATES_PER_MESSAGE = 32;

/** Returns what this host learned from its own answers. */
export function ownSlowdowns(
  servers: readonly ServerRecord[],
  now: number,
): readonly SlowdownUpdate[] {
  return updatesOf(servers, now, ({ speed }) => {
    const slowdown = speed.ownLearned(now);
    return slowdown === undefined ? undefined : { slowdown, hosts: 1 };
  });
}

/** Returns the medians of what this host and its peers learned. */
export function slowdownsByAll(
  servers: readonly ServerRecord[],
  now: number,
): readonly SlowdownUpdate[] {
  return updatesOf(servers, now, ({ speed }) => speed.learnedByAll(now));
}

/** Applies slowdowns that another host reports of known incarnations. */
export function receiveSlowdowns(
  updates: readonly SlowdownUpdate[],
  now: number,
  {
    directory,
    source,
  }: {
    readonly directory: Pick<ServerDirectory, "get">;
    readonly source: SlowdownSource;
  },
): void {
  updates.slice(0, MAXIMUM_UPDATES_PER_MESSAGE).forEach((update) => {
    const record = directory.get(update.id);
    if (record?.matchesIncarnation(update.born) !== true) return;
    record.speed.received(update, now, source);
  });
}

/** Returns the highest slowdown of all servers; at least 1. */
export function maximumSlowdown(
  servers: readonly ServerRecord[],
  now: number,
): number {
  let maximum = 1;
  for (const { speed } of servers) {
    if (speed.isActive(now)) maximum = Math.max(maximum, speed.slowdown(now));
  }
  return maximum;
}

function updatesOf(
  servers: readonly ServerRecord[],
  now: number,
  learned: (record: ServerRecord) => LearnedSlowdown | undefined,
): readonly SlowdownUpdate[] {
  const updates: SlowdownUpdate[] = [];
  // There may be thousands of servers, and little is known of most of them.
  for (const record of servers) {
    if (!record.speed.isActive(now)) continue;
    const value = learned(record);
    const { id, born } = record.entry;
    if (value !== undefined) updates.push({ id, born, ...value });
  }
  return updates.length <= MAXIMUM_UPDATES_PER_MESSAGE
    ? updates
    : updates
        .toSorted((left, right) => deviation(right) - deviation(left))
        .slice(0, MAXIMUM_UPDATES_PER_MESSAGE);
}

function deviation({ slowdown }: LearnedSlowdown): number {
  return Math.abs(Math.log(slowdown));
}
