// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Admission: fair queueing of requests between workspaces by predicted tokens,
 * with weights, priorities, bounded queues, early refusal, and background work
 * that must finish by a deadline.
 *
 * @module
 */
import { refused, type RefusedNotRun } from "rampswitch-types";

/** A request for admission. */
export interface AdmissionRequest {
  readonly id: string;
  readonly workspace: string;
  /** Weight of the workspace in the fair queue. */
  readonly weight: number;
  readonly priority: number;
  /** Predicted number of tokens of the prompt and the answer. */
  readonly tokens: number;
  readonly arrivedAt: number;
  /** Latest time at which the caller can use the answer. */
  readonly deadline: number;
  /** Predicted duration of the run, without the wait in the queue. */
  readonly runMilliseconds: number;
  /** Whether this is long work that only has to finish by its deadline. */
  readonly background: boolean;
}

/** Limits of admission on one host. */
export interface AdmissionLimits {
  /** Maximum number of predicted tokens in progress. */
  readonly tokens: number;
  /** Maximum number of queued requests. */
  readonly queueRequests: number;
}

/** Decision on a request for admission. */
export type AdmissionDecision =
  | { readonly kind: "admitted" }
  | { readonly kind: "queued" }
  | { readonly kind: "refused"; readonly outcome: RefusedNotRun };

interface QueuedRequest {
  readonly request: AdmissionRequest;
  /** Virtual time of weighted fair queueing at which the request finishes. */
  readonly virtualFinish: number;
}

/** Maximum share of the queue for a workspace, as a multiple of its fair share. */
const QUEUE_SHARE_FACTOR = 2;
const MAXIMUM_RETRY_AFTER_MILLISECONDS = 30_000;
const MINIMUM_RETRY_AFTER_MILLISECONDS = 100;
/** Background work is urgent if its slack is at most this share of its run. */
const URGENT_SLACK_SHARE = 1;
/** Time constant of the exponential average of the token rate. */
const RATE_DECAY_MILLISECONDS = 5_000;

/** Admission of requests on one host. */
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

  /** Number of requests in progress and in the queue. */
  get counts(): { readonly running: number; readonly waiting: number } {
    return { running: this.#running.size, waiting: this.#queue.length };
  }

  /** Changes the limits, for example when hosts join or leave. */
  setLimits(limits: AdmissionLimits): void {
    this.#limits = limits;
  }

  /** Admits a request, queues it or refuses it. */
  submit(request: AdmissionRequest, now: number): AdmissionDecision {
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

  /** Removes a running or queued request. */
  end(id: string, now: number): void {
    const request = this.#running.get(id);
    this.#queue = this.#queue.filter((queued) => queued.request.id !== id);
    if (request === undefined) return;
    this.#running.delete(id);
    this.#runningTokens -= request.tokens;
    this.#measureRate(request.tokens, now);
  }

  /** Admits queued requests as the limits allow, the most urgent first. */
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

  /** Removes and returns queued requests that can no longer meet their deadline. */
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

  /** Predicted wait of a new request; 0 while the token rate is not known. */
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

  /**
   * Whether the workspace already uses its share of the queue. The shares apply
   * only once the queue is half full.
   */
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

  /** Whether a request may run now; a single request may exceed the limit. */
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

/** Order of the queue: by urgency, then priority, then fair queueing. */
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
 * 1 for background work that can still wait, which comes after all other work;
 * 0 for all other work and for background work whose slack is used up.
 */
function urgencyRank(request: AdmissionRequest, now: number): number {
  if (!request.background) return 0;
  const slack = request.deadline - now - request.runMilliseconds;
  return slack <= URGENT_SLACK_SHARE * request.runMilliseconds ? 0 : 1;
}

/**
 * One host's share of a fleet-wide limit, computed without calls to other
 * hosts. The sum of all shares differs from the limit only while the hosts'
 * views of the membership differ: by at most the limit times the number of
 * hosts missing from a view, divided by the number of hosts in it.
 */
export function hostShare(limit: number, hosts: number): number {
  return Math.max(1, Math.ceil(limit / Math.max(1, hosts)));
}
