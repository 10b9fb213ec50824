// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Reading request and response bodies up to a size limit.
 *
 * @module
 */
import { Result } from "true-myth";
import type { Readable } from "node:stream";

/** Reason why a body could not be read: over the limit, or not complete. */
export type BodyError = "too_large" | "cut_off";

/** Reads a complete body of at most `limit` bytes. */
export function readBody(
  stream: Readable,
  limit: number,
): Promise<Result<Buffer, BodyError>> {
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let size = 0;
    stream.on("data", (chunk: Buffer) => {
      size += chunk.length;
      if (size <= limit) chunks.push(chunk);
      else {
        stream.pause();
        resolve(Result.err("too_large"));
      }
    });
    stream.on("end", () => resolve(Result.ok(Buffer.concat(chunks))));
    stream.on("error", () => resolve(Result.err("cut_off")));
    stream.on("close", () => resolve(Result.err("cut_off")));
  });
}

/** Parses JSON; the error is the parser's message. */
export function parseJson(text: string): Result<unknown, string> {
  try {
    return Result.ok(JSON.parse(text) as unknown);
  } catch (error) {
    return Result.err(error instanceof Error ? error.message : String(error));
  }
}
