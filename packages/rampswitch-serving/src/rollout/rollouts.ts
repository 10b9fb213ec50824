// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * The versions of all services' servers as one host knows them: which of them may
 * be sent requests, and the roll-outs that move traffic from one to another. A
 * version that nobody ordered and nobody has met gets nothing until the orders in
 * the store were read.
 *
 * @module
 */
import type { ServerDirectory, ServerRecord } from "../choice/mod.ts";
import { type FleetPlace, slackOf } from "./exposure_budget.ts";
import {
  Rollout,
  type RolloutNews,
  type RolloutView,
  type SentRequest,
} from "./rollout.ts";
import { type LineParts, RolloutLines } from "./rollout_log.ts";
import type {
  ExposureTerms,
  RolloutOrder,
  StoredRollout,
  StoredRolloutState,
} from "./rollout_spec.ts";
import type { VersionArm } from "./version_counts.ts";
import type { Judge } from "./version_evaluator.ts";
import { canaryOf, ofMostServers } from "./version_servers.ts";

/** What the roll-outs work with. */
export interface RolloutsParts extends LineParts {
  readonly directory: ServerDirectory;
  /** Terms under which a version that nobody has judged gets requests. */
  terms(): ExposureTerms;
  /** This host's place in an order of all that a key draws. */
  place(key: string): FleetPlace;
  /** A version begins to be left: {@link Rollouts.leaving} is due until it is. */
  onPromoting(): void;
  /** Judges one roll-out. */
  judge(): Judge;
  /** Orders have to be read before a version gets requests. */
  onUnknownVersion(): void;
}

/** What is read of a listed server. */
export interface ListedVersion {
  readonly service: string;
  readonly version: string;
}

/** Servers to choose among: those to take first, and those to take otherwise. */
export interface VersionChoice {
  readonly first: readonly ServerRecord[];
  readonly otherwise: readonly ServerRecord[] | undefined;
}

/** A state for the holder of the duties to store. */
export interface DueState {
  readonly order: RolloutOrder;
  readonly state: StoredRolloutState;
  readonly storeVersion: number;
}

/** The versions of one service. */
interface ServiceVersions {
  /** Versions that get requests. */
  readonly accepted: ReadonlySet<string>;
  /** Versions that were rolled back or moved from. */
  readonly refused: ReadonlySet<string>;
  /** The target version that was rolled back last, with no other order since. */
  readonly rolledBack: string | undefined;
  readonly rollout: Rollout | undefined;
  /** Newest version in the store of the order before, once that is forgotten. */
  readonly storeVersion: number;
  /** When the roll-out was first told to be over. */
  readonly overSince: number | undefined;
}

/** A host that was not up when an order came spends no slack, in milliseconds. */
const ORDER_AGE_MILLISECONDS = 3_000;

/** A roll-out that is over is told for this time, in milliseconds. */
const TOLD_MILLISECONDS = 10_000;

/**
 * Versions listed this soon after each other at a start tell nothing of their order,
 * in milliseconds.
 */
const FIRST_LIST_MILLISECONDS = 2_000;

/**
 * Time after which a version without orders that could be read is used where no
 * other is left, in milliseconds.
 */
const HELD_BACK_MILLISECONDS = 2_000;

const NO_VERSIONS: ServiceVersions = {
  accepted: new Set(),
  refused: new Set(),
  rolledBack: undefined,
  rollout: undefined,
  storeVersion: 0,
  overSince: undefined,
};

/** Versions and roll-outs at one host. */
export class Rollouts {
  readonly #parts: RolloutsParts;
  readonly #lines: RolloutLines;
  readonly #startedAt: number;
  readonly #services = new Map<string, ServiceVersions>();
  /** Services whose orders can't be read; their new versions stay held back. */
  readonly #unreadable = new Set<string>();
  /** Since when services have versions that are held back. */
  readonly #holding = new Map<string, number>();
  /** Who has left a former version, as it was last told. */
  #toldMoved = "";
  /** Services whose promotion was told of. */
  readonly #promoting = new Set<string>();
  /** When the first server of each service was listed. */
  readonly #firstListedAt = new Map<string, number>();

  constructor(parts: RolloutsParts, now: number) {
    this.#parts = parts;
    this.#lines = new RolloutLines(parts);
    this.#startedAt = now;
  }

