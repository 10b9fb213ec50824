// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Decides which requests are admitted when the capacity of a service is short. The room
 * of the service is divided among classes of requests, and the room of a class among
 * the hosts by their parts of its demand. Each host spends its part exactly, by one
 * token bucket for each class.
 *
 * Over all hosts and within one lag, at most the room is admitted, and beyond it: the
 * rise of the demand since it was measured, bounded to as much again as was measured;
 * one request for each class and host (requests may overdraw a bucket); and the growth
 * that follows from a wrong estimate of hold times.
 *
 * @module
 */
import { admittedShare, slotTotals } from "../choice/slot_admission.ts";
import { allocateRoom } from "./room_allocation.ts";
import { classKey, rankLabel, rankOf, type RoomClass } from "./room_class.ts";
import { type FleetDemand, RoomCounts } from "./room_counts.ts";
import {
  grownBy,
  hasUnusedSlots,
  INITIAL_GROWTH,
  roomOfServers,
  type ServerRoom,
  type ServiceRoom,
} from "./service_room.ts";

/** A request as admission sees it. */
export interface RoomRequest {
  readonly roomClass: RoomClass;
  /** Expected time for which it holds a slot, in milliseconds. */
  readonly work: number;
  /** Target time to the first part of the answer, in milliseconds. */
  readonly targetMilliseconds: number;
  /**
   * Whether a random share of the requests is admitted while the service has requests
   * of one class only; if not, all are.
   */
  readonly sharesAlone: boolean;
  /** Servers that accept requests like this one; called at most ten times a second. */
  servers(): readonly ServerRoom[];
}

/** Room of one class at this host, in slot milliseconds. */
export interface ClassRoom {
  /** Room that the class gets at this host, per millisecond. */
  readonly perMillisecond: number;
  /** Room that is available now; negative after an overdraft. */
  readonly available: number;
  /** Work of the request. */
  readonly work: number;
}

/** Decision on one request. */
export type RoomDecision =
  | { readonly kind: "admitted" }
  | {
      readonly kind: "short";
      readonly room: ClassRoom;
      /** Rank of the class, as `rankLabel` writes it. */
      readonly rank: string;
      /** Share of the class's demand that is admitted, 0 to 1. */
      readonly share: number;
    };

/** Room that was promised to refused callers. */
export interface RoomReservations {
  /**
   * Work of the reservations of a class that fall due until the given time at this
   * host, in slot milliseconds. It is deducted from what new requests get.
   */
  dueWork(roomClass: RoomClass, until: number): number;
}

/** What admission reads of its host. */
export interface RoomSource {
  /** Number of hosts that may be serving, with this one. */
  hosts(): number;
  /** Age of the information on other hosts, in milliseconds. */
  lagMilliseconds(): number;
  /** Mean time for which requests to a service hold a slot, in milliseconds. */
  meanHoldMilliseconds(service: string): number;
  /** Random number in [0, 1), for services with one class only. */
  draw(): number;
  /**
   * Records an arrival at a service; returns the rate at which requests arrive at all
   * hosts, in requests per millisecond. The share of services with one class follows
   * from it; without it, from the demand that was counted.
   */
  recordArrival?(service: string, now: number): number;
  /**
   * This host's part of the arrivals at a service, 0 to 1, while its peers report no
   * demand; without it, an even one.
   */
  ownPart?(service: string): number;
  /** Called for each request that is admitted while capacity is short. */
  admittedWhileShort?(rank: string): void;
  /** Called with the smallest share of the demand that the services have room for. */
  shareComputed?(share: number): void;
}

/** Time for which an allocation is used, in milliseconds; shorter than between updates. */
const ALLOCATION_LIFETIME_MILLISECONDS = 100;

/** Time after its last request for which the state of a service is kept. */
const SERVICE_LIFETIME_MILLISECONDS = 10_000;

/**
 * Maximum demand that counts of one peer, as a multiple of the slots: more than a burst
 * of five times the usual load offers.
 */
