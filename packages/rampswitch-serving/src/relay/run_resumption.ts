// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Resumes a run that was stopped for a migration, from its retained memory: at a server
 * that holds it, as long as one of them still accepts it.
 *
 * @module
 */
import { runInBackground } from "rampswitch-utils";
import type { ResendKind } from "../admission/mod.ts";
import type { Choice } from "../choice/mod.ts";
import type { ResendReason } from "../model/outcome.ts";
import type { MemorySource } from "../model/request.ts";
import type { RequestContext } from "./request_context.ts";
import {
  freeMemory,
  incarnationStatusOf,
  type IncarnationStatus,
} from "./retained_memory.ts";
import type { BudgetView, NotRepeatedReason, RunRecord } from "./run_record.ts";
import type { Continuation, SuspendedRun } from "./suspended_run.ts";

/** Minimum time left for which a further send is worthwhile, in milliseconds. */
export const MINIMUM_USEFUL_MILLISECONDS = 20;

/**
 * Share of a leaving server's drain time in which a run may resume from the
 * server's own memory. The remainder covers the network delay and the delay until
 * this host receives the announcement of the end.
 */
const USABLE_DRAIN_SHARE = 0.8;

/** Decision of the resend budget, and the state that it was based on. */
export interface BudgetDecision {
  readonly granted: boolean;
  readonly view: BudgetView | undefined;
}

/** The first send after a migration continues the same run and needs no budget. */
const NO_BUDGET_NEEDED: BudgetDecision = { granted: true, view: undefined };

/** Why retained memory is sent once more, and the budget's decision. */
interface Resend {
  readonly reason: ResendReason;
  readonly decision: BudgetDecision;
}

/** What a resumption reads from its run, and what it has the run do. */
export interface ResumableRun {
  readonly attemptId: string | undefined;
  readonly record: Pick<RunRecord, "resent">;
  /** Whether the caller has a final answer. */
  finished(): boolean;
  /** Time left, in milliseconds. */
  remaining(): number;
  /** Charges the resend budget with one send, if it allows one. */
  spend(kind: ResendKind): BudgetDecision;
  /** Notes that a resend was needed and is not made. */
  notRepeated(
    reason: ResendReason,
    why: NotRepeatedReason,
    budget?: BudgetView,
  ): void;
  /** Whether the run can continue at a server: it needs no permit, has one, or gets one. */
  canContinueAt(choice: Choice): boolean | Promise<boolean>;
  /** Sends the request to a server that holds its memory. */
  continueAt(choice: Choice, memory: MemorySource): void;
  /** Notes that the stopped run can't resume. */
  memoryLost(reason: ResendReason): void;
}

/** The resumption of one run from the memory of its last stop. */
export class RunResumption {
  readonly #run: ResumableRun;
  readonly #context: RequestContext;
  /** The run while it is stopped, until a server resumes it. */
  #suspended: SuspendedRun | undefined;
  #cancelPause: () => void = () => undefined;

  constructor(run: ResumableRun, context: RequestContext) {
    this.#run = run;
    this.#context = context;
  }

  /** Resumes a run that has just been stopped. */
  resume(suspended: SuspendedRun): void {
    this.#suspended = suspended;
    this.#resume("memory_moved", NO_BUDGET_NEEDED);
  }

  /** Resumes the run with a further send after one of the retained memory did not run. */
  resumeAfter(reason: ResendReason): void {
    this.#resume(reason, this.#run.spend("continuation"));
  }

