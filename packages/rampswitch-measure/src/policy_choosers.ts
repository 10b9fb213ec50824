// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Policies that the measurement compares: ours and four baselines.
 *
 * @module
 */
import {
  type Candidate,
  choose,
  PrefixIndex,
  ServerLoad,
} from "rampswitch-policy";
import type { CacheEvent } from "rampswitch-standins";
import { hash32, type Random } from "rampswitch-utils";
import {
  BLOCK_TOKENS,
  type DeploymentShape,
  ENTRY_HOSTS,
  type Turn,
} from "./policy_workload.ts";

/** What a policy sees of an engine. */
export interface EngineView {
  readonly name: string;
  readonly candidate: Candidate;
  /** Requests running and waiting, as last reported. */
  readonly reported: number;
  readonly leaving: boolean;
}

/** One entry host's part of a policy. */
export interface Chooser {
  /** Chooses an engine by its name; `undefined` where none is left. */
  choose(
    turn: Turn,
    engines: readonly EngineView[],
    now: number,
  ): string | undefined;
  /** A request that went to an engine ended. */
  ended(engine: string, now: number): void;
  /** An engine's late events of its prefix cache came. */
  cacheEvents(engine: string, events: readonly CacheEvent[]): void;
  /** An engine's report came. */
  reported(
    engine: string,
    load: Parameters<ServerLoad["applyReport"]>[0],
  ): void;
}

/** Makes the choosers of all entry hosts. */
export type ChooserFactory = (
  shape: DeploymentShape,
  random: Random,
) => Chooser;

/** Speeds that our policy assumes; learned in the entry process. */
export const ASSUMED_SPEEDS = {
  promptTokenMilliseconds: 0.05,
  tokenMilliseconds: 14,
} as const;

/** First-token target of the measurement, in milliseconds. */
export const TARGET_MILLISECONDS = 620;

const PREFIX_BLOCKS = 100_000;
const EXPECTED_TOKENS = 76;
const PREFIX_HASH_BLOCK = 20;

const IGNORE = {
  ended: () => undefined,
  reported: () => undefined,
  cacheEvents: () => undefined,
};

/** All policies by name; ours first. */
export const CHOOSERS: Readonly<Record<string, ChooserFactory>> = {
  ours: ourChooser,
  roundRobin: () => {
    let next = 0;
    return {
      ...IGNORE,
      choose: (_turn, engines) => {
        const staying = engines.filter(({ leaving }) => !leaving);
        next += 1;
        return staying[next % Math.max(1, staying.length)]?.name;
      },
    };
  },
  leastReportedLoad: () => ({
    ...IGNORE,
    choose: (_turn, engines) => least(engines)?.name,
  }),
  powerOfTwoChoices: (_shape, random) => ({
    ...IGNORE,
    choose: (_turn, engines) => {
      const staying = engines.filter(({ leaving }) => !leaving);
      const drawn = [0, 1].flatMap(
        () => staying[random.below(Math.max(1, staying.length))] ?? [],
      );
      return least(drawn)?.name;
    },
  }),
  prefixHash: () => ({
    ...IGNORE,
    choose: (turn, engines) => {
      const staying = engines.filter(({ leaving }) => !leaving);
      const block = turn.blocks[PREFIX_HASH_BLOCK] ?? turn.blocks[0] ?? "";
      return staying[hash32(block) % Math.max(1, staying.length)]?.name;
    },
  }),
};

function least(engines: readonly EngineView[]): EngineView | undefined {
  return engines
    .filter(({ leaving }) => !leaving)
    .reduce<EngineView | undefined>(
      (best, engine) =>
        best === undefined || engine.reported < best.reported ? engine : best,
      undefined,
    );
}

function ourChooser(shape: DeploymentShape, random: Random): Chooser {
  const prefixes = new PrefixIndex(PREFIX_BLOCKS);
  const loads = new Map<string, ServerLoad>();
  let candidates: readonly Candidate[] | undefined;
  const loadOf = (engine: string): ServerLoad => {
    const known = loads.get(engine) ?? new ServerLoad();
    loads.set(engine, known);
    return known;
  };
  return {
    choose: (turn, engines, now) => {
      const leaving = new Set(
        engines.filter((engine) => engine.leaving).map(({ name }) => name),
      );
      const { chosen } = choose(
        {
          rule: undefined,
          groups: [
            {
              priority: 0,
              candidates: (candidates ??= engines.map(
                ({ candidate }) => candidate,
              )),
            },
          ],
        },
        {
          blocks: turn.blocks,
          conversation: turn.conversation,
          earlierTokens: turn.earlierTokens,
          promptTokens: turn.promptTokens,
          expectedTokens: EXPECTED_TOKENS,
          targetMilliseconds: TARGET_MILLISECONDS,
          weights: { cost: 1, recomputedTokens: shape.recomputedWeight },
          avoid: new Set(),
        },
        {
          now,
          random,
          prefixes,
          blockTokens: BLOCK_TOKENS,
          speeds: ASSUMED_SPEEDS,
          load: (engine) => loadOf(engine).estimate(now, ENTRY_HOSTS),
          exclusionReason: ({ server }) =>
            leaving.has(server.name) ? "leaving" : undefined,
          share: () => 1,
        },
      );
      if (chosen === undefined) return undefined;
      loadOf(chosen.server).sent(turn.promptTokens, now);
      prefixes.stored(chosen.server, turn.blocks);
      return chosen.server;
    },
    ended: (engine, now) => loadOf(engine).ended(false, now),
    reported: (engine, load) => loadOf(engine).applyReport(load),
    cacheEvents: (engine, events) =>
      events.forEach(({ kind, block }) =>
        kind === "stored"
          ? prefixes.stored(engine, [block])
          : prefixes.evicted(engine, block),
      ),
  };
}
