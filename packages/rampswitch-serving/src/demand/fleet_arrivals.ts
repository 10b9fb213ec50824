// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * The rate at which requests arrive at all hosts, and this host's part of it. Callers'
 * connections are not spread evenly, so each host reports its own rates. A peer that
 * reports none counts as the mean of those that do.
 *
 * @module
 */
import { ArrivalRates } from "./arrival_rates.ts";

/** Requests per second by service. */
export type ArrivalReport = Readonly<Record<string, number>>;

/** Time for which the rates of a peer count, in milliseconds. */
const REPORT_LIFETIME_MILLISECONDS = 3_000;

/** Maximum number of services in one report. */
const MAXIMUM_REPORTED_SERVICES = 64;

/** Sender's name of the rates of all hosts in a relay's digest. */
const FLEET_SENDER = "(fleet)";

const MILLISECONDS_PER_SECOND = 1_000;

interface ReceivedReport {
  readonly report: ArrivalReport;
  readonly receivedAt: number;
}

/** Arrivals at all hosts. */
export class FleetArrivals {
  readonly #own: ArrivalRates;
  readonly #hosts: () => number;
  readonly #peers = new Map<string, ReceivedReport>();

  /** `hosts` is the number of hosts that may be serving, with this one. */
  constructor(now: number, hosts: () => number) {
    this.#own = new ArrivalRates(now);
    this.#hosts = hosts;
  }

  /** Adds a request; returns the rate of all hosts, in requests per millisecond. */
  addArrival(service: string, now: number): number {
    this.#own.addArrival(service, now);
    return this.#fleetRate(service, now);
  }

  /** This host's part of the arrivals, 0 to 1; an even one while there are none. */
  ownPart(service: string, now: number): number {
    const fleet = this.#fleetRate(service, now);
    return fleet > 0
      ? this.#own.rate(service, now) / fleet
      : 1 / Math.max(1, this.#hosts());
  }

  /**
   * Requests per second by peer, as far as they are known one by one; a digest adds
   * them up.
   */
  peerRates(service: string, now: number): ReadonlyMap<string, number> {
    return new Map(
      [...this.#fresh(now)]
        .filter(([peer]) => peer !== FLEET_SENDER)
        .map(([peer, report]) => [peer, report[service] ?? 0]),
    );
  }

  /** Rates of this host for its peers. */
  ownReport(now: number): ArrivalReport {
    return Object.fromEntries(
      this.#own.services
        .slice(0, MAXIMUM_REPORTED_SERVICES)
        .map((service) => [service, this.#own.rate(service, now)] as const)
        .filter(([, rate]) => rate > 0)
        .map(([service, rate]) => [service, perSecond(rate)]),
    );
  }

  /** Rates of all hosts, for a relay's digest. */
  fleetReport(now: number): ArrivalReport {
    const reports = [...this.#fresh(now).values()];
    const services = new Set([
      ...this.#own.services,
      ...reports.flatMap((report) => Object.keys(report)),
    ]);
    return Object.fromEntries(
      [...services]
        .slice(0, MAXIMUM_REPORTED_SERVICES)
        .map((service) => [service, perSecond(this.#fleetRate(service, now))]),
    );
  }

  /** Applies the report of a peer; hosts of an earlier version send none. */
  receive(peer: string, report: ArrivalReport | undefined, now: number): void {
    this.#dropExpired(now);
    if (report === undefined) this.#peers.delete(peer);
    else this.#peers.set(peer, { report, receivedAt: now });
  }

  /** Applies the report of all hosts in a relay's digest. */
  receiveFleet(report: ArrivalReport | undefined, now: number): void {
    this.receive(FLEET_SENDER, report, now);
  }

  #fleetRate(service: string, now: number): number {
    const own = this.#own.rate(service, now);
    const fleet = this.#fresh(now).get(FLEET_SENDER)?.[service];
    if (fleet !== undefined) {
      return Math.max(own, fleet / MILLISECONDS_PER_SECOND);
    }
    const rates = [...this.peerRates(service, now).values()].map(
      (rate) => rate / MILLISECONDS_PER_SECOND,
    );
    const known = rates.reduce((sum, rate) => sum + rate, 0);
    const mean = rates.length > 0 ? known / rates.length : own;
    const unknown = Math.max(0, this.#hosts() - 1 - rates.length);
    return own + known + unknown * mean;
  }

  #fresh(now: number): ReadonlyMap<string, ArrivalReport> {
    return new Map(
      [...this.#peers]
        .filter(
          ([, { receivedAt }]) =>
            now - receivedAt < REPORT_LIFETIME_MILLISECONDS,
        )
        .map(([peer, { report }]) => [peer, report]),
    );
  }

  #dropExpired(now: number): void {
    this.#peers.forEach(({ receivedAt }, peer) => {
      if (now - receivedAt >= REPORT_LIFETIME_MILLISECONDS) {
        this.#peers.delete(peer);
      }
    });
  }
}

/** One decimal is enough to see who has most. */
function perSecond(rate: number): number {
  return Math.round(10 * MILLISECONDS_PER_SECOND * rate) / 10;
}
