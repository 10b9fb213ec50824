// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Which host gives the turns of a service's limited servers, and which hosts lend it
 * their slots. Each host tells in its news to whom it lends; it lends to one at a
 * time, and another one counts that only once the former can't any more. Pure.
 *
 * @module
 */
import { rendezvousOrder } from "rampswitch-utils";
import { goneAfterMilliseconds } from "../admission/peer_spending.ts";
import type { SlotOwners } from "./permit_ledger.ts";

/** How long things take by the pace of the news, in milliseconds. */
export interface LendingPace {
  /** Silence after which a host's word does not count any more. */
  readonly silence: number;
  /** Time between two messages of a host. */
  readonly interval: number;
}

/** To which host the slots of each service's servers are lent. */
export type LentTo = Readonly<Record<string, string>>;

/** A host's word on its slots. */
export interface LenderNews {
  readonly lentTo: LentTo;
  /** Whether the host is about to end. */
  readonly stopping: boolean;
}

/** The host that slots are lent to, and since when without a gap. */
interface Loan {
  readonly holder: string;
  readonly since: number;
}

type Loans = ReadonlyMap<string, Loan>;

interface Lender {
  readonly loans: Loans;
  readonly heardAt: number;
}

/** Time for a message on its way, in milliseconds, with some turns of a busy loop. */
const ON_THE_WAY_MILLISECONDS = 100;

/** Rounds without a look after which this process must have been paused. */
const PAUSE_PACES = 2.4;

/** The hosts that share the slots of limited servers. */
export class TurnLenders {
  readonly #self: string;
  readonly #others = new Map<string, Lender>();
  #own: Loans = new Map();
  #lookedAt = -Infinity;

  constructor(self: string) {
    this.#self = self;
  }

  /** To whom this host lends, to tell the others. */
  get lentTo(): LentTo {
    return Object.fromEntries(
      [...this.#own].map(([service, { holder }]) => [service, holder]),
    );
  }

  /**
   * Takes in, in each round of the news, which services have limited servers and
   * which hosts may give their turns. `now` is on a clock that tells of pauses.
   */
  look(
    seen: {
      readonly services: readonly string[];
      readonly holders: readonly string[];
    },
    now: number,
    pace: LendingPace,
  ): void {
    // After a pause the others may have lent to somebody else.
    const former: Loans = this.#isPaused(now, pace) ? new Map() : this.#own;
    this.#lookedAt = now;
    const lentTo = seen.services.flatMap((service) => {
      const [holder] = rendezvousOrder(service, seen.holders);
      return holder === undefined ? [] : [[service, holder] as const];
    });
    this.#own = goneOn(former, lentTo, now);
  }

  /** Takes in that a host is listed that has told nothing yet. */
  expected(host: string, now: number): void {
    if (this.#others.has(host)) return;
    this.#others.set(host, { loans: new Map(), heardAt: now });
  }

  /** Takes in a host's word; `at` is when it gave it. */
  heard(
    host: string,
    { lentTo, stopping }: LenderNews,
    { at, pace }: { readonly at: number; readonly pace: LendingPace },
  ): void {
    if (stopping) {
      this.#others.delete(host);
      return;
    }
    const before = this.#others.get(host);
    const isSilent =
      before === undefined || at - before.heardAt >= pace.silence;
    const former: Loans = isSilent ? new Map() : before.loans;
    this.#others.set(host, {
      loans: goneOn(former, Object.entries(lentTo), at),
      heardAt: at,
    });
  }

  /** The host that gives the turns of a service; `undefined` while none is known. */
  holder(service: string): string | undefined {
    return this.#own.get(service)?.holder;
  }

  /** Whose slots this host may use for a service whose turns it gives. */
  owners(service: string, now: number, pace: LendingPace): SlotOwners {
    this.#forgetGone(now, pace);
    const hosts = [this.#self, ...this.#others.keys()];
    const settled = now - settledAfter(pace);
    const isMine = (loan: Loan | undefined) =>
      loan?.holder === this.#self && loan.since <= settled;
    if (this.#isPaused(now, pace) || !isMine(this.#own.get(service))) {
      return { hosts, lenders: new Set() };
    }
    const lenders = [...this.#others]
      .filter(([, { heardAt }]) => now - heardAt < pace.silence)
      .filter(([, { loans }]) => isMine(loans.get(service)))
      .map(([name]) => name);
    return { hosts, lenders: new Set([this.#self, ...lenders]) };
  }

  #isPaused(now: number, { interval }: LendingPace): boolean {
    return now - this.#lookedAt > interval * PAUSE_PACES;
  }

  #forgetGone(now: number, { silence }: LendingPace): void {
    const others = [...this.#others];
    const heard = others.filter(([, { heardAt }]) => now - heardAt < silence);
    const gone = goneAfterMilliseconds(heard.length, others.length);
    others
      .filter(([, { heardAt }]) => now - heardAt >= gone)
      .forEach(([name]) => this.#others.delete(name));
  }
}

/** Loans as they are told now; those to the same host go on. */
function goneOn(
  former: Loans,
  lentTo: readonly (readonly [string, string])[],
  now: number,
): Loans {
  return new Map(
    lentTo.map(([service, holder]) => {
      const before = former.get(service);
      const since = before?.holder === holder ? before.since : now;
      return [service, { holder, since }];
    }),
  );
}

/**
 * Time after which what a host lends to this one is surely not used by another: the
 * former has heard of the change, or has not heard the host for too long.
 */
function settledAfter({ silence, interval }: LendingPace): number {
  return silence + interval + ON_THE_WAY_MILLISECONDS;
}
