// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * The state of one roll-out on one host: which version a send goes to, how the
 * answers went, what other hosts reported, and which phase comes next. It only
 * decides: time is passed in, and the caller sends and stores.
 *
 * @module
 */
import { type CanaryLimits, ExposureBudget } from "./exposure_budget.ts";
import type {
  ExposureTerms,
  RolloutSpec,
  RolloutPhase,
  StoredRolloutState,
} from "./rollout_spec.ts";
import {
  sumOf,
  type VersionArm,
  type VersionCounts,
  withAnswer,
} from "./version_counts.ts";
import type {
  Evaluator,
  VersionEvidence,
  VersionFault,
} from "./version_evaluator.ts";

/** An update about a roll-out, sent between hosts by gossip. */
export interface RolloutUpdate {
  readonly spec: RolloutSpec;
  /** Versions that the service's traffic is shifted away from. */
  readonly baseline: readonly string[];
  /** Newest version of the spec's entry in the store that the sender knows. */
  readonly storeVersion: number;
  /** Remaining time of the spec, in milliseconds; negative once it is over. */
  readonly remainingMilliseconds: number;
  readonly phase: RolloutPhase;
  /** Progress of the sending host itself; `undefined` from relays. */
  readonly senderProgress: RolloutProgress | undefined;
}

/** The progress of one host in a roll-out. */
export interface RolloutProgress {
  /**
   * Whether the host has no request at servers of the baseline and will send
   * none.
   */
  readonly hasLeftBaseline: boolean;
  readonly counts: VersionCounts;
  /** Requests that wait for an answer of the target version, by time waited. */
  readonly waiting: VersionCounts;
}

/** A request that is sent to a server of one of the versions. */
export interface VersionSend {
  readonly arm: VersionArm;
  readonly route: string;
  readonly server: string;
  readonly sentAt: number;
}

/** Receives the outcome of a request that was sent. */
export interface SendObserver {
  /** The answer began to arrive or is a failure; only the first call counts. */
  answered(answer: { readonly failed: boolean; readonly now: number }): void;
  /** The request ended without an answer that counts for its version. */
  ended(): void;
}

/** What a roll-out starts with on a host. */
export interface RolloutOptions {
  readonly spec: RolloutSpec;
  readonly baseline: readonly string[];
  readonly storeVersion: number;
  readonly remainingMilliseconds: number;
  readonly terms: ExposureTerms;
  /** Requests beyond the share that this host may send. */
  readonly slack: number;
  /**
   * Position of this host among all hosts, from 0 to 1. Staggers the use of the
   * slack.
   */
  readonly stagger: number;
  readonly evaluator: Evaluator;
  readonly now: number;
}

/** Servers of both versions and other hosts, as the duty holder sees them. */
export interface RolloutView {
  readonly now: number;
  /** Number of servers of each version that take requests. */
  readonly ready: Readonly<Record<VersionArm, number>>;
  /** Incarnations of the other hosts that are present. */
  readonly peers: readonly string[];
  /** Number of this host's requests at servers of the baseline. */
  readonly running: number;
}

/** Why a roll-out entered its phase. */
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
 * Bounds of the length of the promotion, in milliseconds: the end of the spec's
 * time, in which all hosts send every request to the target version. It has to
 * cover the migration of runs and two rounds of gossip. Within the bounds it is
 * as long as the exposure allows.
 */
const MINIMUM_PROMOTION_MILLISECONDS = 1_200;
const MAXIMUM_PROMOTION_MILLISECONDS = 2_500;

/** Share of the exposure that is reserved for the promotion. */
const PROMOTION_EXPOSURE_SHARE = 0.7;

/** Exposure reserved for each request that is expected during the promotion. */
const PROMOTION_RESERVE_FACTOR = 1.15;

/**
 * Time before the promotion in which it is announced to all hosts, in
 * milliseconds.
 */
const PROMOTION_ANNOUNCEMENT_MILLISECONDS = 900;

/** Requests beyond the expected ones that a host reserves exposure for. */
const RESERVE_REQUESTS = 1;

/** Bounds of the share of requests that a canary gets. */
const MINIMUM_CANARY_SHARE = 0.015;
const MAXIMUM_CANARY_SHARE = 0.06;

