// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Permits to send requests to backend servers that advertise a limit. Time is
 * divided into time slots, one for each request that a server takes, and each time
 * slot is used at most once. Pure.
 *
 * Each time slot is owned by one host, chosen by a hash that all hosts compute
 * alike. A host that grants permits uses only time slots that their owners lend to
 * it. Two hosts that both act as the holder of a service therefore use different
 * time slots.
 *
 * @module
 */
import { hash32 } from "rampswitch-utils";

/** How urgently a request has to be sent. */
export type PermitUrgency =
  /** Needs two free permits, so that one is left for a more urgent request. */
  | "ordinary"
  /** May take the last permit. */
  | "urgent"
  /**
   * Continues a stream that no other server can continue; may use time slots that
   * have not begun.
   */
  | "continuation";

/** The server that a permit is requested for, and the time slots that may be used. */
export interface PermitTerms {
  /** Name of the server's incarnation, unique among all servers. */
  readonly incarnationName: string;
  /** Requests per second that the server takes. */
  readonly perSecond: number;
  /** Fleet time, in milliseconds. */
  readonly time: number;
  /** Owners of the time slots that may be used. */
  readonly owners: TimeSlotOwners;
}

/** The hosts that own time slots, and those of them that lend theirs. */
export interface TimeSlotOwners {
  readonly hosts: readonly string[];
  readonly lenders: ReadonlySet<string>;
}

/** A permit, or the time after which to query again, in milliseconds. */
export type PermitOutcome =
  | { readonly kind: "given" }
  | { readonly kind: "wait"; readonly milliseconds: number };

/**
 * Minimum rate of permits, in requests per second. A server whose limit is zero
 * still gets requests at this rate, because the end of its limit is advertised in
 * answers only.
 */
export const MINIMUM_PERMITS_PER_SECOND = 0.25;

/**
 * Time slots up to the current one that may still be used; older ones expire
 * unused.
 */
const RETAINED_TIME_SLOTS = 2;

/** Time slots that a continuation may use before they begin. */
const ADVANCE_TIME_SLOTS = 2;

/** Number of free time slots that a permit requires. */
const REQUIRED_TIME_SLOTS: Readonly<Record<PermitUrgency, number>> = {
  ordinary: 2,
  urgent: 1,
  continuation: 1,
};

/** Maximum number of future time slots that are searched for one of a lender. */
const MAXIMUM_TIME_SLOTS_AHEAD = 8;

/** Records which time slots are used, by incarnation of a server. */
export class PermitLedger {
  /** End of the last time slot that was used, in fleet time and milliseconds. */
  readonly #usedUntil = new Map<string, number>();

  /** Grants a permit, or returns the time after which to query again. */
  grant(terms: PermitTerms, urgency: PermitUrgency): PermitOutcome {
    const slot = timeSlotMilliseconds(terms);
    const usable = this.#usableTimeSlots(terms, urgency);
    const [first] = usable;
    const needed = REQUIRED_TIME_SLOTS[urgency];
    if (first !== undefined && usable.length >= needed) {
      this.#usedUntil.set(terms.incarnationName, (first + 1) * slot);
      return { kind: "given" };
    }
    const missing = needed - usable.length;
    return {
      kind: "wait",
      milliseconds: millisecondsUntilTimeSlots(terms, missing),
    };
  }

  /** Number of permits that are free now. */
  freePermits(terms: PermitTerms): number {
    return this.#usableTimeSlots(terms, "urgent").length;
  }

  /** Removes the record of an incarnation that has ended. */
  forget(incarnationName: string): void {
    this.#usedUntil.delete(incarnationName);
  }

  /** Time slots that may be used now, the oldest first. */
  #usableTimeSlots(
    terms: PermitTerms,
    urgency: PermitUrgency,
  ): readonly number[] {
    const slot = timeSlotMilliseconds(terms);
    const current = Math.floor(terms.time / slot);
    const ahead = urgency === "continuation" ? ADVANCE_TIME_SLOTS : 0;
    const count = RETAINED_TIME_SLOTS + ahead;
    const usedUntil = this.#usedUntilOf(terms);
    return Array.from(
      { length: count },
      (_, index) => current - RETAINED_TIME_SLOTS + 1 + index,
    ).filter((at) => at * slot >= usedUntil && isUsable(at, terms));
  }

  /**
   * Fleet time up to which time slots are used. A new server starts without
   * retained ones.
   */
  #usedUntilOf(terms: PermitTerms): number {
    const slot = timeSlotMilliseconds(terms);
    const maximumLead = (ADVANCE_TIME_SLOTS + 1) * slot;
    const recorded = this.#usedUntil.get(terms.incarnationName);
    // After the fleet time was set back, the recorded end can lie far in the
    // future. It is reset, or the server would get no permits until that time.
    const from =
      recorded === undefined || recorded > terms.time + maximumLead
        ? terms.time
        : recorded;
    this.#usedUntil.set(terms.incarnationName, from);
    return from;
  }
}

/** Time until the given number of further time slots may be used, in milliseconds. */
function millisecondsUntilTimeSlots(terms: PermitTerms, count: number): number {
  const slot = timeSlotMilliseconds(terms);
  const next = Math.floor(terms.time / slot) + 1;
  const found = { count: 0 };
  const offset = Array.from({ length: MAXIMUM_TIME_SLOTS_AHEAD }).findIndex(
    (_, index) => {
      if (isUsable(next + index, terms)) found.count += 1;
      return found.count >= count;
    },
  );
  const at = next + (offset < 0 ? MAXIMUM_TIME_SLOTS_AHEAD : offset);
  return Math.max(0, at * slot - terms.time);
}

function timeSlotMilliseconds({ perSecond }: PermitTerms): number {
  return 1_000 / Math.max(perSecond, MINIMUM_PERMITS_PER_SECOND);
}

function isUsable(
  slot: number,
  { incarnationName: serverName, owners }: PermitTerms,
): boolean {
  const { hosts, lenders } = owners;
  if (lenders.size >= hosts.length) return true;
  if (lenders.size === 0) return false;
  const owner = ownerOf(`${serverName}|${slot}`, hosts);
  return owner !== undefined && lenders.has(owner);
}

/** Returns the host with the highest hash, which is the same one on all hosts. */
function ownerOf(key: string, hosts: readonly string[]): string | undefined {
  return hosts
    .map((name) => ({ name, score: hash32(`${key}|${name}`) }))
    .reduce<{ name: string; score: number } | undefined>(
      (best, next) =>
        best === undefined || next.score > best.score ? next : best,
      undefined,
    )?.name;
}
