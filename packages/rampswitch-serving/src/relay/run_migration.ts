// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Migrates one run between engines. Its KV-cache memory is copied, the run is
 * stopped, and it resumes at a server that holds the memory, as long as one of
 * them still accepts it.
 *
 * @module
 */
import { runInBackground, sleep } from "rampswitch-utils";
import type { Result } from "true-myth";
import type { ResendKind } from "../admission/mod.ts";
import type { AnswerFraming } from "../attempt/mod.ts";
import type { Choice } from "../choice/mod.ts";
import type { RetainedMemory } from "../model/engine_control.ts";
import type { ResendReason } from "../model/outcome.ts";
import type { MemorySource } from "../model/request.ts";
import {
  type Continuation,
  type MemoryHolders,
  SuspendedRun,
} from "./suspended_run.ts";
import {
  migrateMemory,
  type MemoryMigrationError,
} from "./memory_migration.ts";
import {
  freeMemory,
  incarnationStatusOf,
  type IncarnationStatus,
} from "./retained_memory.ts";
import type { RequestContext } from "./request_context.ts";
import type { BudgetView, NotRepeatedReason, RunRecord } from "./run_record.ts";
import { pauseBeforeStop, type RunStops, type StopDoubt } from "./run_stops.ts";

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

/** What a migration reads from its run, and what it has the run do. */
export interface MigratableRun {
  readonly attemptId: string | undefined;
  readonly record: RunRecord;
  /** The calls that stop runs of the request. */
  readonly stops: RunStops;
  /** Server of the current send. */
  sentTo(): Choice | undefined;
  /** Whether the caller has a final answer. */
  finished(): boolean;
  /** Id of the last event that the caller received. */
  lastEventId(): string | undefined;
  /** Time left, in milliseconds. */
  remaining(): number;
  /** Whether the present run may be given up for another one. */
  canRunAgain(): boolean;
  /**
   * Chooses another server of a server's version; asynchronous where only limited
   * servers are left.
   */
  choose(source: {
    readonly version: string;
  }): Choice | undefined | Promise<Choice | undefined>;
  /** Charges the resend budget with one send, if it allows one. */
  spend(kind: ResendKind): BudgetDecision;
  /** Notes that a resend was needed and is not made. */
  notRepeated(
    reason: ResendReason,
    why: NotRepeatedReason,
    budget?: BudgetView,
  ): void;
  /** Notes that the run stopped at its server. */
  stopped(): void;
  /** Whether the run can continue at a server: it needs no permit, has one, or gets one. */
  canContinueAt(choice: Choice): boolean | Promise<boolean>;
  /** Sends the request to a server that holds its memory. */
  continueAt(choice: Choice, memory: MemorySource): void;
  /** Notes that the stopped run can't resume. */
  memoryLost(reason: ResendReason): void;
  /** Notes that the run was lost while its stop was requested. */
  lost(): void;
  /** Notes that the run ended by itself while its stop was requested. */
  ended(): void;
}

/** Migrates one run, one migration at a time. */
export class RunMigration {
  readonly #run: MigratableRun;
  readonly #context: RequestContext;
  /** The run while it is stopped, until a server resumes it. */
  #suspended: SuspendedRun | undefined;
  #migrating = false;
  #stopping = false;
  #lostWhileStopping = false;
  /** Whether an answer without a length ended while its stop was requested. */
  #endedWhileStopping = false;
  #cancelPause: () => void = () => undefined;

  constructor(run: MigratableRun, context: RequestContext) {
    this.#run = run;
    this.#context = context;
  }

  /** Whether the run's stop is requested, so that its stream may end. */
  get stopping(): boolean {
    return this.#stopping;
  }

  /** Notes that the stream was lost while its stop was requested. */
  noteLostWhileStopping(): void {
    this.#lostWhileStopping = true;
  }

