// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Requests that wait at the host for room of their class. A request waits only if
 * the rate of its class supplies its room in time, and ends exactly once: sent,
 * refused, or abandoned by its caller.
 *
 * @module
 */
import type { Clock } from "rampswitch-utils";
import type { ClassRoom, RoomRequest } from "./room_admission.ts";
import { classKey, rankLabel, rankOf } from "./room_class.ts";

/**
 * Share of the route's target for which a request may wait. A longer wait would
 * cost its caller the chance to return in time.
 */
const WAIT_SHARE = 1 / 8;

/** Maximum number of requests that wait at a host. */
export const MAXIMUM_WAITING = 64;

/** Maximum size of their bodies together, in bytes. */
export const MAXIMUM_WAITING_BYTES = 1024 * 1024;

/**
 * Share of a class's rate that a turn is foreseen by, since the rate changes several
 * times a second. With the whole rate, 5% of the requests that waited in a burst were
 * refused at the end of their wait; with this share, at most 1.3%.
 */
const RELIABLE_RATE_SHARE = 0.65;

/** Minimum time between two examinations by the timer, in milliseconds. */
const MINIMUM_TIMER_MILLISECONDS = 1;

/** A request that may wait. */
export interface WaitingRequest {
  readonly arrivedAt: number;
  /** When its time limit ends. */
  readonly endsAt: number;
  /** Size of its body, in bytes. */
  readonly bytes: number;
  /** The request as admission sees it now; read again when ranks change. */
  room(): RoomRequest;
  /** Sends it; room was taken for it. */
  send(): void;
  /** Refuses it, since it would not get its turn in time. */
  refuse(): void;
}

/** The room that requests wait for. */
export interface WaitingRoom {
  roomOf(request: RoomRequest, now: number): ClassRoom;
  /** Takes room for a request; `false` if there is none now. */
  take(request: RoomRequest, now: number): boolean;
  /** Counts a request that waits. */
  waited(rank: string): void;
}

/** The place of a waiting request. */
export interface WaitingPlace {
  /** Frees the place; the request is neither sent nor refused afterwards. */
  leave(): void;
}

interface Entry extends WaitingPlace {
  readonly request: WaitingRequest;
  room: RoomRequest;
  key: string;
  rank: number;
  /** Time until which it must get its turn. */
  readonly latestAt: number;
  /** Whether it was sent, was refused, or has left. */
  ended: boolean;
}

/** The requests that wait at a host, by service. */
export class WaitingRequests {
  readonly #clock: Clock;
  readonly #rooms: WaitingRoom;
  /** Entries of each service, by rank and then by time left. */
  readonly #queues = new Map<string, Entry[]>();
  #size = 0;
  #bytes = 0;
  #stopped = false;
  #cancelTimer: (() => void) | undefined;

  constructor(clock: Clock, rooms: WaitingRoom) {
    this.#clock = clock;
    this.#rooms = rooms;
  }

  /** Number of requests that wait. */
  get size(): number {
    return this.#size;
  }

  /** Size of the bodies of the requests that wait, in bytes. */
  get bytes(): number {
    return this.#bytes;
  }

