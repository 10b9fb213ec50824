// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * One attempt of a chat request at one engine: sends the request, or resumes the
 * stream of a running attempt, and delivers the tokens in order.
 *
 * @module
 */
import { failed, inDoubt, type Outcome, refused } from "rampswitch-types";
import type { BackendServer } from "rampswitch-types";
import type { Metrics } from "rampswitch-utils";
import type { BackendClient, BackendReply } from "./backend_client.ts";
import { readEngineEvent } from "../intake/chat_request.ts";
import { EventStreamParser } from "./event_stream.ts";

/** An attempt to send or to resume. */
export interface EngineAttempt {
  readonly server: BackendServer;
  readonly attempt: string;
  readonly requestId: string;
  readonly priority: number;
  readonly timeoutMilliseconds: number;
  /** Index of the first token to deliver. */
  readonly firstToken: number;
  /** Body to send; `undefined` to resume the stream of a running attempt. */
  readonly body: Buffer | undefined;
  readonly signal: AbortSignal;
}

/** Callbacks of an attempt while it runs. */
export interface AttemptListener {
  /** Receives tokens in order; resolves once they are processed. */
  tokens(first: number, texts: readonly string[]): Promise<void>;
  /** The engine advertised that it is leaving. */
  leaving(): void;
}

const REFUSAL_STATUS = 503;

/** Runs an attempt to its outcome. */
export async function runEngineAttempt(
  client: BackendClient,
  attempt: EngineAttempt,
  options: {
    readonly listener: AttemptListener;
    readonly metrics: Metrics;
  },
): Promise<Outcome> {
  const reply = await client.call(attempt.server.address, {
    method: attempt.body === undefined ? "GET" : "POST",
    path:
      attempt.body === undefined
        ? `/v1/attempts/${encodeURIComponent(attempt.attempt)}/events` +
          `?after=${attempt.firstToken - 1}`
        : "/v1/chat/completions",
    headers: {
      "content-type": "application/json",
      "x-attempt-id": attempt.attempt,
      "x-request-id": attempt.requestId,
      "x-priority": String(attempt.priority),
      "x-deadline-milliseconds": String(attempt.timeoutMilliseconds),
    },
    body: attempt.body,
    timeoutMilliseconds: attempt.timeoutMilliseconds,
    signal: attempt.signal,
  });
  if (reply.isErr) return reply.error;
  if (reply.value.headers["x-leaving"] === "true") options.listener.leaving();
  return reply.value.statusCode === 200
    ? await readTokens(reply.value, attempt, options)
    : await statusOutcome(reply.value, attempt);
}

async function statusOutcome(
  reply: BackendReply,
  { server }: EngineAttempt,
): Promise<Outcome> {
  await reply.body.dump().catch(() => undefined);
  const reportsNotRun =
    reply.headers["x-not-run"] === "true" && server.contract.tellsNotRun;
  const detail = `backend server ${server.name}: status ${reply.statusCode}`;
  return reportsNotRun && reply.statusCode === REFUSAL_STATUS
    ? refused("backend_refused", detail)
    : failed("backend_error", detail);
}

async function readTokens(
  reply: BackendReply,
  attempt: EngineAttempt,
  options: {
    readonly listener: AttemptListener;
    readonly metrics: Metrics;
  },
): Promise<Outcome> {
  const { server } = attempt;
  const parser = new EventStreamParser();
  const decoder = new TextDecoder();
  const malformed = failed(
    "backend_nonsense",
    `backend server ${server.name}: bytes that are not its protocol`,
  );
  let next = attempt.firstToken;
  try {
    for await (const chunk of reply.body) {
      // The engine may end the stream because it was told to stop.
      if (attempt.signal.aborted) return lostOutcome(server);
      const events = parser.push(
        decoder.decode(chunk as Uint8Array, { stream: true }),
      );
      if (events === undefined) return malformed;
      const read = events.map(({ id, data }) => readEngineEvent(id, data));
      const tokens = read.flatMap((event) =>
        event.kind === "token" && event.index >= next ? [event] : [],
      );
      const ordered = tokens.every(({ index }, at) => index === next + at);
      if (!ordered || read.some(({ kind }) => kind === "nonsense")) {
        return malformed;
      }
      const repeated =
        read.filter(({ kind }) => kind === "token").length - tokens.length;
      if (repeated > 0) {
        options.metrics.count("drop", "duplicate_event", repeated);
      }
      if (tokens.length > 0) {
        await options.listener.tokens(
          next,
          tokens.map(({ text }) => text),
        );
        next += tokens.length;
      }
      if (read.some(({ kind }) => kind === "done")) {
        return { kind: "completed" };
      }
    }
  } catch {
    return lostOutcome(server);
  }
  return next === attempt.firstToken && !attempt.signal.aborted
    ? malformed
    : lostOutcome(server);
}

function lostOutcome(server: BackendServer): Outcome {
  return inDoubt(
    "backend_lost",
    `backend server ${server.name}: connection ended before the answer did`,
  );
}
