// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Moves of one run between engines: its memory is copied, the run stops, and it
 * goes on where the memory lies, for as long as some server still takes it.
 *
 * @module
 */
import type { Result } from "true-myth";
import type { ResendKind } from "../admission/mod.ts";
import type { Choice, ServerRecord } from "../choice/mod.ts";
import type { KeptMemory } from "../model/engine_control.ts";
import type { ResendReason } from "../model/outcome.ts";
import type { MemorySource } from "../model/request.ts";
import { type Continuation, KeptRun, type MemoryHolders } from "./kept_run.ts";
import {
  dropMemory,
  type MemoryMoveError,
  moveMemory,
  stopLeftRun,
} from "./memory_move.ts";
import { toldReport } from "../statements/mod.ts";
import type { RequestContext } from "./request_context.ts";
import type { BudgetView, NotRepeatedReason, RunRecord } from "./run_record.ts";

/** Least time left that makes a further send worthwhile, in milliseconds. */
export const LEAST_USEFUL_MILLISECONDS = 20;

/**
 * Part of the time to the end of a leaving server in which it may go on from its
 * own memory; the rest is for the way there, and for the news of its end.
 */
const LEAVING_SHARE = 0.8;

/**
 * Time for a server to hear that the connection of a run closed, in milliseconds.
 * After this a run that goes on elsewhere is stopped by a call: two servers may
 * work on one request for 0.4 s at most on the known platforms.
 */
const CLOSE_HEARD_MILLISECONDS = 100;

/** What the budget of repeated sends said, and what it went by. */
export interface Spending {
  readonly granted: boolean;
  readonly view: BudgetView | undefined;
}

/** The first send after a move is the same run, and costs no repeat. */
const NOTHING_SPENT: Spending = { granted: true, view: undefined };

/** Whether a server lives the life that it lived when it gave a handle. */
type LifeNow = "same" | "later" | "not_told";

/** Why kept memory is sent once more, and what that was granted by. */
interface Repeat {
  readonly reason: ResendReason;
  readonly spending: Spending;
}

/** What a move knows of its run, and has it do. */
export interface MovableRun {
  readonly attemptId: string | undefined;
  readonly record: RunRecord;
  /** Choice of the send under way. */
  sentTo(): Choice | undefined;
  /** Whether the caller has a final answer. */
  finished(): boolean;
  /** Id of the last event that the caller has. */
  lastEventId(): string | undefined;
  /** Time left, in milliseconds. */
  remaining(): number;
  /** Another server; it takes time where only limited ones are left. */
  choose(): Choice | undefined | Promise<Choice | undefined>;
  /** Spends one further send, if the budget allows. */
  spend(kind: ResendKind): Spending;
  notRepeated(
    reason: ResendReason,
    why: NotRepeatedReason,
    budget?: BudgetView,
  ): void;
  /** The run stopped where it was. */
  stopped(): void;
  /** Sends the request to a server that has its memory. */
  sendOn(choice: Choice, memory: MemorySource): void;
  /** The stopped run can't go on. */
  memoryLost(reason: ResendReason): void;
  /** The run was lost while its stop was asked for. */
  lost(): void;
}

/** The moves of one run, one at a time. */
export class RunMove {
  readonly #run: MovableRun;
  readonly #context: RequestContext;
  /** Memory of the run that stopped, until a server goes on from it. */
  #kept: KeptRun | undefined;
  #underWay = false;
  #stopping = false;
  #lostWhileStopping = false;
  #cancelPause: () => void = () => undefined;

  constructor(run: MovableRun, context: RequestContext) {
    this.#run = run;
    this.#context = context;
  }

  /** Whether the run's stop is asked for, so that its stream may end. */
  get stopping(): boolean {
    return this.#stopping;
  }

  /** Notes that the stream ended while its stop was asked for. */
  lostWhileStopping(): void {
    this.#lostWhileStopping = true;
  }

