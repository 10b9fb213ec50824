// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Judges a version by its answers against those of the version before, over the same
 * time, route by route: whether it is bad, and what badness can be ruled out.
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
  since,
  timeClassOf,
  timeOfClass,
  type VersionCounts,
} from "./version_counts.ts";

/** Whether a version may be given all requests, or be the only one. */
export type JudgedStep = "promotion" | "completion";

/** Judges a version from counts that only grow. */
export interface Judge {
  /** Takes in what is known of the whole fleet. */
  observe(evidence: VersionEvidence): void;
  /** Why the version is bad; `undefined` while nothing says so. */
  readonly fault: VersionFault | undefined;
  /** Whether the version is good enough for a step. */
  allows(step: JudgedStep): boolean;
}

/** What is known of a version's answers. */
export interface VersionEvidence {
  /** Answers; these only grow. */
  readonly counts: VersionCounts;
  /** Requests that wait for their answers now, by the time that they have waited. */
  readonly waiting: VersionCounts;
}

/** What showed that a version is bad. */
export interface VersionFault {
  readonly kind: TestKind;
  /** `undefined` where all routes together showed it. */
  readonly route: string | undefined;
  /** Logarithm of odds. */
  readonly evidence: number;
  readonly answers: number;
  readonly wrong: number;
}

/** What is wrong with an answer. */
export type TestKind =
  | "failed"
  /** Slower than most answers. */
  | "slow"
  /** Slower than half of them. */
  | "slower";

/**
 * Logarithm of odds from which a version is bad: one look in a thousand at a good
 * one shows as much.
 */
const BAD_EVIDENCE = Math.log(1_000);

/** The same that servers beside the worst one must tell. */
const OTHERS_EVIDENCE = Math.log(10);

/** Raised shares of wrong answers, beyond the usual one. */
const RAISED_BY: Readonly<Record<TestKind, readonly number[]>> = {
  failed: [0.04, 0.15, 0.5, 0.9],
  slow: [0.15, 0.35, 0.6],
  slower: [0.5, 0.7],
};

/** Least share of wrong answers that a good version is granted. */
const LEAST_USUAL: Readonly<Record<TestKind, number>> = {
  failed: 0.005,
  slow: 0.1,
  slower: 0.2,
};

/** What makes an answer slow, against the baseline's. */
interface Slowness {
  /** Share of the baseline's answers that take longer. */
  readonly share: number;
  /** Classes of time beyond, which empty caches of a new version explain. */
  readonly coldClasses: number;
}

/**
 * Least time by which a slow answer takes longer, in milliseconds: a new connection to
 * a server, and a host that is busy just then.
 */
const NOTICED_MILLISECONDS = 30;

const SLOWNESS: Readonly<Record<"slow" | "slower", Slowness>> = {
  slow: { share: 0.1, coldClasses: 1 },
  slower: { share: 0.5, coldClasses: 2 },
};

/** Answers of the baseline before it says what is usual. */
const LEAST_BASELINE = 5;

/** What is held of a baseline before its first answers. */
const EXPECTED: Readonly<Record<TestKind, Trials>> = {
  failed: { answers: 20, wrong: 0.1 },
  slow: { answers: 20, wrong: 1.5 },
  slower: { answers: 20, wrong: 3 },
};

/** Standard deviations that the baseline's share may be off. */
const DEVIATIONS = 2;

/** Largest share that counts as usual. */
const MOST_USUAL = 0.6;

/** Raised shares that a step must have ruled out, over all routes. */
const RULED_OUT: Readonly<
  Record<JudgedStep, Readonly<Record<TestKind, number>>>
> = {
  promotion: { failed: 0.25, slow: 0.3, slower: 0.4 },
  completion: { failed: 0.1, slow: 0.15, slower: 0.3 },
};

/** Raised shares that completion must have ruled out on each larger route. */
const RULED_OUT_ON_ROUTE: Readonly<Record<TestKind, number>> = {
  failed: 0.3,
  slow: 0.5,
  slower: 0.6,
};

/** The same on each smaller one, where few answers come. */
const RULED_OUT_ON_SMALL_ROUTE = 0.85;

/** Raised share of failures that must not be likelier than the usual one. */
const LEANING = 0.04;

/** Looks that are kept apart; older ones are taken together in pairs. */
const MOST_LOOKS = 40;

/** Looks in which answers come that were sent with those that still wait. */
const RECENT_LOOKS = 4;

/** Odds with which they must be ruled out. */
const RULED_OUT_EVIDENCE = Math.log(20);

/** Routes with a smaller share of all answers are judged with the others. */
const LEAST_ROUTE_SHARE = 0.03;

/** Routes with a smaller share of all answers are small ones. */
const SMALL_ROUTE_SHARE = 0.1;

/** Stands for all routes together. */
const ALL_ROUTES = "";

const TEST_KINDS = [
  "failed",
  "slow",
  "slower",
] as const satisfies readonly TestKind[];