  /** Since when some version waits for the orders to be read. */
  get holdingSince(): number {
    return Math.min(Infinity, ...this.#holding.values());
  }

  /** A server is listed. */
  listed({ service, version }: ListedVersion, now: number): void {
    const known = this.#services.get(service) ?? NO_VERSIONS;
    if (known.accepted.has(version) || known.refused.has(version)) return;
    if (known.rollout?.armOf(version) !== undefined) return;
    if (known.accepted.size === 0) {
      this.#firstListedAt.set(service, now);
      this.#set(service, { ...known, accepted: new Set([version]) });
      return;
    }
    if (this.#holding.has(service)) return;
    this.#holding.set(service, now);
    this.#lines.heldBack(service, version);
    this.#parts.onUnknownVersion();
  }

  /** All orders in the store were read; what they don't speak of may be used. */
  read(): void {
    [...this.#holding.keys()]
      .filter((service) => !this.#unreadable.has(service))
      .forEach((service) => this.#acceptListed(service));
  }

  /** Takes in an order and its state. */
  stored(stored: StoredRollout, storeVersion: number, now: number): void {
    const { order, state } = stored;
    this.#unreadable.delete(order.service);
    const known = this.#services.get(order.service)?.rollout;
    if (known?.order.toVersion !== order.toVersion && isOver(state)) {
      this.#storedOver(order, state === "rolled_back");
      return;
    }
    const rollout = this.#rolloutFor(order, {
      storeVersion,
      remainingMilliseconds: order.durationMilliseconds,
      wasRunning: state !== undefined,
      now,
    });
    rollout.stored(state, storeVersion);
    this.#settle(order.service, now);
  }

  /** An order can't be read; what was known of the service's versions stays. */
  unreadable(service: string): void {
    this.#unreadable.add(service);
  }

  /** An order was taken back. */
  withdrawn(service: string, now: number): void {
    this.#unreadable.delete(service);
    const rollout = this.#services.get(service)?.rollout;
    if (rollout === undefined || rollout.isOver) return;
    rollout.giveUp("withdrawn");
    this.#settle(service, now);
  }

  /** Takes in what another host tells; relays tell it of no host of their own. */
  heard(
    news: readonly RolloutNews[],
    options: { readonly life?: string; readonly now: number },
  ): void {
    const { life, now } = options;
    news.forEach((one) => {
      const { service } = one.order;
      if (this.#isPast(one)) return;
      this.#rolloutFor(one.order, {
        ...one,
        wasRunning: false,
        now,
      }).heard(one, life);
      this.#settle(service, now);
    });
  }

  /** Whether news is of an order that this host knows to be replaced or over. */
  #isPast({ order, storeVersion, phase }: RolloutNews): boolean {
    const known = this.#services.get(order.service);
    if (known === undefined) return false;
    const { rollout } = known;
    if (rollout?.order.toVersion === order.toVersion) return false;
    if (rollout !== undefined) return rollout.storeVersion >= storeVersion;
    if (storeVersion < known.storeVersion) return true;
    // Told once more, it would be told for ever.
    return (
      (phase === "rolled_back" && known.rolledBack === order.toVersion) ||
      (phase === "completed" &&
        known.accepted.size === 1 &&
        known.accepted.has(order.toVersion))
    );
  }

  /** What to tell the other hosts of this one. */
  news(now: number): readonly RolloutNews[] {
    const active = this.#active();
    active.forEach((rollout) => {
      rollout.look(now);
      this.#settle(rollout.order.service, now);
    });
    return active.map((rollout) =>
      rollout.news(now, this.#ownRunning(rollout)),
    );
  }

  /**
   * Looks whether versions are left by now: whether some still are to be, and
   * whether that has changed since it was last told.
   */
  leaving(now: number): { readonly goesOn: boolean; readonly isNews: boolean } {
    const promoting = this.#active().filter(
      ({ phase }) => phase === "promoting",
    );
    // Relays pass on at once what others tell.
    const moved = promoting
      .map((rollout) => [
        rollout.hasMoved(now, this.#ownRunning(rollout)),
        rollout.peersMoved,
      ])
      .join(",");
    const isNews = moved !== this.#toldMoved;
    this.#toldMoved = moved;
    return { goesOn: promoting.length > 0, isNews };
  }

  /** What a relay tells its hosts of the fleet. */
  word(now: number): readonly RolloutNews[] {
    return this.#active().map((rollout) => rollout.news(now, undefined));
  }

  /** Servers that a send of a request may go to. */
  choice(
    service: string,
    send: { readonly isFirst: boolean; readonly now: number },
  ): VersionChoice {
    const records = this.#parts.directory.of(service);
    const known = this.#services.get(service);
    if (known?.rollout === undefined || known.overSince !== undefined) {
      return {
        first: this.#metOf(service, { records, now: send.now }),
        otherwise: undefined,
      };
    }
    const { rollout } = known;
    const { first, otherwise } = rollout.arms(send);
    const recordsOf = (arm: VersionArm | undefined) =>
      arm && this.#recordsOf(rollout, arm, { records, now: send.now });
    return { first: recordsOf(first) ?? [], otherwise: recordsOf(otherwise) };
  }

  /** Notes a send; tells what to say of it where its version is judged. */
  sent(
    { entry }: ServerRecord,
    send: { readonly route: string; readonly sentAt: number },
  ): SentRequest | undefined {
    const rollout = this.#services.get(entry.service)?.rollout;
    const arm = rollout?.armOf(entry.version);
    if (rollout === undefined || arm === undefined) return undefined;
    this.#lines.sent(arm);
    return rollout.sent({ ...send, arm, server: entry.id });
  }

  /** Whether a server's requests should go to another version. */
  isLeft({ entry }: ServerRecord, now: number): boolean {
    const rollout = this.#services.get(entry.service)?.rollout;
    return (
      rollout?.phase === "promoting" &&
      rollout.armOf(entry.version) === "baseline" &&
      rollout.arms({ isFirst: false, now }).first === "target"
    );
  }

  /**
   * Whether a server counts for the capacity of its service: one of a version that
   * is still judged may be taken back.
   */
  counts({ entry }: ServerRecord): boolean {
    const known = this.#services.get(entry.service);
    return known === undefined || known.accepted.has(entry.version);
  }

  /** Whether a service's traffic is being moved. */
  isMoving(service: string): boolean {
    return this.#services.get(service)?.rollout?.isOver === false;
  }

  /** States that the holder of the duties is to store. */
  dueStates(now: number, peers: readonly string[]): readonly DueState[] {
    return [...this.#services.values()].flatMap(({ rollout }) => {
      if (rollout === undefined) return [];
      rollout.look(now);
      const state = rollout.dueState(this.#view(rollout, { now, peers }));
      this.#settle(rollout.order.service, now);
      const { order, storeVersion } = rollout;
      return state === undefined ? [] : [{ order, state, storeVersion }];
    });
  }

  #view(
    rollout: Rollout,
    { now, peers }: { readonly now: number; readonly peers: readonly string[] },
  ): RolloutView {
    const ready = this.#parts.directory
      .of(rollout.order.service)
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
      .everOf(rollout.order.service)
      .filter(({ entry }) => rollout.armOf(entry.version) === "baseline")
      .reduce((sum, record) => sum + record.ownRunning, 0);
  }

  #active(): readonly Rollout[] {
    return [...this.#services.values()]
      .map(({ rollout }) => rollout)
      .filter((rollout) => rollout !== undefined);
  }

  /** The roll-out of an order, begun where it is new; a version is tried once. */
  #rolloutFor(
    order: RolloutOrder,
    found: {
      readonly storeVersion: number;
      readonly remainingMilliseconds: number;
      readonly wasRunning: boolean;
      readonly baseline?: readonly string[];
      readonly now: number;
    },
  ): Rollout {
    const { service, toVersion } = order;
    const known = this.#services.get(service) ?? NO_VERSIONS;
    const former = known.rollout;
    if (former?.order.toVersion === toVersion) return former;
    if (former !== undefined) this.#replace(former, found.now);
    const { refused } = this.#services.get(service) ?? NO_VERSIONS;
    const baseline =
      found.baseline ?? this.#baselineOf(service, toVersion, refused);
    const place = this.#parts.place(`${service}/${toVersion}`);
    const rollout = new Rollout({
      order,
      baseline,
      storeVersion: found.storeVersion,
      remainingMilliseconds: found.remainingMilliseconds,
      terms: this.#parts.terms(),
      slack: this.#slackFor(order, { ...found, place }),
      phase: place.rank / Math.max(1, place.hosts),
      judge: this.#parts.judge(),
      now: found.now,
    });
    this.#set(service, {
      ...known,
      accepted: new Set(baseline),
      refused: new Set([...refused].filter((one) => one !== toVersion)),
      rollout,
      overSince: undefined,
    });
    if (known.rolledBack === toVersion) rollout.giveUp("rolled_back_before");
    this.#holding.delete(service);
    this.#lines.known(rollout, found.now);
    return rollout;
  }

  /** All versions that are listed, but for the target and those rolled back. */
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
    order: RolloutOrder,
    found: {
      readonly wasRunning: boolean;
      readonly remainingMilliseconds: number;
      readonly place: FleetPlace;
      readonly now: number;
    },
  ): number {
    const { durationMilliseconds } = order;
    const age = found.wasRunning
      ? durationMilliseconds
      : durationMilliseconds - found.remainingMilliseconds;
    const upFor = found.now - this.#startedAt;
    // A former life of this host may have spent it.
    if (upFor < age + ORDER_AGE_MILLISECONDS) return 0;
    return slackOf(this.#parts.terms(), found.place);
  }

  #replace(former: Rollout, now: number): void {
    if (former.isOver) return;
    former.giveUp("replaced");
    this.#settle(former.order.service, now);
  }

  /** Takes in that a roll-out is over, once. */
  #settle(service: string, now: number): void {
    const known = this.#services.get(service);
    const rollout = known?.rollout;
    if (known === undefined || rollout === undefined) return;
    if (rollout.phase === "promoting") this.#promotes(rollout, now);
    if (!rollout.isOver) return;
    this.#promoting.delete(service);
    if (known.overSince === undefined) {
      this.#end(service, { known, rollout, now });
    } else if (now - known.overSince > TOLD_MILLISECONDS) {
      this.#forget(service, known);
    }
  }

  #promotes(rollout: Rollout, now: number): void {
    const { service } = rollout.order;
    if (this.#promoting.has(service)) return;
    this.#promoting.add(service);
    this.#lines.promotes(rollout, now);
    this.#parts.onPromoting();
  }

  #end(
    service: string,
    over: {
      readonly known: ServiceVersions;
      readonly rollout: Rollout;
      readonly now: number;
    },
  ): void {
    const { known, rollout, now } = over;
    const { toVersion } = rollout.order;
    const isMoved = rollout.phase === "completed";
    const left = isMoved ? rollout.baseline : [toVersion];
    this.#set(service, {
      ...known,
      accepted: new Set(isMoved ? [toVersion] : rollout.baseline),
      refused: new Set([...known.refused, ...left]),
      rolledBack: isMoved ? undefined : toVersion,
      overSince: now,
    });
    this.#lines.over(rollout, now);
  }

  #forget(service: string, known: ServiceVersions): void {
    const { rolledBack } = known;
    this.#set(service, {
      ...known,
      // Servers of a version that was moved from have ended by now.
      refused: new Set(rolledBack === undefined ? [] : [rolledBack]),
      rollout: undefined,
      storeVersion: known.rollout?.storeVersion ?? known.storeVersion,
      overSince: undefined,
    });
  }

  /** A roll-out that was over before this host knew of it. */
  #storedOver({ service, toVersion }: RolloutOrder, back: boolean): void {
    const known = this.#services.get(service) ?? NO_VERSIONS;
    const others = this.#listedVersions(service).filter(
      (version) => version !== toVersion,
    );
    // A version that is there alone came to stay, whatever was said of it once.
    if (!back || others.length === 0) return;
    this.#holding.delete(service);
    this.#set(service, {
      ...known,
      accepted: new Set(others),
      refused: new Set([...known.refused, toVersion]),
      rolledBack: toVersion,
    });
  }

  #listedVersions(service: string): readonly string[] {
    const entries = this.#parts.directory.everOf(service);
    return [...new Set(entries.map(({ entry }) => entry.version))];
  }

  /** No order speaks of a service: all its versions are met. */
  #acceptListed(service: string): void {
    const known = this.#services.get(service) ?? NO_VERSIONS;
    const listed = this.#listedVersions(service).filter(
      (version) => !known.refused.has(version),
    );
    this.#holding.delete(service);
    this.#set(service, {
      ...known,
      accepted: new Set([...known.accepted, ...listed]),
    });
    this.#lines.met(service, listed);
  }

  /** Servers of versions that are met, where there are others. */
  #metOf(
    service: string,
    at: { readonly records: readonly ServerRecord[]; readonly now: number },
  ): readonly ServerRecord[] {
    const { records, now } = at;
    const known = this.#services.get(service);
    const heldSince = this.#holding.get(service);
    const isMixed = heldSince !== undefined || (known?.refused.size ?? 0) > 0;
    if (known === undefined || !isMixed) return records;
    const met = this.#isGuess(service)
      ? ofMostServers(records)
      : records.filter(({ entry }) => known.accepted.has(entry.version));
    const isLeft = met.some((record) => record.isReady);
    const waited = now - (heldSince ?? now);
    return isLeft || waited < HELD_BACK_MILLISECONDS
      ? met
      : records.filter(({ entry }) => !known.refused.has(entry.version));
  }

  /** Whether this host found several versions when it started, and no order yet. */
  #isGuess(service: string): boolean {
    const heldSince = this.#holding.get(service);
    const firstAt = this.#firstListedAt.get(service) ?? -Infinity;
    return (
      heldSince !== undefined && heldSince - firstAt < FIRST_LIST_MILLISECONDS
    );
  }

  #recordsOf(
    rollout: Rollout,
    arm: VersionArm,
    at: { readonly records: readonly ServerRecord[]; readonly now: number },
  ): readonly ServerRecord[] {
    const records = at.records.filter(
      ({ entry }) => rollout.armOf(entry.version) === arm,
    );
    return arm === "target" && rollout.phase === "canary"
      ? canaryOf(rollout, records, at.now)
      : records;
  }

  #set(service: string, versions: ServiceVersions): void {
    this.#services.set(service, versions);
  }
}

function isOver(state: StoredRolloutState | undefined): boolean {
  return state === "completed" || state === "rolled_back";
}
