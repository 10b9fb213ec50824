// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Which answers of servers can't be used, and which are successes.
 *
 * @module
 */
import { isFinalStatus } from "rampswitch-utils";
import type { AnswerHead } from "../model/request.ts";
import type { AdmittedRequest } from "./admitted_request.ts";
import { type Frames, isAfter } from "./event_framer.ts";

const FIRST_SERVER_ERROR_STATUS = 500;

/**
 * Why an answer is unusable; `undefined` if it is usable. An answer that does not name
 * the request's attempt may be a late answer to another one. If such an answer were a
 * rejection and were accepted, the request would be sent again while its server still
 * runs it.
 */
export function unusableReason(
  { status, attemptId, encoded }: AnswerHead,
  { head }: AdmittedRequest,
): string | undefined {
  if (!isFinalStatus(status)) return `invalid status ${status}`;
  if (encoded) return "encoded";
  if (attemptId === head.attemptId) return undefined;
  return attemptId === undefined ? "no attempt id" : "crossed";
}

/** Why events of a stream are unusable; `undefined` if they are usable. */
export function unusableFrames(
  frames: Frames,
  lastRelayedId: string | undefined,
): string | undefined {
  if (frames.isOverfull) return "event exceeds the buffer limit";
  if (!frames.hasUsableIds) return "event id is no header text";
  // If a server restarts the stream, a caller who already has a part of it must not
  // get the events again.
  const isInOrder = isAfter(frames.firstId, lastRelayedId);
  return isInOrder ? undefined : "event id out of order";
}

/** Whether a status tells that a server failed. */
export function isServerError(status: number): boolean {
  return status >= FIRST_SERVER_ERROR_STATUS;
}

/** Whether a status tells that a server did what it was asked. */
export function isSuccess(status: number): boolean {
  return status >= 200 && status < 300;
}
