// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * The versions of all services' servers on one host: which versions may be sent
 * requests, and the roll-outs between them. A new version that no spec names
 * gets no requests until the specs in the store were read.
 *
 * @module
 */
import type { ServerDirectory, ServerRecord } from "../choice/mod.ts";
import {
  type FleetPosition,
  slackOfHost,
  staggerOfHost,
} from "./exposure_budget.ts";
import {
  Rollout,
  type RolloutUpdate,
  type RolloutView,
  type SendObserver,
} from "./rollout.ts";
import { type RolloutLogParts, RolloutLog } from "./rollout_log.ts";
import type {
  ExposureTerms,
  RolloutSpec,
  StoredRollout,
  StoredRolloutState,
} from "./rollout_spec.ts";
import type { VersionArm } from "./version_counts.ts";
import type { Evaluator } from "./version_evaluator.ts";
import {
  canaryServers,
  serversOfMostCommonVersion,
} from "./version_servers.ts";

/** What the roll-outs depend on. */
export interface RolloutsParts extends RolloutLogParts {
  readonly directory: ServerDirectory;
  /** Bounds on the requests that an unevaluated version may get. */
  terms(): ExposureTerms;
  /**
   * The position of this host in an order of all hosts that depends on a key.
   */
  fleetPosition(key: string): FleetPosition;
  /**
   * Called when a promotion begins. Its progress has to be checked by
   * {@link Rollouts.promotionProgress} until the promotion ends.
   */
  onPromoting(): void;
  /** Creates the evaluator of one roll-out. */
  createEvaluator(): Evaluator;
  /** Called when the specs have to be read before a version gets requests. */
  onUnknownVersion(): void;
}

/** The fields of a listed server that are used here. */
export interface ListedVersion {
  readonly service: string;
  readonly version: string;
}

/** A send whose servers are asked for. */
export interface VersionSendQuery {
  /** Whether it is the first send of its request. */
  readonly isFirst: boolean;
  /** The only version that the send may go to; `undefined`: any that is accepted. */
  readonly version?: string | undefined;
  readonly now: number;
}

/** Servers to choose from: the preferred ones, and the fallback. */
export interface VersionChoice {
  readonly first: readonly ServerRecord[];
  readonly fallback: readonly ServerRecord[] | undefined;
}

/** A state that the duty holder has to store. */
export interface DueState {
  readonly spec: RolloutSpec;
  readonly state: StoredRolloutState;
  readonly storeVersion: number;
}

/** The versions of one service. */
interface ServiceVersions {
  /** Versions that get requests. */
  readonly accepted: ReadonlySet<string>;
  /** Versions that were rolled back or replaced. */
  readonly refused: ReadonlySet<string>;
  /**
   * The target version that was rolled back last; `undefined` after another
   * spec.
   */
  readonly rolledBack: string | undefined;
  readonly rollout: Rollout | undefined;
  /**
   * Newest version of the last spec's entry in the store, once its roll-out is
   * forgotten.
   */
  readonly storeVersion: number;
  /** When this host first saw that the roll-out was over. */
  readonly overSince: number | undefined;
}

/**
 * Time that a host must have been up before a spec began, in milliseconds.
 * Otherwise it uses no slack.
 */
const MINIMUM_UPTIME_BEFORE_SPEC_MILLISECONDS = 3_000;

/** How long a roll-out that is over is still reported, in milliseconds. */
const REPORT_LIFETIME_MILLISECONDS = 10_000;

/**
 * Period after the first listed server of a service, in milliseconds. The order
 * in which versions are listed in it doesn't show which of them is new.
 */
const INITIAL_LISTING_MILLISECONDS = 2_000;

/**
 * How long a version is held back if the specs can't be read and no other
 * version has a ready server, in milliseconds.
 */
const MAXIMUM_HOLD_BACK_MILLISECONDS = 2_000;

const NO_VERSIONS: ServiceVersions = {
  accepted: new Set(),
  refused: new Set(),
  rolledBack: undefined,
  rollout: undefined,
  storeVersion: 0,
  overSince: undefined,
};

/** The versions and roll-outs on one host. */
export class Rollouts {
  readonly #parts: RolloutsParts;
  readonly #log: RolloutLog;
  readonly #startedAt: number;
  readonly #services = new Map<string, ServiceVersions>();
  /**
   * Services whose specs can't be decoded; their new versions stay held back.
   */
  readonly #unreadable = new Set<string>();
  /** When each service began to hold back a version. */
  readonly #heldBackSince = new Map<string, number>();
  /** Progress of the promotions at the last check. */
  #lastProgress = "";
  /** Services whose promotion was logged and announced. */
  readonly #announcedPromotions = new Set<string>();
  /** When the first server of each service was listed. */
  readonly #firstListedAt = new Map<string, number>();

