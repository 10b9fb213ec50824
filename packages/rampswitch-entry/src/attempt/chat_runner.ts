// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Runs chat requests to their outcome: chooses engines, continues at another
 * engine after losses and reclaims, and keeps the answer's events in order.
 *
 * @module
 */
import type { LeavingMark } from "rampswitch-configuration";
import {
  type Choice,
  type FailedAttempt,
  planMigration,
  type RoutingTable,
} from "rampswitch-policy";
import {
  type BackendServer,
  failed,
  type HostId,
  inDoubt,
  type Outcome,
  refused,
} from "rampswitch-types";
import {
  type Clock,
  type Logger,
  type Metrics,
  type Random,
  runInBackground,
  sleep,
} from "rampswitch-utils";
import type { Answer } from "../outcome/answer_cache.ts";
import type { BackendClient } from "./backend_client.ts";
import type { BackendDirectory } from "../choice/backend_directory.ts";
import { engineBody } from "../intake/chat_request.ts";
import { abandonAttempt, migrateCache } from "./engine_calls.ts";
import {
  choiceRequest,
  noServerDetail,
  outcomeWithCertainty,
  prepareRun,
  type Run,
  type RunOrigin,
} from "./chat_run.ts";
import { runEngineAttempt } from "./engine_attempt.ts";
import { countOutcome } from "../outcome/outcome_count.ts";
import type { RequestReplication } from "../replication/request_replication.ts";
import type { RetryDecider } from "../admission/retry_decider.ts";

/** Services that a runner uses. */
export interface ChatRunnerOptions {
  readonly self: HostId;
  readonly directory: BackendDirectory;
  readonly client: BackendClient;
  readonly replication: RequestReplication;
  readonly retries: RetryDecider;
  readonly routing: () => RoutingTable;
  readonly clock: Clock;
  readonly random: Random;
  readonly metrics: Metrics;
  readonly logger: Logger;
}

const NO_SERVER_RETRY_MILLISECONDS = 1_000;
const MAXIMUM_ATTEMPTS = 1_000;
const SERVER_POLL_INTERVAL_MILLISECONDS = 250;

/** Runs chat requests on one host. */
export class ChatRunner {
  readonly #options: ChatRunnerOptions;
  readonly #runs = new Map<string, Run>();
  #detached = false;

  constructor(options: ChatRunnerOptions) {
    this.#options = options;
  }

  /** Starts a request, or continues one of a lost host. */
  start(...run: Parameters<ChatRunner["run"]>): void {
    this.#inBackground("chat request", () => this.run(...run));
  }

  /** Number of requests that run on this host. */
  get running(): number {
    return this.#runs.size;
  }

  /** Runs the request of an answer to its outcome and records the outcome. */
  async run(answer: Answer, origin: RunOrigin): Promise<void> {
    if (this.#runs.has(answer.envelope.id)) return;
    const run = prepareRun(answer, origin, this.#options.routing());
    if (run === undefined) {
      const removed = refused(
        "unknown_service",
        "service or workspace is gone",
      );
      this.#end(
        answer,
        outcomeWithCertainty({ mayHaveRun: origin === "taken_over" }, removed),
      );
      return;
    }
    this.#runs.set(answer.envelope.id, run);
    this.#options.retries.recordFirstAttempt(run.service.name);
    const outcome = await this.#runAttempts(run);
    this.#runs.delete(answer.envelope.id);
    this.#end(answer, outcome);
  }

  /** Cancels a request that no caller waits for. */
  cancel(id: string): void {
    const run = this.#runs.get(id);
    if (run === undefined || run.cancelled) return;
    run.cancelled = true;
    this.#options.metrics.count("cancelled");
    this.#abandon(run);
    run.abort.abort();
  }

  /**
   * Detaches all requests when the host ends. Their later outcomes on this host
   * are not recorded, because another host continues them.
   */
  detach(): void {
    this.#detached = true;
  }

  /** Plans a migration for each run whose server is on a leaving host. */
  leaving(marks: readonly LeavingMark[]): void {
    const byHost = new Map(marks.map((mark) => [mark.host, mark]));
    [...this.#runs.values()].forEach((run) => {
      const mark = byHost.get(run.server?.host ?? "");
      if (mark === undefined) return;
      this.#inBackground("move of a run", () => this.#migrate(run, mark));
    });
  }

