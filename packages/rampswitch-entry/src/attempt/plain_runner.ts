// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Calls of plain services. The answer to a call without an idempotency key is
 * streamed to the caller, which can't request it again. The answer to a call
 * with a key is retained as events.
 *
 * @module
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import { type Route, type RoutingTable } from "rampswitch-policy";
import {
  type BackendServer,
  type CallRule,
  failed,
  inDoubt,
  type Outcome,
  refused,
  type Service,
} from "rampswitch-types";
import {
  type Clock,
  type Logger,
  type Metrics,
  runInBackground,
} from "rampswitch-utils";
import type { Answer } from "../outcome/answer_cache.ts";
import type { BackendClient, BackendReply } from "./backend_client.ts";
import type { BackendDirectory } from "../choice/backend_directory.ts";
import {
  type ForwardedHeaders,
  forwardAnswer,
  forwardedHeaders,
} from "./http_forward.ts";
import { countOutcome } from "../outcome/outcome_count.ts";
import type { ProblemOutcome } from "../intake/problem.ts";
import type { RequestReplication } from "../replication/request_replication.ts";
import type { RetryDecider } from "../admission/retry_decider.ts";

/** A call of a plain service. */
export interface PlainCall {
  readonly service: Service;
  readonly route: Route;
  readonly requestId: string;
  readonly method: string;
  /** Path and query after the service's name. */
  readonly path: string;
  readonly headers: ForwardedHeaders;
  /** The body, or the caller's request if it is large or of unknown size. */
  readonly body: Buffer | IncomingMessage | undefined;
  readonly repeatable: boolean;
  /** In milliseconds since the epoch. */
  readonly deadline: number;
}

/** Services that a runner uses. */
export interface PlainRunnerOptions {
  readonly directory: BackendDirectory;
  readonly client: BackendClient;
  readonly replication: RequestReplication;
  readonly routing: () => RoutingTable;
  readonly retries: RetryDecider;
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly logger: Logger;
}

const NO_SERVER_RETRY_MILLISECONDS = 1_000;
const ASSUMED_TOKENS = 1;
const MAXIMUM_ATTEMPTS = 16;
const REFUSAL_STATUS = 503;
const MINIMUM_ERROR_STATUS = 500;
const MAXIMUM_PART_BYTES = 48 * 1024;

/** Whether a call of a plain service may run twice. */
export function plainRepeatable(
  rules: readonly CallRule[],
  call: { readonly method: string; readonly path: string },
): boolean {
  return (
    rules.find(
      ({ methods, pathPrefix }) =>
        (methods === undefined || methods.includes(call.method)) &&
        (pathPrefix === undefined || call.path.startsWith(pathPrefix)),
    )?.repeatable ?? false
  );
}

interface AttemptResult {
  readonly server: BackendServer;
  readonly reply: BackendReply | undefined;
  readonly outcome: ProblemOutcome | undefined;
}

/** Runs calls of plain services on one host. */
export class PlainRunner {
  readonly #options: PlainRunnerOptions;
  #running = 0;
  #detached = false;

  constructor(options: PlainRunnerOptions) {
    this.#options = options;
  }

  /** Number of calls in progress. */
  get running(): number {
    return this.#running;
  }

  /** Detaches all calls when the host ends; see the chat runner. */
  detach(): void {
    this.#detached = true;
  }

  /** Runs a call and streams its answer to the caller. */
  async runStreamed(
    call: PlainCall,
    response: ServerResponse,
  ): Promise<ProblemOutcome | undefined> {
    this.#running += 1;
    try {
      const end = await this.#runAttempts(call);
      const { reply, server, outcome } = end;
      if (reply === undefined || server === undefined) return outcome;
      const whole = await forwardAnswer(reply, response, {
        "x-request-id": call.requestId,
      });
      this.#ended(server, reply.statusCode >= MINIMUM_ERROR_STATUS || !whole);
      this.#options.metrics.count("outcome", whole ? "completed" : "cut");
      return undefined;
    } finally {
      this.#running -= 1;
    }
  }

