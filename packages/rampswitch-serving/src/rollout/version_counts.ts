// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Counts a version's answers by route, server and time class. The counts only
 * grow, so a lost or repeated message between hosts changes nothing. Pure.
 *
 * @module
 */

/** The version of a roll-out that an answer came from. */
export type VersionArm = "baseline" | "target";

/** One answer of a server. */
export interface VersionAnswer {
  readonly arm: VersionArm;
  readonly route: string;
  readonly server: string;
  readonly failed: boolean;
  /** Time from the send to the first part of the answer, in milliseconds. */
  readonly milliseconds: number;
}

/** Counts by key; see {@link keyOf}. */
export type VersionCounts = Readonly<Record<string, number>>;

/** A count with its decoded key. */
export interface CountedAnswers {
  readonly arm: VersionArm;
  readonly route: string;
  /** Empty for the baseline. */
  readonly server: string;
  /** `undefined` for failures. */
  readonly timeClass: number | undefined;
  readonly count: number;
}

/**
 * Ratio of the upper to the lower bound of a time class. Time classes are the
 * buckets of a histogram with exponential bounds.
 */
const TIME_CLASS_RATIO = 1.3;

/** Longer times fall into the last time class, in milliseconds. */
const MAXIMUM_TIME_MILLISECONDS = 60_000;

const ARM_MARKS: Readonly<Record<VersionArm, string>> = {
  baseline: "b",
  target: "t",
};
const ARMS: Readonly<Record<string, VersionArm>> = {
  b: "baseline",
  t: "target",
};
const FAILURE_MARK = "f";
const SEPARATOR = "|";

/** The time class that a time falls into. */
export function timeClassOf(milliseconds: number): number {
  const bounded = Math.min(
    Math.max(milliseconds, 1),
    MAXIMUM_TIME_MILLISECONDS,
  );
  return Math.floor(Math.log(bounded) / Math.log(TIME_CLASS_RATIO));
}

/** The lower bound of a time class, in milliseconds. */
export function lowerBoundOfClass(timeClass: number): number {
  return TIME_CLASS_RATIO ** timeClass;
}

/** Adds an answer to counts. */
export function withAnswer(
  counts: VersionCounts,
  answer: VersionAnswer,
): VersionCounts {
  const key = keyOf(answer);
  return { ...counts, [key]: (counts[key] ?? 0) + 1 };
}

function keyOf(answer: VersionAnswer): string {
  return [
    ARM_MARKS[answer.arm],
    answer.failed ? FAILURE_MARK : timeClassOf(answer.milliseconds),
    // The baseline is evaluated as a whole.
    answer.arm === "target" ? answer.server : "",
    answer.route,
  ].join(SEPARATOR);
}

/** Sums the counts of different hosts. */
export function sumOf(all: readonly VersionCounts[]): VersionCounts {
  const sum: Record<string, number> = {};
  all
    .flatMap((counts) => Object.entries(counts))
    .forEach(([key, count]) => {
      sum[key] = (sum[key] ?? 0) + count;
    });
  return sum;
}

/** The counts that were added since former ones. */
export function countsSince(
  former: VersionCounts,
  counts: VersionCounts,
): VersionCounts {
  return Object.fromEntries(
    Object.entries(counts)
      .map(([key, count]) => [key, count - (former[key] ?? 0)] as const)
      .filter(([, count]) => count > 0),
  );
}

/** Decodes the keys of counts; malformed keys are left out. */
export function countedAnswers(
  counts: VersionCounts,
): readonly CountedAnswers[] {
  return Object.entries(counts).flatMap(([key, count]) => {
    const [mark = "", time = "", server = "", ...route] = key.split(SEPARATOR);
    const arm = ARMS[mark];
    const timeClass = time === FAILURE_MARK ? undefined : Number(time);
    return arm === undefined || Number.isNaN(timeClass)
      ? []
      : [{ arm, route: route.join(SEPARATOR), server, timeClass, count }];
  });
}
