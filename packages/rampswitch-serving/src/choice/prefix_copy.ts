// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Which kept parts of a prompt an engine copies from another one before it reads
 * the rest. Pure.
 *
 * @module
 */
import type { EngineLimits } from "../model/configuration.ts";
import type { PromptPart } from "../model/request.ts";
import type { PrefixKnowledge } from "./prefix_cache_estimate.ts";
import type { ServerRecord } from "./server_record.ts";

/** Time to begin a copy of kept parts, in milliseconds; engines take 3 to 6. */
const COPY_SETUP_MILLISECONDS = 6;

/** A copy between data halls takes this many times as long. */
const FAR_COPY_FACTOR = 2;

/** What a copy depends on beside the engines themselves. */
export interface CopyInputs {
  readonly now: number;
  readonly engine: EngineLimits | undefined;
  readonly parts: readonly PromptPart[];
  /** Tokens that an engine reads in a millisecond. */
  readonly readingRate: number;
}

/** An engine that keeps a part of a prompt. */
export interface Keeper {
  readonly record: ServerRecord;
  readonly tokens: number;
}

/**
 * The engine that keeps most of a prompt, full and leaving ones included: its
 * memory can be copied while it lives.
 */
export function keeperOf(
  records: readonly ServerRecord[],
  prefixes: PrefixKnowledge,
  { engine, now, parts }: CopyInputs,
): Keeper | undefined {
  if (engine?.copyTokensPerMillisecond === undefined) return undefined;
  return records
    .filter((record) => !record.isEjected(now) && record.answersFor(now))
    .map((record) => ({
      record,
      tokens: prefixes.keptTokens(record.entry.id, parts.slice(0, -1)),
    }))
    .reduce<Keeper | undefined>(
      (most, next) => (next.tokens > (most?.tokens ?? 0) ? next : most),
      undefined,
    );
}

/** What copying a prompt's parts from their keeper takes and saves. */
export interface CopiedParts {
  readonly from: ServerRecord | undefined;
  readonly tokens: number;
  readonly milliseconds: number;
}

const NO_COPY: CopiedParts = { from: undefined, tokens: 0, milliseconds: 0 };

/** Copies what an engine lacks where that is faster than to read it. */
export function copiedParts(
  record: ServerRecord,
  keptTokens: number,
  inputs: CopyInputs & { readonly keeper: Keeper | undefined },
): CopiedParts {
  const { keeper, engine, readingRate } = inputs;
  const rate = engine?.copyTokensPerMillisecond;
  if (keeper === undefined || keeper.record === record || rate === undefined) {
    return NO_COPY;
  }
  const tokens = keeper.tokens - keptTokens;
  const far = keeper.record.entry.dataHall !== record.entry.dataHall;
  const milliseconds =
    COPY_SETUP_MILLISECONDS + (tokens / rate) * (far ? FAR_COPY_FACTOR : 1);
  return milliseconds < tokens / readingRate
    ? { from: keeper.record, tokens, milliseconds }
    : NO_COPY;
}
