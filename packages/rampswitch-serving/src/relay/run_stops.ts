// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * The calls of this host that stop runs of one request, and what is known of their
 * effect. An answer tells the effect of its own call alone: that the server knows no run,
 * or is busy with another call, says nothing of earlier calls whose answers were lost.
 *
 * @module
 */
import { type Result } from "true-myth";
import type { ServerRecord } from "../choice/mod.ts";
import type {
  EngineControl,
  MemoryCopyError,
  RetainedMemory,
} from "../model/engine_control.ts";

/** One call that stops a run. */
export interface StopCall {
  readonly attemptId: string;
  /** Server that runs the request. */
  readonly from: ServerRecord;
  /** Address of the server that receives the copy of its memory. */
  readonly to: string;
}

/** Answers of calls that stopped nothing by themselves. */
const WITHOUT_EFFECT: ReadonlySet<MemoryCopyError> = new Set<MemoryCopyError>([
  "no_run",
  "not_connected",
]);

/** Whether the call that was answered so may have stopped its run. */
export function mayHaveStopped(error: MemoryCopyError): boolean {
  return !WITHOUT_EFFECT.has(error);
}

/**
 * Longest time for which an outcome in doubt is asked for, in milliseconds. A server that
 * leaves answers at most for about as long.
 */
const MAXIMUM_DOUBT_MILLISECONDS = 5_000;

/** The same where a further run can give the rest, which spares the caller a long pause. */
const MAXIMUM_REPEATABLE_DOUBT_MILLISECONDS = 1_500;

/** Pause before the second call, in milliseconds; doubled for each further one. */
const FIRST_PAUSE_MILLISECONDS = 20;

const MAXIMUM_PAUSE_MILLISECONDS = 320;

/** Calls that have left the outcome in doubt. */
export interface StopDoubt {
  readonly calls: number;
  /** Time since the first call, in milliseconds. */
  readonly milliseconds: number;
  /** Whether a further run can give the rest of the answer. */
  readonly canRunAgain: boolean;
}

/**
 * The pause before a further call, in milliseconds; `undefined` if the outcome has been
 * asked for long enough.
 */
export function pauseBeforeStop(doubt: StopDoubt): number | undefined {
  const maximum = doubt.canRunAgain
    ? MAXIMUM_REPEATABLE_DOUBT_MILLISECONDS
    : MAXIMUM_DOUBT_MILLISECONDS;
  const pause = Math.min(
    MAXIMUM_PAUSE_MILLISECONDS,
    FIRST_PAUSE_MILLISECONDS * 2 ** (doubt.calls - 1),
  );
  return doubt.milliseconds + pause > maximum ? undefined : pause;
}

/** What is known of the calls at one incarnation of a server. */
interface Calls {
  /** Calls that are not answered yet. */
  readonly open: number;
  /** Whether a call may have stopped the run, and no later one has made it clear. */
  readonly inDoubt: boolean;
  /** Answers since the last handle which say that the server knows no run. */
  readonly noRunAnswers: number;
  /** Whether a call has no answer, so that it may take effect at any later time. */
  readonly isAnyLost: boolean;
}

/** Answers that know no run before they are believed; one alone may be wrong. */
const CONFIRMING_ANSWERS = 2;

const NO_CALLS: Calls = {
  open: 0,
  inDoubt: false,
  noRunAnswers: 0,
  isAnyLost: false,
};

/** The calls that stop runs of one request, by the incarnation of their server. */
export class RunStops {
  readonly #control: Pick<EngineControl, "copyMemory">;
  readonly #calls = new Map<string, Calls>();
  /** Incarnations at which a run was given up, so that another one may be stopped too. */
  readonly #abandonedAt = new Set<string>();

  constructor(parts: {
    readonly engineControl: Pick<EngineControl, "copyMemory">;
  }) {
    this.#control = parts.engineControl;
  }

  /** Notes that a run is given up at a server, which is asked to stop it. */
  abandonedAt({ incarnation }: ServerRecord): void {
    this.#abandonedAt.add(incarnation);
  }

  /** Whether a server may have stopped the run that it has now because it was asked to. */
  mayHaveStopped(record: ServerRecord): boolean {
    const calls = this.#at(record);
    return (
      calls.open > 0 ||
      calls.inDoubt ||
      calls.isAnyLost ||
      isUnconfirmed(calls) ||
      this.#abandonedAt.has(record.incarnation)
    );
  }

  /** Whether a call waits for its answer. */
  isUnderWay(record: ServerRecord): boolean {
    return this.#at(record).open > 0;
  }

  /** Makes one call. */
  async call({
    from,
    to,
    attemptId,
  }: StopCall): Promise<Result<RetainedMemory, MemoryCopyError>> {
    this.#update(from, (calls) => ({ ...calls, open: calls.open + 1 }));
    const address = from.entry.address;
    const answer = await this.#control.copyMemory({
      from: address,
      to,
      attemptId,
      stopsRun: true,
    });
    this.#update(from, (calls) => answered(calls, answer));
    return answer;
  }

  #at({ incarnation }: ServerRecord): Calls {
    return this.#calls.get(incarnation) ?? NO_CALLS;
  }

  #update(record: ServerRecord, change: (calls: Calls) => Calls): void {
    this.#calls.set(record.incarnation, change(this.#at(record)));
  }
}

/** Whether one answer alone says that there is no run. */
function isUnconfirmed({ noRunAnswers }: Calls): boolean {
  return noRunAnswers > 0 && noRunAnswers < CONFIRMING_ANSWERS;
}

/**
 * A handle names the memory of the stopped run, whichever call has stopped it. A call
 * without an answer may still stop a run that the same server resumes.
 */
function answered(
  { open, inDoubt, noRunAnswers, isAnyLost }: Calls,
  answer: Result<RetainedMemory, MemoryCopyError>,
): Calls {
  if (answer.isOk) return { ...NO_CALLS, open: open - 1, isAnyLost };
  const { error } = answer;
  return {
    open: open - 1,
    inDoubt: inDoubt || mayHaveStopped(error),
    noRunAnswers: noRunAnswers + (error === "no_run" ? 1 : 0),
    isAnyLost: isAnyLost || error === "no_answer",
  };
}
