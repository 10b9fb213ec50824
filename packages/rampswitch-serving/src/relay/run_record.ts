// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * What is told of one request: its log lines, its counters, and the count of
 * requests that began to run.
 *
 * @module
 */
import type { ResendState } from "../admission/mod.ts";
import type { ServerRecord } from "../choice/mod.ts";
import type { ResendReason } from "../model/outcome.ts";
import type { SentRequest } from "../rollout/mod.ts";
import type { AdmittedRequest } from "./admitted_request.ts";
import type { RequestContext } from "./request_context.ts";
import type { ServerLife } from "../model/backend_server.ts";
import { lifeOf, startsOf } from "./server_life.ts";

/** Why a further send that was wanted is not made. */
export const NOT_REPEATED_REASONS = [
  "may_not_run_again",
  "quarantined",
  "too_late",
  "too_many_sends",
  "no_server",
  "no_turn",
  "budget_spent",
] as const;

/** One of {@link NOT_REPEATED_REASONS}. */
export type NotRepeatedReason = (typeof NOT_REPEATED_REASONS)[number];

/** What the budget of repeated sends decided by; the host's own part. */
export interface BudgetView extends ResendState {
  /** Hosts that this host counts now; `undefined` before their list was read. */
  readonly hosts: number | undefined;
}

/** What a send is told of the run so far. */
export interface SendState {
  /** Whether it names kept memory from which the run goes on. */
  readonly continues: boolean;
  /** Last event that the caller has, as the server is told. */
  readonly lastEventId: string | undefined;
  /** Runs that began or may have begun before it. */
  readonly possibleRuns: number;
}

/** The record of a move that is under way. */
export interface MoveRecord {
  /** The run's stop was asked for, or that was answered. */
  stops(stopping: boolean): void;
  /** The move ended; the caller has events up to the given one. */
  ended(outcome: string, lastEventId: string | undefined): void;
}

/** What a record works with. */
export type RecordParts = Pick<
  RequestContext,
  "clock" | "metrics" | "logger" | "began" | "rollouts"
>;

/** Losses that are a server's failure, whoever's fault the others are. */
const FAILURES: ReadonlySet<ResendReason> = new Set([
  "server_error",
  "answer_not_usable",
]);

/**
 * Characters of an event's id that a line holds; a caller may send one of any
 * length, those of servers are counters or short names.
 */
const MAXIMUM_EVENT_ID_LENGTH = 64;

/** The newest send of a request. */
interface LastSend {
  readonly server: ServerLife;
  readonly sentAt: number;
  readonly continues: boolean;
}

/** The record of one request. */
export class RunRecord {
  readonly #request: AdmittedRequest;
  readonly #context: RecordParts;
  readonly #servers: ServerLife[] = [];
  readonly #reasons: ResendReason[] = [];
  #began = false;
  #firstPartAt: number | undefined;
  #lastSend: LastSend | undefined;
  #budget: BudgetView | undefined;
  /** The newest send, where its version is judged. */
  #sent: SentRequest | undefined;

  constructor(request: AdmittedRequest, context: RecordParts) {
    this.#request = request;
    this.#context = context;
  }

  /** Sends so far. */
  get sends(): number {
    return this.#servers.length;
  }

  /** Sends that repeated another. */
  get resends(): number {
    return this.#reasons.length;
  }

