// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Runs one policy against engine models in scaled time: the same turns, the
 * same reclaim waves, the same lagging reports for each policy.
 *
 * @module
 */
import TinyQueue from "tinyqueue";
import { DEFAULT_ENGINE_PROFILE, EngineModel } from "rampswitch-standins";
import { seededRandom } from "rampswitch-utils";
import {
  type Chooser,
  type ChooserFactory,
  type EngineView,
  TARGET_MILLISECONDS,
} from "./policy_choosers.ts";
import {
  BLOCK_TOKENS,
  type DeploymentShape,
  ENTRY_HOSTS,
  type Turn,
  WORKSPACE_SHARES,
} from "./policy_workload.ts";
import { durations, rounded } from "./statistics.ts";

/** What one policy came to. */
export interface PolicyFigures {
  readonly firstTokenMillisecondsP95: number;
  readonly betweenTokensMillisecondsP95: number;
  readonly costPerThousandAnswersAtTarget: number;
  readonly recomputedTokens: number;
  readonly refused: number;
  readonly fairnessIndex: number;
  readonly answers: number;
  readonly atTarget: number;
  readonly billedMinutes: number;
}

interface SimulatedEngine {
  readonly view: EngineView;
  model: EngineModel;
  stepping: boolean;
  reported: number;
  leaving: boolean;
  /** Last cache event that was published. */
  cacheSequence: number;
  readonly billed: Set<number>;
}

interface Running {
  readonly turn: Turn;
  readonly engine: SimulatedEngine;
  /** Tokens delivered before this attempt. */
  readonly from: number;
}

interface Progress {
  delivered: number;
  firstAt: number | undefined;
  lastAt: number;
}

interface Scheduled {
  readonly at: number;
  readonly order: number;
  readonly run: (now: number) => void;
}

const DATA_HALLS = 4;
const CHEAP_DOLLARS = 0.4;
const DEAR_DOLLARS = 1.2;
const REPORT_MILLISECONDS = 500;
const REPORT_LAG_MILLISECONDS = 250;
const BILLING_MILLISECONDS = 60_000;
const WAVE_TIMES = [0.35, 0.6] as const;
const WAVE_MILLISECONDS = 60_000;
const CACHE_BLOCKS = 1_600;
/** One cache event of so many is never published. */
const CACHE_EVENT_GAP = 20;
const REFUSE_AFTER = 400;

