// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Shapes of fleets and their load, and the requests drawn from them.
 *
 * @module
 */
import { exponential, type Random, seededRandom } from "rampswitch-utils";

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

/** What differs where questions have most of the load, and targets leave more time. */
const QUESTIONS_FIRST_CHANGES: Readonly<Record<string, Partial<RequestKind>>> =
  {
    long: { perSecond: 48, targetMilliseconds: 1_220, worth: 4.5 },
    question: { perSecond: 108, targetMilliseconds: 610, worth: 2.3 },
    short: { perSecond: 107, targetMilliseconds: 810 },
  };

const QUESTIONS_FIRST: readonly RequestKind[] = LONG_AND_SHORT.map((kind) => ({
  ...kind,
  ...QUESTIONS_FIRST_CHANGES[kind.name],
}));

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
      name: "middle-slow",
      hosts: 78,
      dataHalls: 4,
      kinds: QUESTIONS_FIRST,
      engine: {
        ...SLOW_ENGINE,
        stepMilliseconds: 4.23,
        readTokensPerMillisecond: 64.2,
        pieceTokens: 1_024,
        memoryTokens: 360_090,
      },
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

/** Share of its engines that a drawn shape's load fills, at least and at most. */
const DRAWN_FILL = { least: 0.5, most: 0.75 };

/** A shape that is drawn, and engines for its load. */
export interface DrawnShape {
  readonly shape: FleetShape;
  readonly engines: number;
}

/** Draws a shape: sizes, speeds, kinds of requests and how busy engines are. */
export function drawShape(seed: number): DrawnShape {
  const random = seededRandom(seed);
  const between = (least: number, most: number) =>
    least * (most / least) ** random.next();
  const engine: EngineShape = {
    slots: Math.round(between(8, 64)),
    stepMilliseconds: between(3, 8),
    stepMillisecondsPerSlot: 0.02,
    readTokensPerMillisecond: between(30, 200),
    pieceTokens: random.next() < 0.5 ? 1_024 : 4_096,
    firstMilliseconds: between(10, 40),
    memoryTokens: between(250_000, 800_000),
    tellsLoad: random.next() < 0.5,
  };
  const targets = between(250, 1_000);
  const kinds = Array.from({ length: 2 + random.below(3) }, (_, index) => ({
    name: `kind-${index}`,
    perSecond: between(5, 50),
    targetMilliseconds: targets * between(1, 2),
    worth: between(0.3, 4),
    priority: index,
    ownTokens: { mean: between(300, 8_000), spread: between(0.5, 1.4) },
    sharedTokens: {
      mean: between(100, 6_000),
      parts: Math.round(between(20, 800)),
    },
    answerTokens: between(20, 500),
  }));
  const filled = enginesFilled(kinds, engine);
  const fill = between(DRAWN_FILL.least, DRAWN_FILL.most);
  return {
    shape: {
      name: `drawn-${seed}`,
      hosts: Math.round(between(5, 200)),
      dataHalls: 2 + random.below(7),
      kinds,
      engine,
    },
    engines: Math.max(3, Math.ceil(filled / fill)),
  };
}

/** Share of shared parts that are taken to be read, to size a drawn shape. */
const READ_OF_SHARED = 0.4;

/** Engines that a load would fill if nothing ever waited. */
function enginesFilled(
  kinds: readonly RequestKind[],
  engine: EngineShape,
): number {
  const step =
    engine.stepMilliseconds +
    (engine.stepMillisecondsPerSlot * engine.slots) / 2;
  const sum = (of: (kind: RequestKind) => number) =>
    kinds.reduce((total, kind) => total + kind.perSecond * of(kind), 0);
  const reading = sum(
    ({ ownTokens, sharedTokens }) =>
      ownTokens.mean + READ_OF_SHARED * sharedTokens.mean,
  );
  const making = sum(({ answerTokens }) => answerTokens * step);
  // An engine does both: what it reads delays what it makes.
  return (
    reading / (engine.readTokensPerMillisecond * 1_000) +
    making / (engine.slots * 1_000)
  );
}

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
