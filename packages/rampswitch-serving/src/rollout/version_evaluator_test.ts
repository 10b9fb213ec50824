// Copyright 2026 the rampswitch authors. Apache-2.0 license.

import { describe, expect, test } from "@jest/globals";
import { seededRandom } from "rampswitch-utils";
import { type VersionCounts, withAnswer } from "./version_counts.ts";
import { VersionJudge } from "./version_evaluator.ts";

interface Played {
  readonly seed: number;
  readonly looks: number;
  /** Answers of the target version at each look; the baseline has ten times more. */
  readonly answers: number;
  /** Whether an answer fails, and how much longer it takes. */
  readonly target: (
    server: string,
    look: number,
    draw: () => number,
  ) => { readonly failed: boolean; readonly factor: number };
}

const GOOD = { failed: false, factor: 1 };

/** Judges a version of three servers and two routes. */
function judgeOf({ seed, looks, answers, target }: Played): VersionJudge {
  const random = seededRandom(seed);
  const judge = new VersionJudge();
  let counts: VersionCounts = {};
  const time = () => 100 * Math.exp(random.next() + random.next() - 1);
  Array.from({ length: looks }).forEach((_, look) => {
    Array.from({ length: answers * 11 }).forEach((__, index) => {
      const isTarget = index % 11 === 0;
      const server = `s${random.below(3)}`;
      const route = random.next() < 0.3 ? "reviews" : "questions";
      const { failed, factor } = isTarget
        ? target(server, look, () => random.next())
        : { failed: random.next() < 0.004, factor: 1 };
      counts = withAnswer(counts, {
        arm: isTarget ? "target" : "baseline",
        route,
        server,
        failed,
        milliseconds: time() * factor,
      });
    });
    judge.observe({ counts, waiting: {} });
  });
  return judge;
}

const SEEDS = Array.from({ length: 20 }, (_, index) => index + 1);

describe("judge of a version", () => {
  test("finds no fault in good ones, and allows each step", () => {
    const judges = SEEDS.map((seed) =>
      judgeOf({ seed, looks: 20, answers: 5, target: () => GOOD }),
    );
    expect(judges.map(({ fault }) => fault)).toEqual(
      SEEDS.map(() => undefined),
    );
    expect(judges.every((judge) => judge.allows("promotion"))).toBe(true);
    expect(judges.every((judge) => judge.allows("completion"))).toBe(true);
  });

  test("finds failures and slow answers, also those that begin late", () => {
    const faults = SEEDS.flatMap((seed) => [
      judgeOf({
        seed,
        looks: 20,
        answers: 5,
        target: (_, look, draw) => ({
          ...GOOD,
          failed: look > 10 && draw() < 0.3,
        }),
      }).fault?.kind,
      judgeOf({
        seed,
        looks: 20,
        answers: 5,
        target: (_, look) => ({ ...GOOD, factor: look > 10 ? 3 : 1 }),
      }).fault,
    ]);
    expect(faults).not.toContain(undefined);
  });

  test("takes one server's failures for that server's fault", () => {
    const judges = SEEDS.map((seed) =>
      judgeOf({
        seed,
        looks: 20,
        answers: 5,
        target: (server, _, draw) => ({
          ...GOOD,
          failed: server === "s1" && draw() < 0.5,
        }),
      }),
    );
    expect(judges.map(({ fault }) => fault)).toEqual(
      SEEDS.map(() => undefined),
    );
  });

  // On real processes answers took a millisecond or two, and the first ones of a new
  // version one more, for a connection: a good version was taken back, 14 of 23 answers
  // of one route being slower than half of those before.
  test("takes some milliseconds more for nothing", () => {
    const random = seededRandom(6);
    const answers = (arm: "baseline" | "target", milliseconds: number) =>
      Array.from({ length: 60 }).map((_, index) => ({
        arm,
        route: "get",
        server: arm === "target" ? `s${index % 3}` : "",
        failed: false,
        milliseconds: milliseconds + random.next(),
      }));
    const counts = [
      ...answers("baseline", 1.2),
      ...answers("target", 4),
    ].reduce<VersionCounts>(withAnswer, {});
    const judge = new VersionJudge();
    judge.observe({ counts, waiting: {} });
    expect(judge.fault).toBeUndefined();
    expect(judge.allows("completion")).toBe(true);
  });

  test("allows nothing before there are answers", () => {
    const judge = new VersionJudge();
    judge.observe({ counts: {}, waiting: {} });
    expect(judge.allows("promotion")).toBe(false);
    expect(judge.allows("completion")).toBe(false);
  });

  test("counts requests that wait for long, before their answers come", () => {
    const random = seededRandom(4);
    const baseline = Array.from({ length: 300 }).reduce<VersionCounts>(
      (counts) =>
        withAnswer(counts, {
          arm: "baseline",
          route: "reviews",
          server: "",
          failed: false,
          milliseconds: 80 + 40 * random.next(),
        }),
      {},
    );
    const waiting = Array.from({ length: 12 }).reduce<VersionCounts>(
      (counts, _, index) =>
        withAnswer(counts, {
          arm: "target",
          route: "reviews",
          server: `s${index % 3}`,
          failed: false,
          milliseconds: 700,
        }),
      {},
    );
    const judge = new VersionJudge();
    judge.observe({ counts: baseline, waiting });
    expect(judge.fault?.kind).toBe("slow");
  });
});
