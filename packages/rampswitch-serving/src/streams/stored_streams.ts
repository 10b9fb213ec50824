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

const STREAMS_SCHEMA = z.object({
  groups: listOf(
    z.object({
      service: z.string(),
      /** Absent if it can't be told which version began these streams. */
      version: z.string().optional(),
      /** Time in which each stream may be taken up, in seconds, by its attempt. */
      lifetimeSeconds: recordOf(z.number().nonnegative()),
    }),
  ),
});

/** Encodes streams, those of one version together. */
export function encodeStreams(records: readonly StreamRecord[]): string {
  const groups = [...new Set(records.map(groupOf))].map((group) =>
    records.filter((record) => groupOf(record) === group),
  );
  return JSON.stringify({
    groups: groups.map((streams) => ({
      service: streams[0]?.service,
      version: streams[0]?.version,
      lifetimeSeconds: Object.fromEntries(
        streams.map(({ attempt, lifetimeMilliseconds }) => [
          attempt,
          Math.ceil(lifetimeMilliseconds / 1_000),
        ]),
      ),
    })),
  });
}

/** Names the streams that are encoded together. */
function groupOf({ service, version }: StreamRecord): string {
  return JSON.stringify([service, version]);
}

/** Decodes streams; an error states what can't be read. */
export function decodeStreams(
  value: string,
): Result<readonly StreamRecord[], string> {
  return decodeJson(STREAMS_SCHEMA, value, "streams").map(({ groups }) =>
    groups.flatMap(({ service, version, lifetimeSeconds }) =>
      Object.entries(lifetimeSeconds).map(([attempt, seconds]) => ({
        service,
        attempt,
        version,
        lifetimeMilliseconds: seconds * 1_000,
      })),
    ),
  );
}
