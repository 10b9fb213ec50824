// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Answers: storage, writing to callers, and counters of outcomes.
 *
 * @module
 */
export * from "./answer_cache.ts";
export * from "./answer_writer.ts";
export * from "./retained_requests.ts";
export * from "./outcome_count.ts";