  /**
   * Takes the end of an answer without a length, if it may be due to a stop that was
   * requested; returns whether it did. The outcome of the stop decides what the end
   * means, and one in doubt is a loss.
   */
  takesEnd(framing: AnswerFraming): boolean {
    if (framing === "framed") return false;
    if (this.#stopping) this.#endedWhileStopping = true;
    else if (this.#isInDoubt) this.#run.lost();
    else return false;
    return true;
  }

  /** Whether the server of the current send may have stopped the run as it was asked. */
  get #isInDoubt(): boolean {
    const record = this.#run.sentTo()?.record;
    return record !== undefined && this.#run.stops.mayHaveStopped(record);
  }

  /** Starts to migrate the run with its memory to another engine. */
  start(): void {
    this.#inBackground(() => this.migrate());
  }

  /** Migrates the run with its memory to another engine. */
  async migrate(): Promise<void> {
    const source = this.#run.sentTo();
    if (source === undefined || this.#migrating) return;
    this.#migrating = true;
    const outcome = await this.#migrateFrom(source);
    this.#migrating = false;
    if (outcome === "target_ended") await this.migrate();
  }

  async #migrateFrom(source: Choice): Promise<string | undefined> {
    // What a later incarnation runs may be of another version than the listed one. One
    // that doesn't tell which it is has its run moved: nothing shows that it is another.
    const { incarnations } = this.#context;
    const status = await incarnations.statusOf(source.record);
    if (this.#hasLeft(source)) return undefined;
    if (status === "later") {
      this.#run.notRepeated("memory_moved", "version_unknown");
      return undefined;
    }
    const choosing = this.#run.choose(source.record.entry);
    const waits = choosing instanceof Promise;
    const target = waits ? await choosing : choosing;
    if (this.#hasLeft(source)) return undefined;
    if (target !== undefined) return this.#migrateTo(source, target);
    this.#run.notRepeated("memory_moved", "no_server");
    return undefined;
  }

  /** Whether the run has ended or changed its server. */
  #hasLeft(source: Choice): boolean {
    return this.#run.finished() || this.#run.sentTo() !== source;
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
    if (suspended !== undefined)
      this.#free(suspended.holders, suspended.memory.handle);
  }

  #inBackground(work: () => Promise<void>): void {
    runInBackground("move of a run", this.#context, work);
  }

  /** Migrates the run; resolves to the outcome. */
  async #migrateTo(
    source: Choice,
    target: Choice,
  ): Promise<string | undefined> {
    const run = this.#run;
    const { attemptId } = run;
    if (attemptId === undefined) return undefined;
    const holders = { from: source.record, to: target.record };
    const record = run.record.migrationBegan(source.record, target.record);
    const now = () => this.#context.clock.now();
    let askedAt = 0;
    this.#lostWhileStopping = false;
    this.#endedWhileStopping = false;
    const outcome = await migrateMemory(
      {
        from: source.record.entry.address,
        to: target.record.entry.address,
        attemptId,
      },
      {
        control: this.#context.engineControl,
        stillRuns: () => !this.#hasLeft(source),
        targetStillRuns: () => !target.record.ended,
        callStop: async () => {
          const stopped = await run.stops.call({
            ...{ attemptId, from: source.record },
            to: target.record.entry.address,
          });
          record.stopAnswered(stopped.isOk ? "stopped" : stopped.error);
          return stopped;
        },
        waitForNextStop: (calls) =>
          this.#waitForNextStop(source, {
            calls,
            milliseconds: now() - askedAt,
            canRunAgain: run.canRunAgain(),
          }),
        onStopChange: (stopping) => {
          this.#stopping = stopping;
          if (stopping) askedAt = now();
          record.stopChanged(stopping);
        },
        onUnused: (handle) => this.#free(holders, handle),
      },
    );
    record.ended(outcomeOf(outcome), run.lastEventId());
    if (run.finished()) return undefined;
    if (outcome.isOk) {
      run.stopped();
      this.#suspend(outcome.value, { target, source });
      this.#resume("memory_moved", NO_BUDGET_NEEDED);
    } else this.#handleEndWhileStopping();
    return outcomeOf(outcome);
  }

  /** Waits before a further call that stops the run, as long as one is worthwhile. */
  async #waitForNextStop(source: Choice, doubt: StopDoubt): Promise<boolean> {
    const pause = pauseBeforeStop(doubt);
    if (pause === undefined) return false;
    const isWorthwhile = () =>
      !this.#hasLeft(source) &&
      !source.record.ended &&
      this.#run.remaining() > MINIMUM_USEFUL_MILLISECONDS;
    if (!isWorthwhile()) return false;
    await sleep(this.#context.clock, pause);
    return isWorthwhile();
  }

  /** Handles an end that came while a stop was requested which did not succeed. */
  #handleEndWhileStopping(): void {
    const isRegular = this.#endedWhileStopping && !this.#isInDoubt;
    if (isRegular) this.#run.ended();
    else if (this.#endedWhileStopping || this.#lostWhileStopping)
      this.#run.lost();
  }

  #suspend(
    { handle, copied }: RetainedMemory,
    { target, source }: { readonly target: Choice; readonly source: Choice },
  ): void {
    this.#suspended = new SuspendedRun(
      { address: source.record.entry.address, handle },
      { copy: copied ? target : undefined, source },
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

  #free(holders: MemoryHolders, handle: string): void {
    const { attemptId } = this.#run;
    this.#inBackground(() =>
      freeMemory({ attemptId, holders, handle }, this.#context),
    );
  }
}

function outcomeOf(
  outcome: Result<RetainedMemory, MemoryMigrationError>,
): string {
  if (outcome.isErr) return outcome.error;
  return outcome.value.copied ? "moved" : "stopped_without_copy";
}
