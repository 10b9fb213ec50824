// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Stops runs that this host has given up. A lost answer, or a connection that this
 * host closes, does not show that the server stopped: not every server notices, and
 * the link may be gone.
 *
 * @module
 */
import { runInBackground, sleep } from "rampswitch-utils";
import type { ServerDirectory, ServerRecord } from "../choice/mod.ts";
import type { Service } from "../model/configuration.ts";
import type { MemoryCopyError } from "../model/engine_control.ts";
import { type EngineCallParts, freeMemory } from "./retained_memory.ts";
import { RunStops } from "./run_stops.ts";

/**
 * Pauses before the calls that stop a run, in milliseconds. In the first one most
 * servers notice the close; on the known platforms two servers may work on one request
 * for at most 0.4 s. The others follow calls without a clear answer.
 */
const CALL_PAUSES_MILLISECONDS: readonly number[] = [100, 60, 100, 200, 400];

/**
 * Time for an answer, in milliseconds, after which one more call is made. The answer
 * comes when the memory was copied, behind other copies; the run stops before that.
 */
const ANSWER_WAIT_MILLISECONDS = 120;

/**
 * Pauses before further looks at a server that doesn't know the run, in milliseconds.
 * A request that waits in its queue begins only when others end.
 */
const QUEUE_PAUSES_MILLISECONDS: readonly number[] = [300, 300, 600];

/** A run that this host has given up. */
export interface AbandonedRun {
  readonly attemptId: string;
  readonly server: ServerRecord;
  /** Whether the request may still wait at the server, since nothing of it was heard. */
  readonly mayWait: boolean;
  /** The calls that stop runs of the request; none were made by default. */
  readonly stops?: RunStops;
  /** The server at which this host has the request now, if any. */
  present(): ServerRecord | undefined;
}

/** Dependencies of the stop of a run. */
export interface AbandonedRunParts extends EngineCallParts {
  readonly directory: ServerDirectory;
}

/** What a call to stop a run came to. */
type StopOutcome = "stopped" | "slow" | "not_needed" | MemoryCopyError;

/** Outcomes after which the run is known not to continue at its server. */
const CONCLUSIVE: ReadonlySet<StopOutcome> = new Set<StopOutcome>([
  "stopped",
  "no_run",
  "not_needed",
]);

/** Whether the servers of a service can be asked to stop a run. */
export function canStopRuns(service: Service | undefined): boolean {
  return service?.engine?.migratable ?? false;
}

/** Has a run stopped at the server that it was given up at; returns at once. */
export function stopAbandonedRun(
  run: AbandonedRun,
  parts: AbandonedRunParts,
): void {
  runInBackground("stop of an abandoned run", parts, () =>
    new RunStop(run, parts).run(),
  );
}

/** The stop of one run. */
class RunStop {
  readonly #run: AbandonedRun;
  readonly #parts: AbandonedRunParts;
  readonly #stops: RunStops;

  constructor(run: AbandonedRun, parts: AbandonedRunParts) {
    this.#run = run;
    this.#parts = parts;
    this.#stops = run.stops ?? new RunStops(parts);
  }

  async run(): Promise<void> {
    const pauses = this.#run.mayWait ? QUEUE_PAUSES_MILLISECONDS : [];
    const outcome = await this.#stopOnce();
    await this.#lookAgain(outcome, pauses);
  }

  /** Stops a run that began after its server did not know it. */
  async #lookAgain(
    outcome: StopOutcome,
    [pause, ...later]: readonly number[],
  ): Promise<void> {
    if (outcome !== "no_run" || pause === undefined) return;
    await sleep(this.#parts.clock, pause);
    await this.#lookAgain(await this.#stopOnce(), later);
  }

  /** Calls until the outcome is clear, or the calls are used up. */
  async #stopOnce(): Promise<StopOutcome> {
    const outcome = await this.#callUntilClear(CALL_PAUSES_MILLISECONDS);
    if (outcome === "not_needed") return outcome;
    const { metrics, logger } = this.#parts;
    const { attemptId, server } = this.#run;
    metrics.event(`left_run_${outcome}`);
    logger.info("left run", {
      request: attemptId,
      outcome,
      server: server.entry.id,
    });
    return outcome;
  }

  async #callUntilClear([
    pause = 0,
    ...later
  ]: readonly number[]): Promise<StopOutcome> {
    await sleep(this.#parts.clock, pause);
    const outcome = await this.#call();
    const isClear =
      CONCLUSIVE.has(outcome) ||
      // The server is busy with an earlier call, for which it stopped the run.
      (outcome === "under_way" && this.#stops.isUnderWay(this.#run.server));
    return isClear || later.length === 0
      ? outcome
      : this.#callUntilClear(later);
  }

  /** One call; it goes on if its answer takes longer than the wait. */
  async #call(): Promise<StopOutcome> {
    const target = this.#target();
    if (this.#isOver() || target === undefined) return "not_needed";
    const { clock } = this.#parts;
    return Promise.race([
      this.#callEngine(target),
      sleep(clock, ANSWER_WAIT_MILLISECONDS).then((): StopOutcome => "slow"),
    ]);
  }

  async #callEngine(target: ServerRecord): Promise<StopOutcome> {
    const { attemptId, server } = this.#run;
    const to = target.entry.address;
    const stopped = await this.#stops.call({ attemptId, from: server, to });
    if (stopped.isErr) return stopped.error;
    const { handle } = stopped.value;
    const holders = { from: server, to: target };
    runInBackground("memory of an abandoned run", this.#parts, () =>
      freeMemory({ attemptId, holders, handle }, this.#parts),
    );
    return "stopped";
  }

  /**
   * Whether nothing is left to stop: the server ended or started again, or the request
   * is at its address, which may be that of another server by now.
   */
  #isOver(): boolean {
    const { server } = this.#run;
    const present = this.#run.present();
    return server.ended || present?.entry.address === server.entry.address;
  }

  /** A server that the memory of the stopped run is copied to until it is freed. */
  #target(): ServerRecord | undefined {
    const { server } = this.#run;
    const { address, service, version, dataHall } = server.entry;
    const others = this.#parts.directory
      .of(service)
      .filter(({ entry }) => entry.address !== address);
    return (
      this.#run.present() ??
      others.find(
        ({ entry }) => entry.version === version && entry.dataHall === dataHall,
      ) ??
      others[0]
    );
  }
}
