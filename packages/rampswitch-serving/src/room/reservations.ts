// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Reservations of refused callers: who may return when. Hosts exchange them, so that
 * a caller is recognized at whichever host it returns. Pure.
 *
 * @module
 */
import {
  rankLabel,
  rankOf,
  type RoomClass,
  serviceClassKey,
} from "./room_class.ts";

/**
 * Time before the assigned one from which a caller is recognized, in milliseconds.
 * Hosts know the time to within the delay of a message.
 */
const EARLY_MILLISECONDS = 50;

/** Time after the assigned one until a reservation lapses, in milliseconds. */
export const LAPSE_MILLISECONDS = 1_000;

/**
 * Maximum time until a reservation falls due, in milliseconds. Callers wait a third
 * of the time they have left, and routes allow up to 15 s. Later ones of a peer are
 * ignored.
 */
export const MAXIMUM_DELAY_MILLISECONDS = 20_000;

/** Reservations in one update of a host, and in a digest. */
export const RESERVATIONS_PER_MESSAGE = { update: 32, digest: 128 };

/** Messages in which a reservation is sent, so that the loss of one is no loss. */
const REPETITIONS = 3;

/** Maximum number of reservations that a host keeps, of itself and of its peers. */
const MAXIMUM_RESERVATIONS = 4_096;

/** Time between two searches for lapsed reservations, in milliseconds. */
const LAPSE_CHECK_MILLISECONDS = 100;

/** Hexadecimal digits of the fingerprint's first part, which is cheap to compute. */
const HEAD_DIGITS = 8;

/** Hexadecimal digits of a fingerprint that identify a request: 64 bits. */
const KEY_DIGITS = 16;

/** Fingerprint of a request, as in the quarantine. */
export interface RequestFingerprint {
  readonly headHash: string;
  readonly text: string;
}

/** A reservation in messages between hosts. */
export interface ReservationUpdate {
  /** First 64 bits of the request's fingerprint, in hexadecimal. */
  readonly key: string;
  /** Tells reservations with the same fingerprint apart; 16 bits. */
  readonly id: number;
  /** Time until it falls due, in milliseconds; negative afterwards. */
  readonly dueIn: number;
  readonly rank: number;
  /** Whether the caller has returned. */
  readonly kept: boolean;
}

/** Room that a host has promised. */
export interface PromisedRoom {
  readonly roomClass: RoomClass;
  /** Work of the request, in slot milliseconds. */
  readonly work: number;
  /** Time in which room for it is set aside, little by little. */
  readonly setAside: { readonly from: number; readonly until: number };
}

interface Reservation {
  readonly key: string;
  readonly id: number;
  readonly due: number;
  readonly rank: number;
  /** What this host promised; `undefined` for a reservation of a peer. */
  readonly promise: PromisedRoom | undefined;
  kept: boolean;
  /** Messages to peers in which its present state was sent. */
  sent: number;
  /** Digests in which its present state was sent. */
  relayed: number;
}

/** Receives the ends of reservations that this host made or served. */
export interface ReservationListener {
  /** A caller returned as told and was admitted. */
  kept(rank: string): void;
  /** A caller returned as told and was refused, since room had shrunk. */
  refused(rank: string): void;
  /** A caller did not return as told. */
  lapsed(rank: string): void;
}

/** The reservations that a host knows. */
export class Reservations {
  /** By the 64 bits of the fingerprint. */
  readonly #byKey = new Map<string, Reservation[]>();
  /** Number of reservations by the first part of the fingerprint. */
  readonly #heads = new Map<string, number>();
  /** This host's own ones by class, in order of their times. */
  readonly #own = new Map<string, Reservation[]>();
  readonly #listener: ReservationListener;
  #size = 0;
  #checkedAt = -Infinity;

  constructor(listener: ReservationListener) {
    this.#listener = listener;
  }

  /** Number of reservations known. */
  get size(): number {
    return this.#size;
  }

  /** Number of own reservations that no message has told yet. */
  get untold(): number {
    let count = 0;
    for (const list of this.#own.values()) {
      for (const { sent, kept } of list) if (sent === 0 && !kept) count += 1;
    }
    return count;
  }

