// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Encoding of the object in the store that tells which versions began the streams of one
 * host.
 *
 * @module
 */
import type { Result } from "true-myth";
import { decodeJson, listOf, recordOf } from "rampswitch-validation";
import * as z from "zod";
import type { StreamRecord } from "./stream_reply.ts";

const MILLISECONDS_PER_SECOND = 1_000;

const STREAMS_SCHEMA = z.object({
  groups: listOf(
    z.object({
      service: z.string(),
      /** Absent if it can't be told which version began these streams. */
      version: z.string().optional(),
      /** Id of the server that began them; absent if it is not known. */
      server: z.string().optional(),
      /** Start of that server, where an entry is to tell the version. */
      start: z.number().optional(),
      /** Time in which each stream may be taken up, in seconds, by its attempt. */
      lifetimeSeconds: recordOf(z.number().nonnegative()),
    }),
  ),
});

/** Encodes streams, those of one version, server and start together. */
export function encodeStreams(records: readonly StreamRecord[]): string {
  const groups = groupsOf(records).map((group) => {
    const [{ service, version, serverId, start }] = group;
    const lifetimeSeconds = lifetimesOf(group);
    return { service, version, server: serverId, start, lifetimeSeconds };
  });
  return JSON.stringify({ groups });
}

/** Streams of one version, server and start; at least one. */
type StreamGroup = [StreamRecord, ...StreamRecord[]];

/** Groups streams in one pass. */
function groupsOf(records: readonly StreamRecord[]): readonly StreamGroup[] {
  const groups = new Map<string, StreamGroup>();
  records.forEach((record) => {
    const { service, version, serverId, start } = record;
    const name = JSON.stringify([service, version, serverId, start]);
    const group = groups.get(name);
    if (group === undefined) groups.set(name, [record]);
    else group.push(record);
  });
  return [...groups.values()];
}

/** Time in which each stream may be taken up, in whole seconds, by its attempt. */
function lifetimesOf(
  records: readonly StreamRecord[],
): Readonly<Record<string, number>> {
  return Object.fromEntries(
    records.map(({ attempt, lifetimeMilliseconds }) => [
      attempt,
      Math.ceil(lifetimeMilliseconds / MILLISECONDS_PER_SECOND),
    ]),
  );
}

/** Decodes streams; an error states what can't be read. */
export function decodeStreams(
  value: string,
): Result<readonly StreamRecord[], string> {
  return decodeJson(STREAMS_SCHEMA, value, "streams").map(({ groups }) =>
    groups.flatMap(({ service, version, server, start, lifetimeSeconds }) =>
      Object.entries(lifetimeSeconds).map(([attempt, seconds]) => ({
        service,
        attempt,
        version,
        serverId: server,
        start,
        lifetimeMilliseconds: seconds * MILLISECONDS_PER_SECOND,
      })),
    ),
  );
}
