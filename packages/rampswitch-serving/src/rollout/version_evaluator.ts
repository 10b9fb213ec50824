// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Evaluates a version: compares its answers with those of the baseline over the
 * same time, route by route. Finds whether the version is bad, and which faults
 * can be ruled out.
 *
 * @module
 */
import {
  ChangeDetector,
  type Hypotheses,
  logLikelihoodRatio,
  type ServerTrials,
  type Trials,
} from "./change_detector.ts";
import {
  type CountedAnswers,
  countedAnswers,
  countsSince,
  lowerBoundOfClass,
  timeClassOf,
  type VersionCounts,
} from "./version_counts.ts";

/**
 * Steps that an evaluation has to allow: to send all requests to the version,
 * and to make it the only version.
 */
export type EvaluatedStep = "promotion" | "completion";

/** Evaluates a version by counts that only grow. */
export interface Evaluator {
  /** Adds the known answers of the whole fleet. */
  observe(evidence: VersionEvidence): void;
  /** Why the version is bad; `undefined` if no fault was found. */
  readonly fault: VersionFault | undefined;
  /** Whether the version is good enough for a step. */
  allows(step: EvaluatedStep): boolean;
}

/** The known answers of a roll-out's versions. */
export interface VersionEvidence {
  /** Counts of answers; they only grow. */
  readonly counts: VersionCounts;
  /** Requests that wait for their answers now, by time waited. */
  readonly waiting: VersionCounts;
}

/** The test result that shows a version to be bad. */
export interface VersionFault {
  readonly kind: TestKind;
  /** `undefined` for the test of all routes together. */
  readonly route: string | undefined;
  /** Logarithm of odds. */
  readonly evidence: number;
  readonly answers: number;
  readonly wrong: number;
}

/** The ways in which an answer can go wrong. */
export type TestKind =
  | "failed"
  /** Slower than most of the baseline's answers. */
  | "slow"
  /** Slower than half of the baseline's answers. */
  | "slower";

/**
 * Evidence from which a version is bad, as a logarithm of odds. A good version
 * reaches it in one observation out of a thousand.
 */
const FAULT_EVIDENCE = Math.log(1_000);

/**
 * Evidence that is also needed without the worst server, as a logarithm of
 * odds.
 */
const OTHER_SERVERS_EVIDENCE = Math.log(10);

/** Increases over the expected share of wrong answers that are tested for. */
const SHARE_INCREASES: Readonly<Record<TestKind, readonly number[]>> = {
  failed: [0.04, 0.15, 0.5, 0.9],
  slow: [0.15, 0.35, 0.6],
  slower: [0.5, 0.7],
};

/** Minimum share of wrong answers that is expected of a good version. */
const MINIMUM_EXPECTED_SHARES: Readonly<Record<TestKind, number>> = {
  failed: 0.005,
  slow: 0.1,
  slower: 0.2,
};

/** When an answer is slow, compared with the baseline's answers. */
interface SlownessThreshold {
  /** Share of the baseline's answers that take longer. */
  readonly share: number;
  /** Additional time classes that the empty caches of a new version explain. */
  readonly coldCacheClasses: number;
}

/**
 * Minimum delay of a slow answer against the baseline, in milliseconds. A new
 * connection to a server or a briefly busy host explains a smaller one.
 */
const MINIMUM_DELAY_MILLISECONDS = 30;

const SLOWNESS_THRESHOLDS: Readonly<
  Record<"slow" | "slower", SlownessThreshold>
> = {
  slow: { share: 0.1, coldCacheClasses: 1 },
  slower: { share: 0.5, coldCacheClasses: 2 },
};

/** Minimum number of answers of the baseline on a route that is tested. */
const MINIMUM_BASELINE_ANSWERS = 5;

/** Trials that are assumed of a baseline before its first answers. */
const PRIOR_TRIALS: Readonly<Record<TestKind, Trials>> = {
  failed: { answers: 20, wrong: 0.1 },
  slow: { answers: 20, wrong: 1.5 },
  slower: { answers: 20, wrong: 3 },
};

