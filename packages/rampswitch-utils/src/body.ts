// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Reads request and response bodies up to a size limit.
 *
 * @module
 */
import { Result } from "true-myth";
import type { Readable } from "node:stream";
import { CollectedBytes } from "./collected_bytes.ts";
import {
  type Allowance,
  MemoryBudget,
  UNLIMITED_ALLOWANCE,
} from "./memory_budget.ts";

/** Reason why a body could not be read: over a limit, or not complete. */
export type BodyError = "too_large" | "no_memory" | "cut_off";

/** What is known of a body before it is read, and the memory that it may take. */
export interface BodyOptions {
  /** Length that its head tells. */
  readonly announced?: number | undefined;
  readonly memory?: Allowance | undefined;
}

/** Copies of a body's bytes while they are moved to a larger buffer. */
const COPIES_WITHOUT_LENGTH = 2;

/** Most memory that is taken for a body of some size, in bytes. */
export function memoryOfBody(bytes: number): number {
  return COPIES_WITHOUT_LENGTH * bytes;
}

/** Memory for the answers that a client reads at once; one of the largest size fits. */
export function answerBudget(largestBytes: number): MemoryBudget {
  const budget = new MemoryBudget(0);
  budget.fit(memoryOfBody(largestBytes));
  return budget;
}

/**
 * Reads a complete text of at most `limit` bytes; one that is longer, or for which a
 * budget has no memory, is broken off.
 */
export async function readText(
  stream: Readable,
  limit: number,
  budget?: MemoryBudget,
): Promise<Result<string, BodyError>> {
  using memory = budget?.open() ?? UNLIMITED_ALLOWANCE;
  const body = await readBody(stream, limit, { memory });
  if (body.isErr) stream.destroy();
  return body.map((bytes) => bytes.toString("utf8"));
}

/** Reads a complete body of at most `limit` bytes. */
export function readBody(
  stream: Readable,
  limit: number,
  { announced, memory = UNLIMITED_ALLOWANCE }: BodyOptions = {},
): Promise<Result<Buffer, BodyError>> {
  if (announced !== undefined && announced > limit)
    return Promise.resolve(Result.err("too_large"));
  const copies = announced === undefined ? COPIES_WITHOUT_LENGTH : 1;
  return new Promise((resolve) => {
    const bytes = new CollectedBytes(announced);
    const refuse = (error: BodyError) => {
      stream.pause();
      bytes.clear();
      resolve(Result.err(error));
    };
    stream.on("data", (chunk: Buffer) => {
      if (bytes.length + chunk.length > limit) refuse("too_large");
      else if (!memory.take(chunk.length * copies)) refuse("no_memory");
      else bytes.push(chunk);
    });
    stream.on("end", () => resolve(Result.ok(bytes.toBuffer())));
    stream.on("error", () => resolve(Result.err("cut_off")));
    stream.on("close", () => resolve(Result.err("cut_off")));
  });
}