  /** Adds a reservation of this host; `false` if it keeps too many already. */
  add(
    fingerprint: RequestFingerprint,
    reservation: PromisedRoom & { readonly due: number; readonly id: number },
    now: number,
  ): boolean {
    this.#dropLapsed(now);
    if (this.#size >= MAXIMUM_RESERVATIONS) return false;
    const { roomClass, work, setAside, due, id } = reservation;
    const added: Reservation = {
      key: fingerprint.text.slice(0, KEY_DIGITS),
      id,
      due,
      rank: rankOf(roomClass),
      promise: { roomClass, work, setAside },
      kept: false,
      sent: 0,
      relayed: 0,
    };
    this.#insert(added);
    const key = serviceClassKey(roomClass);
    const own = this.#own.get(key);
    if (own === undefined) this.#own.set(key, [added]);
    else own.push(added);
    return true;
  }

  /**
   * Uses the reservation of a caller that returns now, if there is one: `admits`
   * tells whether there is room. The first part of the fingerprint usually decides;
   * the second reads the whole body.
   */
  claim(
    fingerprint: RequestFingerprint,
    now: number,
    returned: { readonly rank: string; admits(): boolean },
  ): boolean {
    if (this.#size === 0) return false;
    const found = this.#find(fingerprint, now);
    if (found === undefined) return false;
    found.kept = true;
    found.sent = 0;
    found.relayed = 0;
    const admitted = returned.admits();
    if (admitted) this.#listener.kept(returned.rank);
    else this.#listener.refused(returned.rank);
    return admitted;
  }

  /**
   * Room that is set aside from now until a time for this host's reservations of a
   * class, in slot milliseconds. It is set aside at whichever host a caller returns;
   * what is not yet set aside for one that has lapsed goes to new requests.
   */
  setAside(
    roomClass: RoomClass,
    { until, now }: { readonly until: number; readonly now: number },
  ): number {
    if (this.#own.size === 0) return 0;
    this.#dropLapsed(now);
    let sum = 0;
    for (const { due, kept, promise } of this.#own.get(
      serviceClassKey(roomClass),
    ) ?? []) {
      if (promise === undefined) continue;
      if (!kept && now >= due + LAPSE_MILLISECONDS) continue;
      const { from, until: end } = promise.setAside;
      if (from >= until) break;
      const part = Math.min(end, until) - Math.max(from, now);
      if (part > 0) sum += (promise.work * part) / (end - from);
    }
    return sum;
  }

  /**
   * Reservations for the next update to peers: this host's own ones and those whose
   * callers returned here, the earliest first.
   */
  updates(now: number): readonly ReservationUpdate[] {
    return this.#take(now, "sent", RESERVATIONS_PER_MESSAGE.update);
  }

  /** Reservations of the whole fleet for the next digests of a relay. */
  relayUpdates(now: number): readonly ReservationUpdate[] {
    return this.#take(now, "relayed", RESERVATIONS_PER_MESSAGE.digest);
  }

  /** Applies the reservations of a peer that were sent `age` milliseconds ago. */
  receive(
    updates: readonly ReservationUpdate[],
    { age, now }: { readonly age: number; readonly now: number },
  ): void {
    if (updates.length === 0) return;
    this.#dropLapsed(now);
    const bound = RESERVATIONS_PER_MESSAGE.digest;
    for (const update of updates.slice(0, bound)) {
      this.#receiveOne(update, now + update.dueIn - age, now);
    }
  }

  #receiveOne(update: ReservationUpdate, due: number, now: number): void {
    const { key, id, rank, kept } = update;
    const isOpen =
      due <= now + MAXIMUM_DELAY_MILLISECONDS && due + LAPSE_MILLISECONDS > now;
    if (!isOpen) return;
    const known = this.#byKey.get(key)?.find((other) => other.id === id);
    if (known !== undefined) {
      // Relays tell it on; others heard it from the same host.
      if (kept && !known.kept) known.relayed = 0;
      known.kept ||= kept;
      return;
    }
    if (this.#size >= MAXIMUM_RESERVATIONS) return;
    this.#insert({
      key,
      id,
      due,
      rank,
      promise: undefined,
      kept,
      // Only its own host repeats it to other hosts.
      sent: REPETITIONS,
      relayed: 0,
    });
  }

  #insert(reservation: Reservation): void {
    const { key } = reservation;
    const same = this.#byKey.get(key);
    if (same === undefined) this.#byKey.set(key, [reservation]);
    else same.push(reservation);
    this.#count(key, 1);
  }

  #count(key: string, change: number): void {
    const head = key.slice(0, HEAD_DIGITS);
    const count = (this.#heads.get(head) ?? 0) + change;
    if (count > 0) this.#heads.set(head, count);
    else this.#heads.delete(head);
    this.#size += change;
  }

  #find(fingerprint: RequestFingerprint, now: number): Reservation | undefined {
    if (!this.#heads.has(fingerprint.headHash)) return undefined;
    const key = fingerprint.text.slice(0, KEY_DIGITS);
    let found: Reservation | undefined;
    for (const other of this.#byKey.get(key) ?? []) {
      const { due, kept } = other;
      if (kept || now < due - EARLY_MILLISECONDS) continue;
      if (now >= due + LAPSE_MILLISECONDS) continue;
      if (found === undefined || due < found.due) found = other;
    }
    return found;
  }

  #take(
    now: number,
    counter: "sent" | "relayed",
    limit: number,
  ): readonly ReservationUpdate[] {
    if (this.#size === 0) return [];
    this.#dropLapsed(now);
    const open: Reservation[] = [];
    for (const list of this.#byKey.values()) {
      for (const other of list)
        if (other[counter] < REPETITIONS) open.push(other);
    }
    open.sort(
      (left, right) => left[counter] - right[counter] || left.due - right.due,
    );
    return open.slice(0, limit).map((other) => {
      other[counter] += 1;
      const { key, id, due, rank, kept } = other;
      return { key, id, dueIn: due - now, rank, kept };
    });
  }

  #dropLapsed(now: number): void {
    if (this.#size === 0) return;
    if (now - this.#checkedAt < LAPSE_CHECK_MILLISECONDS) return;
    this.#checkedAt = now;
    const isOpen = ({ due }: Reservation) => now < due + LAPSE_MILLISECONDS;
    for (const [key, list] of this.#byKey) {
      if (list.every(isOpen)) continue;
      const open = list.filter(isOpen);
      this.#count(key, open.length - list.length);
      if (open.length === 0) this.#byKey.delete(key);
      else this.#byKey.set(key, open);
    }
    for (const [key, list] of this.#own) {
      if (list.every(isOpen)) continue;
      list.forEach((other) => {
        if (isOpen(other) || other.kept || other.promise === undefined) return;
        this.#listener.lapsed(rankLabel(other.promise.roomClass));
      });
      const open = list.filter(isOpen);
      if (open.length === 0) this.#own.delete(key);
      else this.#own.set(key, open);
    }
  }
}