  /**
   * Has a request wait; `undefined` if it would not get its turn in time, or if
   * another one that waits no longer would.
   */
  add(request: WaitingRequest): WaitingPlace | undefined {
    if (this.#stopped || this.#size >= MAXIMUM_WAITING) return undefined;
    if (this.#bytes + request.bytes > MAXIMUM_WAITING_BYTES) return undefined;
    const room = request.room();
    const entry: Entry = {
      request,
      room,
      key: classKey(room.roomClass),
      rank: rankOf(room.roomClass),
      latestAt: Math.min(
        request.arrivedAt + room.targetMilliseconds * WAIT_SHARE,
        request.endsAt,
      ),
      ended: false,
      leave: () => this.#leave(entry),
    };
    const { service } = room.roomClass;
    const queue = this.#queues.get(service) ?? [];
    const place = queue.findIndex((other) => isBefore(entry, other));
    const changed = queue.toSpliced(
      place === -1 ? queue.length : place,
      0,
      entry,
    );
    const now = this.#clock.now();
    const mates = changed.filter(({ key }) => key === entry.key);
    const classRoom = this.#rooms.roomOf(room, now);
    // A service with one class has no rate by which a turn could be foreseen.
    if (!Number.isFinite(classRoom.perMillisecond)) return undefined;
    if (!allInTime(mates, classRoom, now)) return undefined;
    this.#queues.set(service, changed);
    this.#size += 1;
    this.#bytes += request.bytes;
    this.#rooms.waited(rankLabel(room.roomClass));
    this.#schedule();
    return entry;
  }

  /** Sends the requests that have room now, and refuses those that are too late. */
  examine(): void {
    if (this.#size === 0) return;
    const now = this.#clock.now();
    const sent: Entry[] = [];
    const refused: Entry[] = [];
    for (const queue of [...this.#queues.values()]) {
      const blocked = new Set<string>();
      for (const entry of queue) {
        // The event loop may run this before the late timer of the time limit.
        if (now >= entry.request.endsAt) {
          refused.push(entry);
          continue;
        }
        if (!blocked.has(entry.key) && this.#rooms.take(entry.room, now)) {
          sent.push(entry);
          continue;
        }
        blocked.add(entry.key);
        if (now >= entry.latestAt) refused.push(entry);
      }
    }
    this.#remove([...sent, ...refused]);
    // The callbacks come last, since they may add requests or have others leave.
    this.#end(sent, ({ request }) => request.send());
    this.#end(refused, ({ request }) => request.refuse());
    this.#schedule();
  }

  /** Orders the requests by their present ranks, after the configuration changed. */
  rankAgain(): void {
    if (this.#size === 0) return;
    const entries = [...this.#queues.values()].flat();
    this.#queues.clear();
    for (const entry of entries) {
      const room = entry.request.room();
      entry.room = room;
      entry.key = classKey(room.roomClass);
      entry.rank = rankOf(room.roomClass);
      const { service } = room.roomClass;
      const queue = this.#queues.get(service);
      if (queue === undefined) this.#queues.set(service, [entry]);
      else queue.push(entry);
    }
    this.#queues.forEach((queue) =>
      queue.sort((left, right) => compared(left, right)),
    );
    this.examine();
  }

  /** Refuses all requests that wait; later ones don't wait. */
  stop(): void {
    this.#stopped = true;
    const entries = [...this.#queues.values()].flat();
    this.#remove(entries);
    this.#schedule();
    this.#end(entries, ({ request }) => request.refuse());
  }

  #leave(entry: Entry): void {
    if (entry.ended) return;
    entry.ended = true;
    const queue = this.#queues.get(entry.room.roomClass.service);
    // It may have been chosen already, before its callback was called.
    if (queue?.includes(entry) !== true) return;
    this.#remove([entry]);
    this.#schedule();
  }

  #remove(entries: readonly Entry[]): void {
    if (entries.length === 0) return;
    const gone = new Set(entries);
    for (const [service, queue] of this.#queues) {
      const remaining = queue.filter((entry) => !gone.has(entry));
      if (remaining.length === 0) this.#queues.delete(service);
      else if (remaining.length < queue.length)
        this.#queues.set(service, remaining);
    }
    for (const { request } of entries) {
      this.#size -= 1;
      this.#bytes -= request.bytes;
    }
  }

  #end(entries: readonly Entry[], end: (entry: Entry) => void): void {
    for (const entry of entries) {
      if (entry.ended) continue;
      entry.ended = true;
      end(entry);
    }
  }

  /** Sets the one timer to when the next request has room or is too late. */
  #schedule(): void {
    this.#cancelTimer?.();
    this.#cancelTimer = undefined;
    if (this.#size === 0) return;
    const now = this.#clock.now();
    let next = Infinity;
    for (const queue of this.#queues.values()) {
      const seen = new Set<string>();
      for (const entry of queue) {
        next = Math.min(next, entry.latestAt - now);
        if (seen.has(entry.key)) continue;
        seen.add(entry.key);
        const room = this.#rooms.roomOf(entry.room, now);
        next = Math.min(next, roomIn(room, 0));
      }
    }
    this.#cancelTimer = this.#clock.after(
      Math.max(MINIMUM_TIMER_MILLISECONDS, Math.ceil(next)),
      () => this.examine(),
    );
  }
}

/** Time until there is room after the work ahead is sent, in milliseconds. */
function roomIn(
  { available, perMillisecond }: ClassRoom,
  workAhead: number,
): number {
  if (available > workAhead) return 0;
  return perMillisecond > 0
    ? (workAhead - available) / perMillisecond
    : Infinity;
}

function allInTime(
  mates: readonly Entry[],
  room: ClassRoom,
  now: number,
): boolean {
  let ahead = 0;
  return mates.every(({ latestAt, room: { work } }) => {
    const inTime = now + roomIn(room, ahead) / RELIABLE_RATE_SHARE < latestAt;
    ahead += work;
    return inTime;
  });
}

function compared(left: Entry, right: Entry): number {
  return left.rank - right.rank || left.request.endsAt - right.request.endsAt;
}

function isBefore(entry: Entry, other: Entry): boolean {
  return compared(entry, other) < 0;
}
