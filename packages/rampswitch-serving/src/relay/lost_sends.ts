// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * What the loss of an answer means: for the server that was to give it, for the
 * requests that may crash servers, and for the run that may go on there.
 *
 * @module
 */
import type { ServerRecord } from "../choice/mod.ts";
import type { ResendReason } from "../model/outcome.ts";
import { canStopRuns, stopAbandonedRun } from "./abandoned_runs.ts";
import type { AdmittedRequest } from "./admitted_request.ts";
import type { RequestContext } from "./request_context.ts";
import type { ResendRules } from "./resend_rules.ts";
import type { RunStops } from "./run_stops.ts";
import type { RequestSend } from "./sends.ts";
import { firstStallMilliseconds } from "./stall_watch.ts";

/** A failure after which the server may still be up. */
const POSSIBLY_UP = { surelyDown: false };

/** The request whose answers are lost. */
export interface LosingRequest {
  readonly request: AdmittedRequest;
  readonly rules: ResendRules;
  readonly stops: RunStops;
  /** The server that the request is at now. */
  present(): ServerRecord | undefined;
}

/** The lost answers of one request. */
export class LostSends {
  readonly #run: LosingRequest;
  readonly #context: RequestContext;

  constructor(run: LosingRequest, context: RequestContext) {
    this.#run = run;
    this.#context = context;
  }

  /** Records that the answer of a send was lost. */
  lost(send: RequestSend, reason: ResendReason): void {
    const { record } = send.choice;
    this.failed(send);
    this.#run.rules.recordLoss(record);
    // Recorded before the next send, since a request may crash every server that
    // starts it.
    if (reason === "connection_lost") {
      this.#context.quarantine.recordLoss(
        this.#run.request.fingerprint,
        record,
        send.answeringSince,
      );
    }
  }

  /** Records a failure of a send's server. */
  failed({ choice }: RequestSend): void {
    choice.record.failed(this.#context.clock.now(), POSSIBLY_UP);
  }

  /** Records that a server sent nothing for longer than it may. */
  unresponsive(send: RequestSend): void {
    this.failed(send);
    this.#context.quarantine.recordUnresponsive(
      this.#run.request.fingerprint,
      send.choice.record,
      send.answeringSince,
    );
  }

  /** Records the same if a send has no head within the time for a first stall. */
  unresponsiveIfLate(send: RequestSend | undefined): void {
    if (send === undefined || send.head !== undefined) return;
    const waited = this.#context.clock.now() - send.sentAt;
    const allowed = firstStallMilliseconds(this.#run.request.route);
    if (waited >= allowed) this.unresponsive(send);
  }

  /** Has the run of a send stopped, if the request was written to its server. */
  abandon(send: RequestSend | undefined): void {
    if (send?.isWritten !== true) return;
    this.stopRun(send, { mayWait: send.head === undefined });
  }

  /**
   * Has the run of a send stopped that this host has given up. Only engines that can
   * move a run can stop one; others are left to notice the close of the connection.
   */
  stopRun({ choice }: RequestSend, { mayWait }: { mayWait: boolean }): void {
    const { head, service } = this.#run.request;
    const { attemptId } = head;
    if (attemptId === undefined || !canStopRuns(service)) return;
    const { stops } = this.#run;
    stops.abandonedAt(choice.record);
    const present = () => this.#run.present();
    stopAbandonedRun(
      { attemptId, server: choice.record, mayWait, stops, present },
      this.#context,
    );
  }
}