/** Margin for the error of the baseline's share, in standard deviations. */
const MARGIN_DEVIATIONS = 2;

/** Maximum share of wrong answers that is expected of a good version. */
const MAXIMUM_EXPECTED_SHARE = 0.6;

/** Increases that must be ruled out for a step, over all routes together. */
const RULED_OUT_INCREASES: Readonly<
  Record<EvaluatedStep, Readonly<Record<TestKind, number>>>
> = {
  promotion: { failed: 0.25, slow: 0.3, slower: 0.4 },
  completion: { failed: 0.1, slow: 0.15, slower: 0.3 },
};

/** Increases that must be ruled out for completion, on each larger route. */
const RULED_OUT_ROUTE_INCREASES: Readonly<Record<TestKind, number>> = {
  failed: 0.3,
  slow: 0.5,
  slower: 0.6,
};

/**
 * The increase that must be ruled out on each small route, which gets few
 * answers.
 */
const RULED_OUT_SMALL_ROUTE_INCREASE = 0.85;

/**
 * No step is allowed while this increase in the share of failures is likelier
 * than the expected share.
 */
const MINOR_FAILURE_INCREASE = 0.04;

/**
 * Maximum number of observations; beyond it the older ones are merged in pairs.
 */
const MAXIMUM_OBSERVATIONS = 40;

/**
 * Number of recent observations that hold the answers to requests sent at about
 * the same time as those that still wait.
 */
const RECENT_OBSERVATIONS = 4;

/**
 * Evidence with which an increase must be ruled out, as a logarithm of odds.
 */
const RULE_OUT_EVIDENCE = Math.log(20);

/** Routes with a smaller share of all answers are not tested. */
const MINIMUM_ROUTE_SHARE = 0.03;

/** Routes with a smaller share of all answers are small ones. */
const SMALL_ROUTE_SHARE = 0.1;

/** Name of the test of all routes together. */
const ALL_ROUTES = "";

const TEST_KINDS = [
  "failed",
  "slow",
  "slower",
] as const satisfies readonly TestKind[];

/**
 * The baseline's answers on one route, as the measure for the target version's.
 */
interface RouteBaseline {
  readonly route: string;
  /** The route's share of all answers. */
  readonly share: number;
  readonly expectedShares: Readonly<Record<TestKind, number>>;
  /** The lowest time classes that are slow. */
  readonly slowFrom: Readonly<Record<"slow" | "slower", number>>;
}

interface VersionTest {
  readonly kind: TestKind;
  readonly route: string;
  readonly share: number;
  readonly trials: ServerTrials;
  readonly expectedShare: number;
}

/** Evaluates a version by sequential tests. */
export class VersionEvaluator implements Evaluator {
  #counts: VersionCounts = {};
  /**
   * Answers of each observation. They are tested again every time, since what
   * to expect is known only after enough answers of the baseline.
   */
  #observations: readonly (readonly CountedAnswers[])[] = [];
  #tests: readonly VersionTest[] = [];
  /** Servers of the version that were sent requests. */
  readonly #servers = new Set<string>();
  #fault: VersionFault | undefined;

  /** Why the version is bad; `undefined` if no fault was found. */
  get fault(): VersionFault | undefined {
    return this.#fault;
  }

