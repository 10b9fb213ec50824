// Copyright 2026 the rampswitch authors. Apache-2.0 license.

import { describe, expect, test } from "@jest/globals";
import { seededRandom } from "rampswitch-utils";
import { type VersionCounts, withAnswer } from "./version_counts.ts";
import { VersionEvaluator } from "./version_evaluator.ts";

interface SimulatedVersion {
  readonly seed: number;
  readonly observations: number;
  /**
   * Answers of the target version in each observation; the baseline has ten
   * times as many.
   */
  readonly answers: number;
  /** Whether an answer fails, and the factor by which it takes longer. */
  readonly target: (
    server: string,
    look: number,
    draw: () => number,
  ) => { readonly failed: boolean; readonly factor: number };
}

const GOOD = { failed: false, factor: 1 };

/** Evaluates a version of three servers and two routes. */
function evaluatorAfter({
  seed,
  observations,
  answers,
  target,
}: SimulatedVersion): VersionEvaluator {
  const random = seededRandom(seed);
  const evaluator = new VersionEvaluator();
  let counts: VersionCounts = {};
  const time = () => 100 * Math.exp(random.next() + random.next() - 1);
  Array.from({ length: observations }).forEach((_, observation) => {
    Array.from({ length: answers * 11 }).forEach((__, index) => {
      const isTarget = index % 11 === 0;
      const server = `s${random.below(3)}`;
      const route = random.next() < 0.3 ? "reviews" : "questions";
      const { failed, factor } = isTarget
        ? target(server, observation, () => random.next())
        : { failed: random.next() < 0.004, factor: 1 };
      counts = withAnswer(counts, {
        arm: isTarget ? "target" : "baseline",
        route,
        server,
        failed,
        milliseconds: time() * factor,
      });
    });
    evaluator.observe({ counts, waiting: {} });
  });
  return evaluator;
}

const SEEDS = Array.from({ length: 20 }, (_, index) => index + 1);

describe("version evaluator", () => {
  test("finds no fault in good versions, and allows each step", () => {
    const evaluators = SEEDS.map((seed) =>
      evaluatorAfter({
        seed,
        observations: 20,
        answers: 5,
        target: () => GOOD,
      }),
    );
    expect(evaluators.map(({ fault }) => fault)).toEqual(
      SEEDS.map(() => undefined),
    );
    expect(evaluators.every((evaluator) => evaluator.allows("promotion"))).toBe(
      true,
    );
    expect(
      evaluators.every((evaluator) => evaluator.allows("completion")),
    ).toBe(true);
  });

  test("finds failures and slow answers, also if they begin late", () => {
    const faults = SEEDS.flatMap((seed) => [
      evaluatorAfter({
        seed,
        observations: 20,
        answers: 5,
        target: (_, observation, draw) => ({
          ...GOOD,
          failed: observation > 10 && draw() < 0.3,
        }),
      }).fault?.kind,
      evaluatorAfter({
        seed,
        observations: 20,
        answers: 5,
        target: (_, observation) => ({
          ...GOOD,
          factor: observation > 10 ? 3 : 1,
        }),
      }).fault,
    ]);
    expect(faults).not.toContain(undefined);
  });

  test("attributes the failures of one server to that server", () => {
    const evaluators = SEEDS.map((seed) =>
      evaluatorAfter({
        seed,
        observations: 20,
        answers: 5,
        target: (server, _, draw) => ({
          ...GOOD,
          failed: server === "s1" && draw() < 0.5,
        }),
      }),
    );
    expect(evaluators.map(({ fault }) => fault)).toEqual(
      SEEDS.map(() => undefined),
    );
  });

  // Guards against the rollback of a good version of a fast service. Answers
  // took a millisecond or two, and the first ones of a new version one more for
  // a new connection: 14 of 23 answers of one route were slower than half of
  // the baseline's, and the version was rolled back.
  test("tolerates a delay of a few milliseconds", () => {
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
    const evaluator = new VersionEvaluator();
    evaluator.observe({ counts, waiting: {} });
    expect(evaluator.fault).toBeUndefined();
    expect(evaluator.allows("completion")).toBe(true);
  });

  test("allows no step without answers", () => {
    const evaluator = new VersionEvaluator();
    evaluator.observe({ counts: {}, waiting: {} });
    expect(evaluator.allows("promotion")).toBe(false);
    expect(evaluator.allows("completion")).toBe(false);
  });

  test("counts overdue requests before their answers arrive", () => {
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
    const evaluator = new VersionEvaluator();
    evaluator.observe({ counts: baseline, waiting });
    expect(evaluator.fault?.kind).toBe("slow");
  });
});
