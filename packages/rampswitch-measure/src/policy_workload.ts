// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * The load of the policy measurement: sessions of several turns that share
 * prefixes, workspaces of uneven size, a day squeezed into minutes.
 *
 * @module
 */
import { blockHashes, exponential, type Random } from "rampswitch-utils";

/** A deployment's shape. */
export interface DeploymentShape {
  readonly name: string;
  readonly engines: number;
  /** Weight of recomputed tokens against cost. */
  readonly recomputedWeight: number;
  /** Sessions that begin in a second, on average over the day. */
  readonly sessionsPerSecond: number;
}

/** One turn of a session. */
export interface Turn {
  readonly at: number;
  readonly workspace: number;
  /** Names the session, as its first messages do. */
  readonly conversation: string;
  /** Tokens of the prompt that earlier turns had. */
  readonly earlierTokens: number;
  readonly blocks: readonly string[];
  readonly promptTokens: number;
  readonly answerTokens: number;
  /** Number of the entry host that the balancer picks. */
  readonly entry: number;
}

/** Tokens in a block. */
export const BLOCK_TOKENS = 16;

/** Entry hosts of each deployment. */
export const ENTRY_HOSTS = 8;

/** Shares of the sessions that each workspace starts. */
export const WORKSPACE_SHARES = [0.45, 0.3, 0.15, 0.07, 0.03] as const;

const SYSTEM_WORDS = 320;
const TURN_WORDS = 48;
const MEAN_TURNS = 5;
const MEAN_ANSWER = 60;
const LEAST_ANSWER = 16;
const THINK_MILLISECONDS = 9_000;
const DAY_SWING = 0.6;

/** Draws all turns of a run, in order of time. */
export function drawTurns(
  shape: DeploymentShape,
  random: Random,
  milliseconds: number,
): readonly Turn[] {
  const turns: Turn[] = [];
  const peak = shape.sessionsPerSecond * (1 + DAY_SWING);
  let at = 0;
  let session = 0;
  for (;;) {
    at += exponential(random, 1000 / peak);
    if (at >= milliseconds) break;
    if (random.next() * peak > rateAt(shape, at / milliseconds)) continue;
    turns.push(...drawSession(session, random, { at, until: milliseconds }));
    session += 1;
  }
  return turns.toSorted((left, right) => left.at - right.at);
}

/** Sessions a second at a time of the day, from 0 to 1. */
function rateAt(shape: DeploymentShape, time: number): number {
  return (
    shape.sessionsPerSecond * (1 - DAY_SWING * Math.cos(2 * Math.PI * time))
  );
}

function drawSession(
  session: number,
  random: Random,
  span: { readonly at: number; readonly until: number },
): readonly Turn[] {
  const workspace = drawWorkspace(random);
  const count = 1 + Math.floor(exponential(random, MEAN_TURNS - 1));
  const words = Array.from(
    { length: SYSTEM_WORDS },
    (_, word) => `w${workspace}.${word}`,
  );
  const turns: Turn[] = [];
  let { at } = span;
  for (let turn = 0; turn < count && at < span.until; turn += 1) {
    const asked = Array.from(
      { length: TURN_WORDS },
      (_, word) => `s${session}.${turn}.${word}`,
    );
    words.push(...asked);
    const answerTokens =
      LEAST_ANSWER + Math.floor(exponential(random, MEAN_ANSWER));
    turns.push({
      at,
      workspace,
      conversation: `s${session}`,
      earlierTokens: turn === 0 ? 0 : words.length - TURN_WORDS,
      blocks: blockHashes(words, BLOCK_TOKENS),
      promptTokens: words.length,
      answerTokens,
      entry: random.below(ENTRY_HOSTS),
    });
    words.push(
      ...Array.from(
        { length: answerTokens },
        (_, word) => `a${session}.${turn}.${word}`,
      ),
    );
    at += exponential(random, THINK_MILLISECONDS);
  }
  return turns;
}

function drawWorkspace(random: Random): number {
  let left = random.next();
  return Math.max(
    0,
    WORKSPACE_SHARES.findIndex((share) => {
      left -= share;
      return left < 0;
    }),
  );
}