/** One run of one policy. */
export class PolicySimulation {
  readonly #milliseconds: number;
  readonly #queue = new TinyQueue<Scheduled>(
    [],
    (left, right) => left.at - right.at || left.order - right.order,
  );
  readonly #engines: readonly SimulatedEngine[];
  readonly #choosers: readonly Chooser[];
  readonly #running = new Map<string, Running>();
  readonly #progress = new Map<Turn, Progress>();
  readonly #everComputed = new Set<string>();
  readonly #gaps: number[] = [];
  #order = 0;
  #attempts = 0;
  #recomputed = 0;
  #refused = 0;

  constructor(
    shape: DeploymentShape,
    factory: ChooserFactory,
    options: { readonly seed: number; readonly milliseconds: number },
  ) {
    this.#milliseconds = options.milliseconds;
    this.#engines = Array.from({ length: shape.engines }, (_, index) =>
      simulatedEngine(index),
    );
    this.#choosers = Array.from({ length: ENTRY_HOSTS }, (_, host) =>
      factory(shape, seededRandom(options.seed + host)),
    );
  }

  /** Runs all turns and returns the figures. */
  run(turns: readonly Turn[]): PolicyFigures {
    turns.forEach((turn) =>
      this.#schedule(turn.at, (now) => this.#arrive(turn, now)),
    );
    WAVE_TIMES.forEach((share, wave) => {
      const at = share * this.#milliseconds;
      this.#schedule(at, () => this.#wave(wave, true));
      this.#schedule(at + WAVE_MILLISECONDS, () => this.#wave(wave, false));
    });
    this.#schedule(0, (now) => this.#report(now));
    for (
      let next = this.#queue.pop();
      next !== undefined;
      next = this.#queue.pop()
    ) {
      next.run(next.at);
    }
    return this.#figures(turns);
  }

  #schedule(at: number, run: (now: number) => void): void {
    this.#order += 1;
    this.#queue.push({ at, order: this.#order, run });
  }

  #arrive(turn: Turn, now: number): void {
    this.#progress.set(turn, { delivered: 0, firstAt: undefined, lastAt: now });
    this.#dispatch(turn, now);
  }

  #dispatch(turn: Turn, now: number): void {
    const views = this.#engines.map(({ view, reported, leaving }) => ({
      ...view,
      reported,
      leaving,
    }));
    const name = this.#choosers[turn.entry]?.choose(turn, views, now);
    const engine = this.#engines.find(({ view }) => view.name === name);
    if (engine === undefined || engine.model.load.waiting > REFUSE_AFTER) {
      this.#refused += 1;
      return;
    }
    this.#send(turn, engine, now);
  }

  #send(turn: Turn, engine: SimulatedEngine, now: number): void {
    const from = this.#progress.get(turn)?.delivered ?? 0;
    this.#attempts += 1;
    const attempt = String(this.#attempts);
    const cached = engine.model.cachedBlocks(turn.blocks);
    const again = turn.blocks
      .slice(cached)
      .filter((block) => this.#everComputed.has(block)).length;
    this.#recomputed += again * BLOCK_TOKENS + from;
    turn.blocks.forEach((block) => this.#everComputed.add(block));
    this.#running.set(attempt, { turn, engine, from });
    engine.model.submit({
      attempt,
      blocks: turn.blocks,
      promptTokens: turn.promptTokens + from,
      firstToken: from,
      endToken: turn.answerTokens,
      priority: 0,
    });
    this.#step(engine, now);
  }

  #step(engine: SimulatedEngine, now: number): void {
    if (engine.stepping || engine.model.idle) return;
    engine.stepping = true;
    const { model } = engine;
    const step = model.step();
    engine.billed.add(Math.floor(now / BILLING_MILLISECONDS));
    this.#schedule(now + step.milliseconds, (later) => {
      engine.stepping = false;
      if (engine.model === model) {
        step.tokens.forEach(({ attempt, last }) =>
          this.#token(attempt, last, later),
        );
      }
      this.#step(engine, later);
    });
  }

  #token(attempt: string, last: boolean, now: number): void {
    const running = this.#running.get(attempt);
    const progress =
      running === undefined ? undefined : this.#progress.get(running.turn);
    if (running === undefined || progress === undefined) return;
    if (progress.firstAt === undefined) progress.firstAt = now;
    else this.#gaps.push(now - progress.lastAt);
    progress.lastAt = now;
    progress.delivered += 1;
    if (!last) return;
    this.#running.delete(attempt);
    this.#choosers[running.turn.entry]?.ended(running.engine.view.name, now);
  }

  #report(now: number): void {
    const loads = this.#engines.map((engine) => {
      const events = engine.model.cacheEvents(engine.cacheSequence);
      engine.cacheSequence = events.at(-1)?.sequence ?? engine.cacheSequence;
      return {
        engine,
        load: engine.model.load,
        events: events.filter(
          ({ sequence }) => sequence % CACHE_EVENT_GAP !== 0,
        ),
      };
    });
    this.#schedule(now + REPORT_LAG_MILLISECONDS, () =>
      loads.forEach(({ engine, load, events }) => {
        engine.reported = load.running + load.waiting;
        this.#choosers.forEach((chooser) =>
          chooser.reported(engine.view.name, { ...load, at: now }),
        );
        this.#choosers.forEach((chooser) =>
          chooser.cacheEvents(engine.view.name, events),
        );
      }),
    );
    if (now < this.#milliseconds) {
      this.#schedule(now + REPORT_MILLISECONDS, (later) => this.#report(later));
    }
  }

  /** A wave takes all reclaimable engines of one data hall. */
  #wave(wave: number, begins: boolean): void {
    const hall = `hall-${wave % DATA_HALLS}`;
    const now = this.#milliseconds * (WAVE_TIMES[wave] ?? 0);
    this.#engines
      .filter(({ view }) => view.candidate.server.dataHall === hall)
      .filter(({ view }) => view.candidate.reclaimable)
      .forEach((engine) => {
        engine.leaving = begins;
        if (begins) this.#take(engine, now);
      });
  }

  #take(engine: SimulatedEngine, now: number): void {
    engine.model = newModel();
    engine.cacheSequence = 0;
    const lost = [...this.#running].filter(
      ([, running]) => running.engine === engine,
    );
    lost.forEach(([attempt, { turn }]) => {
      this.#running.delete(attempt);
      this.#choosers[turn.entry]?.ended(engine.view.name, now);
      this.#dispatch(turn, now);
    });
  }

  #figures(turns: readonly Turn[]): PolicyFigures {
    const firsts = turns.flatMap((turn) => {
      const firstAt = this.#progress.get(turn)?.firstAt;
      return firstAt === undefined ? [] : [{ turn, wait: firstAt - turn.at }];
    });
    const inTime = firsts.filter(({ wait }) => wait <= TARGET_MILLISECONDS);
    const dollars = this.#engines.reduce(
      (sum, { view, billed }) =>
        sum +
        (billed.size * BILLING_MILLISECONDS * view.candidate.dollarsPerHour) /
          3_600_000,
      0,
    );
    return {
      firstTokenMillisecondsP95: rounded(
        durations(firsts.map(({ wait }) => wait)).p95,
      ),
      betweenTokensMillisecondsP95: rounded(durations(this.#gaps).p95),
      costPerThousandAnswersAtTarget: rounded(
        (dollars * 1000) / Math.max(1, inTime.length),
        4,
      ),
      recomputedTokens: this.#recomputed,
      refused: this.#refused,
      fairnessIndex: rounded(fairness(turns, inTime), 4),
      answers: firsts.length,
      atTarget: inTime.length,
      billedMinutes: this.#engines.reduce(
        (sum, { billed }) => sum + billed.size,
        0,
      ),
    };
  }
}