  /** The request goes to a server; each time but the first leaves a line. */
  sentTo(record: ServerRecord, state: SendState): void {
    const former = this.#lastSend;
    const sentAt = this.#context.clock.now();
    const server = lifeOf(record);
    this.#servers.push(server);
    const { continues } = state;
    this.#lastSend = { server, sentAt, continues };
    this.#sent?.ended();
    const route = this.#request.route.name;
    this.#sent = this.#context.rollouts.sent(record, { route, sentAt });
    // What goes on elsewhere tells nothing of the time to a first part.
    if (continues) this.#sent?.ended();
    if (former === undefined) return;
    this.#context.logger.info("request sent again", {
      request: this.#request.head.attemptId,
      reason: this.#reasons.at(-1),
      from: former.server.id,
      fromBorn: former.server.born,
      to: server.id,
      toBorn: server.born,
      continues: state.continues,
      lastEventId: shortened(state.lastEventId),
      possibleRuns: state.possibleRuns,
      sinceMilliseconds: this.#since(former.sentAt),
      ...budgetFields(this.#budget),
    });
  }

  /** The request is to be sent once more, which the budget may have decided. */
  resent(reason: ResendReason, budget?: BudgetView): void {
    this.#reasons.push(reason);
    this.#budget = budget;
    this.#context.metrics.resend(this.#request.service.name, reason);
  }

  /** A further send was wanted and is not made. */
  notRepeated(
    reason: ResendReason,
    inputs: {
      readonly why: NotRepeatedReason;
      /** Runs that began or may have begun. */
      readonly possibleRuns: number;
      readonly budget?: BudgetView | undefined;
    },
  ): void {
    this.#context.metrics.notRepeated(inputs.why);
    this.#context.logger.info("send not repeated", {
      request: this.#request.head.attemptId,
      reason,
      why: inputs.why,
      possibleRuns: inputs.possibleRuns,
      ...budgetFields(inputs.budget),
    });
  }

  /** The server of the newest send turned it away and did not run it. */
  rejected(status: number): void {
    const last = this.#lastSend;
    if (last === undefined) return;
    this.#context.logger.info("send rejected", {
      request: this.#request.head.attemptId,
      server: last.server.id,
      born: last.server.born,
      status,
      sinceMilliseconds: this.#since(last.sentAt),
      continues: last.continues,
    });
  }

  /** The request began to run; counts once for its workspace. */
  began(): void {
    if (this.#began) return;
    this.#began = true;
    const { workspace } = this.#request;
    if (workspace !== undefined) this.#context.began(workspace.name);
  }

  /** The caller gets the first part of the answer, which may be a failure. */
  firstPart(failed = false): void {
    this.#answered(failed);
    this.#firstPartAt ??= this.#context.clock.now();
    this.#context.metrics.firstPart(
      this.#firstPartAt - this.#request.arrivedAt,
    );
  }

  /** A send ended without a usable answer. */
  lost(
    reason: ResendReason,
    inputs: {
      readonly detail: string;
      readonly server: ServerRecord | undefined;
      /** Whether the caller has a part of the answer. */
      readonly relayed: boolean;
    },
  ): void {
    if (FAILURES.has(reason)) this.#answered(true);
    // A silence so far is an answer that is as slow at least.
    else if (reason === "stalled" && !inputs.relayed) this.#answered(false);
    this.#context.logger.info("send lost", {
      request: this.#request.head.attemptId,
      fingerprint: this.#request.fingerprint.text,
      path: this.#request.head.target,
      reason,
      detail: inputs.detail,
      server: inputs.server?.entry.id,
      // Of the send: the entry may tell of a later life by now.
      born: this.#lastSend?.server.born,
      relayed: inputs.relayed,
    });
  }

  /**
   * A move of the run's memory begins. Where the run does not stop for it, the
   * first copy's time holds all of the move.
   */
  moveBegan(from: ServerRecord, target: ServerRecord): MoveRecord {
    const { clock } = this.#context;
    const beganAt = clock.now();
    const [source, aim] = [lifeOf(from), lifeOf(target)];
    const servers = {
      from: source.id,
      fromBorn: source.born,
      target: aim.id,
      targetBorn: aim.born,
    };
    let stopAskedAt: number | undefined;
    let stoppedAt: number | undefined;
    return {
      stops: (stopping) => {
        if (stopping) stopAskedAt = clock.now();
        else stoppedAt = clock.now();
      },
      ended: (outcome, lastEventId) =>
        this.#moveEnded(outcome, {
          ...servers,
          firstCopyMilliseconds: between(beganAt, stopAskedAt ?? clock.now()),
          secondCopyMilliseconds: between(stopAskedAt, stoppedAt),
          lastEventId: shortened(lastEventId),
        }),
    };
  }

  /** Kept memory that nobody goes on from was given up. */
  memoryDropped(freed: boolean): void {
    const outcome = freed ? "freed" : "not_freed";
    this.#context.metrics.event(`memory_${outcome}`);
    this.#context.logger.info("memory dropped", {
      request: this.#request.head.attemptId,
      outcome,
    });
  }

  /** A run that was left for another server was asked to stop. */
  leftRunStopped(outcome: string, server: ServerRecord): void {
    this.#context.metrics.event(`left_run_${outcome}`);
    this.#context.logger.info("left run", {
      request: this.#request.head.attemptId,
      outcome,
      server: server.entry.id,
    });
  }

  /** The newest send was answered; its version is judged by that. */
  #answered(failed: boolean): void {
    this.#sent?.answered({ failed, now: this.#context.clock.now() });
  }

  #moveEnded(
    outcome: string,
    fields: Readonly<Record<string, string | number | undefined>>,
  ): void {
    this.#context.metrics.event(`move_${outcome}`);
    this.#context.logger.info("memory move", {
      request: this.#request.head.attemptId,
      outcome,
      ...fields,
    });
  }

  #since(time: number): number {
    return Math.round(this.#context.clock.now() - time);
  }

  /** The request ended; `status` is what the caller is told, if anything. */
  ended(outcome: string, status: number | undefined): void {
    this.#sent?.ended();
    const request = this.#request;
    const milliseconds = this.#context.clock.now() - request.arrivedAt;
    this.#context.metrics.outcome(outcome);
    this.#context.metrics.whole(milliseconds);
    this.#context.logger.info("request ended", {
      request: request.head.attemptId,
      outcome,
      status,
      route: request.route.name,
      service: request.service.name,
      workspace: request.workspace?.name,
      servers: this.#servers.map(({ id }) => id).join(","),
      born: startsOf(this.#servers),
      resends: this.#reasons.join(","),
      configuration: request.configurationVersion,
      promptTokens: request.head.promptTokens,
      firstPartMilliseconds:
        this.#firstPartAt === undefined
          ? undefined
          : Math.round(this.#firstPartAt - request.arrivedAt),
      milliseconds: Math.round(milliseconds),
    });
  }
}

function shortened(eventId: string | undefined): string | undefined {
  return eventId?.slice(0, MAXIMUM_EVENT_ID_LENGTH);
}

/** One decimal is enough to see how near the end a budget is. */
function rounded(count: number): number {
  return Math.round(10 * count) / 10;
}

function between(
  start: number | undefined,
  end: number | undefined,
): number | undefined {
  return start === undefined || end === undefined
    ? undefined
    : Math.round(end - start);
}

function budgetFields(
  budget: BudgetView | undefined,
): Readonly<Record<string, number | undefined>> {
  return budget === undefined
    ? {}
    : {
        budgetSpent: budget.spent,
        budgetAllowed: rounded(budget.allowed),
        budgetHosts: budget.hosts,
      };
}
