// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * One roll-out as one host knows it: which version a send goes to, how the answers
 * went, what the other hosts tell, and which step comes next. Decisions alone: time
 * is passed in, and whoever asks does the sending and the storing.
 *
 * @module
 */
import { type CanaryTerms, ExposureBudget } from "./exposure_budget.ts";
import type {
  ExposureTerms,
  RolloutOrder,
  RolloutPhase,
  StoredRolloutState,
} from "./rollout_spec.ts";
import {
  sumOf,
  type VersionArm,
  type VersionCounts,
  withAnswer,
} from "./version_counts.ts";
import type { Judge, VersionEvidence, VersionFault } from "./version_evaluator.ts";

/** What hosts tell each other of a roll-out. */
export interface RolloutNews {
  readonly order: RolloutOrder;
  /** Versions that the service's traffic is moved from. */
  readonly baseline: readonly string[];
  /** Newest version of the order in the store that the teller knows. */
  readonly storeVersion: number;
  /** Time that is left of the order's, in milliseconds; negative when it is over. */
  readonly remainingMilliseconds: number;
  readonly phase: RolloutPhase;
  /** What a host tells of itself; relays tell none. */
  readonly own: RolloutWork | undefined;
}

/** A host's own part in a roll-out. */
export interface RolloutWork {
  /** Whether no request of the host is or will be at servers of the baseline. */
  readonly hasMoved: boolean;
  readonly counts: VersionCounts;
  /** Requests that wait for an answer of the target version, by time waited. */
  readonly waiting: VersionCounts;
}

/** A request that goes to a server of one of the versions. */
export interface VersionSend {
  readonly arm: VersionArm;
  readonly route: string;
  readonly server: string;
  readonly sentAt: number;
}

/** What is told of a request that was sent. */
export interface SentRequest {
  /** Its answer began to come, or is a failure; counts once. */
  answered(answer: { readonly failed: boolean; readonly now: number }): void;
  /** It ended without an answer that tells of its version. */
  ended(): void;
}

/** What a roll-out begins with at a host. */
export interface RolloutStart {
  readonly order: RolloutOrder;
  readonly baseline: readonly string[];
  readonly storeVersion: number;
  readonly remainingMilliseconds: number;
  readonly terms: ExposureTerms;
  /** Requests beside the share that this host may send. */
  readonly slack: number;
  /** Place of this host among all, 0 to 1. */
  readonly phase: number;
  readonly judge: Judge;
  readonly now: number;
}

/** Servers of both versions and the fleet, as the holder of the duties sees them. */
export interface RolloutView {
  readonly now: number;
  /** Servers of each version that take requests. */
  readonly ready: Readonly<Record<VersionArm, number>>;
  /** Lives of the hosts that are present, but for this one. */
  readonly peers: readonly string[];
  /** Own requests at servers of the baseline. */
  readonly running: number;
}

/** Why a roll-out went on to its phase. */
export type RolloutReason =
  | "order"
  | "judged_good"
  | "judged_bad"
  | "told"
  | "stored"
  | "no_servers"
  | "not_judged"
  | "nothing_to_move"
  | "replaced"
  | "rolled_back_before"
  | "withdrawn";

/**
 * Time before the end of an order in which all hosts send everything to the target
 * version, in milliseconds: moves of runs, and two rounds of news. As much as the
 * exposure may carry, within bounds.
 */
const LEAST_PROMOTION_MILLISECONDS = 1_200;
const MOST_PROMOTION_MILLISECONDS = 2_500;

/** Part of the exposure's share that is kept for the promotion. */
const PROMOTION_PART = 0.7;

/** Exposure kept for the promotion, for each request that is expected in it. */
const SPARE_FACTOR = 1.15;

/** Time before that for all hosts to hear of it, in milliseconds. */
const ANNOUNCED_MILLISECONDS = 900;

/** Requests beyond the expected ones that a host keeps its exposure for. */
const SPARE_REQUESTS = 1;

