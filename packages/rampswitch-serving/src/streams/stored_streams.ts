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
      /** Time in which each stream may be taken up, in seconds, by its attempt. */
      lifetimeSeconds: recordOf(z.number().nonnegative()),
    }),
  ),
});

/** Encodes streams, those of one version and server together. */
export function encodeStreams(records: readonly StreamRecord[]): string {
  const groups = [...groupsBy(records, ({ service }) => service)].flatMap(
    ([service, streams]) =>
      [...groupsBy(streams, ({ version }) => version)].flatMap(
        ([version, ofVersion]) =>
          [...groupsBy(ofVersion, ({ serverId }) => serverId)].map(
            ([server, begun]) => ({
              service,
              version,
              server,
              lifetimeSeconds: lifetimesOf(begun),
            }),
          ),
      ),
  );
  return JSON.stringify({ groups });
}

/** Groups streams by a property, in one pass. */
function groupsBy<Property>(
  records: readonly StreamRecord[],
  propertyOf: (record: StreamRecord) => Property,
): ReadonlyMap<Property, readonly StreamRecord[]> {
  const groups = new Map<Property, StreamRecord[]>();
  records.forEach((record) => {
    const property = propertyOf(record);
    const group = groups.get(property);
    if (group === undefined) groups.set(property, [record]);
    else group.push(record);
  });
  return groups;
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
    groups.flatMap(({ service, version, server, lifetimeSeconds }) =>
      Object.entries(lifetimeSeconds).map(([attempt, seconds]) => ({
        service,
        attempt,
        version,
        serverId: server,
        lifetimeMilliseconds: seconds * MILLISECONDS_PER_SECOND,
      })),
    ),
  );
}
