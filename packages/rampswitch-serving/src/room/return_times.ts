// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Assigns times at which refused callers may return, one by one at the rate at which
 * room of their class comes free, and admits those who return as told. Pure.
 *
 * @module
 */
import {
  MAXIMUM_RETRY_DELAY_MILLISECONDS,
  nextSpacedTime,
} from "../server_limits/spaced_times.ts";
import {
  MAXIMUM_DELAY_MILLISECONDS,
  type RequestFingerprint,
  RESERVATIONS_PER_MESSAGE,
  type ReservationListener,
  Reservations,
} from "./reservations.ts";
import type { ClassRoom } from "./room_admission.ts";
import { rankLabel, type RoomClass, serviceClassKey } from "./room_class.ts";

/** Share of a class's room that is promised, so that new requests get the other half. */
const PROMISED_SHARE = 0.5;

/**
 * Share of a request's room that has come free when its caller may return. The rest
 * comes free afterwards, so that hosts with little room each can promise some.
 */
const SUPPLIED_SHARE = 0.5;

/**
 * Share of the time they have left for which callers wait before they return, as the
 * platform states.
 */
const WAIT_SHARE = 1 / 3;

/**
 * Time by which a caller's wait is shorter than its share of the time left, in
 * milliseconds: the caller counts from when the refusal arrives.
 */
const TRANSMISSION_MILLISECONDS = 10;

/** Minimum delay of a returning caller, in milliseconds. */
const MINIMUM_DELAY_MILLISECONDS = 50;

/**
 * Time beside the age of updates until all hosts know a reservation, in milliseconds:
 * a caller who returns as told must not overtake the message about it.
 */
const TELLING_MARGIN_MILLISECONDS = 100;

/**
 * Time by whose room of their class returning callers may exceed its rate, in
 * milliseconds, beside a few requests. Returns come at half of the class's rate and
 * at random hosts; only if room shrank after the promises do they exceed this.
 */
const OVERDRAFT_MILLISECONDS = 500;

/** Requests by which returning callers may exceed the rate of a small class. */
const OVERDRAFT_REQUESTS = 4;

/**
 * Time in which the highest rate of a class decays, in milliseconds. The rate of one
 * host varies with the reports of the others and is zero for moments; with the present
 * rate alone, up to 2 of 450 callers who returned as told were refused.
 */
const PEAK_LIFETIME_MILLISECONDS = 1_000;

/** Share of the promises that is assumed to fit while new requests get no room. */
const SHARE_OF_PROMISES_WITHOUT_ROOM = 0.5;

/** Time after which the schedule of a class without refusals is dropped, in ms. */
const SCHEDULE_LIFETIME_MILLISECONDS = MAXIMUM_RETRY_DELAY_MILLISECONDS;

/** Number of classes above which old schedules are searched for. */
const SCHEDULES_BEFORE_SEARCH = 256;

/** Number of values of a reservation's id: 16 bits. */
const ID_VALUES = 0x1_00_00;

/** A refused caller. */
export interface RefusedCaller {
  readonly roomClass: RoomClass;
  readonly fingerprint: RequestFingerprint;
  /** Time that the caller has left, in milliseconds. */
  readonly leftMilliseconds: number;
  /**
   * Rate of the service's slots at this host, in slot milliseconds per millisecond.
   * It counts until the rate of the class is known.
   */
  readonly serviceRate: number;
}

/** What the caller is told. */
export interface ReturnTime {
  readonly delayMilliseconds: number;
  /** Whether room is reserved; if not, the caller can't be served in time. */
  readonly reserved: boolean;
}

/** What the assignment of times reads of its host. */
export interface ReturnSource {
  /** Number of hosts that may be serving, with this one. */
  hosts(): number;
  /** Time until all hosts have received an update, in milliseconds. */
  lagMilliseconds(): number;
  /** Random number in [0, 1), so that the ids of two hosts differ. */
  draw(): number;
}

/** What a host promised to a class and what its returned callers used. */
interface Schedule {
  /** Time that was assigned last. */
  assignedUntil: number;
  /** Time until which room is set aside for the promises so far. */
  setAsideUntil: number;
  /** Work of returned callers beyond the rate of the class, in slot milliseconds. */
  excess: number;
  excessAt: number;
  /** Highest rate of the class lately, in slot milliseconds per millisecond. */
  peakRate: number;
  peakAt: number;
}

/** Return times of refused callers; one for each host. */
export class ReturnTimes {
  readonly reservations: Reservations;
  readonly #source: ReturnSource;
  readonly #schedules = new Map<string, Schedule>();
  #nextId: number;

  constructor(source: ReturnSource, listener: ReservationListener) {
    this.#source = source;
    this.#nextId = Math.floor(source.draw() * ID_VALUES);
    this.reservations = new Reservations(listener);
  }