  async #runAttempts(run: Run): Promise<Outcome> {
    const { clock } = this.#options;
    const resumed = await this.#resumeAtEngine(run);
    if (resumed?.kind === "completed") return resumed;
    for (let total = 0; total < MAXIMUM_ATTEMPTS; total += 1) {
      const remaining = run.answer.envelope.deadline - clock.now();
      if (this.#detached) return DETACHED_OUTCOME;
      if (run.cancelled) return failed("caller_gone", "the caller went away");
      if (remaining <= 0) return this.#deadlineOutcome(run);
      const server = run.migrationTarget ?? this.#choose(run);
      const eventsBefore = run.answer.events.length;
      const mayHaveRunBefore = run.mayHaveRun;
      if (server === undefined && run.answer.events.length > 0) {
        await sleep(clock, SERVER_POLL_INTERVAL_MILLISECONDS);
        continue;
      }
      const outcome =
        server === undefined
          ? refused("no_backend_server", noServerDetail(run), {
              retryAfterMilliseconds: NO_SERVER_RETRY_MILLISECONDS,
            })
          : await this.#attemptAt(server, run, remaining);
      if (outcome.kind === "completed") return outcome;
      if (outcome.kind !== "refused_not_run") run.mayHaveRun = true;
      if (run.migrating) {
        run.migrating = false;
        this.#options.metrics.count("retry", "backend_reclaimed");
      } else {
        const madeProgress = run.answer.events.length > eventsBefore;
        run.failuresSinceProgress = madeProgress
          ? 1
          : run.failuresSinceProgress + 1;
        const final = await this.#afterFailure(run, outcome, {
          remainingMilliseconds: remaining,
          madeProgress,
          mayHaveRunBefore,
        });
        if (final !== undefined) return final;
      }
    }
    return inDoubt("backend_lost", "too many attempts were lost");
  }

  /** Decides on a retry; returns the final outcome if there is none. */
  async #afterFailure(
    run: Run,
    outcome: Exclude<Outcome, { readonly kind: "completed" }>,
    facts: Pick<
      FailedAttempt,
      "remainingMilliseconds" | "madeProgress" | "mayHaveRunBefore"
    >,
  ): Promise<Outcome | undefined> {
    const { retries } = this.#options;
    if (run.cancelled || !retries.isRetryable(outcome.reason)) {
      return outcomeWithCertainty(run, outcome);
    }
    if (run.server !== undefined) run.avoid.add(run.server.name);
    const again = await retries.waitForRetry(run.service.name, {
      outcome,
      repeatable: run.repeatable,
      attemptsWithoutProgress: run.failuresSinceProgress,
      ...facts,
    });
    return again ? undefined : outcomeWithCertainty(run, outcome);
  }

  #deadlineOutcome(run: Run): Outcome {
    if (run.answer.events.length > 0) {
      return failed("backend_timeout", "the deadline passed during the answer");
    }
    return run.mayHaveRun
      ? inDoubt("backend_timeout", "the deadline passed after an attempt")
      : refused("deadline_passed", "the deadline passed before an attempt");
  }

  #choose(run: Run): BackendServer | undefined {
    const first = this.#choice(run).chosen;
    if (first === undefined) run.avoid.clear();
    const chosen = first ?? this.#choice(run).chosen;
    return this.#options.routing().candidates.get(chosen?.server ?? "")?.server;
  }

  #choice(run: Run): Choice {
    const route = this.#options.routing().route(run.service, run.workspace);
    return this.#options.directory.choose(
      route,
      choiceRequest(run.request, run.service, run.avoid),
    );
  }

  async #attemptAt(
    server: BackendServer,
    run: Run,
    remaining: number,
  ): Promise<Outcome> {
    const { directory, replication, self } = this.#options;
    const delivered = run.answer.events;
    run.attempts += 1;
    run.migrationTarget = undefined;
    run.migrating = false;
    run.server = server;
    run.attempt = `${run.answer.envelope.id}.${self}.${run.attempts}`;
    run.abort = new AbortController();
    replication.attempted(run.answer, {
      attempt: run.attempt,
      server: server.name,
    });
    if (run.attempts > 1) this.#countRecomputed(run);
    directory.recordSent(server, run.request);
    const outcome = await this.#engineAttempt(run, server, {
      timeoutMilliseconds: Math.min(remaining, run.service.timeoutMilliseconds),
      body: engineBody(run.request, delivered),
    });
    const broken = outcome.kind !== "completed" && !run.abort.signal.aborted;
    directory.recordEnded(server, broken);
    return outcome;
  }

  #engineAttempt(
    run: Run,
    server: BackendServer,
    options: {
      readonly timeoutMilliseconds: number;
      readonly body: Buffer | undefined;
    },
  ): Promise<Outcome> {
    const { client, directory, replication, metrics, clock } = this.#options;
    const attempt = run.attempt;
    let lastAt: number | undefined;
    return runEngineAttempt(
      client,
      {
        server,
        attempt,
        requestId: run.answer.envelope.id,
        priority: run.workspace.priority,
        firstToken: run.answer.events.length,
        signal: run.abort.signal,
        ...options,
      },
      {
        metrics,
        listener: {
          leaving: () => directory.reportLeaving(server),
          tokens: async (first, texts) => {
            if (run.attempt !== attempt || run.abort.signal.aborted) {
              metrics.count("drop", "former_attempt", texts.length);
              return;
            }
            const now = clock.now();
            if (lastAt !== undefined) {
              directory.observeTokenTime(
                run.service.name,
                (now - lastAt) / texts.length,
              );
            }
            lastAt = now;
            metrics.count("tokens", undefined, texts.length);
            await replication.progressed(run.answer, first, texts);
          },
        },
      },
    );
  }

  /** Resumes the stream at the engine to which a lost host sent the request. */
  async #resumeAtEngine(run: Run): Promise<Outcome | undefined> {
    const former = run.answer.attempt;
    const server =
      former === undefined
        ? undefined
        : this.#options.routing().candidates.get(former.server)?.server;
    if (former === undefined || server === undefined) return undefined;
    run.attempts += 1;
    if (!server.contract.resumesStreams) {
      run.answer.certainEvents = run.answer.events.length;
      return undefined;
    }
    run.server = server;
    run.attempt = former.attempt;
    run.abort = new AbortController();
    this.#options.metrics.count("resume_at_engine");
    const outcome = await this.#engineAttempt(run, server, {
      timeoutMilliseconds: run.service.timeoutMilliseconds,
      body: undefined,
    });
    if (outcome.kind !== "completed") {
      run.answer.certainEvents = run.answer.events.length;
    }
    return outcome;
  }

  async #migrate(run: Run, mark: LeavingMark): Promise<void> {
    const from = run.server;
    const { client, clock, directory, metrics } = this.#options;
    if (from === undefined || run.migrating || run.cancelled) return;
    const to = this.#choose(run);
    const remainingTokens =
      run.request.maximumTokens - run.answer.events.length;
    const route = this.#options.routing().route(run.service, run.workspace);
    const plan =
      to === undefined || to === from
        ? "finish"
        : planMigration({
            remainingMilliseconds:
              mark.deadline === undefined
                ? undefined
                : mark.deadline - clock.now(),
            remainingTokens,
            tokenMilliseconds: directory.speeds(route).tokenMilliseconds,
            repeatable: run.repeatable,
            canMigrateCache:
              from.contract.movesKeyValueCache &&
              to.contract.movesKeyValueCache,
          });
    metrics.count("move", plan);
    if (plan === "finish" || to === undefined) return;
    const { attempt } = run;
    if (plan === "move_cache") {
      const imported = await migrateCache(client, { from, to, attempt });
      metrics.count("cache_move", imported ? "done" : "failed");
    }
    if (run.attempt !== attempt || run.answer.outcome !== undefined) return;
    run.migrating = true;
    run.migrationTarget = to;
    this.#abandon(run);
    run.abort.abort();
  }

  #inBackground(name: string, work: () => Promise<unknown>): void {
    const { logger } = this.#options;
    runInBackground(name, { logger }, work);
  }

  #abandon({ server, attempt }: Run): void {
    if (server === undefined) return;
    const { client, clock } = this.#options;
    this.#inBackground("end of an abandoned run", () =>
      abandonAttempt(client, { server, attempt, clock }),
    );
  }

  #countRecomputed(run: Run): void {
    this.#options.metrics.count(
      "recomputed_tokens",
      undefined,
      run.request.promptTokens + run.answer.events.length,
    );
  }

  #end(answer: Answer, outcome: Outcome): void {
    if (this.#detached) return;
    const { metrics, replication } = this.#options;
    countOutcome(metrics, outcome);
    replication.ended(answer, outcome);
    answer.end(outcome);
  }
}

const DETACHED_OUTCOME = inDoubt("taken_over", "the host ended");
