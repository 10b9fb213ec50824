// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Other ways to judge a version, to compare with the one that the serving host uses:
 * a fixed threshold, Wald's ratio test over all answers, and a Beta posterior.
 *
 * @module
 */
import {
  countedAnswers,
  type CountedAnswers,
  type Evaluator,
  type EvaluatedStep,
  type VersionArm,
  type VersionEvidence,
  type VersionFault,
} from "rampswitch-serving";

interface Shares {
  readonly answers: number;
  readonly wrong: number;
}

/** Whether a version's answers are worse than the baseline's, and surely no worse. */
interface Comparison {
  isWorse(target: Shares, baseline: Shares): boolean;
  isAsGood(target: Shares, baseline: Shares, step: EvaluatedStep): boolean;
}

/** Answers slower than so many classes above the baseline's median are wrong. */
const SLOW_CLASSES = 4;

const MARGIN = 0.06;

/** Judges all answers together, failures and slow ones alike. */
class ComparingJudge implements Evaluator {
  readonly #comparison: Comparison;
  #target: Shares = { answers: 0, wrong: 0 };
  #baseline: Shares = { answers: 0, wrong: 0 };
  #fault: VersionFault | undefined;

  constructor(comparison: Comparison) {
    this.#comparison = comparison;
  }

  get fault(): VersionFault | undefined {
    return this.#fault;
  }

  observe({ counts }: VersionEvidence): void {
    const answers = countedAnswers(counts);
    const medians = mediansOf(answers);
    this.#target = sharesOf("target", answers, medians);
    this.#baseline = sharesOf("baseline", answers, medians);
    if (this.#baseline.answers < 20) return;
    if (!this.#comparison.isWorse(this.#target, this.#baseline)) return;
    this.#fault ??= {
      kind: "failed",
      route: undefined,
      evidence: 0,
      ...this.#target,
    };
  }

  allows(step: EvaluatedStep): boolean {
    return (
      this.#fault === undefined &&
      this.#baseline.answers >= 20 &&
      this.#comparison.isAsGood(this.#target, this.#baseline, step)
    );
  }
}

const FIXED_THRESHOLD: Comparison = {
  isWorse: (target, baseline) =>
    target.answers >= 20 &&
    target.wrong / target.answers >
      2 * (baseline.wrong / baseline.answers) + MARGIN,
  isAsGood: (target, _, step) =>
    target.answers >= (step === "promotion" ? 20 : 80),
};

const WALD: Comparison = {
  isWorse: (target, baseline) =>
    ratio(target, baseline, MARGIN) > Math.log(1_000),
  isAsGood: (target, baseline, step) =>
    ratio(target, baseline, step === "promotion" ? 0.25 : MARGIN) <
    -Math.log(step === "promotion" ? 20 : 50),
};

const BETA_POSTERIOR: Comparison = {
  isWorse: (target, baseline) => chanceWorse(target, baseline) > 0.999,
  isAsGood: (target, baseline, step) =>
    chanceWorse(target, baseline) < (step === "promotion" ? 0.25 : 0.02),
};

/** Ways to judge, by name. */
export const ALTERNATIVE_JUDGES: Readonly<
  Record<string, (() => Evaluator) | undefined>
> = {
  fixed: () => new ComparingJudge(FIXED_THRESHOLD),
  wald: () => new ComparingJudge(WALD),
  beta: () => new ComparingJudge(BETA_POSTERIOR),
};

function ratio(target: Shares, baseline: Shares, margin: number): number {
  const usual = Math.max(
    0.005,
    (baseline.wrong + 0.5) / (baseline.answers + 1),
  );
  const raised = Math.min(0.99, usual + margin);
  return (
    target.wrong * Math.log(raised / usual) +
    (target.answers - target.wrong) * Math.log((1 - raised) / (1 - usual))
  );
}

/** Chance that the share is above the baseline's by the margin; normal tails. */
function chanceWorse(target: Shares, baseline: Shares): number {
  const share = (shares: Shares) => (shares.wrong + 0.5) / (shares.answers + 1);
  const variance = (shares: Shares) =>
    (share(shares) * (1 - share(shares))) / (shares.answers + 2);
  const z =
    (share(target) - share(baseline) - MARGIN / 2) /
    Math.sqrt(variance(target) + variance(baseline));
  return 1 / (1 + Math.exp(-1.702 * z));
}

function mediansOf(
  answers: readonly CountedAnswers[],
): ReadonlyMap<string, number> {
  const routes = [...new Set(answers.map(({ route }) => route))];
  return new Map(
    routes.map((route) => {
      const timed = answers.filter(
        ({ arm, timeClass, route: of }) =>
          arm === "baseline" && of === route && timeClass !== undefined,
      );
      const half = timed.reduce((sum, { count }) => sum + count, 0) / 2;
      const classes = timed
        .map(({ timeClass = 0 }) => timeClass)
        .toSorted((left, right) => left - right);
      const median = classes.find(
        (one) =>
          timed
            .filter(({ timeClass = 0 }) => timeClass <= one)
            .reduce((sum, { count }) => sum + count, 0) >= half,
      );
      return [route, median ?? Infinity];
    }),
  );
}

function sharesOf(
  arm: VersionArm,
  answers: readonly CountedAnswers[],
  medians: ReadonlyMap<string, number>,
): Shares {
  const of = answers.filter((answer) => answer.arm === arm);
  const isWrong = ({ timeClass, route }: CountedAnswers) =>
    timeClass === undefined ||
    timeClass > (medians.get(route) ?? Infinity) + SLOW_CLASSES;
  const total = (counted: readonly CountedAnswers[]) =>
    counted.reduce((sum, { count }) => sum + count, 0);
  return { answers: total(of), wrong: total(of.filter(isWrong)) };
}
