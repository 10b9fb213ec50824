// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Decides which requests are admitted when the capacity of a service is short.
 *
 * @module
 */
import type { RoomClass } from "./room_class.ts";

/** One server that accepts requests. */
export interface ServerRoom {
  readonly slots: number;
  /** Requests that run and wait there, from all hosts; each counts once. */
  readonly load: number;
  /** Factor by which work takes longer than usual; 1 if unknown. */
  readonly slowdown: number;
}

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

/** Room that was promised to refused callers; part F implements it. */
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
}

/** Admits requests by class; one for each host. */
export class RoomAdmission {
  readonly #source: RoomSource;
  #reservations: RoomReservations | undefined;

  constructor(source: RoomSource) {
    this.#source = source;
  }

  /** Sets the reservations that are deducted from the room of new requests. */
  setReservations(reservations: RoomReservations): void {
    this.#reservations = reservations;
  }

  /** Decides on a new request, and counts it as demand. */
  decide(request: RoomRequest, now: number): RoomDecision {
    void [this.#source, this.#reservations, request, now];
    return { kind: "admitted" };
  }

  /**
   * Decides on a request that waited at this host. It was counted as demand when it
   * was decided on first, and only takes from the room of its class.
   */
  decideWaiting(request: RoomRequest, now: number): RoomDecision {
    return this.decide(request, now);
  }

  /**
   * Admits a request that returns at its assigned time. It takes from the room that
   * was reserved for it, and counts neither as demand nor against new requests.
   */
  admitReturned(request: RoomRequest, now: number): void {
    void [request, now];
  }

  /** Room of a request's class at this host; infinite while capacity is not short. */
  roomOf(request: RoomRequest, now: number): ClassRoom {
    void now;
    return {
      perMillisecond: Infinity,
      available: Infinity,
      work: request.work,
    };
  }
}
