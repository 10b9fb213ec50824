// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * How answers of backend servers mark their end, and why an end may prove nothing.
 *
 * @module
 */
import { isFramed } from "rampswitch-utils";
import { headerValue, type RawHeaders } from "../model/request.ts";

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
  server_started_again: "server started again after an answer without a length",
  within_event: "ended within an event",
  empty: "ended without a length before any of its content",
  time_limit: "ended without a length at the time limit",
  stopped: "ended without a length where a stop was requested",
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

/** How an answer marks its end, by its head. */
export function framingOf({
  method,
  status,
  rawHeaders,
}: {
  /** Method of the request that it answers. */
  readonly method: string;
  readonly status: number;
  readonly rawHeaders: RawHeaders;
}): AnswerFraming {
  const head = {
    method,
    status,
    transferEncoding: headerValue(rawHeaders, "transfer-encoding"),
    contentLength: headerValue(rawHeaders, "content-length"),
  };
  return isFramed(head) ? "framed" : "unframed";
}
