// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * One request from admission to its answer: sends, resends, relay, time limits
 * and the final outcome. What may be sent again and what may be said follows
 * from the attempt's truth alone.
 *
 * @module
 */
import type { ServerResponse } from "node:http";
import type { Socket } from "node:net";
import type { ResendAsked, ResendKind } from "../admission/mod.ts";
import { AttemptTruth, type Send } from "../attempt/mod.ts";
import type { Choice, ServerRecord, StartedWork } from "../choice/mod.ts";
import {
  REFUSALS,
  type RefusalReason,
  type ResendReason,
} from "../model/outcome.ts";
import type { AnswerHead, MemorySource } from "../model/request.ts";
import {
  type AdmittedRequest,
  enginePriority,
  limitMilliseconds,
  promptTokens,
} from "./admitted_request.ts";
import { CallerAnswer } from "./caller_answer.ts";
import { comesAfter, EventFramer } from "./event_framer.ts";
import { HeldBody } from "./held_body.ts";
import { answerRefusal } from "./own_refusal.ts";
import {
  learnHoldTime,
  learnPlainTime,
  learnReadingRate,
  type TimedSend,
} from "./learned_answers.ts";
import type { RequestContext } from "./request_context.ts";
import { ResendRules } from "./resend_rules.ts";
import {
  type BudgetView,
  type NotRepeatedReason,
  RunRecord,
} from "./run_record.ts";
import { type MovableRun, RunMove, type Spending } from "./run_move.ts";
import { SendChooser } from "./send_chooser.ts";
import { StallWatch } from "./stall_watch.ts";

/**
 * A repeatable plain request is sent elsewhere after this multiple of the
 * route's target without an answer; twice the target leaves room for a queue.
 */
const PLAIN_STALL_TARGETS = 2;

/** The same for the first event of a resumable stream. */
const STREAM_STALL_TARGETS = 2.5;

const FIRST_SERVER_ERROR = 500;

/** Status of a server that is not the one that was named. */
const MISDIRECTED = 421;

const NOT_SURELY_DOWN = { surelyDown: false };

/** One send under way. */
interface CurrentSend extends TimedSend {
  readonly send: Send;
  readonly work: StartedWork;
  firstPartAt?: number;
}

/** A further send that is wanted. */
interface AskedAgain {
  readonly reason: ResendReason;
  /** The answer where none can be made. */
  readonly otherwise: RefusalReason;
  /** Hears where it went. */
  sent(next: ServerRecord): void;
}

/** The life of one admitted request. */
export class RequestRun {
  readonly request: AdmittedRequest;
  readonly #context: RequestContext;
  readonly #answer: CallerAnswer;
  readonly #record: RunRecord;
  readonly #truth: AttemptTruth;
  readonly #rules: ResendRules;
  readonly #framer = new EventFramer();
  /** Lives of servers that were sent the request. */
  readonly #tried = new Set<string>();
  readonly #deadlineAt: number;
  readonly #onFinished: (run: RequestRun) => void;
  #current: CurrentSend | undefined;
  #head: AnswerHead | undefined;
  readonly #held = new HeldBody();
  #lastEventId: string | undefined;
  /** Id of the last event of this answer. */
  #relayedId: string | undefined;
  readonly #move: RunMove;
  readonly #chooser: SendChooser;
  #cancelDeadline: () => void = () => undefined;
  readonly #stall: StallWatch;
  #failureAnswer: { head: AnswerHead; body: Buffer } | undefined;

