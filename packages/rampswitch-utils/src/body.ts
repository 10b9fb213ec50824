// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Reads request and response bodies up to a size limit.
 *
 * @module
 */
import { Result } from "true-myth";
import type { Readable } from "node:stream";
import { CollectedBytes } from "./collected_bytes.ts";

/** Reason why a body could not be read: over the limit, or not complete. */
export type BodyError = "too_large" | "cut_off";

/** Reads a complete text of at most `limit` bytes; a longer one is broken off. */
export async function readText(
  stream: Readable,
  limit: number,
): Promise<Result<string, BodyError>> {
  const body = await readBody(stream, limit);
  if (body.isErr) stream.destroy();
  return body.map((bytes) => bytes.toString("utf8"));
}

/** Reads a complete body of at most `limit` bytes. */
export function readBody(
  stream: Readable,
  limit: number,
): Promise<Result<Buffer, BodyError>> {
  return new Promise((resolve) => {
    const bytes = new CollectedBytes();
    stream.on("data", (chunk: Buffer) => {
      if (bytes.length + chunk.length <= limit) bytes.push(chunk);
      else {
        stream.pause();
        resolve(Result.err("too_large"));
      }
    });
    stream.on("end", () => resolve(Result.ok(bytes.toBuffer())));
    stream.on("error", () => resolve(Result.err("cut_off")));
    stream.on("close", () => resolve(Result.err("cut_off")));
  });
}
