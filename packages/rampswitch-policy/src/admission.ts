// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Admission: fair queueing of requests between workspaces, weighted by
 * predicted tokens; priorities; bounded queues; early refusal; and work that
 * must finish by a set time.
 *
 * @module
 */
import { refused, type RefusedNotRun } from "rampswitch-types";

/** A request that asks to be admitted. */
export interface AdmissionRequest {
  readonly id: string;
  readonly workspace: string;
  readonly weight: number;
  readonly priority: number;
  /** Predicted tokens, of the prompt and of the answer. */
  readonly tokens: number;
  readonly arrivedAt: number;
  /** Latest time at which the answer helps. */
  readonly deadline: number;
  /** Predicted milliseconds of the run itself. */
  readonly runMilliseconds: number;
  /** Set for long work that only has to finish by its deadline. */
  readonly background: boolean;
}

/** Limits of admission on one host. */
export interface AdmissionLimits {
  /** Tokens in progress at once on this host. */
  readonly tokens: number;
  /** Requests that wait at most. */
  readonly queueRequests: number;
}

/** What became of a request that asked. */
export type AdmissionDecision =
  | { readonly kind: "admitted" }
  | { readonly kind: "queued" }
  | { readonly kind: "refused"; readonly outcome: RefusedNotRun };

interface QueuedRequest {
  readonly request: AdmissionRequest;
  readonly virtualFinish: number;
}

/** Share of the queue that one workspace may use, relative to its weight. */
const QUEUE_SHARE_FACTOR = 2;
const MAXIMUM_RETRY_AFTER_MILLISECONDS = 30_000;
const MINIMUM_RETRY_AFTER_MILLISECONDS = 100;
/** Background work whose slack falls below this share of its run is urgent. */
const URGENT_SLACK_SHARE = 1;
const RATE_DECAY_MILLISECONDS = 5_000;

/** Admission on one host. */
export class Admission {
  readonly #running = new Map<string, AdmissionRequest>();
  readonly #lastFinish = new Map<string, number>();
  #limits: AdmissionLimits;
  #queue: readonly QueuedRequest[] = [];
  #virtualTime = 0;
  #runningTokens = 0;
  #tokensPerMillisecond = 0;
  #rateMeasuredAt = 0;

  constructor(limits: AdmissionLimits) {
    this.#limits = limits;
  }

  /** Requests in progress and waiting. */
  get counts(): { readonly running: number; readonly waiting: number } {
    return { running: this.#running.size, waiting: this.#queue.length };
  }

  /** Changes the limits, as when hosts join or leave. */
  setLimits(limits: AdmissionLimits): void {
    this.#limits = limits;
  }

  /** Decides on a request: run now, wait, or be refused at once. */
  ask(request: AdmissionRequest, now: number): AdmissionDecision {
    const refusal = this.#refusal(request, now);
    if (refusal !== undefined) return { kind: "refused", outcome: refusal };
    if (this.#queue.length === 0 && this.#fits(request)) {
      this.#start(request, this.#virtualFinish(request));
      return { kind: "admitted" };
    }
    this.#queue = [
      ...this.#queue,
      { request, virtualFinish: this.#virtualFinish(request) },
    ];
    return { kind: "queued" };
  }

  /** Ends a request, running or waiting. */
  end(id: string, now: number): void {
    const request = this.#running.get(id);
    this.#queue = this.#queue.filter((queued) => queued.request.id !== id);
    if (request === undefined) return;
    this.#running.delete(id);
    this.#runningTokens -= request.tokens;
    this.#measureRate(request.tokens, now);
  }

  /** Requests whose turn has come, most urgent first. */
  next(now: number): readonly AdmissionRequest[] {
    const started: AdmissionRequest[] = [];
    for (let remaining = this.#queue.length; remaining > 0; remaining -= 1) {
      const first = this.#first(now);
      if (first === undefined || !this.#fits(first.request)) break;
      this.#queue = this.#queue.filter((queued) => queued !== first);
      this.#start(first.request, first.virtualFinish);
      started.push(first.request);
    }
    return started;
  }

  /** Requests that can no longer be in time; they leave the queue. */
  expire(now: number): readonly AdmissionRequest[] {
    const late = this.#queue
      .filter(({ request }) => now + request.runMilliseconds > request.deadline)
      .map(({ request }) => request);
    if (late.length > 0) {
      this.#queue = this.#queue.filter(
        ({ request }) => !late.includes(request),
      );
    }
    return late;
  }

  /** Predicted wait of a request that would be queued last. */
  predictedWaitMilliseconds(): number {
    if (this.#queue.length === 0) return 0;
    const queuedTokens = this.#queue.reduce(
      (sum, { request }) => sum + request.tokens,
      0,
    );
    return this.#tokensPerMillisecond === 0
      ? 0
      : queuedTokens / this.#tokensPerMillisecond;
  }

  #refusal(request: AdmissionRequest, now: number): RefusedNotRun | undefined {
    const waitMilliseconds = this.predictedWaitMilliseconds();
    const retryAfter = {
      retryAfterMilliseconds: Math.round(
        Math.min(
          MAXIMUM_RETRY_AFTER_MILLISECONDS,
          Math.max(MINIMUM_RETRY_AFTER_MILLISECONDS, waitMilliseconds),
        ),
      ),
    };
    if (request.deadline <= now) {
      return refused("deadline_passed", "deadline is in the past");
    }
    if (
      !request.background &&
      now + waitMilliseconds + request.runMilliseconds > request.deadline
    ) {
      return refused(
        "deadline_unreachable",
        `predicted wait ${Math.round(waitMilliseconds)} ms, expected less than ` +
          `${request.deadline - now} ms in all`,
        retryAfter,
      );
    }
    if (this.#queue.length >= this.#limits.queueRequests) {
      return refused(
        "queue_full",
        `${this.#queue.length} requests wait, expected fewer`,
        retryAfter,
      );
    }
    return this.#exceedsQueueShare(request)
      ? refused(
          "workspace_share_used",
          `workspace ${request.workspace} fills its share of the queue`,
          retryAfter,
        )
      : undefined;
  }