  /** Starts a call whose answer is retained. */
  startRetained(call: PlainCall, answer: Answer): void {
    const { logger } = this.#options;
    runInBackground("plain call", { logger }, () =>
      this.runRetained(call, answer),
    );
  }

  /** Runs a call and retains its answer: the head, then the body in parts. */
  async runRetained(call: PlainCall, answer: Answer): Promise<void> {
    this.#running += 1;
    const outcome = await this.#retainAnswer(call, answer);
    this.#running -= 1;
    if (this.#detached) return;
    countOutcome(this.#options.metrics, outcome);
    this.#options.replication.ended(answer, outcome);
    answer.end(outcome);
  }

  async #retainAnswer(call: PlainCall, answer: Answer): Promise<Outcome> {
    const { replication } = this.#options;
    const { reply, server, outcome } = await this.#runAttempts(call);
    if (reply === undefined || server === undefined) {
      return outcome ?? failed("backend_error", "no answer");
    }
    const head = JSON.stringify({
      status: reply.statusCode,
      headers: forwardedHeaders(reply.headers, { drop: ["content-length"] }),
    });
    await replication.progressed(answer, 0, [head]);
    const isWhole = await this.#retainBody(reply, answer);
    if (answer.isOverfull) return this.#endOverfull(server);
    if (!isWhole) {
      this.#ended(server, true);
      return failed("backend_lost", `backend server ${server.name}: cut off`);
    }
    this.#ended(server, reply.statusCode >= MINIMUM_ERROR_STATUS);
    return { kind: "completed" };
  }

  /** Ends a call whose answer takes more memory than there is for answers. */
  #endOverfull(server: BackendServer): Outcome {
    this.#ended(server, true);
    const detail = `backend server ${server.name}: no memory for its answer`;
    return failed("answer_too_large", detail);
  }

