// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Admission of requests on one host. Each service has a fair queue, whose limit
 * is this host's share of the capacity of the service's backend servers.
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
import {
  type Clock,
  failureReporter,
  type Logger,
  type Metrics,
  Ownership,
  repeat,
} from "rampswitch-utils";
import { RunTimes } from "./run_times.ts";

/** Options of {@link AdmissionGate}. */
export interface GateOptions {
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly logger: Logger;
  readonly routing: () => RoutingTable;
  /** Returns the number of trusted entry hosts, including this one. */
  readonly hosts: () => number;
  /** Maximum number of waiting requests per service. */
  readonly queueRequests: number;
  /** When this host ends what is in progress; infinite unless it stops. */
  readonly endsAt: () => number;
}

interface ServiceQueue {
  readonly admission: Admission;
  readonly times: RunTimes;
  /** Moving average of the predicted tokens of a request. */
  averageTokens: number;
}

/** Time between two checks for requests that can't meet their deadline. */
const EXPIRY_INTERVAL_MILLISECONDS = 50;
/** Time between two updates of the queues' limits. */
const LIMIT_UPDATE_INTERVAL_MILLISECONDS = 500;
/**
 * Factor by which admitted work may exceed the work that the servers run at
 * once, since a part of it is still on its way to them.
 */
const OVERCOMMIT_FACTOR = 1.5;
/** Time after which a caller may retry at another host, in milliseconds. */
const STOP_RETRY_MILLISECONDS = 500;
/** Weight of the former average in the moving average of a request's tokens. */
const TOKEN_AVERAGE_RETENTION = 0.98;
/** Average tokens of a request before the first request of a service. */
const INITIAL_AVERAGE_TOKENS = 256;

/** Time that a request may take, as a multiple of what is expected of it. */
const EXPECTED_TIME_MULTIPLE = 1.5;

/** Result of an admission: a refusal, or `undefined` if the request may run. */
export type AdmissionResult = RefusedNotRun | undefined;

/** Admits the requests of all services on one host. */
export class AdmissionGate implements AsyncDisposable {
  readonly #options: GateOptions;
  readonly #owned = new Ownership();
  readonly #queues = new Map<string, ServiceQueue>();
  readonly #waiting = new Map<string, (admitted: AdmissionResult) => void>();

  constructor(options: GateOptions) {
    this.#options = options;
    const reportFailure = failureReporter({ logger: options.logger });
    this.#owned.own(
      repeat(options.clock, () => EXPIRY_INTERVAL_MILLISECONDS, {
        name: "expiry of waiting requests",
        reportFailure,
        run: async () => {
          if (this.#waiting.size > 0) this.#expire();
          await Promise.resolve();
        },
      }),
    );
    this.#owned.own(
      repeat(options.clock, () => LIMIT_UPDATE_INTERVAL_MILLISECONDS, {
        name: "limits of admission",
        reportFailure,
        run: async () => {
          this.#setLimits();
          await Promise.resolve();
        },
      }),
    );
  }

  /** Numbers of running and of waiting requests. */
  get counts(): { readonly running: number; readonly waiting: number } {
    return [...this.#queues.values()].reduce(
      (sum, { admission }) => ({
        running: sum.running + admission.counts.running,
        waiting: sum.waiting + admission.counts.waiting,
      }),
      { running: 0, waiting: 0 },
    );
  }

  /** Returns the number of waiting requests of a service. */
  waiting(service: string): number {
    return this.#queues.get(service)?.admission.counts.waiting ?? 0;
  }

  /** Requests admission; resolves when the request is admitted or refused. */
  admit(service: string, request: AdmissionRequest): Promise<AdmissionResult> {
    const queue = this.#queue(service);
    queue.averageTokens =
      TOKEN_AVERAGE_RETENTION * queue.averageTokens +
      (1 - TOKEN_AVERAGE_RETENTION) * request.tokens;
    const decision = queue.admission.submit(request, this.#options.clock.now());
    this.#options.metrics.count("admission", decision.kind);
    if (decision.kind === "admitted") {
      queue.times.started(request, this.#options.clock.now());
      return Promise.resolve(undefined);
    }
    if (decision.kind === "refused") return Promise.resolve(decision.outcome);
    return new Promise((resolve) => this.#waiting.set(request.id, resolve));
  }

  /**
   * Refuses a request that can't end before this host does; `undefined` for one that
   * can, as all can unless the host stops.
   */
  refusalBeforeStop(
    service: string,
    work: Pick<AdmissionRequest, "deadline" | "runMilliseconds">,
  ): AdmissionResult {
    const endsAt = this.#options.endsAt();
    if (work.deadline <= endsAt) return undefined;
    const expected = this.#queue(service).times.expected(work.runMilliseconds);
    const needed = EXPECTED_TIME_MULTIPLE * expected;
    return this.#options.clock.now() + needed <= endsAt
      ? undefined
      : refused("stopping", "the host ends before the request could", {
          retryAfterMilliseconds: STOP_RETRY_MILLISECONDS,
        });
  }

  /** Ends a running or waiting request, and starts the next ones. */
  end(service: string, id: string): void {
    const queue = this.#queue(service);
    const now = this.#options.clock.now();
    queue.admission.end(id, now);
    queue.times.ended(id, now);
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
      times: new RunTimes(),
      averageTokens: INITIAL_AVERAGE_TOKENS,
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
    const tokens = OVERCOMMIT_FACTOR * concurrency * queue.averageTokens;
    queue.admission.setLimits({
      tokens: hostShare(tokens, this.#options.hosts()),
      queueRequests: this.#options.queueRequests,
    });
  }

  #startNext(queue: ServiceQueue, now: number): void {
    queue.admission.next(now).forEach((request) => {
      queue.times.started(request, now);
      this.#settle(request.id, undefined);
    });
  }

  #settle(id: string, admitted: AdmissionResult): void {
    const resolve = this.#waiting.get(id);
    this.#waiting.delete(id);
    resolve?.(admitted);
  }
}
