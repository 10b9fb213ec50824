// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * The turns of backend servers that name limits: time is cut into slots, one for
 * each request that a server takes, and each slot is used once at most. Pure.
 *
 * Each slot belongs to one host, drawn by a hash that all hosts draw alike. A host
 * that gives turns uses the slots of those alone that lend theirs to it, so that two
 * that both take themselves for the one that gives turns use different slots.
 *
 * @module
 */
import { hash32 } from "rampswitch-utils";

/** How pressing a send is. */
export type TurnUrgency =
  /** Takes a turn where another one is left for what is more urgent. */
  | "ordinary"
  /** Takes the last turn. */
  | "urgent"
  /** A stream that survives only there: takes the next turn before its time. */
  | "continuation";

/** A server's turns as asked for. */
export interface TurnTerms {
  /** Names the life of the server. */
  readonly life: string;
  /** Requests a second that it takes. */
  readonly perSecond: number;
  /** Time on which all hosts agree, in milliseconds. */
  readonly time: number;
  /** Whose slots may be used. */
  readonly owners: SlotOwners;
}

/** The hosts that share the slots, and those that lend theirs. */
export interface SlotOwners {
  readonly hosts: readonly string[];
  readonly lenders: ReadonlySet<string>;
}

/** Whether a turn was given. */
export type TurnOutcome =
  | { readonly kind: "given" }
  | { readonly kind: "wait"; readonly milliseconds: number };

/**
 * Least rate of turns, in requests a second. A server that takes nothing is tried
 * so often, or the end of its limit would never be known.
 */
export const LEAST_PER_SECOND = 0.25;

/** Slots that may be used after their time; what is above is lost. */
const KEPT_SLOTS = 2;

/** Slots that may be used before their time by what goes before all else. */
const BORROWED_SLOTS = 2;

/** Free slots that a send needs to see. */
const NEEDED_SLOTS: Readonly<Record<TurnUrgency, number>> = {
  ordinary: 2,
  urgent: 1,
  continuation: 1,
};

/** Slots that are looked at for a next one of a lender. */
const MOST_SLOTS_AHEAD = 8;

/** Uses of slots by the life of a server. */
export class TurnLedger {
  /** End of the last slot that was used, in agreed time. */
  readonly #usedUntil = new Map<string, number>();

  /** Gives a turn, or tells when to ask again. */
  give(terms: TurnTerms, urgency: TurnUrgency): TurnOutcome {
    const slot = slotMilliseconds(terms);
    const usable = this.#usable(terms, urgency);
    const [first] = usable;
    const needed = NEEDED_SLOTS[urgency];
    if (first !== undefined && usable.length >= needed) {
      this.#usedUntil.set(terms.life, (first + 1) * slot);
      return { kind: "given" };
    }
    const missing = needed - usable.length;
    return { kind: "wait", milliseconds: untilSlots(terms, missing) };
  }

  /** Turns that are free now. */
  free(terms: TurnTerms): number {
    return this.#usable(terms, "urgent").length;
  }

  /** A server that is gone needs no turns. */
  forget(life: string): void {
    this.#usedUntil.delete(life);
  }

  /** Slots that may be used now, the oldest first. */
  #usable(terms: TurnTerms, urgency: TurnUrgency): readonly number[] {
    const slot = slotMilliseconds(terms);
    const current = Math.floor(terms.time / slot);
    const borrowed = urgency === "continuation" ? BORROWED_SLOTS : 0;
    const count = KEPT_SLOTS + borrowed;
    const usedUntil = this.#from(terms);
    return Array.from(
      { length: count },
      (_, index) => current - KEPT_SLOTS + 1 + index,
    ).filter((at) => at * slot >= usedUntil && isUsable(at, terms));
  }

  /** When slots were last used; a server that is new begins without any. */
  #from(terms: TurnTerms): number {
    const slot = slotMilliseconds(terms);
    const furthest = (BORROWED_SLOTS + 1) * slot;
    const known = this.#usedUntil.get(terms.life);
    // A time that went back must not leave a server without turns.
    const from =
      known === undefined || known > terms.time + furthest ? terms.time : known;
    this.#usedUntil.set(terms.life, from);
    return from;
  }
}

/** Time until some more slots may be used, in milliseconds. */
function untilSlots(terms: TurnTerms, count: number): number {
  const slot = slotMilliseconds(terms);
  const next = Math.floor(terms.time / slot) + 1;
  const found = { count: 0 };
  const offset = Array.from({ length: MOST_SLOTS_AHEAD }).findIndex(
    (_, index) => {
      if (isUsable(next + index, terms)) found.count += 1;
      return found.count >= count;
    },
  );
  const at = next + (offset < 0 ? MOST_SLOTS_AHEAD : offset);
  return Math.max(0, at * slot - terms.time);
}

function slotMilliseconds({ perSecond }: TurnTerms): number {
  return 1_000 / Math.max(perSecond, LEAST_PER_SECOND);
}

function isUsable(slot: number, { life, owners }: TurnTerms): boolean {
  const { hosts, lenders } = owners;
  if (lenders.size >= hosts.length) return true;
  if (lenders.size === 0) return false;
  const owner = ownerOf(`${life}|${slot}`, hosts);
  return owner !== undefined && lenders.has(owner);
}

/** The host with the highest hash; all hosts draw the same one. */
function ownerOf(key: string, hosts: readonly string[]): string | undefined {
  return hosts
    .map((name) => ({ name, score: hash32(`${key}|${name}`) }))
    .reduce<{ name: string; score: number } | undefined>(
      (best, next) =>
        best === undefined || next.score > best.score ? next : best,
      undefined,
    )?.name;
}