  /** Moves the run to another engine, memory and all. */
  async moveAway(): Promise<void> {
    const source = this.#run.sentTo();
    if (source === undefined || this.#underWay) return;
    this.#underWay = true;
    const outcome = await this.#moveFrom(source);
    this.#underWay = false;
    if (outcome === "target_ended") await this.moveAway();
  }

  async #moveFrom(source: Choice): Promise<string | undefined> {
    const choosing = this.#run.choose();
    const waits = choosing instanceof Promise;
    const target = waits ? await choosing : choosing;
    // The run may have ended, or gone elsewhere, meanwhile.
    if (this.#run.finished() || this.#run.sentTo() !== source) return undefined;
    if (target !== undefined) return this.#move(source, target);
    this.#run.notRepeated("memory_moved", "no_server");
    return undefined;
  }

  /** Goes on elsewhere after a send of the kept memory ran nothing. */
  goOnAfter(reason: ResendReason): void {
    this.#goOn(reason, this.#run.spend("continuation"));
  }

  /** Sends the request with its kept memory to the next place that has it. */
  #goOn(reason: ResendReason, spending: Spending): void {
    const kept = this.#kept;
    const next = kept?.next((choice) => this.#takesSends(choice));
    const why = this.#whyNot(next, spending);
    if (kept === undefined || next === undefined || why !== undefined) {
      this.#run.notRepeated(reason, why ?? "no_server", spending.view);
      this.drop();
      this.#run.memoryLost(reason);
      return;
    }
    const { choice, waitMilliseconds } = next;
    const repeat = { reason, spending };
    // The first try follows the answer that told the handle.
    if (waitMilliseconds === 0) this.#send(kept, choice, repeat);
    else {
      this.#cancelPause = this.#context.clock.after(
        waitMilliseconds,
        () => void this.#sendAfterPause(kept, choice, repeat),
      );
    }
  }

