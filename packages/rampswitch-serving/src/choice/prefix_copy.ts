// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Plans which cached parts of a prompt an engine copies from another engine before the
 * prefill of the remaining parts. Pure.
 *
 * @module
 */
import type { EngineLimits } from "../model/configuration.ts";
import type { PromptPart } from "../model/request.ts";
import type { PrefixCacheEstimate } from "./prefix_cache_estimate.ts";
import type { ServerRecord } from "./server_record.ts";

/** Time to start a copy of cached parts, in milliseconds; engines take 3 to 6. */
const COPY_SETUP_MILLISECONDS = 6;

/** Factor by which a copy between data halls takes longer. */
const OTHER_DATA_HALL_COPY_FACTOR = 2;

/** Inputs of a copy beside the engines. */
export interface CopyInputs {
  /** Milliseconds on the monotonic clock. */
  readonly now: number;
  readonly engine: EngineLimits | undefined;
  readonly parts: readonly PromptPart[];
  /** Prefill rate of an engine, in tokens per millisecond. */
  readonly readingRate: number;
}

/** An engine that has a part of a prompt cached. */
export interface CopySource {
  readonly record: ServerRecord;
  /** Cached tokens from the start of the prompt. */
  readonly tokens: number;
}

/**
 * Finds the engine with most of a prompt cached; `undefined` if engines can't copy.
 * Full and leaving engines count too, since their KV-cache memory can be copied until
 * their process ends.
 */
export function findCopySource(
  records: readonly ServerRecord[],
  prefixes: PrefixCacheEstimate,
  { engine, now, parts }: CopyInputs,
): CopySource | undefined {
  if (engine?.copyTokensPerMillisecond === undefined) return undefined;
  const shared = parts.slice(0, -1);
  let best: ServerRecord | undefined;
  let most = 0;
  for (const record of records) {
    const tokens = prefixes.cachedTokens(record.entry.id, shared);
    if (tokens <= most) continue;
    if (record.isEjected(now) || !record.isReachable(now)) continue;
    best = record;
    most = tokens;
  }
  return best === undefined ? undefined : { record: best, tokens: most };
}

/** The source, size and duration of a copy. */
export interface CopyPlan {
  readonly from: ServerRecord | undefined;
  readonly tokens: number;
  readonly milliseconds: number;
}

const NO_COPY: CopyPlan = { from: undefined, tokens: 0, milliseconds: 0 };

/** Plans a copy of the parts that an engine lacks if that is faster than prefill. */
export function planCopy(
  record: ServerRecord,
  cachedTokens: number,
  inputs: CopyInputs & { readonly copySource: CopySource | undefined },
): CopyPlan {
  const { copySource, engine, readingRate } = inputs;
  const rate = engine?.copyTokensPerMillisecond;
  if (
    copySource === undefined ||
    copySource.record === record ||
    rate === undefined
  ) {
    return NO_COPY;
  }
  const tokens = copySource.tokens - cachedTokens;
  if (tokens <= 0) return NO_COPY;
  const isOtherDataHall =
    copySource.record.entry.dataHall !== record.entry.dataHall;
  const milliseconds =
    COPY_SETUP_MILLISECONDS +
    (tokens / rate) * (isOtherDataHall ? OTHER_DATA_HALL_COPY_FACTOR : 1);
  return milliseconds < tokens / readingRate
    ? { from: copySource.record, tokens, milliseconds }
    : NO_COPY;
}