  /** Adds the known answers of the whole fleet and runs all tests. */
  observe({ counts, waiting }: VersionEvidence): void {
    const newAnswers = countedAnswers(countsSince(this.#counts, counts));
    this.#counts = counts;
    const targetAnswers = newAnswers.filter(({ arm }) => arm === "target");
    if (targetAnswers.length > 0) {
      this.#observations = mergeOldest([...this.#observations, targetAnswers]);
    }
    const waitingRequests = countedAnswers(waiting);
    [...targetAnswers, ...waitingRequests].forEach(({ server }) =>
      this.#servers.add(server),
    );
    if (this.#observations.length === 0 && waitingRequests.length === 0) return;
    const baselines = baselinesOf(countedAnswers(counts));
    const overdue = overdueRequests(waitingRequests, baselines);
    this.#tests = testsOf(
      [...this.#observations.flat(), ...overdue],
      baselines,
    );
    // The answers to requests sent together with the overdue ones arrived in
    // the recent observations, so these are tested as one.
    const testsByObservation = [
      ...this.#observations.slice(0, -RECENT_OBSERVATIONS),
      [...this.#observations.slice(-RECENT_OBSERVATIONS).flat(), ...overdue],
    ].map((observation) => testsOf(observation, baselines));
    this.#tests.forEach((test, index) =>
      this.#runTest(
        test,
        testsByObservation.flatMap((tests) => tests[index]?.trials ?? []),
      ),
    );
  }

  /** Whether enough faults are ruled out for a step. */
  allows(step: EvaluatedStep): boolean {
    if (this.#fault !== undefined) return false;
    const ofAll = this.#tests.filter(({ route }) => route === ALL_ROUTES);
    const onRoutes = this.#tests.filter(
      ({ route }) => step === "completion" && route !== ALL_ROUTES,
    );
    return (
      ofAll.length === TEST_KINDS.length &&
      ofAll.every((test) =>
        isRuledOut(test, RULED_OUT_INCREASES[step][test.kind]),
      ) &&
      onRoutes.every((test) => isRuledOut(test, ruledOutRouteIncrease(test))) &&
      ofAll.every((test) => !suggestsFailures(test))
    );
  }

  /**
   * A version with a single server is evaluated by that server alone, but on
   * stronger evidence.
   */
  #showsFault({
    evidence,
    evidenceWithoutWorstServer,
  }: ChangeDetector): boolean {
    if (evidence < FAULT_EVIDENCE) return false;
    return this.#servers.size > 1
      ? evidenceWithoutWorstServer >= OTHER_SERVERS_EVIDENCE
      : evidence >= 2 * FAULT_EVIDENCE;
  }

  #runTest(test: VersionTest, trials: readonly ServerTrials[]): void {
    if (test.trials.wrong === 0) return;
    SHARE_INCREASES[test.kind].forEach((increase) => {
      const detector = new ChangeDetector();
      const shares = hypotheses(test.expectedShare, increase);
      trials.forEach((observed) => detector.observe(observed, shares));
      if (!this.#showsFault(detector)) return;
      this.#fault ??= {
        kind: test.kind,
        route: test.route === ALL_ROUTES ? undefined : test.route,
        evidence: detector.evidence,
        answers: test.trials.answers,
        wrong: test.trials.wrong,
      };
    });
  }
}

/**
 * Requests that have waited for longer than answers usually take; they count as
 * slow.
 */
function overdueRequests(
  waiting: readonly CountedAnswers[],
  baselines: readonly RouteBaseline[],
): readonly CountedAnswers[] {
  return waiting.filter(({ route, timeClass = 0 }) => {
    const baseline = baselines.find((candidate) => candidate.route === route);
    return baseline !== undefined && timeClass >= baseline.slowFrom.slow;
  });
}

/** Merges the older half of the observations in pairs if there are too many. */
function mergeOldest(
  observations: readonly (readonly CountedAnswers[])[],
): readonly (readonly CountedAnswers[])[] {
  if (observations.length <= MAXIMUM_OBSERVATIONS) return observations;
  const older = observations.slice(0, MAXIMUM_OBSERVATIONS / 2);
  const pairs = older
    .filter((_, index) => index % 2 === 0)
    .map((observation, index) => [
      ...observation,
      ...(older[2 * index + 1] ?? []),
    ]);
  return [...pairs, ...observations.slice(MAXIMUM_OBSERVATIONS / 2)];
}

function ruledOutRouteIncrease({ kind, share }: VersionTest): number {
  return share < SMALL_ROUTE_SHARE
    ? RULED_OUT_SMALL_ROUTE_INCREASE
    : RULED_OUT_ROUTE_INCREASES[kind];
}