  /** Retains the body of an answer in parts; resolves to whether it is whole. */
  async #retainBody(reply: BackendReply, answer: Answer): Promise<boolean> {
    const { replication } = this.#options;
    try {
      for await (const chunk of reply.body) {
        const parts = encodeParts(chunk as Buffer);
        await replication.progressed(answer, answer.events.length, parts);
        if (answer.isOverfull) return false;
      }
    } catch {
      return false;
    }
    return reply.isWhole();
  }

  async #runAttempts(call: PlainCall): Promise<Partial<AttemptResult>> {
    const { clock, retries } = this.#options;
    const avoid = new Set<string>();
    let mayHaveRun = false;
    let last: ProblemOutcome | undefined;
    retries.recordFirstAttempt(call.service.name);
    for (let attempts = 1; attempts <= MAXIMUM_ATTEMPTS; attempts += 1) {
      const remaining = call.deadline - clock.now();
      const end =
        remaining <= 0
          ? deadlineEnd(mayHaveRun)
          : await this.#attempt(call, avoid, { attempts, remaining });
      const { outcome, server } = end;
      if (outcome === undefined) return end;
      const mayHaveRunBefore = mayHaveRun;
      if (outcome.kind !== "refused_not_run") mayHaveRun = true;
      const latest = server === undefined ? (last ?? outcome) : outcome;
      const final: Partial<AttemptResult> = {
        outcome:
          mayHaveRun && latest.kind === "refused_not_run"
            ? inDoubt("backend_lost", latest.detail)
            : latest,
      };
      last = outcome;
      const isLast = server === undefined || isBodyConsumed(call);
      if (isLast || !retries.isRetryable(outcome.reason)) return final;
      avoid.add(server.name);
      const again = await retries.waitForRetry(call.service.name, {
        outcome,
        mayHaveRunBefore,
        repeatable: call.repeatable,
        attemptsWithoutProgress: attempts,
        remainingMilliseconds: remaining,
      });
      if (!again) return final;
    }
    return { outcome: inDoubt("backend_lost", "too many attempts were lost") };
  }

  async #attempt(
    call: PlainCall,
    avoid: ReadonlySet<string>,
    options: { readonly attempts: number; readonly remaining: number },
  ): Promise<Partial<AttemptResult>> {
    const { directory, client } = this.#options;
    const server = this.#choose(call, avoid);
    if (server === undefined) {
      return {
        outcome: refused(
          "no_backend_server",
          `service ${call.service.name}: no backend server takes new work`,
          { retryAfterMilliseconds: NO_SERVER_RETRY_MILLISECONDS },
        ),
      };
    }
    directory.recordSent(server, { blocks: [], promptTokens: ASSUMED_TOKENS });
    const timeoutMilliseconds = Math.min(
      options.remaining,
      call.service.timeoutMilliseconds,
    );
    const reply = await client.call(server.address, {
      method: call.method,
      path: call.path,
      headers: {
        ...call.headers,
        "x-request-id": call.requestId,
        "x-attempt-id": `${call.requestId}.${options.attempts}`,
        "x-deadline-milliseconds": String(Math.round(timeoutMilliseconds)),
      },
      body: call.body,
      timeoutMilliseconds,
    });
    if (reply.isErr) {
      this.#ended(server, true);
      return { server, outcome: reply.error };
    }
    return await this.#evaluateReply(server, reply.value);
  }

  async #evaluateReply(
    server: BackendServer,
    reply: BackendReply,
  ): Promise<Partial<AttemptResult>> {
    if (reply.headers["x-leaving"] === "true") {
      this.#options.directory.reportLeaving(server);
    }
    const notRun =
      reply.statusCode === REFUSAL_STATUS &&
      reply.headers["x-not-run"] === "true" &&
      server.contract.tellsNotRun;
    if (!notRun) return { server, reply };
    await reply.body.dump().catch(() => undefined);
    this.#ended(server, false);
    const detail = `backend server ${server.name} refused`;
    return { server, outcome: refused("backend_refused", detail) };
  }

  #choose(
    call: PlainCall,
    avoid: ReadonlySet<string>,
  ): BackendServer | undefined {
    const { directory } = this.#options;
    const { chosen } = directory.choose(call.route, {
      blocks: [],
      promptTokens: ASSUMED_TOKENS,
      expectedTokens: ASSUMED_TOKENS,
      targetMilliseconds: call.service.targetMilliseconds,
      weights: call.service.weights,
      avoid,
    });
    return this.#options.routing().candidates.get(chosen?.server ?? "")?.server;
  }

  #ended(server: BackendServer, broken: boolean): void {
    this.#options.directory.recordEnded(server, broken);
  }
}

function deadlineEnd(mayHaveRun: boolean): Partial<AttemptResult> {
  const detail = "the deadline passed";
  return {
    outcome: mayHaveRun
      ? inDoubt("backend_timeout", detail)
      : refused("deadline_passed", detail),
  };
}

/** Whether the body is a stream, which can't be sent a second time. */
function isBodyConsumed(call: PlainCall): boolean {
  return call.body !== undefined && !Buffer.isBuffer(call.body);
}

/** Encodes a chunk of a body as text parts, each small enough for one event. */
function encodeParts(chunk: Buffer): readonly string[] {
  const parts = Math.ceil(chunk.length / MAXIMUM_PART_BYTES);
  return Array.from({ length: parts }, (_, part) =>
    chunk
      .subarray(part * MAXIMUM_PART_BYTES, (part + 1) * MAXIMUM_PART_BYTES)
      .toString("base64"),
  );
}

/** Status and headers of a retained answer, stored as its first event. */
export interface RetainedHead {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[]>>;
}

/** Reads the head of a retained answer. */
export function readRetainedHead(event: string): RetainedHead {
  return JSON.parse(event) as RetainedHead;
}

/** Reads a part of a retained answer's body. */
export function readRetainedPart(event: string): Buffer {
  return Buffer.from(event, "base64");
}
