// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Headers of forwarded requests between two hosts. The rest of the message is the
 * request as the backend server gets it, and the answer as the server gave it.
 *
 * @module
 */
import { HOP_BY_HOP_HEADERS } from "rampswitch-utils";
import type { RawHeaders } from "../model/request.ts";

/** Names of the headers of one hop, in lower case. */
export const FORWARDING_HEADERS = {
  /** Id of the backend server that the request is for. */
  server: "x-forwarding-server",
  /** IP address and port of that server. */
  address: "x-forwarding-address",
  /** Start of that server's incarnation as the host that forwards knows it, if it does. */
  born: "x-forwarding-born",
  /**
   * Takes the place of `server` where that server is to be asked first which incarnation
   * it is. A host of a program that doesn't ask knows no such server.
   */
  confirmedServer: "x-forwarding-confirmed-server",
  /** Id of the caller's attempt. */
  request: "x-forwarding-request",
  /** Name of the host that forwards its request. */
  host: "x-forwarding-host",
  /**
   * Announces, in a message without a request, that the host orders the stop of the run
   * of this attempt itself; `server` names where it runs.
   */
  ownStop: "x-forwarding-own-stop",
  /** What became of the request; one of {@link ForwardingOutcome}. */
  outcome: "x-forwarding-outcome",
  /** Whether the server's answer has neither a length nor chunks: `unframed`. */
  framing: "x-forwarding-framing",
} as const;

/** What became of a forwarded request. */
export type ForwardingOutcome =
  /** The message is the server's answer. */
  | "answered"
  /** No byte of the request was sent to the server; the body has the reason. */
  | "not_sent";

/** Why a forwarded request is not sent. */
export type NotSentReason =
  | "unknown_host"
  | "unknown_server"
  | "unconfirmed_server"
  | "stopping"
  | "busy"
  | "body_too_large"
  | "out_of_reach";

const DROPPED_HEADERS: ReadonlySet<string> = new Set([
  ...HOP_BY_HOP_HEADERS,
  ...Object.values(FORWARDING_HEADERS),
]);

/** Returns the headers without those that concern one hop only. */
export function withoutHopHeaders(
  headers: RawHeaders,
  alsoDropped: readonly string[] = [],
): RawHeaders {
  return headers.filter((_, index) => {
    const name = (headers[index - (index % 2)] ?? "").toLowerCase();
    return !DROPPED_HEADERS.has(name) && !alsoDropped.includes(name);
  });
}