  constructor(
    request: AdmittedRequest,
    exchange: {
      readonly response: ServerResponse;
      readonly onFinished: (run: RequestRun) => void;
    },
    context: RequestContext,
  ) {
    this.request = request;
    this.#context = context;
    this.#onFinished = exchange.onFinished;
    this.#record = new RunRecord(request, context);
    this.#stall = new StallWatch(context.clock, () => this.#stalled());
    this.#answer = new CallerAnswer(exchange.response, () =>
      context.endsConnections(),
    );
    this.#truth = new AttemptTruth(
      request.route.resumable ? "repeatable" : request.route.repeatability,
    );
    this.#rules = new ResendRules(request, this.#truth, context);
    this.#chooser = new SendChooser(
      {
        request,
        tried: this.#tried,
        finished: () => this.#answer.finished,
      },
      context,
    );
    this.#move = new RunMove(this.#movable(), context);
    this.#lastEventId = request.head.lastEventId;
    this.#deadlineAt = request.arrivedAt + limitMilliseconds(request);
    exchange.response.on("close", () => {
      if (!exchange.response.writableFinished) this.#callerLeft();
    });
  }

  /** The server that works on the request now. */
  get server(): ServerRecord | undefined {
    return this.#current?.choice.record;
  }

  /** Whether it is a stream whose memory may move to another engine. */
  get movable(): boolean {
    return (
      this.request.route.streaming &&
      (this.request.service.engine?.movable ?? false)
    );
  }

  /** Whether its caller is on a connection. */
  isAskedOn(connection: Socket): boolean {
    return this.#answer.isOn(connection);
  }

  /** Starts the first send. */
  start(): void {
    const wait = this.#deadlineAt - this.#now();
    this.#cancelDeadline = this.#context.clock.after(Math.max(0, wait), () =>
      this.#timedOut(),
    );
    this.#context.budget.requested(this.request.service.name, this.#asked());
    this.#sendToBest();
  }

  /** Moves a running stream to another engine, memory and all. */
  moveAway(): Promise<void> {
    return this.#move.moveAway();
  }

  /**
   * A life of a server has ended, as its next one tells. What ran there has
   * stopped, also where the connection has not broken yet.
   */
  serverEnded(record: ServerRecord): void {
    if (this.server !== record) return;
    this.#lost("connection_lost", "server started again");
  }

  /** What a move knows of this run, and has it do. */
  #movable(): MovableRun {
    return {
      attemptId: this.request.head.attemptId,
      record: this.#record,
      sentTo: () => this.#current?.choice,
      finished: () => this.#answer.finished,
      lastEventId: () => this.#lastEventId,
      remaining: () => this.#remaining(),
      choose: () => this.#chooser.forMove(),
      spend: (kind) => this.#spend(kind),
      notRepeated: (...told) => this.#notRepeated(...told),
      stopped: () => {
        this.#endCurrent(true);
        this.#truth.handle({ type: "stopped" });
      },
      sendOn: (choice, memory) => this.#sendOn(choice, memory),
      memoryLost: (reason) => {
        // Only what may be repeated begins anew.
        this.#truth.handle({ type: "memory_lost" });
        this.#resend(reason, "unknown_outcome");
      },
      lost: () => this.#lost("stream_broken", "move failed"),
    };
  }

  #now(): number {
    return this.#context.clock.now();
  }

  #remaining(): number {
    return this.#deadlineAt - this.#now();
  }

  #sendToBest(): void {
    this.#chooser.first({
      chosen: (choice) => this.#sendFirst(choice),
      none: (reason) => this.#giveUp(reason),
    });
  }

  /** Goes on from kept memory; a limited server needs a turn for it. */
  #sendOn(choice: Choice, memory: MemorySource): void {
    const may = this.#chooser.mayGoOnAt(choice);
    if (may === true) this.#sendTo(choice, memory);
    else void this.#sendOnOnce(may, { choice, memory });
  }

  async #sendOnOnce(
    may: boolean | Promise<boolean>,
    {
      choice,
      memory,
    }: { readonly choice: Choice; readonly memory: MemorySource },
  ): Promise<void> {
    const hasTurn = await may;
    if (this.#answer.finished) return;
    if (hasTurn) this.#sendTo(choice, memory);
    else this.#move.goOnAfter("rejected");
  }

  #sendFirst(choice: Choice): void {
    const decision = this.#context.quarantine.begin(this.request.fingerprint);
    if (decision.kind === "held") this.#giveUp("quarantined");
    else this.#sendTo(choice);
  }

  #sendTo(choice: Choice, memorySource?: MemorySource): void {
    const { record } = choice;
    const { request } = this;
    const parts = request.head.promptParts;
    const tokens = promptTokens(request.head);
    const unreadBefore = record.unreadTokens(this.#now());
    this.#tried.add(record.life);
    this.#record.sentTo(record, {
      continues: memorySource !== undefined,
      lastEventId: this.#lastEventId,
      possibleRuns: this.#truth.possibleRuns,
    });
    const unread = memorySource === undefined ? tokens - choice.keptTokens : 0;
    const work = record.started(Math.max(0, unread));
    if (request.service.engine !== undefined) {
      this.#context.prefixes.stored(
        record.entry.id,
        parts,
        request.service.engine.memoryTokens,
      );
      this.#context.dispatched(record, {
        service: request.service.name,
        parts: parts.slice(0, -1),
        unreadTokens: Math.max(0, unread),
      });
    }
    const send = this.#context.client.send(
      record.entry,
      {
        method: request.head.method,
        target: request.head.target,
        body: request.body,
        headers: this.#context.codec.encodeSend(request.head, {
          serverId: record.entry.id,
          workspace: request.workspace?.name,
          remainingMilliseconds: Math.max(1, Math.floor(this.#remaining())),
          enginePriority: enginePriority(request),
          lastEventId: this.#lastEventId,
          memorySource,
          copyPartsFrom:
            memorySource === undefined
              ? choice.copyFrom?.entry.address
              : undefined,
        }),
      },
      {
        written: () => this.#truth.handle({ type: "written" }),
        head: (status, raw) =>
          this.#headCame(this.#context.codec.decodeAnswer(status, raw)),
        data: (chunk) => this.#dataCame(chunk),
        ended: () => this.#answerEnded(),
        failed: (failure, detail) =>
          failure === "not_written"
            ? this.#notWritten(detail)
            : this.#lost("connection_lost", detail),
      },
    );
    this.#current = {
      choice,
      send,
      work,
      sentAt: this.#now(),
      unreadBefore,
    };
    this.#stall.start(this.#firstStallMilliseconds());
  }

  #firstStallMilliseconds(): number {
    const { route } = this.request;
    return (
      route.targetMilliseconds *
      (route.streaming ? STREAM_STALL_TARGETS : PLAIN_STALL_TARGETS)
    );
  }

  /** Goes elsewhere after a silence, where a second run does no harm. */
  #stalled(): void {
    const current = this.#current;
    if (current === undefined || this.#move.stopping) return;
    this.#fellSilent(current);
    if (!this.#rules.mayLeaveRun) return;
    // A late answer is better than none, where nobody else can give one.
    if (!this.#chooser.hasOther) {
      this.#stall.start(this.#firstStallMilliseconds());
      return;
    }
    this.#truth.handle({ type: "lost" });
    this.#move.drop();
    this.#endCurrent(true);
    this.#record.lost("stalled", {
      detail: "silent",
      server: current.choice.record,
      relayed: this.#truth.relayed,
    });
    this.#resend("stalled", "timed_out", (next) => {
      if (this.movable) this.#move.stopLeft(current.choice.record, next);
    });
  }

  #headCame(head: AnswerHead): void {
    const current = this.#current;
    if (current === undefined) return;
    this.#readStatements(head, current.choice.record);
    const unusable = this.#whyUnusable(head);
    if (unusable !== undefined) {
      current.send.abort();
      this.#lost("answer_not_usable", unusable);
      return;
    }
    if (head.load !== undefined) {
      current.choice.record.reported(head.load, this.#now());
    }
    this.#head = head;
    if (head.notExecuted) return;
    current.work.taken();
    const success = isSuccess(head.status);
    if (success && !head.signed) {
      current.send.abort();
      this.#lost("answer_not_usable", "not signed");
      return;
    }
    const goesOn = this.#truth.state === "resuming";
    this.#truth.handle({ type: "answered" });
    this.#move.wentOn();
    if (!success && this.#answer.started) this.#resumeRefused(head);
    // The server that stopped the run for a move ends soon all the same.
    else if (goesOn && current.choice.record.entry.state === "leaving") {
      void this.moveAway();
    }
  }

  /**
   * Takes in what a server says of itself, also where its answer is of no use.
   * Whoever answers in the place of a server, or without an id, tells nothing of it.
   */
  #readStatements(head: AnswerHead, record: ServerRecord): void {
    if (head.status === MISDIRECTED || head.attemptId === undefined) return;
    const isLate = head.attemptId !== this.request.head.attemptId;
    this.#context.statements.read(record, head.says, { isLate });
  }

  /**
   * Why an answer counts for nothing. One that does not name this request may be
   * a late one, in the place of the answer that is due: believed, a rejection
   * would have a request sent again while its server runs it.
   */
  #whyUnusable(head: AnswerHead): string | undefined {
    if (head.encoded) return "encoded";
    if (head.attemptId === this.request.head.attemptId) return undefined;
    return head.attemptId === undefined ? "without an id" : "crossed";
  }

  /** A server ran a resumed stream's request and answered with a failure. */
  #resumeRefused(head: AnswerHead): void {
    this.#current?.send.abort();
    this.#lost("server_error", `status ${head.status}`);
  }

  #dataCame(chunk: Buffer): void {
    const current = this.#current;
    const head = this.#head;
    if (current === undefined || head === undefined) return;
    const streams =
      this.request.route.streaming &&
      isSuccess(head.status) &&
      !head.notExecuted;
    if (streams && this.#truth.state === "running") this.#relay(chunk, current);
    else this.#hold(chunk, current);
  }

  #hold(chunk: Buffer, current: CurrentSend): void {
    if (this.#held.push(chunk)) return;
    current.send.abort();
    this.#lost("answer_not_usable", "larger than what is held back");
  }

  #relay(chunk: Buffer, current: CurrentSend): void {
    const frames = this.#framer.push(chunk);
    if (frames.count === 0) return;
    if (!this.#answer.started) this.#firstEvent(current);
    // A server that begins a stream anew must not reach a caller who has a part.
    else if (!comesAfter(frames.firstId, this.#relayedId)) {
      current.send.abort();
      this.#lost("answer_not_usable", "event came before");
      return;
    }
    this.#truth.handle({ type: "relayed" });
    this.#relayedId = frames.lastId ?? this.#relayedId;
    this.#lastEventId = this.#relayedId ?? this.#lastEventId;
    this.#stall.eventCame();
    if (this.#answer.write(frames.bytes)) return;
    current.send.pause();
    this.#answer.onceDrained(() => current.send.resume());
  }

  #firstEvent(current: CurrentSend): void {
    const head = this.#head;
    if (head === undefined) return;
    current.work.readPrompt();
    current.firstPartAt = this.#now();
    this.#record.began();
    this.#record.firstPart();
    if (this.#record.sends === 1) {
      const send = { ...current, now: this.#now() };
      learnReadingRate(this.request, send, this.#context);
    }
    this.#answer.begin(head.status, head.forwarded);
  }

  #answerEnded(): void {
    const current = this.#current;
    const head = this.#head;
    if (current === undefined || head === undefined) return;
    if (head.notExecuted) this.#rejected(head);
    else if (this.request.route.streaming && isSuccess(head.status)) {
      this.#streamEnded(current);
    } else this.#wholeAnswer(head, current);
  }

  #streamEnded(current: CurrentSend): void {
    if (this.#framer.pendingBytes > 0 || this.#truth.state !== "running") {
      this.#lost("stream_broken", "ended within an event");
      return;
    }
    if (!this.#answer.started) this.#firstEvent(current);
    const { firstPartAt } = current;
    const stream = { firstPartAt, now: this.#now() };
    learnHoldTime(this.request, stream, this.#context);
    current.choice.record.succeeded();
    this.#context.quarantine.ranWhole(this.request.fingerprint);
    this.#finish("completed");
    this.#answer.end();
  }

  #wholeAnswer(head: AnswerHead, current: CurrentSend): void {
    const body = this.#held.whole();
    const answered = { sentAt: current.sentAt, now: this.#now() };
    learnPlainTime(this.request, answered, this.#context);
    this.#record.began();
    this.#context.quarantine.ranWhole(this.request.fingerprint);
    const failed = head.status >= FIRST_SERVER_ERROR;
    if (failed) current.choice.record.failed(this.#now(), NOT_SURELY_DOWN);
    else current.choice.record.succeeded();
    if (failed && this.#rules.mayLeaveRun) {
      this.#failureAnswer = { head, body };
      this.#truth.handle({ type: "lost" });
      this.#endCurrent(false);
      this.#record.lost("server_error", {
        detail: `status ${head.status}`,
        server: current.choice.record,
        relayed: this.#truth.relayed,
      });
      this.#resend("server_error", "answer_broken");
      return;
    }
    this.#record.firstPart(failed);
    this.#finish(failed ? "server_error" : "completed", head.status);
    this.#answer.whole(head.status, head.forwarded, body);
  }

  #rejected(head: AnswerHead): void {
    this.#truth.handle({ type: "rejected" });
    const current = this.#current;
    // The address belongs to another server now, or to none.
    if (head.status === MISDIRECTED) this.#unreachable(current);
    else if (current !== undefined) this.#turnedAwayBy(current.choice.record);
    this.#endCurrent(false);
    this.#context.metrics.event(`rejected_${head.status}`);
    this.#record.rejected(head.status);
    this.#sendFailed("rejected", "servers_full");
  }

  /** A server in need says so already, and is not left out for it besides. */
  #turnedAwayBy(record: ServerRecord): void {
    const now = this.#now();
    if (record.rest.holds(now)) return;
    if (this.#context.turns.limitOf(record) !== undefined) return;
    record.rejected(now);
  }

  #notWritten(detail: string): void {
    this.#truth.handle({ type: "not_written" });
    const record = this.#current?.choice.record;
    this.#unreachable(this.#current);
    this.#endCurrent(false);
    this.#record.lost("not_connected", {
      detail,
      server: record,
      relayed: this.#truth.relayed,
    });
    this.#sendFailed("not_connected", "no_server");
  }

  #unreachable(current: CurrentSend | undefined): void {
    if (current === undefined) return;
    current.choice.record.failed(this.#now(), { surelyDown: true });
    this.#move.unreachable(current.choice);
  }

  /** A send surely ran nothing: what it carried may be sent again. */
  #sendFailed(reason: ResendReason, otherwise: RefusalReason): void {
    // A stopped run is still there, so the request must not begin anew.
    if (this.#truth.mayGoOn) this.#move.goOnAfter(reason);
    else this.#resend(reason, otherwise);
  }

  #lost(reason: ResendReason, detail: string): void {
    const record = this.#current?.choice.record;
    if (this.#move.stopping) {
      this.#move.lostWhileStopping();
      return;
    }
    const before = this.#truth.state;
    this.#truth.handle({ type: "lost" });
    if (record !== undefined) {
      record.failed(this.#now(), NOT_SURELY_DOWN);
      this.#rules.lostAt(record);
      // Before the next send: one request may crash each server that begins it.
      if (reason === "connection_lost") {
        this.#context.quarantine.lost(this.request.fingerprint, record);
      }
    }
    this.#endCurrent(true);
    this.#record.lost(reason, {
      detail,
      server: record,
      relayed: this.#truth.relayed,
    });
    if (before === "waiting") {
      this.#resend("not_connected", "no_server");
      return;
    }
    // A server may have gone on from the memory; it serves once.
    this.#move.drop();
    this.#resend(reason, "unknown_outcome");
  }

  /** Sends the request elsewhere, if anything allows; `sent` hears where. */
  #resend(
    reason: ResendReason,
    otherwise: RefusalReason,
    sent: (next: ServerRecord) => void = () => undefined,
  ): void {
    if (this.#answer.finished) return;
    const asked = { reason, otherwise, sent };
    const forbidden = this.#rules.whyNotAgain(this.#remaining());
    if (forbidden !== undefined) {
      this.#notSentAgain(asked, forbidden);
      return;
    }
    this.#chooser.again({
      chosen: (choice) => this.#sendAgain(asked, choice),
      none: (why) => this.#notSentAgain(asked, why),
    });
  }

  #sendAgain(asked: AskedAgain, choice: Choice): void {
    const { granted, view } = this.#spend("repeat");
    if (!granted) {
      this.#notSentAgain(asked, "budget_spent", view);
      return;
    }
    this.#rules.repeated();
    this.#record.resent(asked.reason, view);
    this.#sendTo(choice);
    asked.sent(choice.record);
  }

  #notSentAgain(
    { reason, otherwise }: AskedAgain,
    why: NotRepeatedReason,
    budget?: BudgetView,
  ): void {
    this.#notRepeated(reason, why, budget);
    this.#giveUp(otherwise);
  }

  /** Spends one further send, if the budget allows. */
  #spend(kind: ResendKind): Spending {
    const { budget } = this.#context;
    const { name } = this.request.service;
    const asked = this.#asked();
    const view = { ...budget.state(name, asked), hosts: asked.hosts };
    return { granted: budget.spend(name, { ...asked, kind }), view };
  }

  #asked(): ResendAsked {
    return { now: this.#now(), hosts: this.#context.listedHosts() };
  }

  #notRepeated(
    reason: ResendReason,
    why: NotRepeatedReason,
    budget?: BudgetView,
  ): void {
    const { possibleRuns } = this.#truth;
    this.#record.notRepeated(reason, { why, possibleRuns, budget });
  }

  #timedOut(): void {
    if (this.#answer.finished) return;
    const unsent = this.#truth.surelyNotRun;
    this.#noteSilence();
    this.#current?.send.abort();
    this.#endCurrent(true);
    this.#giveUp(unsent ? "deadline_passed" : "timed_out");
  }

  /** Ends with an answer of this host's own that is true. */
  #giveUp(reason: RefusalReason): void {
    if (this.#answer.finished) return;
    const failure = this.#failureAnswer;
    if (this.#answer.started) {
      this.#finish(reason);
      this.#answer.breakOff();
    } else if (failure !== undefined) {
      const { head, body } = failure;
      this.#finish(reason, head.status);
      this.#answer.whole(head.status, head.forwarded, body);
    } else {
      const truthful =
        REFUSALS[reason].notRun && !this.#truth.surelyNotRun
          ? "unknown_outcome"
          : reason;
      this.#finish(truthful, REFUSALS[truthful].status);
      const exchange = { request: this.request, answer: this.#answer };
      answerRefusal(truthful, exchange, this.#context);
    }
  }

  /** Ends the answer because the process ends. */
  cutOff(): void {
    if (this.#answer.finished) return;
    this.#finish("cut_off");
    this.#answer.breakOff();
  }

  #callerLeft(): void {
    if (this.#answer.finished) return;
    this.#answer.abandoned();
    this.#noteSilence();
    this.#current?.send.abort();
    this.#finish("caller_left");
  }

  /** A server that gave no head for long counts as failing. */
  #noteSilence(): void {
    const current = this.#current;
    if (current === undefined || this.#head !== undefined) return;
    const waited = this.#now() - current.sentAt;
    if (waited >= this.#firstStallMilliseconds()) this.#fellSilent(current);
  }

  #fellSilent({ choice: { record } }: CurrentSend): void {
    record.failed(this.#now(), NOT_SURELY_DOWN);
    this.#context.quarantine.silent(this.request.fingerprint, record);
  }

  /** Ends the current send's part in the counts; forgets what it brought. */
  #endCurrent(abort: boolean): void {
    this.#stall.stop();
    if (abort) this.#current?.send.abort();
    this.#current?.work.ended();
    this.#current = undefined;
    this.#head = undefined;
    this.#framer.reset();
    this.#held.reset();
  }

  /**
   * Ends the run. Its line goes out before the end of its answer, so that a host
   * that is killed right after the answer has told of it.
   */
  #finish(outcome: string, status = this.#answer.status): void {
    this.#cancelDeadline();
    this.#move.drop();
    this.#truth.handle({ type: "ended" });
    this.#endCurrent(false);
    this.#record.ended(outcome, status);
    this.#onFinished(this);
  }
}

function isSuccess(status: number): boolean {
  return status >= 200 && status < 300;
}
