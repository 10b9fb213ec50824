// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Counts of offered and admitted work by class, of this host and of its peers. Hosts
 * exchange rates, so that a lost or duplicated message changes nothing.
 *
 * @module
 */
import { classKey, type RoomClass, serviceClassKey } from "./room_class.ts";

/** Rates of one class, in slots: slot milliseconds a millisecond. */
export interface ClassRates {
  readonly roomClass: RoomClass;
  /** Work that was requested, without requests that return at their assigned time. */
  readonly offered: number;
  readonly admitted: number;
}

/** Rates of one host, or of all hosts but one in a digest, as sent to a peer. */
export interface RoomReport {
  /** Whether the sender finds capacity short, so that its peers report their rates. */
  readonly isShort: boolean;
  readonly rates: readonly ClassRates[];
}

/** Demand of one class at this host and over all known hosts, in slots. */
export interface FleetDemand {
  readonly roomClass: RoomClass;
  readonly own: number;
  readonly fleet: number;
  /**
   * Part of the fleet's demand that is this host's, 0 to 1. It is computed from this
   * host's demand one lag ago: its newest demand beside the older one of its peers
   * would seem too large at all hosts in a burst. `undefined` for a new class.
   */
  readonly part: number | undefined;
}

/** Time constant of the rates, in milliseconds: a burst rises within a second. */
const RATE_MILLISECONDS = 500;

/** Time after its last request for which a class is reported, in milliseconds. */
const CLASS_LIFETIME_MILLISECONDS = 2_000;

/** Time for which the rates of a peer count, in milliseconds. */
const PEER_LIFETIME_MILLISECONDS = 3_000;

/** Maximum number of classes in one message; the rest are merged by rank. */
export const MAXIMUM_CLASSES = 64;

/** Maximum number of classes of one message that are read: those, and merged ones. */
const MAXIMUM_RECEIVED_CLASSES = 2 * MAXIMUM_CLASSES;

/** Workspace name of a class into which the classes beyond the maximum are merged. */
export const MERGED_WORKSPACE = "*";

/** Sender's name of the rates of all other hosts in a relay's digest. */
const FLEET_SENDER = "(fleet)";

/** Work of one class at this host. */
interface OwnCount {
  readonly roomClass: RoomClass;
  offered: number;
  admitted: number;
  /** When the two rates were brought up to date, in milliseconds. */
  at: number;
  /** When the latest request came, in milliseconds. */
  requestedAt: number;
  /** Offered rates of the last lag and one before it, oldest first. */
  history: readonly RateSample[];
}

interface RateSample {
  readonly at: number;
  readonly offered: number;
}

interface ReceivedReport extends RoomReport {
  readonly receivedAt: number;
}

/** Counts by class. */
export class RoomCounts {
  readonly #own = new Map<string, Map<string, OwnCount>>();
  readonly #peers = new Map<string, ReceivedReport>();
  #cachedTotal:
    { readonly at: number; readonly rates: readonly ClassRates[] } | undefined;
  #shortUntil = -Infinity;

  /** Adds the work of a request that was offered to this host. */
  addOffered(roomClass: RoomClass, work: number, now: number): void {
    const count = this.#count(roomClass, now);
    count.requestedAt = now;
    count.offered += work / RATE_MILLISECONDS;
  }

  /** Adds the work of a request that this host admitted. */
  addAdmitted(roomClass: RoomClass, work: number, now: number): void {
    this.#count(roomClass, now).admitted += work / RATE_MILLISECONDS;
  }

  /** Records that this host finds capacity short. */
  recordShort(now: number): void {
    this.#shortUntil = now + PEER_LIFETIME_MILLISECONDS;
  }

  /** Applies the report of a peer; `undefined` if it sends none. */
  receive(peer: string, report: RoomReport | undefined, now: number): void {
    if (report === undefined) this.#peers.delete(peer);
    else {
      const rates = report.rates.slice(0, MAXIMUM_RECEIVED_CLASSES);
      this.#peers.set(peer, { ...report, rates, receivedAt: now });
    }
  }

  /**
   * Applies the report of the fleet from a relay's digest. `own` is this host's own
   * report if the digest includes it.
   */
  receiveFleet(
    report: RoomReport | undefined,
    {
      own,
      now,
    }: { readonly own: RoomReport | undefined; readonly now: number },
  ): void {
    const others =
      report === undefined || own === undefined
        ? report
        : { ...report, rates: subtracted(report.rates, own.rates) };
    this.receive(FLEET_SENDER, others, now);
  }