const MAXIMUM_PEER_DEMAND = 8;

/** Share of its demand from which on a class counts as met, despite rounding. */
const MET_SHARE = 0.999;

/** Maximum debt of a class to others, as a multiple of its bucket's capacity. */
const MAXIMUM_DEBT = 4;

/** Time for which the debt of a class without requests is kept, in milliseconds. */
const DEBT_LIFETIME_MILLISECONDS = 10_000;

const ADMITTED: RoomDecision = { kind: "admitted" };

/** Spends the room that a class has at this host. */
interface ClassBucket {
  perMillisecond: number;
  available: number;
  capacity: number;
  /** Rank of the class as one number; 0 is the most urgent. */
  rank: number;
  /** Whether the class is granted all its demand. */
  isMet: boolean;
  share: number;
  filledAt: number;
  /** When the class was last given room, in milliseconds. */
  grantedAt: number;
}

/** Room of one service and its buckets. */
interface ServiceState {
  computedAt: number;
  isShort: boolean;
  /** Whether slots are free as far as this host knows. */
  hasFreeSlots: boolean;
  classes: number;
  /** Share of the requests that is admitted while there is one class only. */
  randomShare: number;
  /** Share of the demand that the room suffices for, 0 to 1. */
  fittingShare: number;
  growth: number;
  /** Part of the admitted work that is this host's; `undefined` at first. */
  ownPart: number | undefined;
  /** Work that may be admitted until the room is computed again, if it is not short. */
  allowance: number;
  refusedSinceComputed: boolean;
  /** For how long requests were refused while slots were free, in milliseconds. */
  unusedMilliseconds: number;
  /** When most slots were last taken, in milliseconds. */
  nearlyFullAt: number;
  meanHold: number;
  buckets: Map<string, ClassBucket>;
}

/** Admits requests by class; one for each host. */
export class RoomAdmission {
  readonly counts: RoomCounts;
  readonly #source: RoomSource;
  readonly #services = new Map<string, ServiceState>();
  /** Rate of arrivals at all hosts by service, in requests per millisecond. */
  readonly #arrivals = new Map<string, number>();
  #reservations: RoomReservations | undefined;

  constructor(source: RoomSource, counts: RoomCounts = new RoomCounts()) {
    this.#source = source;
    this.counts = counts;
  }

  /** Sets the reservations that are deducted from the room of new requests. */
  setReservations(reservations: RoomReservations): void {
    this.#reservations = reservations;
  }

  /** Decides on a new request, and counts it as demand. */
  decide(request: RoomRequest, now: number): RoomDecision {
    const { roomClass, work } = request;
    const arrivals = this.#source.recordArrival?.(roomClass.service, now);
    if (arrivals !== undefined) this.#arrivals.set(roomClass.service, arrivals);
    this.counts.addOffered(roomClass, work, now);
    return this.decideWaiting(request, now);
  }

  /**
   * Decides on a request that waited at this host. It was counted as demand when it
   * was decided on first, and only takes from the room of its class.
   */
  decideWaiting(request: RoomRequest, now: number): RoomDecision {
    const state = this.#state(request, now);
    const { roomClass, work } = request;
    state.allowance -= work;
    // A burst may take all free slots before the room is computed again.
    if (state.allowance < 0) {
      state.isShort = true;
      state.hasFreeSlots = false;
    }
    if (state.classes < 2) {
      return this.#decideAlone(state, request, now);
    }
    const bucket = this.#bucket(state, request, now);
    if (state.isShort && bucket.available <= 0) {
      if (borrows(state, bucket, { work, now })) {
        return this.#admitted(state, request, now);
      }
      state.refusedSinceComputed = true;
      const { perMillisecond, available, share } = bucket;
      return {
        kind: "short",
        room: { perMillisecond, available, work },
        rank: rankLabel(roomClass),
        share,
      };
    }
    // While capacity is not short, no debt arises that would be paid off later.
    bucket.available = state.isShort
      ? bucket.available - work
      : Math.max(0, bucket.available - work);
    return this.#admitted(state, request, now);
  }