/**
 * Number of ready servers that the target version needs, as a share of the
 * baseline's.
 */
const MINIMUM_TARGET_SERVER_SHARE = 0.8;

/**
 * Minimum time after the deadline until a version that could not be evaluated
 * is rolled back, in milliseconds.
 */
const MINIMUM_OVERTIME_MILLISECONDS = 30_000;

/** Order of the phases; a roll-out never returns to an earlier one. */
const PHASE_RANKS: Readonly<Record<RolloutPhase, number>> = {
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

/** One roll-out on one host. */
export class Rollout {
  readonly spec: RolloutSpec;
  readonly baseline: readonly string[];
  readonly deadlineAt: number;
  readonly budget: ExposureBudget;
  readonly #evaluator: Evaluator;
  readonly #terms: ExposureTerms;
  readonly #peers = new Map<string, RolloutUpdate>();
  readonly #waiting = new Set<VersionSend>();
  #storeVersion: number;
  #stored: StoredRolloutState | undefined;
  #phase: RolloutPhase = "canary";
  #reason: RolloutReason = "order";
  #counts: VersionCounts = {};
  /**
   * Whether this host sends nothing more to the baseline, except after a
   * rollback.
   */
  #isCommittedToTarget = false;
  readonly #startedAt: number;

  constructor(options: RolloutOptions) {
    this.spec = options.spec;
    this.baseline = options.baseline;
    this.deadlineAt = options.now + options.remainingMilliseconds;
    this.budget = new ExposureBudget(options.terms, options);
    this.#evaluator = options.evaluator;
    this.#startedAt = options.now;
    this.#terms = options.terms;
    this.#storeVersion = options.storeVersion;
  }

  /** The phase that this host has reached. */
  get phase(): RolloutPhase {
    return this.#phase;
  }

  /** Why this host entered the phase. */
  get reason(): RolloutReason {
    return this.#reason;
  }

  /** Whether the roll-out was completed or rolled back. */
  get isOver(): boolean {
    return PHASE_RANKS[this.#phase] >= PHASE_RANKS.rolled_back;
  }

  /** Why the version is bad, if this host's own evaluation found it. */
  get fault(): VersionFault | undefined {
    return this.#evaluator.fault;
  }

  /** Newest known version of the spec's entry in the store. */
  get storeVersion(): number {
    return this.#storeVersion;
  }

  /** The known answers of the whole fleet. */
  evidence(now: number): VersionEvidence {
    const reported = [...this.#peers.values()].flatMap(
      ({ senderProgress: own }) => own ?? [],
    );
    return {
      counts: sumOf([this.#counts, ...reported.map(({ counts }) => counts)]),
      waiting: sumOf([
        this.#waitingAt(now),
        ...reported.map(({ waiting }) => waiting),
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

  /**
   * Share of the requests that the canary gets; the rest is reserved for the
   * promotion.
   */
  get share(): number {
    const { share } = this.#terms;
    const reserved =
      ((1 - share) * this.#promotionMilliseconds * PROMOTION_RESERVE_FACTOR) /
      this.spec.durationMilliseconds;
    return Math.min(
      Math.min(MAXIMUM_CANARY_SHARE, share),
      Math.max(MINIMUM_CANARY_SHARE, share - reserved),
    );
  }

  get #promotionMilliseconds(): number {
    const { share } = this.#terms;
    const supported =
      (PROMOTION_EXPOSURE_SHARE * share * this.spec.durationMilliseconds) /
      (1 - share);
    return Math.min(
      MAXIMUM_PROMOTION_MILLISECONDS,
      Math.max(MINIMUM_PROMOTION_MILLISECONDS, supported),
    );
  }

  #requestsPerMillisecond(now: number): number {
    return this.budget.sent / Math.max(1_000, now - this.#startedAt);
  }

  /**
   * The side of the roll-out that a version is on; `undefined` for other
   * versions.
   */
  armOf(version: string): VersionArm | undefined {
    if (version === this.spec.toVersion) return "target";
    return this.baseline.includes(version) ? "baseline" : undefined;
  }

  /** Versions that a send may go to, the preferred one first. */
  arms(request: { readonly isFirst: boolean; readonly now: number }): {
    readonly first: VersionArm | undefined;
    readonly fallback: VersionArm | undefined;
  } {
    if (this.baseline.length === 0) return TARGET_ONLY;
    return ARMS_BY_PHASE[this.#phase]({
      isFirst: request.isFirst,
      isCommitted: this.#commitsToTarget(request.now),
      isBeforeDeadline: request.now < this.deadlineAt,
      budget: this.budget,
      canary: {
        // The exposure is bounded only until the deadline.
        share: request.now < this.deadlineAt ? this.share : this.#terms.share,
        elapsedShare:
          (request.now - this.#startedAt) / this.spec.durationMilliseconds,
      },
    });
  }

  /** Counts a send; the returned object receives its outcome. */
  sent(send: VersionSend): SendObserver {
    const isTarget = send.arm === "target";
    this.budget.recordSend(isTarget);
    if (isTarget && !this.isOver) this.#waiting.add(send);
    let isPending = true;
    const settle = () => {
      this.#waiting.delete(send);
      const isCounted = isPending && !this.isOver;
      isPending = false;
      return isCounted;
    };
    return {
      answered: ({ failed, now }) => {
        if (!settle()) return;
        const milliseconds = now - send.sentAt;
        const answer = { ...send, failed, milliseconds };
        this.#counts = withAnswer(this.#counts, answer);
      },
      ended: () => {
        settle();
      },
    };
  }

  /** Evaluates the known answers. Each host rolls back on its own finding. */
  evaluate(now: number): void {
    if (this.isOver) return;
    this.#evaluator.observe(this.evidence(now));
    if (this.#evaluator.fault !== undefined)
      this.#enter("rolled_back", "judged_bad");
  }

  /**
   * Applies an update of another host; `incarnation` is `undefined` for relays.
   */
  receive(update: RolloutUpdate, incarnation: string | undefined): void {
    if (update.spec.toVersion !== this.spec.toVersion) return;
    if (incarnation !== undefined) this.#peers.set(incarnation, update);
    this.#storeVersion = Math.max(this.#storeVersion, update.storeVersion);
    this.#enter(update.phase, "told");
  }

  /** Applies the stored state, as of a version of the spec's entry. */
  stored(state: StoredRolloutState | undefined, storeVersion: number): void {
    if (storeVersion < this.#storeVersion) return;
    this.#storeVersion = storeVersion;
    this.#stored = state;
    if (state !== undefined) this.#enter(PHASE_BY_STATE[state], "stored");
  }

  /** Ends the roll-out and keeps the baseline. */
  rollBack(reason: RolloutReason): void {
    this.#enter("rolled_back", reason);
  }

  /** Number of other hosts that reported to have left the baseline. */
  get peersOffBaselineCount(): number {
    return [...this.#peers.keys()].filter((incarnation) =>
      this.#hasPeerLeftBaseline(incarnation),
    ).length;
  }

  /** Whether this host has left the baseline and will not return to it. */
  hasLeftBaseline(now: number, running: number): boolean {
    return this.#commitsToTarget(now) && running === 0;
  }

  /** The update for other hosts; `running` is `undefined` on relays. */
  updateAt(now: number, running: number | undefined): RolloutUpdate {
    return {
      spec: this.spec,
      baseline: this.baseline,
      storeVersion: this.#storeVersion,
      remainingMilliseconds: this.deadlineAt - now,
      phase: this.#phase,
      senderProgress:
        running === undefined
          ? undefined
          : {
              hasLeftBaseline: this.hasLeftBaseline(now, running),
              counts: this.#counts,
              waiting: this.#waitingAt(now),
            },
    };
  }

  /**
   * Whether this host sends every request to the target version from now on. It
   * commits once its exposure covers the requests expected until the deadline.
   */
  #commitsToTarget(now: number): boolean {
    const remaining = Math.max(0, this.deadlineAt - now);
    if (
      this.#phase !== "promoting" ||
      remaining > this.#promotionMilliseconds
    ) {
      return false;
    }
    const expected =
      remaining * this.#requestsPerMillisecond(now) + RESERVE_REQUESTS;
    this.#isCommittedToTarget ||=
      remaining === 0 || this.budget.remainingTargetSends >= expected;
    return this.#isCommittedToTarget;
  }

  /**
   * The state that the duty holder has to store now; `undefined` if none. Takes
   * the steps that are reserved for the duty holder.
   */
  dueState(view: RolloutView): StoredRolloutState | undefined {
    if (!this.isOver) this.#advanceAsHolder(view);
    const due = this.#dueState(view);
    return due === this.#stored ? undefined : due;
  }

  #dueState(view: RolloutView): StoredRolloutState {
    if (this.#phase === "completed" || this.#canComplete(view)) {
      return "completed";
    }
    return this.#phase === "rolled_back" ? "rolled_back" : "running";
  }

  #advanceAsHolder(view: RolloutView): void {
    const overtime = view.now - this.deadlineAt;
    const maximumOvertime = Math.max(
      MINIMUM_OVERTIME_MILLISECONDS,
      this.spec.durationMilliseconds,
    );
    if (overtime > 0 && view.ready.target === 0) this.rollBack("no_servers");
    else if (overtime > maximumOvertime) this.rollBack("not_judged");
    else if (this.baseline.length === 0) {
      if (view.ready.target > 0) this.#enter("promoting", "nothing_to_move");
    } else if (this.#canPromote(view)) this.#enter("promoting", "judged_good");
  }

  #canPromote(view: RolloutView): boolean {
    return (
      view.now >=
        this.deadlineAt -
          this.#promotionMilliseconds -
          PROMOTION_ANNOUNCEMENT_MILLISECONDS &&
      this.#hasTargetCapacity(view) &&
      this.#evaluator.allows("promotion")
    );
  }

  /**
   * Completion ends the baseline's servers at once, so no request may remain at
   * one.
   */
  #canComplete(view: RolloutView): boolean {
    return (
      this.#phase === "promoting" &&
      this.#hasTargetCapacity(view) &&
      this.hasLeftBaseline(view.now, view.running) &&
      view.peers.every((incarnation) =>
        this.#hasPeerLeftBaseline(incarnation),
      ) &&
      (this.baseline.length === 0 || this.#evaluator.allows("completion"))
    );
  }

  #hasPeerLeftBaseline(incarnation: string): boolean {
    const reported = this.#peers.get(incarnation);
    return (
      reported?.phase === "promoting" &&
      reported.senderProgress?.hasLeftBaseline === true
    );
  }

  #hasTargetCapacity({ ready }: RolloutView): boolean {
    return (
      ready.target > 0 &&
      ready.target >= ready.baseline * MINIMUM_TARGET_SERVER_SHARE
    );
  }

  #enter(phase: RolloutPhase, reason: RolloutReason): void {
    if (PHASE_RANKS[phase] <= PHASE_RANKS[this.#phase]) return;
    this.#phase = phase;
    this.#reason = reason;
  }
}

interface ArmConditions {
  readonly isFirst: boolean;
  readonly isCommitted: boolean;
  readonly isBeforeDeadline: boolean;
  readonly budget: ExposureBudget;
  readonly canary: CanaryLimits;
}

type Arms = ReturnType<Rollout["arms"]>;

const BASELINE_ONLY: Arms = { first: "baseline", fallback: undefined };
const TARGET_FIRST: Arms = { first: "target", fallback: "baseline" };
const TARGET_ONLY: Arms = { first: "target", fallback: undefined };
const NO_ARM: Arms = { first: undefined, fallback: undefined };

const ARMS_BY_PHASE: Readonly<
  Record<RolloutPhase, (conditions: ArmConditions) => Arms>
> = {
  canary: canaryArms,
  promoting: promotingArms,
  rolled_back: () => BASELINE_ONLY,
  completed: () => TARGET_ONLY,
};

/**
 * A host that reported to have left the baseline refuses requests rather than
 * return to it.
 */
function promotingArms(conditions: ArmConditions): Arms {
  if (!conditions.isCommitted) return canaryArms(conditions);
  return !conditions.isBeforeDeadline || conditions.budget.allowsTarget
    ? TARGET_ONLY
    : NO_ARM;
}

/** A request that failed once goes to the baseline. */
function canaryArms({ isFirst, budget, canary }: ArmConditions): Arms {
  if (isFirst && budget.allowsCanary(canary)) return TARGET_FIRST;
  return budget.allowsTarget && isFirst
    ? { first: "baseline", fallback: "target" }
    : BASELINE_ONLY;
}