  /** Report of this host for its peers; `undefined` while capacity is not short. */
  ownReport(now: number): RoomReport | undefined {
    this.dropExpired(now);
    const isShort = now < this.#shortUntil;
    const anyShort =
      isShort || this.#freshPeers(now).some(([, report]) => report.isShort);
    return anyShort
      ? { isShort, rates: largestRates(this.#allOwn(now)) }
      : undefined;
  }

  /**
   * Report of all hosts but one, for a relay's digest to that one; `undefined`: of all
   * hosts.
   */
  reportExcept(host: string | undefined, now: number): RoomReport | undefined {
    const peers = this.#freshPeers(now).filter(
      ([peer]) => peer !== FLEET_SENDER,
    );
    const others = peers.filter(([peer]) => peer !== host);
    const isShort =
      now < this.#shortUntil || others.some(([, report]) => report.isShort);
    if (!isShort && !peers.some(([, report]) => report.isShort)) {
      return undefined;
    }
    const own = peers.find(([peer]) => peer === host)?.[1].rates ?? [];
    return { isShort, rates: largestRates(subtracted(this.#total(now), own)) };
  }

  /** Rates of all hosts; a relay needs them for each of its members. */
  #total(now: number): readonly ClassRates[] {
    if (this.#cachedTotal?.at === now) return this.#cachedTotal.rates;
    const peers = this.#freshPeers(now)
      .filter(([peer]) => peer !== FLEET_SENDER)
      .flatMap(([, { rates }]) => rates);
    const rates = summedRates([...this.#allOwn(now), ...peers]);
    this.#cachedTotal = { at: now, rates };
    return rates;
  }

  /**
   * Demand for a service by class. The rates of each peer are bounded to a maximum, so
   * that a false report is limited in its effect. A digest adds up all other hosts, and
   * may have that many times the maximum: with the bound of one peer, each member would
   * take its part of a large demand for larger than it is.
   */
  demand(
    service: string,
    options: {
      readonly now: number;
      readonly lagMilliseconds: number;
      readonly maximumOfPeer: number;
      /** Number of hosts that may be serving, with this one. */
      readonly hosts: number;
    },
  ): ReadonlyMap<string, FleetDemand> {
    const { now, lagMilliseconds, maximumOfPeer, hosts } = options;
    const maximumOfDigest = maximumOfPeer * Math.max(1, hosts - 1);
    const sums = new Map<string, DemandSum>();
    this.#ownCountsOf(service, now).forEach((count) => {
      const { roomClass, offered } = count;
      sample(count, now, lagMilliseconds);
      const [oldest] = count.history;
      const isNew =
        oldest === undefined || now - oldest.at < lagMilliseconds / 2;
      const earlier = isNew ? undefined : oldest.offered;
      const key = classKey(roomClass);
      sums.set(key, { roomClass, own: offered, earlier, peers: 0 });
    });
    this.#freshPeers(now).forEach(([peer, { rates }]) => {
      const maximum = peer === FLEET_SENDER ? maximumOfDigest : maximumOfPeer;
      const ofService = rates.filter(
        ({ roomClass }) => roomClass.service === service,
      );
      const total = ofService.reduce((sum, rate) => sum + rate.offered, 0);
      const scale = total > maximum ? maximum / total : 1;
      ofService.forEach(({ roomClass, offered }) => {
        const key = classKey(roomClass);
        const known = sums.get(key);
        const sum = known ?? { roomClass, own: 0, earlier: 0, peers: 0 };
        sums.set(key, { ...sum, peers: sum.peers + scale * offered });
      });
    });
    return new Map(
      [...sums].map(([key, { roomClass, own, earlier, peers }]) => {
        const all = (earlier ?? 0) + peers;
        const part =
          earlier === undefined || all <= 0 ? undefined : earlier / all;
        return [key, { roomClass, own, fleet: own + peers, part }];
      }),
    );
  }

  /** Number of hosts whose demand is known, this one included. */
  knownHosts(hosts: number, now: number): number {
    const fresh = this.#freshPeers(now);
    const hasFleet = fresh.some(([peer]) => peer === FLEET_SENDER);
    return hasFleet ? hosts : Math.min(hosts, fresh.length + 1);
  }

  /** Drops classes and peers that ended. */
  dropExpired(now: number): void {
    this.#own.forEach((counts, service) => {
      counts.forEach((count, key) => {
        if (now - count.requestedAt >= CLASS_LIFETIME_MILLISECONDS) {
          counts.delete(key);
        }
      });
      if (counts.size === 0) this.#own.delete(service);
    });
    this.#peers.forEach(({ receivedAt }, peer) => {
      if (now - receivedAt >= PEER_LIFETIME_MILLISECONDS) {
        this.#peers.delete(peer);
      }
    });
  }

  /** Number of classes and peers that are stored. */
  get size(): number {
    return (
      [...this.#own.values()].reduce((sum, { size }) => sum + size, 0) +
      this.#peers.size
    );
  }

  #count(roomClass: RoomClass, now: number): OwnCount {
    const { service } = roomClass;
    const counts = this.#own.get(service) ?? new Map<string, OwnCount>();
    this.#own.set(service, counts);
    const key = classKey(roomClass);
    const known = counts.get(key);
    if (known !== undefined) {
      decay(known, now);
      return known;
    }
    const count = {
      roomClass,
      offered: 0,
      admitted: 0,
      at: now,
      requestedAt: now,
      history: [],
    };
    counts.set(key, count);
    return count;
  }

  #ownCountsOf(service: string, now: number): readonly OwnCount[] {
    const counts = [...(this.#own.get(service)?.values() ?? [])];
    counts.forEach((count) => decay(count, now));
    return counts;
  }

  #allOwn(now: number): readonly ClassRates[] {
    return [...this.#own.keys()].flatMap((service) =>
      this.#ownCountsOf(service, now).map(
        ({ roomClass, offered, admitted }) => ({
          roomClass,
          offered,
          admitted,
        }),
      ),
    );
  }

  #freshPeers(now: number): readonly (readonly [string, ReceivedReport])[] {
    return [...this.#peers].filter(
      ([, { receivedAt }]) => now - receivedAt < PEER_LIFETIME_MILLISECONDS,
    );
  }
}

