// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * What other hosts report about the backend servers that they don't reach.
 *
 * @module
 */
import type { Clock } from "rampswitch-utils";

/**
 * Time for which a report counts, in milliseconds: some rounds of gossip, also with
 * relays between the hosts.
 */
const REPORT_LIFETIME_MILLISECONDS = 3_000;

interface Report {
  /** Servers out of reach; `undefined` where a relay only names the host. */
  readonly servers: ReadonlySet<string> | undefined;
  readonly at: number;
}

/** The reach of the other hosts. */
export class PeerReach {
  readonly #clock: Clock;
  /** Newest report of each host that reports servers out of reach. */
  readonly #reports = new Map<string, Report>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Applies a host's own report, which is `age` milliseconds old. */
  receive(host: string, servers: readonly string[], age: number): void {
    if (servers.length === 0) {
      this.#reports.delete(host);
      return;
    }
    if (!this.#reports.has(host)) this.#forgetOld();
    this.#reports.set(host, {
      servers: new Set(servers),
      at: this.#clock.now() - age,
    });
  }

  /** Applies a relay's list of all hosts that report servers out of reach. */
  receiveFleet(hosts: readonly string[]): void {
    const now = this.#clock.now();
    [...this.#reports.keys()]
      .filter((host) => !hosts.includes(host))
      .forEach((host) => this.#reports.delete(host));
    hosts.forEach((host) =>
      this.#reports.set(host, { servers: undefined, at: now }),
    );
  }

  /** Number of hosts whose reports are retained. */
  get knownHosts(): number {
    return this.#reports.size;
  }

  /** Hosts that report servers out of reach. */
  hosts(): readonly string[] {
    return this.#fresh().map(([host]) => host);
  }

  /** Whether a host may not reach a server. */
  lacks(host: string, server: string): boolean {
    const report = this.#reports.get(host);
    return report !== undefined && this.#isAbout(report, server);
  }

  /** Number of hosts that may not reach a server. */
  countWithout(server: string): number {
    return this.#fresh().filter(([, report]) => this.#isAbout(report, server))
      .length;
  }

  #forgetOld(): void {
    [...this.#reports]
      .filter(([, { at }]) => !this.#isFresh(at))
      .forEach(([host]) => this.#reports.delete(host));
  }

  #isAbout({ servers, at }: Report, server: string): boolean {
    return this.#isFresh(at) && (servers?.has(server) ?? true);
  }

  #fresh(): readonly (readonly [string, Report])[] {
    return [...this.#reports].filter(([, { at }]) => this.#isFresh(at));
  }

  #isFresh(at: number): boolean {
    return this.#clock.now() - at < REPORT_LIFETIME_MILLISECONDS;
  }
}