  #admitted(
    { isShort }: ServiceState,
    { roomClass, work }: RoomRequest,
    now: number,
  ): RoomDecision {
    this.counts.addAdmitted(roomClass, work, now);
    if (isShort) this.#source.admittedWhileShort?.(rankLabel(roomClass));
    return ADMITTED;
  }

  /**
   * Admits a request that returns at its assigned time. It takes from the room that
   * was reserved for it, and counts neither as demand nor against new requests.
   */
  admitReturned(request: RoomRequest, now: number): void {
    this.counts.addAdmitted(request.roomClass, request.work, now);
  }

  /** Room of a request's class at this host; infinite while capacity is not short. */
  roomOf(request: RoomRequest, now: number): ClassRoom {
    const { work } = request;
    const state = this.#state(request, now);
    if (!state.isShort || state.classes < 2) {
      return { perMillisecond: Infinity, available: Infinity, work };
    }
    const { perMillisecond, available } = this.#bucket(state, request, now);
    return { perMillisecond, available, work };
  }

  /** Share of the demand of a class that is admitted, 0 to 1, for metrics. */
  shareOf(roomClass: RoomClass): number {
    const state = this.#services.get(roomClass.service);
    if (state === undefined) return 1;
    if (state.classes < 2) return state.randomShare;
    return !state.isShort
      ? 1
      : (state.buckets.get(classKey(roomClass))?.share ?? 1);
  }

  /** Number of services, classes and peers that are stored. */
  get size(): number {
    return [...this.#services.values()].reduce(
      (sum, { buckets }) => sum + 1 + buckets.size,
      this.counts.size,
    );
  }

  #decideAlone(
    state: ServiceState,
    request: RoomRequest,
    now: number,
  ): RoomDecision {
    const { roomClass, work } = request;
    const share = request.sharesAlone ? state.randomShare : 1;
    if (share >= 1 || this.#source.draw() < share) {
      this.counts.addAdmitted(roomClass, work, now);
      return ADMITTED;
    }
    state.refusedSinceComputed = true;
    return {
      kind: "short",
      room: { perMillisecond: 0, available: 0, work },
      rank: rankLabel(roomClass),
      share,
    };
  }

  #state(request: RoomRequest, now: number): ServiceState {
    const { service } = request.roomClass;
    const known = this.#services.get(service);
    if (
      known !== undefined &&
      now - known.computedAt < ALLOCATION_LIFETIME_MILLISECONDS
    ) {
      return known;
    }
    if (known === undefined) this.#dropUnused(now);
    const state = known ?? newState();
    this.#services.set(service, state);
    this.#compute(state, request, now);
    return state;
  }

  #compute(state: ServiceState, request: RoomRequest, now: number): void {
    const { service } = request.roomClass;
    const source = this.#source;
    const meanHold = Math.max(1, source.meanHoldMilliseconds(service));
    const lag = Math.max(1, source.lagMilliseconds());
    const servers = request.servers();
    const room = roomOfServers(servers, {
      holdMilliseconds: meanHold,
      lagMilliseconds: lag,
      ownPart: state.ownPart ?? this.#arrivalPart(service),
      growth: state.growth,
    });
    // A refusal beside free slots may be due to reports from before the latest sends.
    const isUnused = state.refusedSinceComputed && hasUnusedSlots(room);
    const passed = Math.min(lag, now - state.computedAt);
    state.unusedMilliseconds = Math.min(
      2 * lag,
      Math.max(0, state.unusedMilliseconds + (isUnused ? passed : -passed)),
    );
    const grows = isUnused && state.unusedMilliseconds >= lag;
    state.growth = grownBy(state.growth, room, grows);
    state.refusedSinceComputed = false;
    state.computedAt = now;
    state.meanHold = meanHold;
    this.counts.dropExpired(now);
    const demand = this.counts.demand(service, {
      now,
      lagMilliseconds: lag,
      maximumOfPeer: MAXIMUM_PEER_DEMAND * room.slots,
      hosts: source.hosts(),
    });
    state.classes = demand.size;
    const known = this.#knownPart(service, now);
    const expected = this.#allocate(state, { demand, room, known, lag, now });
    state.randomShare = admittedShare(slotTotals(servers), {
      arrivalsPerMillisecond:
        this.#arrivals.get(service) ?? expected / meanHold,
      holdMilliseconds: meanHold,
      targetMilliseconds: request.targetMilliseconds,
      lagMilliseconds: lag,
    });
    state.fittingShare =
      state.classes < 2
        ? state.randomShare
        : Math.min(1, state.isShort ? room.perMillisecond / expected : 1);
    const shares = [...this.#services.values()].map((one) => one.fittingShare);
    this.#source.shareComputed?.(Math.min(...shares));
  }

  /** Part of the demand that is known: this host's alone, or some peers' as well. */
  #knownPart(service: string, now: number): number {
    const hosts = Math.max(1, this.#source.hosts());
    const known = this.counts.knownHosts(hosts, now);
    return known > 1 ? known / hosts : this.#arrivalPart(service);
  }

  #arrivalPart(service: string): number {
    return (
      this.#source.ownPart?.(service) ?? 1 / Math.max(1, this.#source.hosts())
    );
  }

  /** Divides the room among the classes; returns the demand over all hosts. */
  #allocate(
    state: ServiceState,
    inputs: {
      readonly demand: ReadonlyMap<string, FleetDemand>;
      readonly room: ServiceRoom;
      /** Part of the demand over all hosts that is known. */
      readonly known: number;
      readonly lag: number;
      readonly now: number;
    },
  ): number {
    const { demand, room, known, lag, now } = inputs;
    const hosts = Math.max(1, this.#source.hosts());
    const entries = [...demand];
    const total = entries.reduce((sum, [, { fleet }]) => sum + fleet, 0);
    // Hosts whose demand is not known are assumed to have as much as the others.
    const expected = total / known;
    // Without servers, all requests pass and the choice returns the precise reason.
    // A burst fills the slots at once, and so they become free at once: admission goes on
    // by class until slots are free for longer than that.
    if (room.isNearlyFull) state.nearlyFullAt = now;
    const wasNearlyFull = now - state.nearlyFullAt <= lag;
    state.isShort =
      room.slots > 0 &&
      (room.isFull || (expected > room.perMillisecond && wasNearlyFull));
    state.hasFreeSlots = !room.isFull;
    state.allowance =
      room.slots > 0
        ? Math.max(
            state.meanHold,
            room.ownAllowance(ALLOCATION_LIFETIME_MILLISECONDS),
          )
        : Infinity;
    if (state.isShort) this.counts.recordShort(now);
    const allocations = allocateRoom(
      entries.map(([, { roomClass, fleet }]) => ({
        rank: rankOf(roomClass),
        demand: fleet / known,
      })),
      room.perMillisecond,
    );
    let ownGranted = 0;
    let allGranted = 0;
    const buckets = new Map<string, ClassBucket>();
    entries.forEach(([key, demanded], index) => {
      const { roomClass, own, fleet } = demanded;
      const { granted = 0, ceiling = 0 } = allocations[index] ?? {};
      const part =
        demanded.part === undefined ? 1 / hosts : demanded.part * known;
      allGranted += granted;
      ownGranted += granted * part;
      if (part <= 0) return;
      const due = this.#reservations?.dueWork(roomClass, now + lag) ?? 0;
      const isMet = granted * known >= fleet * MET_SHARE;
      // Arrivals vary more at one host than over all, so a class whose demand is met
      // also gets room for what is above this host's earlier part while slots are free.
      // A class of which only returning requests came has no demand.
      const ownPart =
        isMet && !room.isFull && fleet > 0
          ? Math.max(part, (own / fleet) * known)
          : part;
      const perMillisecond = Math.max(0, ceiling * ownPart - due / lag);
      const capacity = Math.max(lag * perMillisecond, state.meanHold);
      const bucket =
        state.buckets.get(key) ?? newBucket(lag * perMillisecond, now);
      fill(bucket, now);
      buckets.set(key, bucket);
      Object.assign(bucket, {
        perMillisecond,
        capacity,
        grantedAt: now,
        rank: rankOf(roomClass),
        isMet,
        available: Math.min(bucket.available, capacity),
        share: fleet > 0 ? Math.min(1, (granted * known) / fleet) : 1,
      });
    });
    // A class that comes back within seconds still owes what it had overdrawn.
    state.buckets.forEach((bucket, key) => {
      if (buckets.has(key)) return;
      fill(bucket, now);
      if (bucket.available >= 0) return;
      if (now - bucket.grantedAt < DEBT_LIFETIME_MILLISECONDS) {
        buckets.set(key, bucket);
      }
    });
    state.buckets = buckets;
    state.ownPart = allGranted > 0 ? ownGranted / allGranted : undefined;
    return expected;
  }

  /** Returns the bucket of a class; a class is given one before it is first computed. */
  #bucket(
    state: ServiceState,
    { roomClass }: RoomRequest,
    now: number,
  ): ClassBucket {
    const key = classKey(roomClass);
    const known = state.buckets.get(key);
    if (known !== undefined) {
      fill(known, now);
      return known;
    }
    // It takes from other classes until it is given room of its own.
    const bucket = {
      ...newBucket(0, now),
      rank: rankOf(roomClass),
      isMet: true,
    };
    state.buckets.set(key, bucket);
    return bucket;
  }

  #dropUnused(now: number): void {
    this.#services.forEach(({ computedAt }, service) => {
      if (now - computedAt >= SERVICE_LIFETIME_MILLISECONDS) {
        this.#services.delete(service);
      }
    });
  }
}