function suggestsFailures({
  kind,
  trials,
  expectedShare,
}: VersionTest): boolean {
  const shares = hypotheses(expectedShare, MINOR_FAILURE_INCREASE);
  return (
    kind === "failed" &&
    logLikelihoodRatio(withoutWorstServer(trials), shares) > 0
  );
}

function hypotheses(expectedShare: number, increase: number): Hypotheses {
  return {
    expectedShare,
    raisedShare: Math.min(0.99, expectedShare + increase),
  };
}

function isRuledOut(test: VersionTest, increase: number): boolean {
  const ratio = logLikelihoodRatio(
    withoutWorstServer(test.trials),
    hypotheses(test.expectedShare, increase),
  );
  return ratio <= -RULE_OUT_EVIDENCE;
}

/**
 * Trials without those of the server with the most wrong answers. With fewer
 * than three servers, or less than two wrong answers of that server, all trials
 * count.
 */
function withoutWorstServer({
  answers,
  wrong,
  byServer,
}: ServerTrials): Trials {
  const worst = [...byServer.values()].reduce(
    (worstSoFar, trials) =>
      trials.wrong > worstSoFar.wrong ? trials : worstSoFar,
    { answers: 0, wrong: 0 },
  );
  return byServer.size < 3 || worst.wrong < 2
    ? { answers, wrong }
    : { answers: answers - worst.answers, wrong: wrong - worst.wrong };
}

/** The baselines of all routes with enough answers. */
function baselinesOf(all: readonly CountedAnswers[]): readonly RouteBaseline[] {
  const routes = [...new Set(all.map(({ route }) => route))];
  return routes.flatMap((route) => {
    const share = shareOf(route, all);
    const answers = all.filter(
      (answer) => answer.arm === "baseline" && answer.route === route,
    );
    return share < MINIMUM_ROUTE_SHARE ||
      total(answers) < MINIMUM_BASELINE_ANSWERS
      ? []
      : [baselineOf(route, share, answers)];
  });
}

function baselineOf(
  route: string,
  share: number,
  answers: readonly CountedAnswers[],
): RouteBaseline {
  const slowFrom = {
    slow: firstSlowClass(answers, SLOWNESS_THRESHOLDS.slow),
    slower: firstSlowClass(answers, SLOWNESS_THRESHOLDS.slower),
  };
  const expectedShareOf = (kind: TestKind) =>
    expectedShareFrom(
      kind,
      trialsOf(answers, (answer) => isWrong(kind, answer, slowFrom)),
    );
  const expectedShares = {
    failed: expectedShareOf("failed"),
    slow: expectedShareOf("slow"),
    slower: expectedShareOf("slower"),
  };
  return { route, share, expectedShares, slowFrom };
}

function isWrong(
  kind: TestKind,
  { timeClass }: CountedAnswers,
  slowFrom: RouteBaseline["slowFrom"],
): boolean {
  return kind === "failed"
    ? timeClass === undefined
    : timeClass !== undefined && timeClass >= slowFrom[kind];
}

/** The tests of the target version's answers, always in the same order. */
function testsOf(
  answers: readonly CountedAnswers[],
  baselines: readonly RouteBaseline[],
): readonly VersionTest[] {
  const tests = baselines.flatMap((baseline) => {
    const { route, share, expectedShares, slowFrom } = baseline;
    const ofRoute = answers.filter((answer) => answer.route === route);
    return TEST_KINDS.map((kind) => ({
      kind,
      route,
      share,
      trials: serverTrialsOf(ofRoute, (answer) =>
        isWrong(kind, answer, slowFrom),
      ),
      expectedShare: expectedShares[kind],
    }));
  });
  const pooled = TEST_KINDS.flatMap((kind) =>
    pooledTest(tests.filter((test) => test.kind === kind)),
  );
  return [...pooled, ...tests];
}