  constructor(parts: RolloutsParts, now: number) {
    this.#parts = parts;
    this.#log = new RolloutLog(parts);
    this.#startedAt = now;
  }

  /**
   * Since when a version waits for the specs to be read; `Infinity` if none
   * does.
   */
  get heldBackSince(): number {
    return Math.min(Infinity, ...this.#heldBackSince.values());
  }

  /** Registers the version of a listed server. */
  listed({ service, version }: ListedVersion, now: number): void {
    const known = this.#services.get(service) ?? NO_VERSIONS;
    if (known.accepted.has(version) || known.refused.has(version)) return;
    if (known.rollout?.armOf(version) !== undefined) return;
    if (known.accepted.size === 0) {
      this.#firstListedAt.set(service, now);
      this.#set(service, { ...known, accepted: new Set([version]) });
      return;
    }
    if (this.#heldBackSince.has(service)) return;
    this.#heldBackSince.set(service, now);
    this.#log.heldBack(service, version);
    this.#parts.onUnknownVersion();
  }

  /**
   * Accepts the held-back versions that no spec names, once all specs were
   * read.
   */
  specsRead(): void {
    [...this.#heldBackSince.keys()]
      .filter((service) => !this.#unreadable.has(service))
      .forEach((service) => this.#acceptListed(service));
  }

  /** Applies a spec and its state from the store. */
  stored(stored: StoredRollout, storeVersion: number, now: number): void {
    const { spec, state } = stored;
    this.#unreadable.delete(spec.service);
    const known = this.#services.get(spec.service)?.rollout;
    if (known?.spec.toVersion !== spec.toVersion && isFinal(state)) {
      this.#applyStoredEnd(spec, state === "rolled_back");
      return;
    }
    const rollout = this.#findOrStart(spec, {
      storeVersion,
      remainingMilliseconds: spec.durationMilliseconds,
      wasRunning: state !== undefined,
      now,
    });
    rollout.stored(state, storeVersion);
    this.#applyPhase(spec.service, now);
  }

  /**
   * Marks a spec as undecodable; the known versions of its service stay as they
   * are.
   */
  unreadable(service: string): void {
    this.#unreadable.add(service);
  }

  /** Rolls back the roll-out of a spec that was withdrawn. */
  withdrawn(service: string, now: number): void {
    this.#unreadable.delete(service);
    const rollout = this.#services.get(service)?.rollout;
    if (rollout === undefined || rollout.isOver) return;
    rollout.rollBack("withdrawn");
    this.#applyPhase(service, now);
  }

  /**
   * Applies the updates of another host. Updates of relays come without an
   * incarnation and report no host's progress.
   */
  received(
    updates: readonly RolloutUpdate[],
    options: { readonly incarnation?: string; readonly now: number },
  ): void {
    const { incarnation, now } = options;
    updates.forEach((update) => {
      const { service } = update.spec;
      if (this.#isOutdated(update)) return;
      this.#findOrStart(update.spec, {
        ...update,
        wasRunning: false,
        now,
      }).receive(update, incarnation);
      this.#applyPhase(service, now);
    });
  }

  /** Whether an update is about a spec that is known to be replaced or over. */
  #isOutdated({ spec, storeVersion, phase }: RolloutUpdate): boolean {
    const known = this.#services.get(spec.service);
    if (known === undefined) return false;
    const { rollout } = known;
    if (rollout?.spec.toVersion === spec.toVersion) return false;
    if (rollout !== undefined) return rollout.storeVersion >= storeVersion;
    if (storeVersion < known.storeVersion) return true;
    // If hosts applied such an update again, they would report it to each other
    // without end.
    return (
      (phase === "rolled_back" && known.rolledBack === spec.toVersion) ||
      (phase === "completed" &&
        known.accepted.size === 1 &&
        known.accepted.has(spec.toVersion))
    );
  }

  /** The updates of this host for the other hosts. */
  updates(now: number): readonly RolloutUpdate[] {
    const current = this.#currentRollouts();
    current.forEach((rollout) => {
      rollout.evaluate(now);
      this.#applyPhase(rollout.spec.service, now);
    });
    return current.map((rollout) =>
      rollout.updateAt(now, this.#ownRunning(rollout)),
    );
  }

  /**
   * Checks the promotions: whether any is in progress, and whether the progress
   * has changed since the last check.
   */
  promotionProgress(now: number): {
    readonly isPromoting: boolean;
    readonly hasChanged: boolean;
  } {
    const promoting = this.#currentRollouts().filter(
      ({ phase }) => phase === "promoting",
    );
    // Relays forward what other hosts report at once.
    const progress = promoting
      .map((rollout) => [
        rollout.hasLeftBaseline(now, this.#ownRunning(rollout)),
        rollout.peersOffBaselineCount,
      ])
      .join(",");
    const hasChanged = progress !== this.#lastProgress;
    this.#lastProgress = progress;
    return { isPromoting: promoting.length > 0, hasChanged };
  }

  /** The updates of a relay about the fleet for its members. */
  relayUpdates(now: number): readonly RolloutUpdate[] {
    return this.#currentRollouts().map((rollout) =>
      rollout.updateAt(now, undefined),
    );
  }

  /** Servers that a send of a request may go to. */
  choice(service: string, send: VersionSendQuery): VersionChoice {
    const records = this.#parts.directory.of(service);
    const known = this.#services.get(service);
    if (send.version !== undefined) {
      const isAllowed = this.#allowsContinuation(known, send.version);
      const ofVersion = ({ entry }: ServerRecord) =>
        entry.version === send.version;
      return {
        first: isAllowed ? records.filter(ofVersion) : [],
        fallback: undefined,
      };
    }
    if (known?.rollout === undefined || known.overSince !== undefined) {
      return {
        first: this.#acceptedRecords(service, { records, now: send.now }),
        fallback: undefined,
      };
    }
    const { rollout } = known;
    const { first, fallback } = rollout.arms(send);
    const recordsOf = (arm: VersionArm | undefined) =>
      arm && this.#recordsOf(rollout, arm, { records, now: send.now });
    return { first: recordsOf(first) ?? [], fallback: recordsOf(fallback) };
  }

  /**
   * Counts a send; the returned object receives its outcome if the version is
   * part of a roll-out.
   */
  sent(
    { entry }: ServerRecord,
    send: { readonly route: string; readonly sentAt: number },
  ): SendObserver | undefined {
    const rollout = this.#services.get(entry.service)?.rollout;
    const arm = rollout?.armOf(entry.version);
    if (rollout === undefined || arm === undefined) return undefined;
    this.#log.sent(arm);
    return rollout.sent({ ...send, arm, server: entry.id });
  }

  /**
   * Whether a stream may continue at the version that began it. A version that was
   * rolled back gets nothing more, and one that is being evaluated no more than its
   * exposure allows.
   */
  #allowsContinuation(
    known: ServiceVersions | undefined,
    version: string,
  ): boolean {
    if (known === undefined) return true;
    const { rollout, rolledBack } = known;
    if (rolledBack === version) return false;
    const isEvaluated =
      rollout?.isOver === false && rollout.armOf(version) === "target";
    return !isEvaluated || rollout.budget.allowsTarget;
  }