  #send(kept: KeptRun, choice: Choice, { reason, spending }: Repeat): void {
    this.#run.record.resent(reason, spending.view);
    this.#run.sendOn(choice, kept.memory);
  }

  /** Sends kept memory after a pause, if its server still knows it then. */
  async #sendAfterPause(
    kept: KeptRun,
    choice: Choice,
    repeat: Repeat,
  ): Promise<void> {
    const life = await this.#lifeFor(kept, choice);
    if (this.#kept !== kept) return;
    if (life === "same" && !choice.record.ended) {
      this.#send(kept, choice, repeat);
      return;
    }
    // Without an answer the server may still be asked at a later try.
    if (life !== "not_told") this.unreachable(choice);
    this.#passOver(choice, { ...repeat, life });
  }

  /** Takes the next try, since a server may not know the memory any more. */
  #passOver(
    choice: Choice,
    { reason, spending, life }: Repeat & { readonly life: LifeNow },
  ): void {
    this.#context.logger.info("kept memory not asked for", {
      request: this.#run.attemptId,
      server: choice.record.entry.id,
      born: choice.record.entry.born,
      life,
    });
    this.#goOn(reason, spending);
  }

  /** Whether a server still lives the life that got the memory. */
  async #lifeFor(kept: KeptRun, { record }: Choice): Promise<LifeNow> {
    if (record.ended) return "later";
    return kept.gaveHandle({ record }) ? this.#lifeOf(record) : "same";
  }

  /**
   * Whether a handle still names at a server what it named when it was given. A
   * later life counts its handles anew, so there it may name the memory of
   * another request. The list of servers tells a new life some hundred
   * milliseconds late; the server itself tells it at once.
   */
  async #lifeOf(record: ServerRecord): Promise<LifeNow> {
    const { born } = record.entry;
    if (record.ended) return "later";
    if (born === undefined) return "same";
    const report = await toldReport(record, this.#context);
    if (report === undefined) return "not_told";
    return (report.born ?? born) === born ? "same" : "later";
  }

  /** The kept memory can't be used at a server any more. */
  unreachable(choice: Choice): void {
    this.#kept?.unreachable(choice);
  }

  /** A server went on from the kept memory. */
  wentOn(): void {
    this.#kept = undefined;
  }

  /** Gives up kept memory that no server went on from. */
  drop(): void {
    this.#cancelPause();
    const kept = this.#kept;
    this.#kept = undefined;
    if (kept !== undefined) void this.#free(kept.holders, kept.memory.handle);
  }

  /**
   * Stops the run at a server that was left for another one. A connection that
   * has gone silent does not tell the server that it was closed.
   */
  stopLeft(left: ServerRecord, next: ServerRecord): void {
    this.#context.clock.after(
      CLOSE_HEARD_MILLISECONDS,
      () => void this.#stopLeft(left, next),
    );
  }

  async #stopLeft(left: ServerRecord, next: ServerRecord): Promise<void> {
    const { attemptId, record } = this.#run;
    // A server that ended, or is in a later life, runs nothing of this one.
    if (attemptId === undefined || left.ended) return;
    if (this.#runsAtAddressOf(left)) return;
    const outcome = await stopLeftRun(
      { from: left.entry.address, to: next.entry.address, attemptId },
      {
        control: this.#context.engineControl,
        unused: (handle) => void this.#free({ from: left, to: next }, handle),
      },
    );
    record.leftRunStopped(outcome, left);
  }

  /**
   * Whether the run goes on at the address of a server that was left. One that
   * is gone leaves its address to others, and a stop would end the run there.
   */
  #runsAtAddressOf(left: ServerRecord): boolean {
    const present = this.#run.sentTo()?.record;
    return present?.entry.address === left.entry.address;
  }

  /** Moves the run; resolves to what came of it. */
  async #move(source: Choice, target: Choice): Promise<string | undefined> {
    const run = this.#run;
    const { attemptId } = run;
    if (attemptId === undefined) return undefined;
    const holders = { from: source.record, to: target.record };
    const record = run.record.moveBegan(source.record, target.record);
    this.#lostWhileStopping = false;
    const outcome = await moveMemory(
      {
        from: source.record.entry.address,
        to: target.record.entry.address,
        attemptId,
      },
      {
        control: this.#context.engineControl,
        stillRuns: () => run.sentTo() === source && !run.finished(),
        targetLives: () => !target.record.ended,
        stops: (stopping) => {
          this.#stopping = stopping;
          record.stops(stopping);
        },
        unused: (handle) => void this.#free(holders, handle),
      },
    );
    record.ended(outcomeOf(outcome), run.lastEventId());
    if (run.finished()) return undefined;
    if (outcome.isOk) {
      run.stopped();
      this.#keep(outcome.value, { target, source });
      this.#goOn("memory_moved", NOTHING_SPENT);
    } else if (this.#lostWhileStopping) run.lost();
    return outcomeOf(outcome);
  }

  #keep(
    { handle, copied }: KeptMemory,
    { target, source }: { readonly target: Choice; readonly source: Choice },
  ): void {
    this.#kept = new KeptRun(
      { address: source.record.entry.address, handle },
      { copy: copied ? target : undefined, source },
    );
  }

  /** What forbids to send kept memory to the next place. */
  #whyNot(
    next: Continuation | undefined,
    { granted }: Spending,
  ): NotRepeatedReason | undefined {
    if (next === undefined) {
      return this.#kept?.exhausted === true ? "too_many_sends" : "no_server";
    }
    const left = this.#run.remaining() - next.waitMilliseconds;
    if (left <= LEAST_USEFUL_MILLISECONDS) return "too_late";
    return granted ? undefined : "budget_spent";
  }

  /**
   * Whether a server with kept memory has not ended, may be used, and is not too
   * near its announced end.
   */
  #takesSends({ record }: Choice): boolean {
    if (record.ended || !record.isReadable) return false;
    const now = this.#context.clock.now();
    if (record.rest.holds(now)) return false;
    const since = now - (record.leavingSince ?? Infinity);
    return since < LEAVING_SHARE * this.#context.drainMilliseconds();
  }

  async #free(holders: MemoryHolders, handle: string): Promise<void> {
    const freed = await dropMemory(holders, (record) =>
      this.#freeAt(record, handle),
    );
    this.#run.record.memoryDropped(freed);
  }

  /** Frees nothing at a server where the handle may name another's memory. */
  async #freeAt(record: ServerRecord, handle: string): Promise<boolean> {
    const { id, address, born } = record.entry;
    if ((await this.#lifeOf(record)) === "same" && !record.ended) {
      return this.#context.engineControl.dropCopy(address, handle);
    }
    this.#context.logger.info("memory not freed at its server", {
      request: this.#run.attemptId,
      server: id,
      born,
    });
    return false;
  }
}

function outcomeOf(outcome: Result<KeptMemory, MemoryMoveError>): string {
  if (outcome.isErr) return outcome.error;
  return outcome.value.copied ? "moved" : "stopped_without_copy";
}