/**
 * One test of all routes together. The expected share is the mean of the
 * routes' shares, weighted by their answers.
 */
function pooledTest(tests: readonly VersionTest[]): readonly VersionTest[] {
  const [first] = tests;
  if (first === undefined) return [];
  const answers = sumOver(tests, ({ trials }) => trials.answers);
  const weighted = sumOver(
    tests,
    ({ trials, expectedShare }) => trials.answers * expectedShare,
  );
  const servers = tests.flatMap(({ trials }) => [...trials.byServer]);
  const ids = [...new Set(servers.map(([id]) => id))];
  const byServer = new Map(
    ids.map((id) => {
      const trials = servers
        .filter(([server]) => server === id)
        .map(([, counted]) => counted);
      return [
        id,
        {
          answers: sumOver(trials, (counted) => counted.answers),
          wrong: sumOver(trials, (counted) => counted.wrong),
        },
      ];
    }),
  );
  const wrong = sumOver(tests, ({ trials }) => trials.wrong);
  return [
    {
      kind: first.kind,
      route: ALL_ROUTES,
      share: 1,
      trials: { answers, wrong, byServer },
      expectedShare: answers === 0 ? first.expectedShare : weighted / answers,
    },
  ];
}

function sumOver<Item>(
  items: readonly Item[],
  valueOf: (item: Item) => number,
): number {
  return items.reduce((sum, item) => sum + valueOf(item), 0);
}

function trialsOf(
  answers: readonly CountedAnswers[],
  isWrong: (answer: CountedAnswers) => boolean,
): Trials {
  return { answers: total(answers), wrong: total(answers.filter(isWrong)) };
}

function serverTrialsOf(
  answers: readonly CountedAnswers[],
  isWrong: (answer: CountedAnswers) => boolean,
): ServerTrials {
  const servers = [...new Set(answers.map(({ server }) => server))];
  return {
    ...trialsOf(answers, isWrong),
    byServer: new Map(
      servers.map((server) => [
        server,
        trialsOf(
          answers.filter((answer) => answer.server === server),
          isWrong,
        ),
      ]),
    ),
  };
}

/**
 * The expected share of wrong answers of a good version, including the margin
 * for the baseline's error.
 */
function expectedShareFrom(kind: TestKind, { answers, wrong }: Trials): number {
  const prior = PRIOR_TRIALS[kind];
  const allAnswers = answers + prior.answers;
  const share = (wrong + prior.wrong) / allAnswers;
  const margin =
    MARGIN_DEVIATIONS * Math.sqrt((share * (1 - share)) / allAnswers);
  return Math.min(
    MAXIMUM_EXPECTED_SHARE,
    Math.max(MINIMUM_EXPECTED_SHARES[kind], share + margin),
  );
}

/** The lowest time class that makes an answer slow. */
function firstSlowClass(
  baseline: readonly CountedAnswers[],
  { share, coldCacheClasses }: SlownessThreshold,
): number {
  const timed = baseline.filter(({ timeClass }) => timeClass !== undefined);
  const maximumSlower = total(timed) * share;
  const classes = [...new Set(timed.map(({ timeClass = 0 }) => timeClass))];
  const last = classes
    .toSorted((left, right) => left - right)
    .find(
      (candidate) =>
        total(timed.filter(({ timeClass = 0 }) => timeClass > candidate)) <=
        maximumSlower,
    );
  if (last === undefined) return Infinity;
  const first = last + 1;
  const minimumSlow = lowerBoundOfClass(first) + MINIMUM_DELAY_MILLISECONDS;
  return Math.max(first + coldCacheClasses, timeClassOf(minimumSlow) + 1);
}

function shareOf(route: string, all: readonly CountedAnswers[]): number {
  return (
    total(all.filter((answer) => answer.route === route)) /
    Math.max(1, total(all))
  );
}

function total(answers: readonly CountedAnswers[]): number {
  return answers.reduce((sum, { count }) => sum + count, 0);
}
