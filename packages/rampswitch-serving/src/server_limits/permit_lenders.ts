// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Which host grants the permits of a service's limited servers (the holder), and
 * which hosts lend it their time slots. A host that lends its time slots leaves
 * their use to the holder. Each host reports in its gossip to which holder it
 * lends. It lends to one holder at a time, and a new holder uses a loan only once
 * the former one can no longer use it. Pure.
 *
 * @module
 */
import { rendezvousOrder } from "rampswitch-utils";
import { peerTimeoutMilliseconds } from "../admission/peer_consumption.ts";
import type { TimeSlotOwners } from "./permit_ledger.ts";

/** Intervals of the gossip, in milliseconds. */
export interface LendingIntervals {
  /** Silence after which a host's last update is no longer valid. */
  readonly silence: number;
  /** Time between two updates of a host. */
  readonly interval: number;
}

/** The holder that a host lends its time slots to, by service. */
export type HoldersByService = Readonly<Record<string, string>>;

/** What a host reports about its time slots. */
export interface LenderUpdate {
  readonly lentTo: HoldersByService;
  /** Whether the host is shutting down. */
  readonly stopping: boolean;
}

/** The holder that time slots are lent to, and since when without interruption. */
interface Loan {
  readonly holder: string;
  readonly since: number;
}

type Loans = ReadonlyMap<string, Loan>;

interface Lender {
  readonly loans: Loans;
  readonly receivedAt: number;
}

/**
 * Allowance for the delivery of a message, in milliseconds. It includes some
 * iterations of a busy event loop.
 */
const MESSAGE_DELAY_MILLISECONDS = 100;

/**
 * Gossip intervals without an update of the loans after which this process must
 * have been paused.
 */
const PAUSE_INTERVALS = 2.4;

/** Tracks the holders of services and the time slots that are lent to this host. */
export class PermitLenders {
  readonly #self: string;
  readonly #others = new Map<string, Lender>();
  #own: Loans = new Map();
  #loansUpdatedAt = -Infinity;

  constructor(self: string) {
    this.#self = self;
  }

  /** The holders that this host lends to, to report to the other hosts. */
  get lentTo(): HoldersByService {
    return Object.fromEntries(
      [...this.#own].map(([service, { holder }]) => [service, holder]),
    );
  }

  /**
   * Selects, in each gossip interval, the holder that this host lends to for each
   * service with limited servers. `now` is the time of a clock that detects pauses
   * of the process.
   */
  updateLoans(
    options: {
      readonly services: readonly string[];
      readonly holders: readonly string[];
    },
    now: number,
    intervals: LendingIntervals,
  ): void {
    // During a pause, the other hosts may have lent to another holder.
    const previous: Loans = this.#isPaused(now, intervals)
      ? new Map()
      : this.#own;
    this.#loansUpdatedAt = now;
    const lentTo = options.services.flatMap((service) => {
      const [holder] = rendezvousOrder(service, options.holders);
      return holder === undefined ? [] : [[service, holder] as const];
    });
    this.#own = continueLoans(previous, lentTo, now);
  }

  /** Adds a host that is listed and has not reported yet. */
  expectHost(host: string, now: number): void {
    if (this.#others.has(host)) return;
    this.#others.set(host, { loans: new Map(), receivedAt: now });
  }

  /** Receives the update of a host; `at` is the time when it was sent. */
  receive(
    host: string,
    { lentTo, stopping }: LenderUpdate,
    { at, pace }: { readonly at: number; readonly pace: LendingIntervals },
  ): void {
    if (stopping) {
      this.#others.delete(host);
      return;
    }
    const previous = this.#others.get(host);
    const isSilent =
      previous === undefined || at - previous.receivedAt >= pace.silence;
    const former: Loans = isSilent ? new Map() : previous.loans;
    this.#others.set(host, {
      loans: continueLoans(former, Object.entries(lentTo), at),
      receivedAt: at,
    });
  }

  /**
   * The host that grants the permits of a service; `undefined` while none is known.
   */
  holder(service: string): string | undefined {
    return this.#own.get(service)?.holder;
  }

  /**
   * The owners of time slots that this host may use for a service. There are no
   * lenders unless this host is the service's holder.
   */
  owners(
    service: string,
    now: number,
    intervals: LendingIntervals,
  ): TimeSlotOwners {
    this.#removeGone(now, intervals);
    const hosts = [this.#self, ...this.#others.keys()];
    const settledBefore = now - settlementMilliseconds(intervals);
    const isBorrowedHere = (loan: Loan | undefined) =>
      loan?.holder === this.#self && loan.since <= settledBefore;
    if (
      this.#isPaused(now, intervals) ||
      !isBorrowedHere(this.#own.get(service))
    ) {
      return { hosts, lenders: new Set() };
    }
    const lenders = [...this.#others]
      .filter(([, { receivedAt }]) => now - receivedAt < intervals.silence)
      .filter(([, { loans }]) => isBorrowedHere(loans.get(service)))
      .map(([name]) => name);
    return { hosts, lenders: new Set([this.#self, ...lenders]) };
  }

  #isPaused(now: number, { interval }: LendingIntervals): boolean {
    return now - this.#loansUpdatedAt > interval * PAUSE_INTERVALS;
  }

  #removeGone(now: number, { silence }: LendingIntervals): void {
    const others = [...this.#others];
    const recent = others.filter(
      ([, { receivedAt }]) => now - receivedAt < silence,
    );
    const goneAfter = peerTimeoutMilliseconds(recent.length, others.length);
    others
      .filter(([, { receivedAt }]) => now - receivedAt >= goneAfter)
      .forEach(([name]) => this.#others.delete(name));
  }
}

/** Returns the current loans. A loan to the same holder as before keeps its start. */
function continueLoans(
  previous: Loans,
  lentTo: readonly (readonly [string, string])[],
  now: number,
): Loans {
  return new Map(
    lentTo.map(([service, holder]) => {
      const loan = previous.get(service);
      const since = loan?.holder === holder ? loan.since : now;
      return [service, { holder, since }];
    }),
  );
}

/**
 * Time after which a former holder can no longer use a loan, in milliseconds. By
 * then it has received the change, or has not heard from the lender for too long.
 */
function settlementMilliseconds({
  silence,
  interval,
}: LendingIntervals): number {
  return silence + interval + MESSAGE_DELAY_MILLISECONDS;
}