function newState(): ServiceState {
  return {
    computedAt: -Infinity,
    isShort: false,
    hasFreeSlots: true,
    classes: 0,
    randomShare: 1,
    fittingShare: 1,
    growth: INITIAL_GROWTH,
    ownPart: undefined,
    allowance: Infinity,
    refusedSinceComputed: false,
    unusedMilliseconds: 0,
    nearlyFullAt: -Infinity,
    meanHold: 1,
    buckets: new Map(),
  };
}

function newBucket(available: number, now: number): ClassBucket {
  return {
    perMillisecond: 0,
    available,
    capacity: available,
    rank: Infinity,
    isMet: false,
    share: 1,
    filledAt: now,
    grantedAt: now,
  };
}

/**
 * Lets a class whose bucket is empty take the room of a request from a class whose
 * demand is not met: arrivals vary more at one host than over all. The lender is of a
 * less urgent rank, or of the same one if the demand of the borrower is met. It pays off
 * the debt, at most a few buckets, before it gets room again, so that no more is admitted
 * altogether.
 */
function borrows(
  { buckets, hasFreeSlots }: ServiceState,
  borrower: ClassBucket,
  { work, now }: { readonly work: number; readonly now: number },
): boolean {
  let lender: ClassBucket | undefined;
  buckets.forEach((bucket) => {
    const isLender =
      !bucket.isMet &&
      (bucket.rank > borrower.rank ||
        (borrower.isMet && bucket.rank === borrower.rank));
    if (!isLender) return;
    fill(bucket, now);
    if (bucket.available <= -MAXIMUM_DEBT * bucket.capacity) return;
    const isBetter =
      lender === undefined ||
      bucket.rank > lender.rank ||
      (bucket.rank === lender.rank && bucket.available > lender.available);
    if (isBetter) lender = bucket;
  });
  if (lender !== undefined) {
    lender.available -= work;
    return true;
  }
  return borrower.isMet && hasFreeSlots;
}

function fill(bucket: ClassBucket, now: number): void {
  const filled =
    bucket.available +
    bucket.perMillisecond * Math.max(0, now - bucket.filledAt);
  bucket.available = Math.min(bucket.capacity, filled);
  bucket.filledAt = now;
}