/** Bounds of the share that a canary gets. */
const LEAST_CANARY_SHARE = 0.015;
const MOST_CANARY_SHARE = 0.06;

/** Share of the baseline's servers that the target version must have ready. */
const CARRYING_SHARE = 0.8;

/** A version that nobody could judge is given up after this time, in milliseconds. */
const LEAST_OVERTIME_MILLISECONDS = 30_000;

/** Phases that no news but a later step changes. */
const RANKS: Readonly<Record<RolloutPhase, number>> = {
  canary: 0,
  promoting: 1,
  rolled_back: 2,
  completed: 3,
};

const PHASE_BY_STATE: Readonly<Record<StoredRolloutState, RolloutPhase>> = {
  running: "canary",
  completed: "completed",
  rolled_back: "rolled_back",
};

/** One roll-out at one host. */
export class Rollout {
  readonly order: RolloutOrder;
  readonly baseline: readonly string[];
  readonly deadlineAt: number;
  readonly budget: ExposureBudget;
  readonly #judge: Judge;
  readonly #terms: ExposureTerms;
  readonly #peers = new Map<string, RolloutNews>();
  readonly #waiting = new Set<VersionSend>();
  #storeVersion: number;
  #stored: StoredRolloutState | undefined;
  #phase: RolloutPhase = "canary";
  #reason: RolloutReason = "order";
  #counts: VersionCounts = {};
  /** Whether this host sends nothing more to the baseline unless it is rolled back. */
  #isCommitted = false;
  readonly #startedAt: number;

  constructor(start: RolloutStart) {
    this.order = start.order;
    this.baseline = start.baseline;
    this.deadlineAt = start.now + start.remainingMilliseconds;
    this.budget = new ExposureBudget(start.terms, start);
    this.#judge = start.judge;
    this.#startedAt = start.now;
    this.#terms = start.terms;
    this.#storeVersion = start.storeVersion;
  }

  /** The step that this host has reached. */
  get phase(): RolloutPhase {
    return this.#phase;
  }

  /** Why the step was taken. */
  get reason(): RolloutReason {
    return this.#reason;
  }

