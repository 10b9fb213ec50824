// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Observability of one request: its log lines, its counters, and the count of
 * requests that began to run.
 *
 * @module
 */
import type { ResendBudgetState } from "../admission/mod.ts";
import { type AnswerFraming, endDoubtOf } from "../attempt/mod.ts";
import type { ServerRecord } from "../choice/mod.ts";
import type { ResendReason } from "../model/outcome.ts";
import type { SendObserver } from "../rollout/mod.ts";
import type { AdmittedRequest } from "./admitted_request.ts";
import type { StopAnswer } from "./memory_migration.ts";
import type { RequestContext } from "./request_context.ts";
import type { ServerIncarnation } from "../model/backend_server.ts";
import type { RoomRefusal } from "./send_choice.ts";
import type { RefusalTerms } from "./own_refusal.ts";
import { incarnationOf, startTimesOf } from "./server_incarnation.ts";
import type { Silence } from "./stall_watch.ts";

/** Reasons why a resend that was needed is not made. */
export const NOT_REPEATED_REASONS = [
  "may_not_run_again",
  "quarantined",
  "too_late",
  "stopping",
  "too_many_sends",
  "no_server",
  "no_turn",
  "version_unknown",
  "budget_spent",
] as const;

/** One of {@link NOT_REPEATED_REASONS}. */
export type NotRepeatedReason = (typeof NOT_REPEATED_REASONS)[number];

/** State of the resend budget at a decision; this host's part alone. */
export interface BudgetView extends ResendBudgetState {
  /** Hosts in the list of hosts; `undefined` before the list was read. */
  readonly hosts: number | undefined;
}

/** State of the run before a send. */
export interface SendState {
  /** Whether the send names retained memory from which the run resumes. */
  readonly continues: boolean;
  /** Id of the last event that the caller received, as sent to the server. */
  readonly lastEventId: string | undefined;
  /** Runs that began or may have begun before the send. */
  readonly possibleRuns: number;
}

/** The record of a migration in progress. */
export interface MigrationRecord {
  /** Notes that the run's stop was requested (`true`) or answered (`false`). */
  stopChanged(stopping: boolean): void;
  /** Notes what a call that stops the run was answered. */
  stopAnswered(answer: StopAnswer): void;
  /** Notes that the migration ended; the caller has events up to the given one. */
  ended(outcome: string, lastEventId: string | undefined): void;
}

/** The parts of the context that a record uses. */
export type RecordParts = Pick<
  RequestContext,
  "clock" | "closesConnections" | "metrics" | "logger" | "began" | "rollouts"
>;

/** Loss reasons that are a server failure; the others may have another cause. */
const SERVER_FAILURES: ReadonlySet<ResendReason> = new Set([
  "server_error",
  "answer_not_usable",
]);

/**
 * Maximum number of characters of a caller's event id or attempt id in a log line.
 * They are counters or short names, but a caller may send one of any length.
 */
const MAXIMUM_ID_LENGTH = 64;

/** Maximum number of prompt parts in a log line; callers choose how many they send. */
const MAXIMUM_LOGGED_PARTS = 8;

/** Time of an answer beside the time that was expected of it, in milliseconds. */
export interface ComparedTime {
  readonly expected: number;
  readonly measured: number;
}

/** The newest send of a request. */
interface LastSend {
  readonly server: ServerIncarnation;
  /** Version of the server's software. */
  readonly version: string;
  readonly sentAt: number;
}

/** A send that its server rejected. */
export interface RejectedSend {
  readonly server: ServerIncarnation;
  readonly sentAt: number;
  readonly continues: boolean;
}