  #exceedsQueueShare(request: AdmissionRequest): boolean {
    if (this.#queue.length * 2 < this.#limits.queueRequests) return false;
    const weights = new Map(
      [...this.#queue.map((queued) => queued.request), request].map(
        ({ workspace, weight }) => [workspace, weight],
      ),
    );
    const totalWeight = [...weights.values()].reduce(
      (sum, weight) => sum + weight,
      0,
    );
    const queuedByWorkspace = this.#queue.filter(
      (queued) => queued.request.workspace === request.workspace,
    ).length;
    const share = (QUEUE_SHARE_FACTOR * request.weight) / totalWeight;
    return queuedByWorkspace >= this.#limits.queueRequests * Math.min(1, share);
  }

  #fits(request: AdmissionRequest): boolean {
    return (
      this.#running.size === 0 ||
      this.#runningTokens + request.tokens <= this.#limits.tokens
    );
  }

  #virtualFinish(request: AdmissionRequest): number {
    const start = Math.max(
      this.#virtualTime,
      this.#lastFinish.get(request.workspace) ?? 0,
    );
    const finish = start + request.tokens / request.weight;
    this.#lastFinish.set(request.workspace, finish);
    return finish;
  }

  #start(request: AdmissionRequest, virtualFinish: number): void {
    this.#running.set(request.id, request);
    this.#runningTokens += request.tokens;
    const virtualStart = virtualFinish - request.tokens / request.weight;
    this.#virtualTime = Math.max(this.#virtualTime, virtualStart);
  }

  #first(now: number): QueuedRequest | undefined {
    return this.#queue.reduce<QueuedRequest | undefined>(
      (first, queued) =>
        first === undefined || precedes(queued, first, now) ? queued : first,
      undefined,
    );
  }

  #measureRate(tokens: number, now: number): void {
    const elapsedMilliseconds = Math.max(1, now - this.#rateMeasuredAt);
    const decay = Math.exp(-elapsedMilliseconds / RATE_DECAY_MILLISECONDS);
    this.#tokensPerMillisecond =
      this.#rateMeasuredAt === 0
        ? 0
        : decay * this.#tokensPerMillisecond +
          ((1 - decay) * tokens) / elapsedMilliseconds;
    this.#rateMeasuredAt = now;
  }
}

/** Order of the queue: urgency, priority, then fair share. */
function precedes(
  left: QueuedRequest,
  right: QueuedRequest,
  now: number,
): boolean {
  const rank = urgencyRank(left.request, now) - urgencyRank(right.request, now);
  if (rank !== 0) return rank < 0;
  const priority = right.request.priority - left.request.priority;
  return priority === 0
    ? left.virtualFinish < right.virtualFinish
    : priority < 0;
}

/**
 * Background work waits behind all other work while it has slack, and joins
 * the fair queue once its slack is used up.
 */
function urgencyRank(request: AdmissionRequest, now: number): number {
  if (!request.background) return 0;
  const slack = request.deadline - now - request.runMilliseconds;
  return slack <= URGENT_SLACK_SHARE * request.runMilliseconds ? 0 : 1;
}

/**
 * Each host's part of a fleet-wide limit, without a call to anybody. The sum
 * over all hosts misses the limit only while their views of the membership
 * differ: by at most the limit times the hosts missing from a view, divided by
 * the hosts in it.
 */
export function hostShare(limit: number, hosts: number): number {
  return Math.max(1, Math.ceil(limit / Math.max(1, hosts)));
}