  /**
   * Whether a server counts towards the capacity of its service. A version that
   * is still being evaluated may be rolled back, so its servers don't count.
   */
  counts({ entry }: ServerRecord): boolean {
    const known = this.#services.get(entry.service);
    return known === undefined || known.accepted.has(entry.version);
  }

  /** Whether a roll-out of a service is in progress. */
  isMoving(service: string): boolean {
    return this.#services.get(service)?.rollout?.isOver === false;
  }

  /** The states that the duty holder has to store. */
  dueStates(now: number, peers: readonly string[]): readonly DueState[] {
    return [...this.#services.values()].flatMap(({ rollout }) => {
      if (rollout === undefined) return [];
      rollout.evaluate(now);
      const state = rollout.dueState(this.#view(rollout, { now, peers }));
      this.#applyPhase(rollout.spec.service, now);
      const { spec, storeVersion } = rollout;
      return state === undefined ? [] : [{ spec, state, storeVersion }];
    });
  }

  #view(
    rollout: Rollout,
    { now, peers }: { readonly now: number; readonly peers: readonly string[] },
  ): RolloutView {
    const ready = this.#parts.directory
      .of(rollout.spec.service)
      .filter((record) => record.isReady);
    const readyOf = (arm: VersionArm) =>
      ready.filter(({ entry }) => rollout.armOf(entry.version) === arm).length;
    return {
      now,
      peers,
      ready: { baseline: readyOf("baseline"), target: readyOf("target") },
      running: this.#ownRunning(rollout),
    };
  }

  #ownRunning(rollout: Rollout): number {
    return this.#parts.directory
      .allOf(rollout.spec.service)
      .filter(({ entry }) => rollout.armOf(entry.version) === "baseline")
      .reduce((sum, record) => sum + record.ownRunning, 0);
  }

  #currentRollouts(): readonly Rollout[] {
    return [...this.#services.values()]
      .map(({ rollout }) => rollout)
      .filter((rollout) => rollout !== undefined);
  }

  /**
   * The roll-out of a spec, started if the spec is new. A version that was
   * rolled back is not tried again.
   */
  #findOrStart(
    spec: RolloutSpec,
    origin: {
      readonly storeVersion: number;
      readonly remainingMilliseconds: number;
      readonly wasRunning: boolean;
      readonly baseline?: readonly string[];
      readonly now: number;
    },
  ): Rollout {
    const { service, toVersion } = spec;
    const known = this.#services.get(service) ?? NO_VERSIONS;
    const former = known.rollout;
    if (former?.spec.toVersion === toVersion) return former;
    if (former !== undefined) this.#replaceRollout(former, origin.now);
    const { refused } = this.#services.get(service) ?? NO_VERSIONS;
    const baseline =
      origin.baseline ?? this.#baselineOf(service, toVersion, refused);
    const position = this.#parts.fleetPosition(`${service}/${toVersion}`);
    const rollout = new Rollout({
      spec,
      baseline,
      storeVersion: origin.storeVersion,
      remainingMilliseconds: origin.remainingMilliseconds,
      terms: this.#parts.terms(),
      slack: this.#slackFor(spec, { ...origin, position }),
      stagger: staggerOfHost(position),
      evaluator: this.#parts.createEvaluator(),
      now: origin.now,
    });
    this.#set(service, {
      ...known,
      accepted: new Set(baseline),
      refused: new Set([...refused].filter((version) => version !== toVersion)),
      rollout,
      overSince: undefined,
    });
    if (known.rolledBack === toVersion) rollout.rollBack("rolled_back_before");
    this.#heldBackSince.delete(service);
    this.#log.started(rollout, origin.now);
    return rollout;
  }

  /** All listed versions except the target and those that were refused. */
  #baselineOf(
    service: string,
    target: string,
    refused: ReadonlySet<string>,
  ): readonly string[] {
    const listed = this.#listedVersions(service);
    const accepted = this.#services.get(service)?.accepted ?? [];
    return [...new Set([...accepted, ...listed])].filter(
      (version) => version !== target && !refused.has(version),
    );
  }

  #slackFor(
    spec: RolloutSpec,
    origin: {
      readonly wasRunning: boolean;
      readonly remainingMilliseconds: number;
      readonly position: FleetPosition;
      readonly now: number;
    },
  ): number {
    const { durationMilliseconds } = spec;
    const age = origin.wasRunning
      ? durationMilliseconds
      : durationMilliseconds - origin.remainingMilliseconds;
    const uptime = origin.now - this.#startedAt;
    // A former incarnation of this host may have used its slack.
    if (uptime < age + MINIMUM_UPTIME_BEFORE_SPEC_MILLISECONDS) return 0;
    return slackOfHost(this.#parts.terms(), origin.position);
  }

  #replaceRollout(former: Rollout, now: number): void {
    if (former.isOver) return;
    former.rollBack("replaced");
    this.#applyPhase(former.spec.service, now);
  }

  /** Applies the effects of a roll-out's phase, each once. */
  #applyPhase(service: string, now: number): void {
    const known = this.#services.get(service);
    const rollout = known?.rollout;
    if (known === undefined || rollout === undefined) return;
    if (rollout.phase === "promoting") this.#announcePromotion(rollout, now);
    if (!rollout.isOver) return;
    this.#announcedPromotions.delete(service);
    if (known.overSince === undefined) {
      this.#endRollout(service, { known, rollout, now });
    } else if (now - known.overSince > REPORT_LIFETIME_MILLISECONDS) {
      this.#forgetRollout(service, known);
    }
  }

  #announcePromotion(rollout: Rollout, now: number): void {
    const { service } = rollout.spec;
    if (this.#announcedPromotions.has(service)) return;
    this.#announcedPromotions.add(service);
    this.#log.promoting(rollout, now);
    this.#parts.onPromoting();
  }

  #endRollout(
    service: string,
    over: {
      readonly known: ServiceVersions;
      readonly rollout: Rollout;
      readonly now: number;
    },
  ): void {
    const { known, rollout, now } = over;
    const { toVersion } = rollout.spec;
    const isCompleted = rollout.phase === "completed";
    const refused = isCompleted ? rollout.baseline : [toVersion];
    this.#set(service, {
      ...known,
      accepted: new Set(isCompleted ? [toVersion] : rollout.baseline),
      refused: new Set([...known.refused, ...refused]),
      rolledBack: isCompleted ? undefined : toVersion,
      overSince: now,
    });
    this.#log.ended(rollout, now);
  }

  #forgetRollout(service: string, known: ServiceVersions): void {
    const { rolledBack } = known;
    this.#set(service, {
      ...known,
      // Servers of a replaced version have ended by now.
      refused: new Set(rolledBack === undefined ? [] : [rolledBack]),
      rollout: undefined,
      storeVersion: known.rollout?.storeVersion ?? known.storeVersion,
      overSince: undefined,
    });
  }

  /** Applies a roll-out that was over before this host knew of it. */
  #applyStoredEnd(
    { service, toVersion }: RolloutSpec,
    isRolledBack: boolean,
  ): void {
    const known = this.#services.get(service) ?? NO_VERSIONS;
    const others = this.#listedVersions(service).filter(
      (version) => version !== toVersion,
    );
    // A version without alternatives is used, even if it was rolled back.
    if (!isRolledBack || others.length === 0) return;
    this.#heldBackSince.delete(service);
    this.#set(service, {
      ...known,
      accepted: new Set(others),
      refused: new Set([...known.refused, toVersion]),
      rolledBack: toVersion,
    });
  }

  #listedVersions(service: string): readonly string[] {
    const entries = this.#parts.directory.allOf(service);
    return [...new Set(entries.map(({ entry }) => entry.version))];
  }

  /** Accepts all listed versions of a service that no spec names. */
  #acceptListed(service: string): void {
    const known = this.#services.get(service) ?? NO_VERSIONS;
    const listed = this.#listedVersions(service).filter(
      (version) => !known.refused.has(version),
    );
    this.#heldBackSince.delete(service);
    this.#set(service, {
      ...known,
      accepted: new Set([...known.accepted, ...listed]),
    });
    this.#log.acceptedWithoutSpec(service, listed);
  }

  /**
   * Servers of accepted versions. Others are used only if no accepted version
   * has a ready server for a while.
   */
  #acceptedRecords(
    service: string,
    pool: { readonly records: readonly ServerRecord[]; readonly now: number },
  ): readonly ServerRecord[] {
    const { records, now } = pool;
    const known = this.#services.get(service);
    const heldSince = this.#heldBackSince.get(service);
    const isMixed = heldSince !== undefined || (known?.refused.size ?? 0) > 0;
    if (known === undefined || !isMixed) return records;
    const accepted = this.#isInitialListing(service)
      ? serversOfMostCommonVersion(records)
      : records.filter(({ entry }) => known.accepted.has(entry.version));
    const hasReadyServer = accepted.some((record) => record.isReady);
    const heldBackFor = now - (heldSince ?? now);
    return hasReadyServer || heldBackFor < MAXIMUM_HOLD_BACK_MILLISECONDS
      ? accepted
      : records.filter(({ entry }) => !known.refused.has(entry.version));
  }

  /**
   * Whether several versions were listed when this host started, and no spec is
   * known yet.
   */
  #isInitialListing(service: string): boolean {
    const heldSince = this.#heldBackSince.get(service);
    const firstAt = this.#firstListedAt.get(service) ?? -Infinity;
    return (
      heldSince !== undefined &&
      heldSince - firstAt < INITIAL_LISTING_MILLISECONDS
    );
  }

  #recordsOf(
    rollout: Rollout,
    arm: VersionArm,
    pool: { readonly records: readonly ServerRecord[]; readonly now: number },
  ): readonly ServerRecord[] {
    const records = pool.records.filter(
      ({ entry }) => rollout.armOf(entry.version) === arm,
    );
    return arm === "target" && rollout.phase === "canary"
      ? canaryServers(rollout, records, pool.now)
      : records;
  }

  #set(service: string, versions: ServiceVersions): void {
    this.#services.set(service, versions);
  }
}

function isFinal(state: StoredRolloutState | undefined): boolean {
  return state === "completed" || state === "rolled_back";
}