/** The record of one request. */
export class RunRecord {
  readonly #request: AdmittedRequest;
  readonly #context: RecordParts;
  readonly #servers: ServerIncarnation[] = [];
  readonly #reasons: ResendReason[] = [];
  readonly #versions = new Set<string>();
  #began = false;
  #firstPartAt: number | undefined;
  /** Slowdown of the newest send's server, where its speed is known. */
  #slowdown: number | undefined;
  #compared: ComparedTime | undefined;
  #lastSend: LastSend | undefined;
  #budget: BudgetView | undefined;
  #refusal: Omit<RoomRefusal, "request"> | undefined;
  /** How the newest send's answer marked its end, once it has ended. */
  #answerEnd: AnswerFraming | undefined;
  /** Why the last resend that was needed was not made. */
  #notRepeatedWhy: NotRepeatedReason | undefined;

  constructor(request: AdmittedRequest, context: RecordParts) {
    this.#request = request;
    this.#context = context;
  }

  /** Sends so far. */
  get sends(): number {
    return this.#servers.length;
  }

  /** Resends so far. */
  get resends(): number {
    return this.#reasons.length;
  }

  /**
   * Notes a send to a server; logs each send but the first. Returns the observer of the
   * send, where the server's version is evaluated.
   */
  sentTo(record: ServerRecord, state: SendState): SendObserver | undefined {
    const former = this.#lastSend;
    const sentAt = this.#context.clock.now();
    const server = incarnationOf(record);
    this.#servers.push(server);
    const { continues } = state;
    const { version } = record.entry;
    this.#lastSend = { server, version, sentAt };
    this.#versions.add(version);
    this.#slowdown = record.speed.isKnown(sentAt)
      ? record.speed.slowdown(sentAt)
      : undefined;
    const route = this.#request.route.name;
    const observer = this.#context.rollouts.sent(record, { route, sentAt });
    // A continuation gives no measurement of the time to the first part.
    if (continues) observer?.ended();
    if (former === undefined) return observer;
    this.#context.logger.info("request sent again", {
      request: this.#request.head.attemptId,
      reason: this.#reasons.at(-1),
      from: former.server.id,
      fromBorn: former.server.born,
      to: server.id,
      toBorn: server.born,
      fromVersion: former.version,
      toVersion: version,
      continues: state.continues,
      lastEventId: shortened(state.lastEventId),
      possibleRuns: state.possibleRuns,
      sinceMilliseconds: this.#millisecondsSince(former.sentAt),
      ...budgetFields(this.#budget),
    });
    return observer;
  }

  /** Notes that a resend follows; `budget` is the state that allowed it, if any. */
  resent(reason: ResendReason, budget?: BudgetView): void {
    this.#reasons.push(reason);
    this.#budget = budget;
    this.#context.metrics.resend(this.#request.service.name, reason);
  }

  /** Notes that a resend was needed and is not made. */
  notRepeated(
    reason: ResendReason,
    inputs: {
      readonly why: NotRepeatedReason;
      /** Runs that began or may have begun. */
      readonly possibleRuns: number;
      readonly budget?: BudgetView | undefined;
    },
  ): void {
    this.#notRepeatedWhy = inputs.why;
    this.#context.metrics.notRepeated(inputs.why);
    this.#context.logger.info("send not repeated", {
      request: this.#request.head.attemptId,
      reason,
      why: inputs.why,
      possibleRuns: inputs.possibleRuns,
      ...budgetFields(inputs.budget),
    });
  }

  /** Notes that the server of a send rejected it without running it. */
  rejected({ server, sentAt, continues }: RejectedSend, status: number): void {
    this.#context.metrics.event(`rejected_${status}`);
    this.#context.logger.info("send rejected", {
      request: this.#request.head.attemptId,
      server: server.id,
      born: server.born,
      status,
      sinceMilliseconds: this.#millisecondsSince(sentAt),
      continues,
    });
  }

  /** Notes that the request began to run; counts once for its workspace. */
  began(): void {
    if (this.#began) return;
    this.#began = true;
    const { workspace } = this.#request;
    if (workspace !== undefined) this.#context.began(workspace.name);
  }

  /** Notes the first part of the caller's answer, from a send; it may be a failure. */
  firstPart(observer: SendObserver | undefined, failed = false): void {
    observer?.answered({ failed, now: this.#context.clock.now() });
    this.#firstPartAt ??= this.#context.clock.now();
    this.#context.metrics.firstPartTime(
      this.#firstPartAt - this.#request.arrivedAt,
    );
  }

  /** Notes that the answer of the newest send ended, and how that was known. */
  answerEnded(framing: AnswerFraming): void {
    this.#answerEnd = framing;
  }

  /** Notes the time of the answer beside the expected one, where that is known. */
  compared(time: ComparedTime | undefined): void {
    this.#compared ??= time;
  }

  /** Notes that a send ended without a usable answer. */
  lost(
    reason: ResendReason,
    inputs: {
      readonly detail: string;
      /** The server's incarnation when the request was sent. */
      readonly server: ServerIncarnation | undefined;
      readonly observer?: SendObserver | undefined;
      /** Whether the caller has a part of the answer. */
      readonly relayed: boolean;
      /** First event that the server sent, in milliseconds. */
      readonly answeringSince?: number | undefined;
      readonly silence: Silence;
    },
  ): void {
    this.#answerEnd = undefined;
    const doubt = endDoubtOf(inputs.detail);
    if (doubt !== undefined) this.#context.metrics.answerEnd(doubt);
    if (SERVER_FAILURES.has(reason)) {
      const now = this.#context.clock.now();
      inputs.observer?.answered({ failed: true, now });
    }
    this.#context.logger.info("send lost", {
      request: this.#request.head.attemptId,
      fingerprint: this.#request.fingerprint.text,
      path: this.#request.head.target,
      reason,
      detail: inputs.detail,
      server: inputs.server?.id,
      born: inputs.server?.born,
      relayed: inputs.relayed,
      ...this.#answerFields(inputs.answeringSince),
      silentMilliseconds: Math.round(inputs.silence.milliseconds),
      stoodStillMilliseconds: Math.round(inputs.silence.stoodStillMilliseconds),
      stopping: this.#context.closesConnections(),
    });
  }

  /** Notes that this host cut off an answer of which its caller has a part. */
  cutOff(outcome: string): void {
    const why = this.#notRepeatedWhy ?? outcome;
    this.#context.metrics.answerCutOff(why);
    this.#context.logger.warn("answer cut off", {
      request: this.#request.head.attemptId,
      outcome,
      why,
      server: this.#lastSend?.server.id,
      stopping: this.#context.closesConnections(),
    });
  }

  /** Shared parts of the prompt, and for how long the lost send's answer had come. */
  #answerFields(
    answeringSince: number | undefined,
  ): Readonly<Record<string, string | number | undefined>> {
    const { promptParts } = this.#request.head;
    const shared = promptParts.slice(0, -1).slice(0, MAXIMUM_LOGGED_PARTS);
    return {
      parts: shared.map(({ id }) => shortened(id)).join(","),
      answeringMilliseconds:
        answeringSince === undefined
          ? undefined
          : this.#millisecondsSince(answeringSince),
    };
  }

  /**
   * Notes that a migration of the run's memory begins. Where the run's stop is
   * never requested, the time of the first copy covers the whole migration.
   */
  migrationBegan(from: ServerRecord, target: ServerRecord): MigrationRecord {
    const { clock } = this.#context;
    const beganAt = clock.now();
    const [sourceIncarnation, targetIncarnation] = [
      incarnationOf(from),
      incarnationOf(target),
    ];
    const servers = {
      from: sourceIncarnation.id,
      fromBorn: sourceIncarnation.born,
      target: targetIncarnation.id,
      targetBorn: targetIncarnation.born,
    };
    let stopRequestedAt: number | undefined;
    let stoppedAt: number | undefined;
    const stopAnswers: StopAnswer[] = [];
    return {
      stopChanged: (stopping) => {
        if (stopping) stopRequestedAt = clock.now();
        else stoppedAt = clock.now();
      },
      stopAnswered: (answer) => {
        stopAnswers.push(answer);
        this.#context.metrics.event(`stop_call_${answer}`);
      },
      ended: (outcome, lastEventId) =>
        this.#migrationEnded(outcome, {
          ...servers,
          stopAnswers: stopAnswers.join(",") || undefined,
          firstCopyMilliseconds: millisecondsBetween(
            beganAt,
            stopRequestedAt ?? clock.now(),
          ),
          secondCopyMilliseconds: millisecondsBetween(
            stopRequestedAt,
            stoppedAt,
          ),
          lastEventId: shortened(lastEventId),
        }),
    };
  }

  /** Notes that the request is refused because capacity is short. */
  shortOfRoom(refusal: Omit<RoomRefusal, "request">): void {
    this.#refusal = refusal;
    this.#context.metrics.roomRefused(refusal.rank);
  }

  #migrationEnded(
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

  /** What tells streams of several versions apart; nothing for other requests. */
  #versionFields(): Readonly<Record<string, string | undefined>> {
    const { head, route } = this.#request;
    if (!route.streaming || !route.resumable) return {};
    return {
      versions: [...this.#versions].join(","),
      resumes: shortened(head.resumes),
    };
  }

  #millisecondsSince(time: number): number {
    return Math.round(this.#context.clock.now() - time);
  }

  /** Notes that the request ended; `status` is the caller's status, if one was sent. */
  ended(
    outcome: string,
    status: number | undefined,
    refusal?: RefusalTerms,
  ): void {
    const request = this.#request;
    const milliseconds = this.#context.clock.now() - request.arrivedAt;
    this.#context.metrics.outcome(outcome);
    if (this.#answerEnd !== undefined)
      this.#context.metrics.answerEnd(this.#answerEnd);
    this.#context.metrics.answerTime(milliseconds);
    this.#context.logger.info("request ended", {
      request: request.head.attemptId,
      outcome,
      status,
      route: request.route.name,
      service: request.service.name,
      workspace: request.workspace?.name,
      servers: this.#servers.map(({ id }) => id).join(","),
      born: startTimesOf(this.#servers),
      ...this.#versionFields(),
      resends: this.#reasons.join(","),
      answerEnd: this.#answerEnd,
      configuration: request.configurationVersion,
      promptTokens: request.head.promptTokens,
      firstPartMilliseconds:
        this.#firstPartAt === undefined
          ? undefined
          : Math.round(this.#firstPartAt - request.arrivedAt),
      milliseconds: Math.round(milliseconds),
      ...speedFields(this.#slowdown, this.#compared),
      rank: this.#refusal?.rank,
      share: roundedToHundredth(this.#refusal?.share),
      ...refusal,
    });
  }
}

/** An identifier from a caller or a server, as log lines show it. */
export function shortened(id: string | undefined): string | undefined {
  return id?.slice(0, MAXIMUM_ID_LENGTH);
}

/** Fields on the speed of a request's server; none if nothing is known of it. */
function speedFields(
  slowdown: number | undefined,
  compared: ComparedTime | undefined,
): Readonly<Record<string, number | undefined>> | undefined {
  return slowdown === undefined
    ? undefined
    : {
        slowdown: Math.round(100 * slowdown) / 100,
        predictedMilliseconds: roundedTime(compared?.expected),
        measuredMilliseconds: roundedTime(compared?.measured),
      };
}

function roundedTime(milliseconds: number | undefined): number | undefined {
  return milliseconds === undefined ? undefined : Math.round(milliseconds);
}

/** One decimal is enough to see how close a budget is to its limit. */
function roundedToTenth(count: number): number {
  return Math.round(10 * count) / 10;
}

function roundedToHundredth(share: number | undefined): number | undefined {
  return share === undefined ? undefined : Math.round(100 * share) / 100;
}

function millisecondsBetween(
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
        budgetAllowed: roundedToTenth(budget.allowed),
        budgetHosts: budget.hosts,
      };
}
