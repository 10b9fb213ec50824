// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Handles one request from admission to its answer: sends, resends, relay, time
 * limits and the final outcome. The state of the attempt alone decides whether
 * the request may be sent again and which answers the caller may get.
 *
 * @module
 */
import type { ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { runInBackground } from "rampswitch-utils";
import {
  type AnswerFraming,
  AttemptTracker,
  END_DOUBTS,
  type EndDoubt,
} from "../attempt/mod.ts";
import type { Choice, ServerRecord } from "../choice/mod.ts";
import {
  REFUSALS,
  type RefusalReason,
  type ResendReason,
} from "../model/outcome.ts";
import type { AnswerHead, MemorySource } from "../model/request.ts";
import type { AnsweredParts } from "../quarantine/mod.ts";
import {
  type AdmittedRequest,
  timeLimitMilliseconds,
} from "./admitted_request.ts";
import { MISDIRECTED, readHead } from "./answer_head.ts";
import { CallerAnswer } from "./caller_answer.ts";
import { LostSends } from "./lost_sends.ts";
import { prepareRefusal, type RefusalTerms } from "./own_refusal.ts";
import {
  observeAnswer,
  observeFirstPart,
  observeRejection,
} from "./observed_answers.ts";
import {
  openSend,
  prepareSend,
  type RequestSend,
  type SendHandlers,
  type WantedResend,
} from "./sends.ts";
import { type ReplaceableRun, Replacement } from "./replacement.ts";
import type { RequestContext } from "./request_context.ts";
import { ResendRules } from "./resend_rules.ts";
import {
  type BudgetView,
  type NotRepeatedReason,
  RunRecord,
} from "./run_record.ts";
import { RunBudget } from "./run_budget.ts";
import { RunStops } from "./run_stops.ts";
import { type MigratableRun, RunMigration } from "./run_migration.ts";
import { SendChooser } from "./send_chooser.ts";
import { firstStallMilliseconds, StallWatch } from "./stall_watch.ts";
import { StreamVersion } from "./stream_version.ts";
import { doubtAbout } from "./unframed_end.ts";
import { isServerError, isSuccess, unusableFrames } from "./unusable_answer.ts";

const STARTED_AGAIN = "server started again";

/** Handles one admitted request until its caller has an answer. */
export class RequestRun {
  readonly request: AdmittedRequest;
  readonly #context: RequestContext;
  readonly #answer: CallerAnswer;
  readonly #record: RunRecord;
  readonly #tracker: AttemptTracker;
  readonly #rules: ResendRules;
  readonly #budget: RunBudget;
  readonly #lostSends: LostSends;
  readonly #stops: RunStops;
  /** Server incarnations that the request was sent to. */
  readonly #tried = new Set<string>();
  readonly #deadlineAt: number;
  readonly #onFinished: (run: RequestRun) => void;
  #current: RequestSend | undefined;
  /** Replacements of a silent send; most runs have none. */
  #startedReplacement: Replacement | undefined;
  /** Handles what comes of the present send. */
  readonly #handlers: SendHandlers = {
    written: () => this.#tracker.handle({ type: "written" }),
    head: (send, head) => this.#handleHead(send, head),
    data: (send, chunk) => this.#handleData(send, chunk),
    ended: (_send, framing) => this.#handleAnswerEnd(framing),
    notWritten: (_send, detail) => this.#handleNotWritten(detail),
    lost: (_send, detail) => this.#handleLoss("connection_lost", detail),
  };
  #lastEventId: string | undefined;
  /** Id of the last event that was relayed in this answer. */
  #lastRelayedId: string | undefined;
  /** Migrations of the run; most runs never migrate. */
  #startedMigration: RunMigration | undefined;
  readonly #streamVersion: StreamVersion;
  readonly #sendChooser: SendChooser;
  #cancelDeadline: () => void = () => undefined;
  readonly #stallWatch: StallWatch;
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
    this.#stallWatch = new StallWatch(context, () => this.#handleStall());
    this.#answer = new CallerAnswer(exchange.response, () =>
      context.closesConnections(),
    );
    this.#tracker = new AttemptTracker(
      request.route.resumable ? "repeatable" : request.route.repeatability,
    );
    this.#streamVersion = new StreamVersion(request, context);
    const rules = new ResendRules(request, this.#tracker, context);
    this.#rules = rules;
    this.#budget = new RunBudget(request, context);
    const stops = new RunStops(context);
    this.#stops = stops;
    const present = () => this.server;
    this.#lostSends = new LostSends(
      { request, rules, stops, present },
      context,
    );
    this.#sendChooser = new SendChooser(
      {
        request,
        tried: this.#tried,
        stream: this.#streamVersion,
        finished: () => this.#answer.finished,
        shortOfRoom: (refusal) => this.#record.shortOfRoom(refusal),
      },
      context,
    );
    this.#lastEventId = request.head.lastEventId;
    this.#deadlineAt = request.arrivedAt + timeLimitMilliseconds(request);
    exchange.response.on("close", () => {
      if (!exchange.response.writableFinished) this.#handleCallerDisconnect();
    });
  }

  /** The server that the request is at now. */
  get server(): ServerRecord | undefined {
    return this.#current?.choice.record;
  }

  /** The prompt that is being answered, and since when; `undefined` before that. */
  get answering(): AnsweredParts | undefined {
    const beganAt = this.#current?.answeringSince;
    if (beganAt === undefined) return undefined;
    return { parts: this.request.fingerprint.sharedParts, beganAt };
  }

  /** Whether it is a stream whose KV-cache memory can migrate to another engine. */
  get migratable(): boolean {
    return (
      this.request.route.streaming &&
      (this.request.service.engine?.migratable ?? false)
    );
  }

  /** Whether the answer goes out on a connection. */
  isAnsweredOn(connection: Socket): boolean {
    return this.#answer.isOnConnection(connection);
  }

  /** Starts the deadline and the first send. */
  start(): void {
    this.#budget.recordRequest();
    const wait = this.#remaining();
    if (wait <= 0) {
      this.#handleTimeout();
      return;
    }
    const { clock } = this.#context;
    this.#cancelDeadline = clock.after(wait, () => this.#handleTimeout());
    if (this.#streamVersion.isTakenUp) {
      const find = () => this.#findVersion();
      runInBackground("version of a stream", this.#context, find);
    } else this.#chooseFirstSend();
  }

  /** Starts to migrate a running stream to another engine, with its memory. */
  startMigration(): void {
    this.#migration.start();
  }

  /**
   * Handles the end of a server's incarnation, known from the start of its next
   * one. Whatever ran there has stopped, even if the connection is still open.
   */
  serverEnded(record: ServerRecord): void {
    if (this.server === record)
      this.#handleLoss("connection_lost", STARTED_AGAIN);
    else this.#startedReplacement?.serverEnded(record, STARTED_AGAIN);
  }

  get #migration(): RunMigration {
    this.#startedMigration ??= new RunMigration(
      this.#migratableRun(),
      this.#context,
    );
    return this.#startedMigration;
  }

  /** Whether the run's stop is requested, so that its stream may end. */
  get #stopping(): boolean {
    return this.#startedMigration?.stopping ?? false;
  }

  /** This run, as its migrations see it. */
  #migratableRun(): MigratableRun {
    return {
      attemptId: this.request.head.attemptId,
      record: this.#record,
      stops: this.#stops,
      // A run whose replacement is under way doesn't move.
      sentTo: () => (this.#isReplaced ? undefined : this.#current?.choice),
      finished: () => this.#answer.finished,
      lastEventId: () => this.#lastEventId,
      remaining: () => this.#remaining(),
      canRunAgain: () => this.#rules.canAbandonRun && this.#budget.allowsRepeat,
      choose: ({ version }) => this.#sendChooser.chooseForMigration(version),
      spend: (kind) => this.#budget.spend(kind),
      notRepeated: (...inputs) => this.#recordNotRepeated(...inputs),
      stopped: () => {
        this.#endCurrentSend(true);
        this.#tracker.handle({ type: "stopped" });
      },
      canContinueAt: (choice) => this.#sendChooser.canContinueAt(choice),
      continueAt: (choice, memory) => this.#sendTo(choice, memory),
      memoryLost: (reason) => {
        // The resend rules restart only a request that may be repeated.
        this.#tracker.handle({ type: "memory_lost" });
        this.#resend(reason, "unknown_outcome");
      },
      lost: () => this.#handleLoss("stream_broken", "migration failed"),
      ended: () => this.#handleAnswerEnd("unframed"),
    };
  }

  get #isReplaced(): boolean {
    return this.#startedReplacement?.isUnderWay === true;
  }

  get #replacement(): Replacement {
    this.#startedReplacement ??= new Replacement(
      this.#replaceableRun(),
      this.#context,
    );
    return this.#startedReplacement;
  }

  /** This run, as the replacement of its silent send sees it. */
  #replaceableRun(): ReplaceableRun {
    return {
      record: this.#record,
      rules: this.#rules,
      budget: this.#budget,
      lostSends: this.#lostSends,
      chooser: this.#sendChooser,
      stream: this.#streamVersion,
      present: () => this.#current,
      relayed: () => this.#tracker.relayed,
      remaining: () => this.#remaining(),
      prepare: (choice) => this.#prepare(choice),
      open: (send) => this.#open(send),
      readHead: (send, head) => readHead(send, head, this.#exchange),
      adopt: (send, head) => {
        this.#tracker.handle({ type: "lost" });
        this.#startedMigration?.resumption.drop();
        this.#endLostSend("stalled", "silent", { abort: true });
        this.#goOnWith(send);
        this.#handleAccepted(send, head);
      },
      ranElsewhere: () => this.#tracker.handle({ type: "ran_elsewhere" }),
      notRepeated: (...inputs) => this.#recordNotRepeated("stalled", ...inputs),
    };
  }

  get #exchange() {
    return { request: this.request, context: this.#context };
  }

  #now(): number {
    return this.#context.clock.now();
  }

  #remaining(): number {
    return this.#deadlineAt - this.#now();
  }

  async #findVersion(): Promise<void> {
    const refusal = await this.#streamVersion.find();
    if (this.#answer.finished) return;
    if (refusal === undefined) this.#chooseFirstSend();
    else this.#giveUp(refusal);
  }

  #chooseFirstSend(): void {
    this.#sendChooser.chooseForFirstSend({
      chosen: (choice) => this.#sendFirst(choice),
      none: (reason) => this.#giveUp(reason),
    });
  }

  #sendFirst(choice: Choice): void {
    const decision = this.#context.quarantine.begin(this.request.fingerprint);
    if (decision.kind === "held") this.#giveUp("quarantined");
    else this.#sendTo(choice);
  }

  #sendTo(choice: Choice, memorySource?: MemorySource): void {
    const send = this.#prepare(choice, memorySource);
    this.#goOnWith(send);
    this.#open(send);
  }

  #prepare(choice: Choice, memorySource?: MemorySource): RequestSend {
    const sends = { record: this.#record, tried: this.#tried };
    return prepareSend({ ...sends, ...this.#exchange }, choice, {
      remainingMilliseconds: this.#remaining(),
      lastEventId: this.#lastEventId,
      memorySource,
      possibleRuns: this.#tracker.possibleRuns,
    });
  }

  /** Makes a send the present one, as soon as it is made or after a silent one. */
  #goOnWith(send: RequestSend): void {
    this.#current = send;
    if (send.isWritten) this.#tracker.handle({ type: "written" });
    this.#stallWatch.start(firstStallMilliseconds(this.request.route));
  }

  #open(send: RequestSend): void {
    const handlers = () => {
      if (this.#current === send) return this.#handlers;
      return this.#startedReplacement?.handlersOf(send);
    };
    openSend(send, handlers, this.#context.codec);
  }

  /** Has another server take a silent send's request, if it may run a second time. */
  #handleStall(): void {
    const current = this.#current;
    if (current === undefined) return;
    // A stop that was requested may leave the run where it is.
    if (this.#stopping) {
      this.#stallWatch.lookAgain();
      return;
    }
    this.#lostSends.unresponsive(current);
    if (!this.#rules.canAbandonRun) return;
    this.#stallWatch.extend(firstStallMilliseconds(this.request.route));
    this.#replacement.start();
  }

  /** Notes that the present send goes on, so that it needs no replacement. */
  #goesOn(): void {
    if (!this.#isReplaced) return;
    this.#replacement.drop();
    const isLeaving = this.server?.entry.state === "leaving";
    if (isLeaving && this.migratable) this.startMigration();
  }

  #handleHead(current: RequestSend, head: AnswerHead): void {
    const unusable = readHead(current, head, this.#exchange);
    if (unusable !== undefined) {
      this.#handleUnusable(unusable);
      return;
    }
    current.head = head;
    if (head.notExecuted) return;
    if (isSuccess(head.status)) this.#goesOn();
    this.#handleAccepted(current, head);
  }

  /** Handles the head of an answer that is no rejection. */
  #handleAccepted(current: RequestSend, head: AnswerHead): void {
    current.head = head;
    const resumes = this.#tracker.state === "resuming";
    this.#tracker.handle({ type: "answered" });
    this.#startedMigration?.resumption.resumed();
    if (!isSuccess(head.status) && this.#answer.started)
      this.#handleFailedResume(head);
    // The server that stopped the run for a migration still ends soon, so a run
    // that resumed there must migrate again.
    else if (resumes && current.choice.record.entry.state === "leaving") {
      this.startMigration();
    }
  }

  /** Handles a failure answer to the request of a resumed stream. */
  #handleFailedResume(head: AnswerHead): void {
    this.#current?.abort();
    this.#handleLoss("server_error", `status ${head.status}`);
  }

  #handleData(current: RequestSend, chunk: Buffer): void {
    const { head } = current;
    if (head === undefined) return;
    const isStream =
      this.request.route.streaming &&
      isSuccess(head.status) &&
      !head.notExecuted;
    if (isStream && this.#tracker.state === "running")
      this.#relay(chunk, current);
    else this.#buffer(chunk, current);
  }

  #buffer(chunk: Buffer, current: RequestSend): void {
    if (!current.body.push(chunk))
      this.#handleUnusable("body exceeds the buffer limit");
  }

  #handleUnusable(detail: string): void {
    this.#current?.abort();
    this.#handleLoss("answer_not_usable", detail);
  }

  #relay(chunk: Buffer, current: RequestSend): void {
    const frames = current.framer.push(chunk);
    const unusable = unusableFrames(frames, this.#lastRelayedId);
    if (unusable !== undefined) {
      this.#handleUnusable(unusable);
      return;
    }
    if (frames.count === 0) return;
    if (!this.#answer.started) this.#beginStream(current);
    if (!this.#tracker.relayed) this.#tracker.handle({ type: "relayed" });
    current.events += frames.count;
    current.answeringSince ??= this.#now();
    this.#lastRelayedId = frames.lastId ?? this.#lastRelayedId;
    this.#lastEventId = this.#lastRelayedId ?? this.#lastEventId;
    this.#stallWatch.eventReceived();
    this.#goesOn();
    if (!this.#answer.write(frames.bytes)) this.#waitForCaller(current);
  }

  /** Reads nothing of the answer until the caller has read what was written. */
  #waitForCaller(current: RequestSend): void {
    current.pause();
    this.#stallWatch.stop();
    this.#answer.onceDrained(() => {
      current.resume();
      if (this.#current === current) this.#stallWatch.start();
    });
  }

  #beginStream(current: RequestSend): void {
    const { head } = current;
    if (head === undefined) return;
    current.work.prefillEnded();
    current.firstPartAt = this.#now();
    this.#streamVersion.began(current.version, current.choice.record);
    this.#record.began();
    this.#record.firstPart(current.observer);
    if (this.#record.sends === 1) {
      this.#record.compared(
        observeFirstPart(this.request, current, this.#context),
      );
    }
    this.#answer.begin(head.status, head.forwarded);
  }

  #handleAnswerEnd(framing: AnswerFraming): void {
    const current = this.#current;
    const head = current?.head;
    if (current === undefined || head === undefined) return;
    if (this.#startedMigration?.takesEnd(framing) === true) return;
    this.#record.answerEnded(framing);
    const doubt = framing === "framed" ? undefined : this.#doubtAboutEnd(head);
    if (doubt !== undefined) {
      this.#handleLoss("connection_lost", END_DOUBTS[doubt]);
      return;
    }
    if (head.notExecuted) this.#handleRejection(current, head);
    else if (this.request.route.streaming && isSuccess(head.status)) {
      this.#handleStreamEnd(current);
    } else this.#handleWholeAnswer(current, { head, framing });
  }

  /** Why the end of an answer without framing proves nothing; failures have their status. */
  #doubtAboutEnd({ status }: AnswerHead): EndDoubt | undefined {
    const current = this.#current;
    if (current === undefined || !isSuccess(status)) return undefined;
    return doubtAbout({
      hasContent: this.#tracker.relayed || !this.request.route.streaming,
      remainingMilliseconds: this.#remaining(),
      mayHaveBeenStopped: this.#stops.mayHaveStopped(current.choice.record),
    });
  }

  #handleStreamEnd(current: RequestSend): void {
    if (current.framer.isWithinEvent || this.#tracker.state !== "running") {
      this.#handleLoss("stream_broken", END_DOUBTS.within_event);
      return;
    }
    if (!this.#answer.started) this.#beginStream(current);
    const { pending } = current.framer;
    if (pending.length > 0) this.#answer.write(pending);
    this.#observeAnswer(current);
    this.#streamVersion.completed();
    current.choice.record.succeeded();
    this.#recordCompletion(current, true);
    this.#finish("completed");
    this.#answer.end();
  }

  #observeAnswer(current: RequestSend): void {
    const { choice, sentAt, unreadBefore, firstPartAt, events } = current;
    const isOnlySend = this.#record.sends === 1;
    const timed = { choice, sentAt, unreadBefore, firstPartAt };
    const answer = { ...timed, events, isOnlySend };
    this.#record.compared(observeAnswer(this.request, answer, this.#context));
  }

  #handleWholeAnswer(
    current: RequestSend,
    { head, framing }: { head: AnswerHead; framing: AnswerFraming },
  ): void {
    const body = current.body.toBuffer();
    if (isSuccess(head.status)) this.#observeAnswer(current);
    this.#record.began();
    this.#recordCompletion(current, isSuccess(head.status));
    const failed = isServerError(head.status);
    if (failed) this.#lostSends.failed(current);
    else current.choice.record.succeeded();
    if (failed && this.#rules.canAbandonRun) {
      this.#failureAnswer = { head, body };
      this.#tracker.handle({ type: "lost" });
      const detail = `status ${head.status}`;
      this.#endLostSend("server_error", detail, { abort: false });
      this.#resend("server_error", "answer_broken");
      return;
    }
    this.#record.firstPart(current.observer, failed);
    this.#finish(failed ? "server_error" : "completed", head.status);
    this.#answer.sendWhole(head.status, head.forwarded, { body, framing });
  }

  #recordCompletion(current: RequestSend, succeeded: boolean): void {
    this.#context.quarantine.recordCompletion(this.request.fingerprint, {
      succeeded,
      beganAt: current.answeringSince ?? current.sentAt,
    });
  }

  #handleRejection(current: RequestSend, { status }: AnswerHead): void {
    this.#tracker.handle({ type: "rejected" });
    // The address now belongs to another server, or to none.
    if (status === MISDIRECTED) this.#recordUnreachable(current);
    else observeRejection(current.choice.record, this.#context);
    this.#endCurrentSend(false);
    this.#record.rejected(current, status);
    this.#resendOrResume("rejected", "servers_full");
  }

  #handleNotWritten(detail: string): void {
    this.#tracker.handle({ type: "not_written" });
    this.#recordUnreachable(this.#current);
    this.#endLostSend("not_connected", detail, { abort: false });
    this.#resendOrResume("not_connected", "no_server");
  }

  #recordUnreachable(current: RequestSend | undefined): void {
    if (current === undefined) return;
    current.choice.record.failed(this.#now(), { surelyDown: true });
    this.#migration.resumption.markUnreachable(current.choice);
  }

  /** Sends the request again after a send that certainly ran nothing. */
  #resendOrResume(reason: ResendReason, fallback: RefusalReason): void {
    // A suspended run still exists, so the request must not start a second one.
    if (this.#tracker.canResume) this.#migration.resumption.resumeAfter(reason);
    else this.#resend(reason, fallback);
  }

  #handleLoss(reason: ResendReason, detail: string): void {
    if (this.#stopping) {
      this.#migration.noteLostWhileStopping();
      return;
    }
    const before = this.#tracker.state;
    this.#tracker.handle({ type: "lost" });
    if (this.#current !== undefined)
      this.#lostSends.lost(this.#current, reason);
    this.#endLostSend(reason, detail, { abort: true });
    if (before === "waiting") {
      this.#resend("not_connected", "no_server");
      return;
    }
    // A server may already have resumed from the memory, which works only once.
    this.#startedMigration?.resumption.drop();
    this.#resend(reason, "unknown_outcome");
  }

  /** Sends the request to another server, if permitted. */
  #resend(reason: ResendReason, fallback: RefusalReason): void {
    if (this.#answer.finished) return;
    const wanted = { reason, fallback };
    const isUncertain = this.#streamVersion.broke();
    const taken = isUncertain ? undefined : this.#startedReplacement?.take();
    if (taken !== undefined) {
      this.#goOnWith(taken);
      return;
    }
    const forbidden = isUncertain
      ? "version_unknown"
      : this.#rules.reasonAgainstResend(this.#remaining());
    if (forbidden !== undefined) {
      this.#abandonResend(wanted, forbidden);
      return;
    }
    this.#sendChooser.chooseForResend({
      chosen: (choice) => this.#sendResend(wanted, choice),
      none: (why) => this.#abandonResend(wanted, why),
    });
  }

  #sendResend(wanted: WantedResend, choice: Choice): void {
    const { granted, view } = this.#budget.spend("repeat");
    if (!granted) {
      this.#abandonResend(wanted, "budget_spent", view);
      return;
    }
    this.#rules.recordRepeat();
    this.#record.resent(wanted.reason, view);
    this.#sendTo(choice);
  }

  #abandonResend(
    { reason, fallback }: WantedResend,
    why: NotRepeatedReason,
    budget?: BudgetView,
  ): void {
    this.#recordNotRepeated(reason, why, budget);
    this.#giveUp(fallback);
  }

  #recordNotRepeated(
    reason: ResendReason,
    why: NotRepeatedReason,
    budget?: BudgetView,
  ): void {
    const { possibleRuns } = this.#tracker;
    this.#record.notRepeated(reason, { why, possibleRuns, budget });
  }

  #handleTimeout(): void {
    if (this.#answer.finished) return;
    const hasNotRun = this.#tracker.certainlyNotRun;
    this.#lostSends.unresponsiveIfLate(this.#current);
    this.#endCurrentSend(true);
    this.#giveUp(hasNotRun ? "deadline_passed" : "timed_out");
  }

  /**
   * Ends the request with a refusal or a stored failure answer. A refusal never
   * claims that the request did not run if it may have run.
   */
  #giveUp(reason: RefusalReason): void {
    if (this.#answer.finished) return;
    const failure = this.#failureAnswer;
    if (this.#answer.started) {
      this.#abort(reason);
    } else if (failure !== undefined) {
      const { head, body } = failure;
      this.#finish(reason, head.status);
      this.#answer.sendWhole(head.status, head.forwarded, { body });
    } else {
      const accurateReason =
        REFUSALS[reason].notRun && !this.#tracker.certainlyNotRun
          ? "unknown_outcome"
          : reason;
      const refusal = prepareRefusal(
        accurateReason,
        {
          request: this.request,
          leftMilliseconds: this.#remaining(),
          shortage: this.#sendChooser.refusal,
        },
        this.#context,
      );
      this.#finish(accurateReason, refusal.status, refusal.terms);
      refusal.answer(this.#answer);
    }
  }

  /** Answers a caller that has nothing of its answer yet, since the host ends. */
  endUnanswered(): void {
    if (!this.#answer.started) this.#giveUp("stopping");
  }

  /** Cuts the answer off because the process ends. */
  cutOff(): void {
    if (!this.#answer.finished) this.#abort("cut_off");
  }

  #abort(outcome: string): void {
    if (this.#answer.started) this.#record.cutOff(outcome);
    this.#finish(outcome);
    this.#answer.abort();
  }

  #handleCallerDisconnect(): void {
    if (this.#answer.finished) return;
    this.#answer.markAbandoned();
    this.#lostSends.unresponsiveIfLate(this.#current);
    this.#lostSends.abandon(this.#current);
    this.#endCurrentSend(true);
    this.#finish("caller_left");
  }

  /** Ends a send without a usable answer, and notes why. */
  #endLostSend(
    reason: ResendReason,
    detail: string,
    { abort }: { readonly abort: boolean },
  ): void {
    const current = this.#current;
    this.#record.lost(reason, {
      detail,
      server: current?.server,
      observer: current?.observer,
      relayed: this.#tracker.relayed,
      answeringSince: current?.answeringSince,
      silence: this.#stallWatch.silence,
    });
    this.#lostSends.abandon(this.#current);
    this.#endCurrentSend(abort);
  }

  /** Ends the current send, its load counts and its buffered data. */
  #endCurrentSend(abort: boolean): void {
    this.#stallWatch.stop();
    if (abort) this.#current?.abort();
    this.#current?.end();
    this.#current = undefined;
  }

  /** Ends the run; it is logged before its answer ends, after which the host may. */
  #finish(
    outcome: string,
    status = this.#answer.status,
    refusal?: RefusalTerms,
  ): void {
    this.#cancelDeadline();
    // A caller may leave, or its time pass, before the loss of a server shows.
    if (outcome !== "completed") this.#streamVersion.broke();
    this.#sendChooser.stopWaiting();
    this.#startedMigration?.resumption.drop();
    this.#startedReplacement?.drop();
    this.#tracker.handle({ type: "ended" });
    this.#endCurrentSend(false);
    this.#record.ended(outcome, status, refusal);
    this.#onFinished(this);
    this.#context.waiting.examine();
  }
}
