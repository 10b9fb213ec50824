// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Shapes of fleets and their load, and the requests drawn from them.
 *
 * @module
 */
import { exponential, type Random } from "rampswitch-utils";

/** One kind of streamed request. */
export interface RequestKind {
  readonly name: string;
  readonly perSecond: number;
  /** Target of the time to the first part, in milliseconds. */
  readonly targetMilliseconds: number;
  /** Weight of one request among others. */
  readonly worth: number;
  readonly priority: number;
  /** Mean tokens that only this request has, and their spread (log-normal). */
  readonly ownTokens: { readonly mean: number; readonly spread: number };
  /** Mean tokens of the part that requests share, and how many parts there are. */
  readonly sharedTokens: { readonly mean: number; readonly parts: number };
  /** Mean tokens of an answer. */
  readonly answerTokens: number;
}

/** An engine's speeds and bounds. */
export interface EngineShape {
  readonly slots: number;
  /** A step of the batch takes this long, in milliseconds, and this a slot. */
  readonly stepMilliseconds: number;
  readonly stepMillisecondsPerSlot: number;
  readonly readTokensPerMillisecond: number;
  /** Prompt tokens read in one step at most. */
  readonly pieceTokens: number;
  /** Time of a first part whatever the prompt, in milliseconds. */
  readonly firstMilliseconds: number;
  readonly memoryTokens: number;
  /** Whether answers tell the engine's load. */
  readonly tellsLoad: boolean;
}

/** A fleet and its load. */
export interface FleetShape {
  readonly name: string;
  readonly hosts: number;
  readonly dataHalls: number;
  readonly kinds: readonly RequestKind[];
  readonly engine: EngineShape;
}

/** A request as it is drawn. */
export interface DrawnRequest {
  readonly kind: RequestKind;
  readonly sharedPart: string;
  readonly sharedTokens: number;
  readonly ownTokens: number;
  readonly answerTokens: number;
}

/** Three kinds of prompts: few long ones, many short ones. */
const LONG_AND_SHORT: readonly RequestKind[] = [
  {
    name: "long",
    perSecond: 75,
    targetMilliseconds: 1_000,
    worth: 3.9,
    priority: 1,
    ownTokens: { mean: 6_610, spread: 1.4 },
    sharedTokens: { mean: 5_380, parts: 714 },
    answerTokens: 385,
  },
  {
    name: "question",
    perSecond: 78,
    targetMilliseconds: 600,
    worth: 2.4,
    priority: 0,
    ownTokens: { mean: 630, spread: 1 },
    sharedTokens: { mean: 200, parts: 743 },
    answerTokens: 290,
  },
  {
    name: "short",
    perSecond: 143,
    targetMilliseconds: 600,
    worth: 0.33,
    priority: 2,
    ownTokens: { mean: 1_800, spread: 1.3 },
    sharedTokens: { mean: 570, parts: 910 },
    answerTokens: 21,
  },
];

function scaled(
  kinds: readonly RequestKind[],
  by: number,
  targets: number,
): readonly RequestKind[] {
  return kinds.map((kind) => ({
    ...kind,
    perSecond: kind.perSecond * by,
    targetMilliseconds: kind.targetMilliseconds * targets,
    sharedTokens: {
      ...kind.sharedTokens,
      parts: Math.max(1, Math.round(kind.sharedTokens.parts * by)),
    },
  }));
}

const SLOW_ENGINE: EngineShape = {
  slots: 12,
  stepMilliseconds: 3.82,
  stepMillisecondsPerSlot: 0.0227,
  readTokensPerMillisecond: 68.2,
  pieceTokens: 4_096,
  firstMilliseconds: 36,
  memoryTokens: 416_816,
  tellsLoad: true,
};

const FAST_ENGINE: EngineShape = {
  slots: 24,
  stepMilliseconds: 3.55,
  stepMillisecondsPerSlot: 0.02,
  readTokensPerMillisecond: 157,
  pieceTokens: 1_024,
  firstMilliseconds: 24,
  memoryTokens: 730_000,
  tellsLoad: false,
};

/** Shapes by name: sizes and mixes of known kinds, none of them a deployment. */
export const SHAPES: Readonly<Record<string, FleetShape>> = Object.fromEntries(
  [
    {
      name: "large-slow",
      hosts: 195,
      dataHalls: 7,
      kinds: LONG_AND_SHORT,
      engine: SLOW_ENGINE,
    },
    {
      name: "middle-fast",
      hosts: 77,
      dataHalls: 4,
      kinds: scaled(LONG_AND_SHORT, 1.2, 0.5),
      engine: FAST_ENGINE,
    },
    {
      name: "small-slow",
      hosts: 9,
      dataHalls: 4,
      kinds: scaled(LONG_AND_SHORT, 0.25, 1),
      engine: { ...SLOW_ENGINE, slots: 32 },
    },
    {
      name: "small-fast",
      hosts: 7,
      dataHalls: 4,
      kinds: scaled(LONG_AND_SHORT, 0.35, 0.5),
      engine: FAST_ENGINE,
    },
  ].map((shape) => [shape.name, shape]),
);

/** Draws what one request of a kind asks for. */
export function drawRequest(
  kind: RequestKind,
  random: Random,
  hotShare = 0,
): DrawnRequest {
  const hot = hotShare > 0 && random.next() < hotShare;
  const part = hot ? 0 : random.below(kind.sharedTokens.parts);
  return {
    kind,
    sharedPart: `${kind.name}-${part}`,
    // Parts differ in size, and each has the same size whenever it is drawn.
    sharedTokens: kind.sharedTokens.mean * (0.5 + ((part * 7_919) % 101) / 100),
    ownTokens: logNormal(kind.ownTokens, random),
    answerTokens: Math.max(1, exponential(random, kind.answerTokens)),
  };
}

function logNormal(
  { mean, spread }: { readonly mean: number; readonly spread: number },
  random: Random,
): number {
  const angle = 2 * Math.PI * random.next();
  const normal = Math.sqrt(-2 * Math.log(1 - random.next())) * Math.cos(angle);
  const largest = mean * LARGEST_MULTIPLE;
  return Math.min(largest, mean * Math.exp(spread * normal - spread ** 2 / 2));
}

/** Largest prompt, as a multiple of the mean. */
const LARGEST_MULTIPLE = 8;