/** Jain's index of the share of answers in time over the workspaces. */
function fairness(
  turns: readonly Turn[],
  inTime: readonly { readonly turn: Turn }[],
): number {
  const shares = WORKSPACE_SHARES.map((_, workspace) => {
    const asked = turns.filter((turn) => turn.workspace === workspace).length;
    const answered = inTime.filter(
      ({ turn }) => turn.workspace === workspace,
    ).length;
    return asked === 0 ? 1 : answered / asked;
  });
  const sum = shares.reduce((total, share) => total + share, 0);
  const squares = shares.reduce((total, share) => total + share * share, 0);
  return (sum * sum) / (shares.length * squares);
}

function newModel(): EngineModel {
  return new EngineModel({
    ...DEFAULT_ENGINE_PROFILE,
    cacheBlocks: CACHE_BLOCKS,
  });
}

function simulatedEngine(index: number): SimulatedEngine {
  const dear = index % 3 === 2;
  const name = `engine-${index}`;
  const dataHall = `hall-${index % DATA_HALLS}`;
  return {
    view: {
      name,
      reported: 0,
      leaving: false,
      candidate: {
        dollarsPerHour: dear ? DEAR_DOLLARS : CHEAP_DOLLARS,
        meanHoursToReclaim: dear ? 8_760 : 12,
        reclaimable: !dear,
        server: {
          kind: "BackendServer",
          name,
          labels: {},
          service: "assistant",
          host: name,
          address: "",
          dataHall,
          hostClass: dear ? "on-demand" : "spot",
          concurrency: DEFAULT_ENGINE_PROFILE.batchSize,
          contract: {
            checksOrderEpoch: true,
            resumesStreams: true,
            movesKeyValueCache: true,
            tellsNotRun: true,
          },
          draining: false,
        },
      },
    },
    model: newModel(),
    stepping: false,
    reported: 0,
    leaving: false,
    cacheSequence: 0,
    billed: new Set(),
  };
}