  /**
   * Assigns the time at which room for a refused caller is expected. A caller that
   * can't wait that long is told the time as it is, and no room is reserved for it.
   */
  assign(caller: RefusedCaller, room: ClassRoom, now: number): ReturnTime {
    const { roomClass, fingerprint } = caller;
    const schedule = this.#scheduleOf(roomClass, now);
    const known = Number.isFinite(room.perMillisecond)
      ? this.#rateOf(roomClass, room, now)
      : 0;
    const peak = peakRate(schedule, known, now);
    const rate = (known || peak / 2 || caller.serviceRate) * PROMISED_SHARE;
    if (rate <= 0) {
      return {
        delayMilliseconds: MAXIMUM_RETRY_DELAY_MILLISECONDS,
        reserved: false,
      };
    }
    const spacing = room.work / rate;
    const from = Math.max(now, schedule.setAsideUntil);
    const earliest = Math.max(
      now + this.#earliestDelay(room),
      from + spacing * SUPPLIED_SHARE,
    );
    const previous = schedule.assignedUntil;
    const due = nextSpacedTime({ earliest, previous, spacing }, now);
    const delayMilliseconds = Math.ceil(due - now);
    const longest = Math.min(
      caller.leftMilliseconds * WAIT_SHARE - TRANSMISSION_MILLISECONDS,
      MAXIMUM_DELAY_MILLISECONDS,
    );
    if (delayMilliseconds > longest) {
      return { delayMilliseconds, reserved: false };
    }
    this.#nextId = (this.#nextId + 1) % ID_VALUES;
    const until = from + spacing;
    const reservation = {
      roomClass,
      work: room.work,
      setAside: { from, until },
      due,
      id: this.#nextId,
    };
    const reserved = this.reservations.add(fingerprint, reservation, now);
    if (reserved) {
      schedule.assignedUntil = due;
      schedule.setAsideUntil = until;
    }
    return { delayMilliseconds, reserved };
  }

  /**
   * Whether a request is that of a caller who returns as told and is admitted. If
   * room shrank after the promises, the excess is refused once more.
   */
  claim(
    {
      fingerprint,
      roomClass,
    }: Pick<RefusedCaller, "fingerprint" | "roomClass">,
    room: () => ClassRoom,
    now: number,
  ): boolean {
    if (this.reservations.size === 0) return false;
    return this.reservations.claim(fingerprint, now, {
      rank: rankLabel(roomClass),
      admits: () => this.#hasRoom(roomClass, room(), now),
    });
  }

  /**
   * Room that is set aside for this host's reservations from now until a time, in
   * slot milliseconds.
   */
  dueWork(roomClass: RoomClass, until: number, now: number): number {
    return this.reservations.setAside(roomClass, { until, now });
  }

  /** Takes the room of a returned caller, unless those before used up too much. */
  #hasRoom(roomClass: RoomClass, room: ClassRoom, now: number): boolean {
    if (!Number.isFinite(room.perMillisecond)) return true;
    const schedule = this.#scheduleOf(roomClass, now);
    const rate = peakRate(schedule, this.#rateOf(roomClass, room, now), now);
    const passed = Math.max(0, now - schedule.excessAt);
    const excess = Math.max(0, schedule.excess - passed * rate) + room.work;
    const bound =
      OVERDRAFT_MILLISECONDS * rate + OVERDRAFT_REQUESTS * room.work;
    if (excess > bound) return false;
    schedule.excess = excess;
    schedule.excessAt = now;
    return true;
  }

  /**
   * Rate of all room of a class, in slot milliseconds per millisecond: that of new
   * requests, from which admission deducts what is promised, and the promised one. If
   * new requests get nothing, the promises exceed the room by an unknown part; half
   * of them are assumed to fit.
   */
  #rateOf(roomClass: RoomClass, room: ClassRoom, now: number): number {
    const lag = Math.max(1, this.#source.lagMilliseconds());
    const promised = this.dueWork(roomClass, now + lag, now) / lag;
    return room.perMillisecond > 0
      ? room.perMillisecond + promised
      : promised * SHARE_OF_PROMISES_WITHOUT_ROOM;
  }

  #scheduleOf(roomClass: RoomClass, now: number): Schedule {
    const key = serviceClassKey(roomClass);
    const known = this.#schedules.get(key);
    if (known !== undefined) return known;
    this.#dropOldSchedules(now);
    const schedule = {
      assignedUntil: -Infinity,
      setAsideUntil: -Infinity,
      excess: 0,
      excessAt: now,
      peakRate: 0,
      peakAt: now,
    };
    this.#schedules.set(key, schedule);
    return schedule;
  }

  /** Time before which no caller may return, in milliseconds from now. */
  #earliestDelay({ available, perMillisecond }: ClassRoom): number {
    const overdrawn =
      available < 0 && perMillisecond > 0 ? -available / perMillisecond : 0;
    return Math.max(overdrawn, MINIMUM_DELAY_MILLISECONDS, this.#tellingTime());
  }

  /** Time until the other hosts know a reservation that is made now. */
  #tellingTime(): number {
    if (this.#source.hosts() <= 1) return 0;
    const messages =
      1 +
      Math.floor(this.reservations.untold / RESERVATIONS_PER_MESSAGE.update);
    return (
      messages * this.#source.lagMilliseconds() + TELLING_MARGIN_MILLISECONDS
    );
  }

  #dropOldSchedules(now: number): void {
    if (this.#schedules.size < SCHEDULES_BEFORE_SEARCH) return;
    for (const [key, { setAsideUntil, excessAt }] of this.#schedules) {
      const usedAt = Math.max(setAsideUntil, excessAt);
      if (usedAt + SCHEDULE_LIFETIME_MILLISECONDS < now) {
        this.#schedules.delete(key);
      }
    }
  }
}

/** Updates the highest rate of a class lately, which decays to the present one. */
function peakRate(schedule: Schedule, rate: number, now: number): number {
  const decay = Math.max(0, now - schedule.peakAt) / PEAK_LIFETIME_MILLISECONDS;
  schedule.peakRate = Math.max(rate, schedule.peakRate * (1 - decay));
  schedule.peakAt = now;
  return schedule.peakRate;
}
