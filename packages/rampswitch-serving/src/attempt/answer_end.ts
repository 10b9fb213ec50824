// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * How answers of backend servers mark their end, and why an end may prove nothing.
 *
 * @module
 */

/** How an answer marks its end. */
export type AnswerFraming =
  /** By a length or by chunks. */
  | "framed"
  /** By the end of its connection alone, so that a part of it looks the same. */
  | "unframed";

/**
 * Why the end of an answer without a length or chunks does not show that the answer
 * is complete, and the text of each reason in log lines.
 */
export const END_DOUBTS = {
  reset: "reset within an answer without a length",
  server_gone: "server gone after an answer without a length",
  within_event: "ended within an event",
} as const;

/** A reason of {@link END_DOUBTS}. */
export type EndDoubt = keyof typeof END_DOUBTS;

const DOUBTS_BY_TEXT: ReadonlyMap<string, EndDoubt> = new Map(
  Object.entries(END_DOUBTS).map(([doubt, text]) => [text, doubt as EndDoubt]),
);

/** The reason that a text of {@link END_DOUBTS} stands for, if it is one. */
export function endDoubtOf(text: string): EndDoubt | undefined {
  return DOUBTS_BY_TEXT.get(text);
}