/** What the baseline says of answers on one route. */
interface RouteBaseline {
  readonly route: string;
  /** Part that the route has of all answers. */
  readonly share: number;
  readonly usual: Readonly<Record<TestKind, number>>;
  /** First classes of time that are slow. */
  readonly slowFrom: Readonly<Record<"slow" | "slower", number>>;
}

interface VersionTest {
  readonly kind: TestKind;
  readonly route: string;
  readonly share: number;
  readonly trials: ServerTrials;
  readonly usual: number;
}

/** The sequential test. */
export class VersionJudge implements Judge {
  #counts: VersionCounts = {};
  /** What came at each look, since the baseline tells late what is usual. */
  #looks: readonly (readonly CountedAnswers[])[] = [];
  #tests: readonly VersionTest[] = [];
  /** Servers of the version that were sent anything. */
  readonly #servers = new Set<string>();
  #fault: VersionFault | undefined;

  /** Why the version is bad. */
  get fault(): VersionFault | undefined {
    return this.#fault;
  }

  /** Takes in what is known of the whole fleet. */
  observe({ counts, waiting }: VersionEvidence): void {
    const news = countedAnswers(since(this.#counts, counts));
    this.#counts = counts;
    const ofTarget = news.filter(({ arm }) => arm === "target");
    if (ofTarget.length > 0) {
      this.#looks = thinned([...this.#looks, ofTarget]);
    }
    const waits = countedAnswers(waiting);
    [...ofTarget, ...waits].forEach(({ server }) => this.#servers.add(server));
    if (this.#looks.length === 0 && waits.length === 0) return;
    const baselines = baselinesOf(countedAnswers(counts));
    const late = lateOnes(waits, baselines);
    this.#tests = testsOf([...this.#looks.flat(), ...late], baselines);
    // Those that came with the late ones were told by the last few looks.
    const looks = [
      ...this.#looks.slice(0, -RECENT_LOOKS),
      [...this.#looks.slice(-RECENT_LOOKS).flat(), ...late],
    ].map((look) => testsOf(look, baselines));
    this.#tests.forEach((test, index) =>
      this.#look(
        test,
        looks.flatMap((tests) => tests[index]?.trials ?? []),
      ),
    );
  }

  /** Whether enough is ruled out for a step. */
  allows(step: JudgedStep): boolean {
    if (this.#fault !== undefined) return false;
    const ofAll = this.#tests.filter(({ route }) => route === ALL_ROUTES);
    const onRoutes = this.#tests.filter(
      ({ route }) => step === "completion" && route !== ALL_ROUTES,
    );
    return (
      ofAll.length === TEST_KINDS.length &&
      ofAll.every((test) => isRuledOut(test, RULED_OUT[step][test.kind])) &&
      onRoutes.every((test) => isRuledOut(test, routeRaise(test))) &&
      ofAll.every((test) => !leansToBad(test))
    );
  }

  /** A version of one server is judged by that one, though not by a chance. */
  #isEnough({ evidence, evidenceOfOthers }: ChangeDetector): boolean {
    if (evidence < BAD_EVIDENCE) return false;
    return this.#servers.size > 1
      ? evidenceOfOthers >= OTHERS_EVIDENCE
      : evidence >= 2 * BAD_EVIDENCE;
  }

  #look(test: VersionTest, trials: readonly ServerTrials[]): void {
    if (test.trials.wrong === 0) return;
    RAISED_BY[test.kind].forEach((raise) => {
      const detector = new ChangeDetector();
      const told = hypotheses(test.usual, raise);
      trials.forEach((of) => detector.observe(of, told));
      if (!this.#isEnough(detector)) return;
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

/** Requests that have waited for longer than answers usually take are slow ones. */
function lateOnes(
  waiting: readonly CountedAnswers[],
  baselines: readonly RouteBaseline[],
): readonly CountedAnswers[] {
  return waiting.filter(({ route, timeClass = 0 }) => {
    const baseline = baselines.find((one) => one.route === route);
    return baseline !== undefined && timeClass >= baseline.slowFrom.slow;
  });
}

/** Takes the older looks together in pairs where there are many. */
function thinned(
  looks: readonly (readonly CountedAnswers[])[],
): readonly (readonly CountedAnswers[])[] {
  if (looks.length <= MOST_LOOKS) return looks;
  const half = looks.slice(0, MOST_LOOKS / 2);
  const pairs = half
    .filter((_, index) => index % 2 === 0)
    .map((look, index) => [...look, ...(half[2 * index + 1] ?? [])]);
  return [...pairs, ...looks.slice(MOST_LOOKS / 2)];
}

function routeRaise({ kind, share }: VersionTest): number {
  return share < SMALL_ROUTE_SHARE
    ? RULED_OUT_ON_SMALL_ROUTE
    : RULED_OUT_ON_ROUTE[kind];
}

function leansToBad({ kind, trials, usual }: VersionTest): boolean {
  const told = hypotheses(usual, LEANING);
  return (
    kind === "failed" && logLikelihoodRatio(withoutWorst(trials), told) > 0
  );
}

function hypotheses(usual: number, raise: number): Hypotheses {
  return { usual, raised: Math.min(0.99, usual + raise) };
}

function isRuledOut(test: VersionTest, raise: number): boolean {
  const ratio = logLikelihoodRatio(
    withoutWorst(test.trials),
    hypotheses(test.usual, raise),
  );
  return ratio <= -RULED_OUT_EVIDENCE;
}

/** Answers without those of the server that went wrong most, where it is one of several. */
function withoutWorst({ answers, wrong, byServer }: ServerTrials): Trials {
  const worst = [...byServer.values()].reduce(
    (most, trials) => (trials.wrong > most.wrong ? trials : most),
    { answers: 0, wrong: 0 },
  );
  return byServer.size < 3 || worst.wrong < 2
    ? { answers, wrong }
    : { answers: answers - worst.answers, wrong: wrong - worst.wrong };
}

/** What the baseline says of the routes on which it has answers enough. */
function baselinesOf(all: readonly CountedAnswers[]): readonly RouteBaseline[] {
  const routes = [...new Set(all.map(({ route }) => route))];
  return routes.flatMap((route) => {
    const share = shareOf(route, all);
    const answers = all.filter(
      (answer) => answer.arm === "baseline" && answer.route === route,
    );
    return share < LEAST_ROUTE_SHARE || total(answers) < LEAST_BASELINE
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
    slow: firstSlowClass(answers, SLOWNESS.slow),
    slower: firstSlowClass(answers, SLOWNESS.slower),
  };
  const usualOf = (kind: TestKind) =>
    usualShare(
      kind,
      trialsOf(answers, (answer) => isWrong(kind, answer, slowFrom)),
    );
  const usual = {
    failed: usualOf("failed"),
    slow: usualOf("slow"),
    slower: usualOf("slower"),
  };
  return { route, share, usual, slowFrom };
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
    const { route, share, usual, slowFrom } = baseline;
    const ofRoute = answers.filter((answer) => answer.route === route);
    return TEST_KINDS.map((kind) => ({
      kind,
      route,
      share,
      trials: byServerOf(ofRoute, (answer) => isWrong(kind, answer, slowFrom)),
      usual: usual[kind],
    }));
  });
  const pooled = TEST_KINDS.flatMap((kind) =>
    pooledTest(tests.filter((test) => test.kind === kind)),
  );
  return [...pooled, ...tests];
}

/** One test of all routes, each with the share that is usual on it. */
function pooledTest(tests: readonly VersionTest[]): readonly VersionTest[] {
  const [first] = tests;
  if (first === undefined) return [];
  const answers = sumOver(tests, ({ trials }) => trials.answers);
  const weighted = sumOver(
    tests,
    ({ trials, usual }) => trials.answers * usual,
  );
  const servers = tests.flatMap(({ trials }) => [...trials.byServer]);
  const ids = [...new Set(servers.map(([id]) => id))];
  const byServer = new Map(
    ids.map((id) => {
      const trials = servers.filter(([one]) => one === id).map(([, of]) => of);
      return [
        id,
        {
          answers: sumOver(trials, (of) => of.answers),
          wrong: sumOver(trials, (of) => of.wrong),
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
      usual: answers === 0 ? first.usual : weighted / answers,
    },
  ];
}

function sumOver<Item>(
  items: readonly Item[],
  figure: (item: Item) => number,
): number {
  return items.reduce((sum, item) => sum + figure(item), 0);
}

function trialsOf(
  answers: readonly CountedAnswers[],
  isWrong: (answer: CountedAnswers) => boolean,
): Trials {
  return { answers: total(answers), wrong: total(answers.filter(isWrong)) };
}

function byServerOf(
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

/** The share that a good version may have, with what the baseline leaves open. */
function usualShare(kind: TestKind, { answers, wrong }: Trials): number {
  const expected = EXPECTED[kind];
  const all = answers + expected.answers;
  const share = (wrong + expected.wrong) / all;
  const off = DEVIATIONS * Math.sqrt((share * (1 - share)) / all);
  return Math.min(MOST_USUAL, Math.max(LEAST_USUAL[kind], share + off));
}

/** The first class of time that makes an answer slow. */
function firstSlowClass(
  baseline: readonly CountedAnswers[],
  { share, coldClasses }: Slowness,
): number {
  const timed = baseline.filter(({ timeClass }) => timeClass !== undefined);
  const few = total(timed) * share;
  const classes = [...new Set(timed.map(({ timeClass = 0 }) => timeClass))];
  const last = classes
    .toSorted((left, right) => left - right)
    .find(
      (one) =>
        total(timed.filter(({ timeClass = 0 }) => timeClass > one)) <= few,
    );
  if (last === undefined) return Infinity;
  const first = last + 1;
  const noticed = timeOfClass(first) + NOTICED_MILLISECONDS;
  return Math.max(first + coldClasses, timeClassOf(noticed) + 1);
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