  /** Whether nothing follows. */
  get isOver(): boolean {
    return RANKS[this.#phase] >= RANKS.rolled_back;
  }

  /** What showed that the version is bad, if this host judged so. */
  get fault(): VersionFault | undefined {
    return this.#judge.fault;
  }

  /** Newest version of the order in the store that is known. */
  get storeVersion(): number {
    return this.#storeVersion;
  }

  /** What is known of the whole fleet's answers. */
  evidence(now: number): VersionEvidence {
    const told = [...this.#peers.values()].flatMap(({ own }) => own ?? []);
    return {
      counts: sumOf([this.#counts, ...told.map(({ counts }) => counts)]),
      waiting: sumOf([
        this.#waitingAt(now),
        ...told.map(({ waiting }) => waiting),
      ]),
    };
  }

  #waitingAt(now: number): VersionCounts {
    return [...this.#waiting].reduce<VersionCounts>(
      (counts, { arm, route, server, sentAt }) =>
        withAnswer(counts, {
          arm,
          route,
          server,
          failed: false,
          milliseconds: now - sentAt,
        }),
      {},
    );
  }

  /** Share of the requests that the canary gets; the rest is for the promotion. */
  get share(): number {
    const { share } = this.#terms;
    const promotion =
      ((1 - share) * this.#promotionMilliseconds * SPARE_FACTOR) /
      this.order.durationMilliseconds;
    return Math.min(
      Math.min(MOST_CANARY_SHARE, share),
      Math.max(LEAST_CANARY_SHARE, share - promotion),
    );
  }

  get #promotionMilliseconds(): number {
    const { share } = this.#terms;
    const carried =
      (PROMOTION_PART * share * this.order.durationMilliseconds) / (1 - share);
    return Math.min(
      MOST_PROMOTION_MILLISECONDS,
      Math.max(LEAST_PROMOTION_MILLISECONDS, carried),
    );
  }

  #requestsPerMillisecond(now: number): number {
    return this.budget.sent / Math.max(1_000, now - this.#startedAt);
  }

  /** Which versions a version belongs to. */
  armOf(version: string): VersionArm | undefined {
    if (version === this.order.toVersion) return "target";
    return this.baseline.includes(version) ? "baseline" : undefined;
  }

  /** Versions that a send may go to, the better one first. */
  arms(send: { readonly isFirst: boolean; readonly now: number }): {
    readonly first: VersionArm | undefined;
    readonly otherwise: VersionArm | undefined;
  } {
    if (this.baseline.length === 0) return TARGET_ALONE;
    return ARMS_BY_PHASE[this.#phase]({
      isFirst: send.isFirst,
      isCommitted: this.#commits(send.now),
      isInTime: send.now < this.deadlineAt,
      budget: this.budget,
      canary: {
        // The exposure is bounded for the order's time alone.
        share: send.now < this.deadlineAt ? this.share : this.#terms.share,
        elapsedShare:
          (send.now - this.#startedAt) / this.order.durationMilliseconds,
      },
    });
  }

  /** Notes a send; returns what to tell of its answer. */
  sent(send: VersionSend): SentRequest {
    const isTarget = send.arm === "target";
    this.budget.noteSent(isTarget);
    if (isTarget && !this.isOver) this.#waiting.add(send);
    let isOpen = true;
    const close = () => {
      this.#waiting.delete(send);
      const wasOpen = isOpen && !this.isOver;
      isOpen = false;
      return wasOpen;
    };
    return {
      answered: ({ failed, now }) => {
        if (!close()) return;
        const milliseconds = now - send.sentAt;
        const answer = { ...send, failed, milliseconds };
        this.#counts = withAnswer(this.#counts, answer);
      },
      ended: () => void close(),
    };
  }

  /** Judges what is known; each host stops by itself. */
  look(now: number): void {
    if (this.isOver) return;
    this.#judge.observe(this.evidence(now));
    if (this.#judge.fault !== undefined) this.#go("rolled_back", "judged_bad");
  }

  /** Takes in what another host tells; `life` names its process. */
  heard(news: RolloutNews, life: string | undefined): void {
    if (news.order.toVersion !== this.order.toVersion) return;
    if (life !== undefined) this.#peers.set(life, news);
    this.#storeVersion = Math.max(this.#storeVersion, news.storeVersion);
    this.#go(news.phase, "told");
  }

  /** Takes in the state that the store has, as of one of its versions. */
  stored(state: StoredRolloutState | undefined, storeVersion: number): void {
    if (storeVersion < this.#storeVersion) return;
    this.#storeVersion = storeVersion;
    this.#stored = state;
    if (state !== undefined) this.#go(PHASE_BY_STATE[state], "stored");
  }

  /** Ends the roll-out without the target version. */
  giveUp(reason: RolloutReason): void {
    this.#go("rolled_back", reason);
  }

  /** Other hosts that told to have left the baseline. */
  get peersMoved(): number {
    return [...this.#peers.keys()].filter((life) => this.#hasMoved(life))
      .length;
  }

  /** Whether this host has left the baseline, and will not go back. */
  hasMoved(now: number, running: number): boolean {
    return this.#commits(now) && running === 0;
  }

  /** What to tell the other hosts. */
  news(now: number, running: number | undefined): RolloutNews {
    return {
      order: this.order,
      baseline: this.baseline,
      storeVersion: this.#storeVersion,
      remainingMilliseconds: this.deadlineAt - now,
      phase: this.#phase,
      own:
        running === undefined
          ? undefined
          : {
              hasMoved: this.hasMoved(now, running),
              counts: this.#counts,
              waiting: this.#waitingAt(now),
            },
    };
  }

  /**
   * Whether this host sends everything to the target version from now on: as soon
   * as its exposure carries what is expected until the end.
   */
  #commits(now: number): boolean {
    const left = Math.max(0, this.deadlineAt - now);
    if (this.#phase !== "promoting" || left > this.#promotionMilliseconds) {
      return false;
    }
    const expected = left * this.#requestsPerMillisecond(now) + SPARE_REQUESTS;
    this.#isCommitted ||= left === 0 || this.budget.left >= expected;
    return this.#isCommitted;
  }

  /**
   * The state that the holder of the duties is to store now; `undefined` for none.
   * Takes the steps that only the holder takes.
   */
  dueState(view: RolloutView): StoredRolloutState | undefined {
    if (!this.isOver) this.#advance(view);
    const due = this.#dueState(view);
    return due === this.#stored ? undefined : due;
  }

  #dueState(view: RolloutView): StoredRolloutState {
    if (this.#phase === "completed" || this.#mayComplete(view)) {
      return "completed";
    }
    return this.#phase === "rolled_back" ? "rolled_back" : "running";
  }

  #advance(view: RolloutView): void {
    const overtime = view.now - this.deadlineAt;
    const patience = Math.max(
      LEAST_OVERTIME_MILLISECONDS,
      this.order.durationMilliseconds,
    );
    if (overtime > 0 && view.ready.target === 0) this.giveUp("no_servers");
    else if (overtime > patience) this.giveUp("not_judged");
    else if (this.baseline.length === 0) {
      if (view.ready.target > 0) this.#go("promoting", "nothing_to_move");
    } else if (this.#mayPromote(view)) this.#go("promoting", "judged_good");
  }

  #mayPromote(view: RolloutView): boolean {
    return (
      view.now >=
        this.deadlineAt -
          this.#promotionMilliseconds -
          ANNOUNCED_MILLISECONDS &&
      this.#carries(view) &&
      this.#judge.allows("promotion")
    );
  }

  /** The baseline's servers end at once, so none may have a request left. */
  #mayComplete(view: RolloutView): boolean {
    return (
      this.#phase === "promoting" &&
      this.#carries(view) &&
      this.hasMoved(view.now, view.running) &&
      view.peers.every((life) => this.#hasMoved(life)) &&
      (this.baseline.length === 0 || this.#judge.allows("completion"))
    );
  }

  #hasMoved(life: string): boolean {
    const told = this.#peers.get(life);
    return told?.phase === "promoting" && told.own?.hasMoved === true;
  }

  #carries({ ready }: RolloutView): boolean {
    return ready.target > 0 && ready.target >= ready.baseline * CARRYING_SHARE;
  }

  #go(phase: RolloutPhase, reason: RolloutReason): void {
    if (RANKS[phase] <= RANKS[this.#phase]) return;
    this.#phase = phase;
    this.#reason = reason;
  }
}

interface SendTerms {
  readonly isFirst: boolean;
  readonly isCommitted: boolean;
  readonly isInTime: boolean;
  readonly budget: ExposureBudget;
  readonly canary: CanaryTerms;
}

type Arms = ReturnType<Rollout["arms"]>;

const BASELINE_ALONE: Arms = { first: "baseline", otherwise: undefined };
const TARGET_FIRST: Arms = { first: "target", otherwise: "baseline" };
const TARGET_ALONE: Arms = { first: "target", otherwise: undefined };
const NEITHER: Arms = { first: undefined, otherwise: undefined };

const ARMS_BY_PHASE: Readonly<
  Record<RolloutPhase, (terms: SendTerms) => Arms>
> = {
  canary: canaryArms,
  promoting: promotingArms,
  rolled_back: () => BASELINE_ALONE,
  completed: () => TARGET_ALONE,
};

/** A host that told to have left the baseline rather refuses than goes back. */
function promotingArms(terms: SendTerms): Arms {
  if (!terms.isCommitted) return canaryArms(terms);
  return !terms.isInTime || terms.budget.allows ? TARGET_ALONE : NEITHER;
}

/** What failed once goes to the version that is known. */
function canaryArms({ isFirst, budget, canary }: SendTerms): Arms {
  if (isFirst && budget.allowsCanary(canary)) return TARGET_FIRST;
  return budget.allows && isFirst
    ? { first: "baseline", otherwise: "target" }
    : BASELINE_ALONE;
}