interface DemandSum {
  readonly roomClass: RoomClass;
  readonly own: number;
  /** Own demand one lag ago; `undefined` for a new class. */
  readonly earlier: number | undefined;
  readonly peers: number;
}

/** Adds the present rate to the history, which begins one lag ago. */
function sample(count: OwnCount, now: number, lagMilliseconds: number): void {
  const samples = [...count.history, { at: now, offered: count.offered }];
  const inLag = samples.findIndex(({ at }) => now - at < lagMilliseconds);
  count.history = samples.slice(Math.max(0, inLag - 1));
}

function decay(count: OwnCount, now: number): void {
  if (now <= count.at) return;
  const factor = Math.exp((count.at - now) / RATE_MILLISECONDS);
  count.offered *= factor;
  count.admitted *= factor;
  count.at = now;
}

/** The classes with the largest demand; those beyond the maximum are merged by rank. */
function largestRates(rates: readonly ClassRates[]): readonly ClassRates[] {
  if (rates.length <= MAXIMUM_CLASSES) return rates;
  const sorted = rates.toSorted((left, right) => right.offered - left.offered);
  const merged = sorted
    .slice(MAXIMUM_CLASSES)
    .map(({ roomClass, ...values }) => ({
      ...values,
      roomClass: { ...roomClass, workspace: MERGED_WORKSPACE },
    }));
  return summedRates([...sorted.slice(0, MAXIMUM_CLASSES), ...merged]);
}

function subtracted(
  rates: readonly ClassRates[],
  others: readonly ClassRates[],
): readonly ClassRates[] {
  const removed = new Map(
    others.map((rate) => [serviceClassKey(rate.roomClass), rate]),
  );
  return rates.map((rate) => {
    const other = removed.get(serviceClassKey(rate.roomClass));
    return other === undefined
      ? rate
      : {
          roomClass: rate.roomClass,
          offered: Math.max(0, rate.offered - other.offered),
          admitted: Math.max(0, rate.admitted - other.admitted),
        };
  });
}

function summedRates(rates: readonly ClassRates[]): readonly ClassRates[] {
  const sums = new Map<string, ClassRates>();
  rates.forEach((rate) => {
    const { roomClass, offered, admitted } = rate;
    const key = serviceClassKey(roomClass);
    const known = sums.get(key);
    sums.set(key, {
      roomClass,
      offered: (known?.offered ?? 0) + offered,
      admitted: (known?.admitted ?? 0) + admitted,
    });
  });
  return [...sums.values()];
}