  /** Sends the request with its retained memory to the next server that holds it. */
  #resume(reason: ResendReason, decision: BudgetDecision): void {
    const suspended = this.#suspended;
    const next = suspended?.next((choice) => this.#acceptsSends(choice));
    const why = this.#reasonAgainst(next, decision);
    if (suspended === undefined || next === undefined || why !== undefined) {
      this.#run.notRepeated(reason, why ?? "no_server", decision.view);
      this.drop();
      this.#run.memoryLost(reason);
      return;
    }
    const { choice, waitMilliseconds } = next;
    const resend = { reason, decision };
    // The first try needs no pause: it follows the answer that gave the handle.
    if (waitMilliseconds === 0) this.#send(suspended, choice, resend);
    else {
      this.#cancelPause = this.#context.clock.after(waitMilliseconds, () =>
        this.#inBackground(() =>
          this.#sendAfterPause(suspended, choice, resend),
        ),
      );
    }
  }

  #send(
    suspended: SuspendedRun,
    choice: Choice,
    { reason, decision }: Resend,
  ): void {
    this.#run.record.resent(reason, decision.view);
    const { memory } = suspended;
    const allowed = this.#run.canContinueAt(choice);
    if (allowed === true) this.#run.continueAt(choice, memory);
    else {
      this.#inBackground(() =>
        this.#sendOncePermitted(allowed, choice, memory),
      );
    }
  }

  /** Resumes the run at a limited server, which needs a permit. */
  async #sendOncePermitted(
    permitted: boolean | Promise<boolean>,
    choice: Choice,
    memory: MemorySource,
  ): Promise<void> {
    const hasPermit = await permitted;
    if (this.#run.finished()) return;
    if (hasPermit) this.#run.continueAt(choice, memory);
    else this.resumeAfter("rejected");
  }

  /** Sends retained memory after a pause, if its server still holds it then. */
  async #sendAfterPause(
    suspended: SuspendedRun,
    choice: Choice,
    resend: Resend,
  ): Promise<void> {
    const status = await this.#statusFor(suspended, choice);
    if (this.#suspended !== suspended) return;
    if (status === "same" && !choice.record.ended) {
      this.#send(suspended, choice, resend);
      return;
    }
    // A server that did not answer may still be used by a later try.
    if (status !== "not_told") this.markUnreachable(choice);
    this.#skip(choice, { ...resend, status });
  }

  /** Goes to the next try, since a server may no longer hold the memory. */
  #skip(
    choice: Choice,
    {
      reason,
      decision,
      status,
    }: Resend & { readonly status: IncarnationStatus },
  ): void {
    this.#context.logger.info("kept memory not asked for", {
      request: this.#run.attemptId,
      server: choice.record.entry.id,
      born: choice.record.entry.born,
      life: status,
    });
    this.#resume(reason, decision);
  }

  /** Whether a server is still the incarnation that holds the memory. */
  async #statusFor(
    suspended: SuspendedRun,
    { record }: Choice,
  ): Promise<IncarnationStatus> {
    if (record.ended) return "later";
    return suspended.issuedHandle({ record })
      ? incarnationStatusOf(record, this.#context)
      : "same";
  }

  /** Notes that the retained memory can no longer be used at a server. */
  markUnreachable(choice: Choice): void {
    this.#suspended?.markUnreachable(choice);
  }

  /** Notes that a server resumed the run from the retained memory. */
  resumed(): void {
    this.#suspended = undefined;
  }

  /** Frees retained memory from which no server resumed the run. */
  drop(): void {
    this.#cancelPause();
    const suspended = this.#suspended;
    this.#suspended = undefined;
    if (suspended === undefined) return;
    const { holders, memory } = suspended;
    const { attemptId } = this.#run;
    this.#inBackground(() =>
      freeMemory({ attemptId, holders, handle: memory.handle }, this.#context),
    );
  }

  /** The reason against sending retained memory to the next server, if any. */
  #reasonAgainst(
    next: Continuation | undefined,
    { granted }: BudgetDecision,
  ): NotRepeatedReason | undefined {
    if (next === undefined) {
      return this.#suspended?.exhausted === true
        ? "too_many_sends"
        : "no_server";
    }
    const millisecondsLeft = this.#run.remaining() - next.waitMilliseconds;
    if (millisecondsLeft <= MINIMUM_USEFUL_MILLISECONDS) return "too_late";
    return granted ? undefined : "budget_spent";
  }

  /**
   * Whether a server with retained memory has not ended, may be used, and is not
   * too close to its announced end.
   */
  #acceptsSends({ record }: Choice): boolean {
    if (record.ended || !record.isReadable) return false;
    const now = this.#context.clock.now();
    if (record.backOff.isActive(now)) return false;
    const since = now - (record.leavingSince ?? Infinity);
    return since < USABLE_DRAIN_SHARE * this.#context.drainMilliseconds();
  }

  #inBackground(work: () => Promise<void>): void {
    runInBackground("resumption of a run", this.#context, work);
  }
}
