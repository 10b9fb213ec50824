// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Replaces a silent send by one to another server. The silent one is kept until the other
 * server has accepted the request: of the two, the first that goes on gives the answer.
 *
 * @module
 */
import type { Choice, ServerRecord } from "../choice/mod.ts";
import type { ResendReason } from "../model/outcome.ts";
import type { AnswerHead } from "../model/request.ts";
import { MISDIRECTED } from "./answer_head.ts";
import { observeRejection } from "./observed_answers.ts";
import type { LostSends } from "./lost_sends.ts";
import type { RequestContext } from "./request_context.ts";
import type { ResendRules } from "./resend_rules.ts";
import type { RunBudget } from "./run_budget.ts";
import type { BudgetView, NotRepeatedReason, RunRecord } from "./run_record.ts";
import type { SendChooser } from "./send_chooser.ts";
import type { RequestSend, SendHandlers } from "./sends.ts";
import type { StreamVersion } from "./stream_version.ts";
import { isServerError, isSuccess } from "./unusable_answer.ts";

/** The run whose silent send is replaced. */
export interface ReplaceableRun {
  readonly record: Pick<RunRecord, "lost" | "rejected" | "resent">;
  readonly rules: Pick<
    ResendRules,
    "reasonAgainstReplacement" | "recordRepeat"
  >;
  readonly budget: Pick<RunBudget, "spend">;
  readonly lostSends: Pick<LostSends, "lost" | "stopRun">;
  readonly chooser: Pick<SendChooser, "chooseForReplacement">;
  readonly stream: Pick<StreamVersion, "broke" | "isUncertain">;
  /** The present send. */
  present(): RequestSend | undefined;
  /** Time left, in milliseconds. */
  remaining(): number;
  /** Whether the caller has a part of the answer. */
  relayed(): boolean;
  /** Prepares a send to another server, beside the present one. */
  prepare(choice: Choice): RequestSend;
  open(send: RequestSend): void;
  /** Reads a head; returns the reason if its answer can't be used. */
  readHead(send: RequestSend, head: AnswerHead): string | undefined;
  /** Goes on with a send whose server has accepted the request. */
  adopt(send: RequestSend, head: AnswerHead): void;
  /** Notes that a further run may have begun whose answer is not used. */
  ranElsewhere(): void;
  /** Notes that a replacement was wanted and is not made. */
  notRepeated(why: NotRepeatedReason, budget?: BudgetView): void;
}

/** The replacement of one run's silent send, one at a time. */
export class Replacement implements SendHandlers {
  readonly #run: ReplaceableRun;
  readonly #context: RequestContext;
  /** The silent send for which another server is being chosen. */
  #silent: RequestSend | undefined;
  #pending: RequestSend | undefined;

  constructor(run: ReplaceableRun, context: RequestContext) {
    this.#run = run;
    this.#context = context;
  }

  /** Whether a replacement is being chosen or was sent. */
  get isUnderWay(): boolean {
    return this.#silent !== undefined || this.#pending !== undefined;
  }

