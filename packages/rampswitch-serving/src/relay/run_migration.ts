// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Migrates one run between engines: its KV-cache memory is copied, the run is stopped,
 * and it resumes at a server that holds the memory.
 *
 * @module
 */
import { runInBackground, sleep } from "rampswitch-utils";
import type { Result } from "true-myth";
import type { AnswerFraming } from "../attempt/mod.ts";
import type { Choice } from "../choice/mod.ts";
import type { RetainedMemory } from "../model/engine_control.ts";
import {
  migrateMemory,
  type MemoryMigrationError,
} from "./memory_migration.ts";
import { freeMemory } from "./retained_memory.ts";
import type { RequestContext } from "./request_context.ts";
import type { RunRecord } from "./run_record.ts";
import {
  MINIMUM_USEFUL_MILLISECONDS,
  type ResumableRun,
  RunResumption,
} from "./run_resumption.ts";
import { pauseBeforeStop, type RunStops, type StopDoubt } from "./run_stops.ts";
import { type MemoryHolders, SuspendedRun } from "./suspended_run.ts";

/** What a migration reads from its run, and what it has the run do. */
export interface MigratableRun extends ResumableRun {
  readonly record: RunRecord;
  /** The calls that stop runs of the request. */
  readonly stops: RunStops;
  /** Server of the current send. */
  sentTo(): Choice | undefined;
  /** Id of the last event that the caller received. */
  lastEventId(): string | undefined;
  /** Whether the present run may be given up for another one. */
  canRunAgain(): boolean;
  /**
   * Chooses another server of a server's version; asynchronous where only limited
   * servers are left.
   */
  choose(source: {
    readonly version: string;
  }): Choice | undefined | Promise<Choice | undefined>;
  /** Notes that the run stopped at its server. */
  stopped(): void;
  /** Notes that the run was lost while its stop was requested. */
  lost(): void;
  /** Notes that the run ended by itself while its stop was requested. */
  ended(): void;
}

/** Migrates one run, one migration at a time. */
export class RunMigration {
  /** Resumes the run once it is stopped. */
  readonly resumption: RunResumption;
  readonly #run: MigratableRun;
  readonly #context: RequestContext;
  #migrating = false;
  #stopping = false;
  #lostWhileStopping = false;
  /** Whether an answer without a length ended while its stop was requested. */
  #endedWhileStopping = false;

  constructor(run: MigratableRun, context: RequestContext) {
    this.resumption = new RunResumption(run, context);
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
            attemptId,
            from: source.record,
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
      this.resumption.resume(suspendedRunOf(outcome.value, { target, source }));
    } else this.#handleEndWhileStopping(source);
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
  #handleEndWhileStopping({ record }: Choice): void {
    const isInDoubt = this.#run.stops.mayHaveStopped(record);
    if (this.#endedWhileStopping && !isInDoubt) this.#run.ended();
    else if (this.#endedWhileStopping || this.#lostWhileStopping)
      this.#run.lost();
  }

  #free(holders: MemoryHolders, handle: string): void {
    const { attemptId } = this.#run;
    this.#inBackground(() =>
      freeMemory({ attemptId, holders, handle }, this.#context),
    );
  }
}

function suspendedRunOf(
  { handle, copied }: RetainedMemory,
  { target, source }: { readonly target: Choice; readonly source: Choice },
): SuspendedRun {
  return new SuspendedRun(
    { address: source.record.entry.address, handle },
    { copy: copied ? target : undefined, source },
  );
}

function outcomeOf(
  outcome: Result<RetainedMemory, MemoryMigrationError>,
): string {
  if (outcome.isErr) return outcome.error;
  return outcome.value.copied ? "moved" : "stopped_without_copy";
}
