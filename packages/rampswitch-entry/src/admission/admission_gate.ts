// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Admission of requests on one host: one fair queue per service, with limits
 * that are this host's part of what the service's backend servers can run.
 *
 * @module
 */
import {
  Admission,
  type AdmissionRequest,
  hostShare,
  type RoutingTable,
} from "rampswitch-policy";
import { refused, type RefusedNotRun } from "rampswitch-types";
import { type Clock, type Metrics, Ownership, repeat } from "rampswitch-utils";

/** How a gate is made. */
export interface GateOptions {
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly routing: () => RoutingTable;
  /** Number of trusted entry hosts, this one among them. */
  readonly hosts: () => number;
  readonly queueRequests: number;
}

interface ServiceQueue {
  readonly admission: Admission;
  averageTokens: number;
}

const EXPIRY_MILLISECONDS = 50;
const LIMITS_MILLISECONDS = 500;
/** Work that may be on its way beyond what runs at once. */
const OVERCOMMIT = 1.5;
const AVERAGE_KEEP = 0.98;
const FIRST_AVERAGE_TOKENS = 256;

/** What came of asking: a refusal, or leave to run. */
export type Admitted = RefusedNotRun | undefined;

/** Admission of one host. */
export class AdmissionGate implements AsyncDisposable {
  readonly #options: GateOptions;
  readonly #owned = new Ownership();
  readonly #queues = new Map<string, ServiceQueue>();
  readonly #waiting = new Map<string, (admitted: Admitted) => void>();

  constructor(options: GateOptions) {
    this.#options = options;
    this.#owned.own(
      repeat(
        options.clock,
        () => EXPIRY_MILLISECONDS,
        async () => {
          if (this.#waiting.size > 0) this.#expire();
          await Promise.resolve();
        },
      ),
    );
    this.#owned.own(
      repeat(
        options.clock,
        () => LIMITS_MILLISECONDS,
        async () => {
          this.#setLimits();
          await Promise.resolve();
        },
      ),
    );
  }

  /** Requests that run and wait. */
  get counts(): { readonly running: number; readonly waiting: number } {
    return [...this.#queues.values()].reduce(
      (sum, { admission }) => ({
        running: sum.running + admission.counts.running,
        waiting: sum.waiting + admission.counts.waiting,
      }),
      { running: 0, waiting: 0 },
    );
  }

  /** Requests of a service that wait. */
  waiting(service: string): number {
    return this.#queues.get(service)?.admission.counts.waiting ?? 0;
  }

  /** Asks for leave to run; resolves when it is granted or refused. */
  ask(service: string, request: AdmissionRequest): Promise<Admitted> {
    const queue = this.#queue(service);
    queue.averageTokens =
      AVERAGE_KEEP * queue.averageTokens + (1 - AVERAGE_KEEP) * request.tokens;
    const decision = queue.admission.ask(request, this.#options.clock.now());
    this.#options.metrics.count("admission", decision.kind);
    if (decision.kind === "admitted") return Promise.resolve(undefined);
    if (decision.kind === "refused") return Promise.resolve(decision.outcome);
    return new Promise((resolve) => this.#waiting.set(request.id, resolve));
  }

  /** Ends a request, running or waiting, and starts the next. */
  end(service: string, id: string): void {
    const queue = this.#queue(service);
    const now = this.#options.clock.now();
    queue.admission.end(id, now);
    this.#settle(id, refused("deadline_passed", "the caller went away"));
    this.#startNext(queue, now);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.#owned[Symbol.asyncDispose]();
    [...this.#waiting.keys()].forEach((id) =>
      this.#settle(id, refused("stopping", "the host is stopping")),
    );
  }

  #queue(service: string): ServiceQueue {
    const known = this.#queues.get(service);
    if (known !== undefined) return known;
    const queue = {
      admission: new Admission({
        tokens: Number.POSITIVE_INFINITY,
        queueRequests: this.#options.queueRequests,
      }),
      averageTokens: FIRST_AVERAGE_TOKENS,
    };
    this.#queues.set(service, queue);
    this.#setLimit(service, queue);
    return queue;
  }

  #expire(): void {
    const now = this.#options.clock.now();
    this.#queues.forEach((queue) => {
      queue.admission
        .expire(now)
        .forEach(({ id }) =>
          this.#settle(
            id,
            refused("deadline_unreachable", "the deadline cannot be met"),
          ),
        );
      this.#startNext(queue, now);
    });
  }

  #setLimits(): void {
    this.#queues.forEach((queue, service) => this.#setLimit(service, queue));
  }

  #setLimit(service: string, queue: ServiceQueue): void {
    const concurrency = this.#options
      .routing()
      .serviceCandidates(service)
      .reduce((sum, { server }) => sum + server.concurrency, 0);
    const tokens = OVERCOMMIT * concurrency * queue.averageTokens;
    queue.admission.setLimits({
      tokens: hostShare(tokens, this.#options.hosts()),
      queueRequests: this.#options.queueRequests,
    });
  }

  #startNext(queue: ServiceQueue, now: number): void {
    queue.admission.next(now).forEach(({ id }) => this.#settle(id, undefined));
  }

  #settle(id: string, admitted: Admitted): void {
    const resolve = this.#waiting.get(id);
    this.#waiting.delete(id);
    resolve?.(admitted);
  }
}