  /** Sends the request to another server too, if it may run there. */
  start(): void {
    const { rules, chooser, stream } = this.#run;
    const silent = this.#run.present();
    if (silent === undefined || this.isUnderWay) return;
    const forbidden = stream.broke()
      ? "version_unknown"
      : rules.reasonAgainstReplacement(this.#run.remaining());
    if (forbidden !== undefined) {
      this.#run.notRepeated(forbidden);
      return;
    }
    this.#silent = silent;
    chooser.chooseForReplacement({
      chosen: (choice) => this.#chosen(choice),
      none: (why) => {
        if (this.#endChoice()) this.#run.notRepeated(why);
      },
    });
  }

  /** The silent server goes on, or the request ends: the replacement is not needed. */
  drop(): void {
    this.#silent = undefined;
    const send = this.#pending;
    if (send === undefined) return;
    if (send.mayRun) {
      this.#run.ranElsewhere();
      const mayWait = send.head === undefined;
      this.#run.lostSends.stopRun(send, { mayWait });
    }
    send.abort();
    this.#end(send);
  }

  /** Hands over the replacement, since the silent send has ended. */
  take(): RequestSend | undefined {
    const send = this.#pending;
    // One whose server rejects it can't go on.
    if (send?.head !== undefined) this.drop();
    this.#silent = undefined;
    this.#pending = undefined;
    return send?.head === undefined ? send : undefined;
  }

  /** Handles what comes of the replacement; `undefined` for other sends. */
  handlersOf(send: RequestSend): SendHandlers | undefined {
    return this.#pending === send ? this : undefined;
  }

  /** Counts for the run only once it is the present send. */
  written(): void {
    return;
  }

  /** Handles the head of its answer. */
  head(send: RequestSend, head: AnswerHead): void {
    const unusable = this.#run.readHead(send, head);
    send.head = head;
    if (unusable !== undefined) this.#lost(send, "answer_not_usable", unusable);
    // What follows the head of a rejection is read, so that the connection stays.
    else if (head.notExecuted) return;
    else if (!this.#isAccepted(head))
      this.#lost(send, "server_error", `status ${head.status}`);
    else if (this.#run.stream.isUncertain) this.drop();
    else {
      this.#pending = undefined;
      this.#run.adopt(send, head);
    }
  }

  /** Handles a part of the body of its rejection. */
  data(send: RequestSend, chunk: Buffer): void {
    if (send.body.push(chunk)) return;
    this.#lost(send, "answer_not_usable", "body exceeds the buffer limit");
  }

  /** Handles the end of its rejection. */
  ended(send: RequestSend): void {
    const { record } = send.choice;
    const status = send.head?.status ?? 0;
    if (status === MISDIRECTED) this.#unreachable(record);
    else observeRejection(record, this.#context);
    this.#run.record.rejected(send, status);
    this.#end(send);
    this.start();
  }

  /** Handles a connection that did not come up. */
  notWritten(send: RequestSend, detail: string): void {
    this.#unreachable(send.choice.record);
    this.#noteLost(send, "not_connected", detail);
    this.#end(send);
    this.start();
  }

  /** Handles the loss of its answer. */
  lost(send: RequestSend, detail: string): void {
    this.#lost(send, "connection_lost", detail);
  }

  /** Handles the end of an incarnation, if the replacement is there. */
  serverEnded(record: ServerRecord, detail: string): void {
    const send = this.#pending;
    if (send?.choice.record === record) this.lost(send, detail);
  }

  /** Whether a server took the request: a part of an answer goes on with a success only. */
  #isAccepted({ status }: AnswerHead): boolean {
    return (
      isSuccess(status) || (!this.#run.relayed() && !isServerError(status))
    );
  }

  #lost(send: RequestSend, reason: ResendReason, detail: string): void {
    if (send.mayRun) this.#run.ranElsewhere();
    this.#run.lostSends.lost(send, reason);
    if (send.mayRun) this.#run.lostSends.stopRun(send, { mayWait: false });
    send.abort();
    this.#noteLost(send, reason, detail);
    this.#end(send);
  }

  #unreachable(record: ServerRecord): void {
    record.failed(this.#context.clock.now(), { surelyDown: true });
  }

  #noteLost(send: RequestSend, reason: ResendReason, detail: string): void {
    const milliseconds = this.#context.clock.now() - send.sentAt;
    this.#run.record.lost(reason, {
      detail,
      server: send.server,
      observer: send.observer,
      relayed: false,
      silence: { milliseconds, stoodStillMilliseconds: 0 },
    });
  }

  #end(send: RequestSend): void {
    this.#pending = undefined;
    send.end();
  }

  /** Ends a choice; returns whether its silent send is still the present one. */
  #endChoice(): boolean {
    const silent = this.#silent;
    this.#silent = undefined;
    return silent !== undefined && silent === this.#run.present();
  }

  #chosen(choice: Choice): void {
    const silent = this.#silent;
    if (!this.#endChoice()) return;
    const { granted, view } = this.#run.budget.spend("repeat");
    if (!granted) {
      this.#run.notRepeated("budget_spent", view);
      return;
    }
    this.#run.rules.recordRepeat();
    this.#run.record.resent("stalled", view);
    // A stall counts as an answer: its latency is at least the time so far.
    if (!this.#run.relayed()) {
      const now = this.#context.clock.now();
      silent?.observer?.answered({ failed: false, now });
    }
    const send = this.#run.prepare(choice);
    this.#pending = send;
    this.#run.open(send);
  }
}
