// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * The load of each service over all hosts, for the planning of servers.
 *
 * @module
 */
import type { Clock } from "rampswitch-utils";

/** Span over which loads are averaged, in milliseconds. */
const SPAN_MILLISECONDS = 6_000;

interface Sample {
  readonly at: number;
  readonly value: number;
}

/** Total prompt tokens that were sent to be read, by service. */
export type ReadTokens = Readonly<Record<string, number>>;

interface PeerTotals {
  readonly first: ReadTokens;
  readonly last: ReadTokens;
}

/** Load of all services as measured by this host and reported by its peers. */
export class LoadMeter {
  readonly #clock: Clock;
  #own: Record<string, number> = {};
  /** First and last totals that each incarnation of a peer reported. */
  readonly #peers = new Map<string, PeerTotals>();
  readonly #totals = new Map<string, readonly Sample[]>();
  readonly #running = new Map<string, readonly Sample[]>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Adds prompt tokens that this host sent to be read. */
  read(service: string, tokens: number): void {
    this.#own[service] = (this.#own[service] ?? 0) + tokens;
  }

  /** Totals since the start, as reported to the peers. */
  ownReadTokens(): ReadTokens {
    return this.#own;
  }

  /** Whether no prompt was sent by any host since this one started. */
  get idle(): boolean {
    const peerTotals = [...this.#peers.values()].map(({ last }) => last);
    return [this.#own, ...peerTotals].every((totals) =>
      Object.values(totals).every((tokens) => tokens === 0),
    );
  }

  /** Receives a peer's totals; `incarnation` differs for each of its processes. */
  receivePeerTotals(incarnation: string, totals: ReadTokens): void {
    const first = this.#peers.get(incarnation)?.first ?? totals;
    this.#peers.set(incarnation, { first, last: totals });
  }

  /** Prompt tokens a second that all hosts send to a service. */
  readTokensPerSecond(service: string): number {
    // Tokens from before a peer's first report are not part of the current load.
    const total = [...this.#peers.values()].reduce(
      (sum, { first, last }) =>
        sum + (last[service] ?? 0) - (first[service] ?? 0),
      this.#own[service] ?? 0,
    );
    const samples = this.#sample(this.#totals, service, total);
    const [first] = samples;
    const last = samples.at(-1);
    if (first === undefined || last === undefined || last.at === first.at) {
      return 0;
    }
    return ((last.value - first.value) / (last.at - first.at)) * 1_000;
  }

  /**
   * Concurrently running requests, averaged over the span. The peak would count the
   * requests that wait after a loss of servers as load, and would order servers for
   * a peak that is over before they have started.
   */
  meanRunning(service: string, running: number): number {
    const samples = this.#sample(this.#running, service, running);
    return (
      samples.reduce((sum, sample) => sum + sample.value, 0) / samples.length
    );
  }

  #sample(
    samplesByService: Map<string, readonly Sample[]>,
    service: string,
    value: number,
  ): readonly Sample[] {
    const at = this.#clock.now();
    const samples = [
      ...(samplesByService.get(service) ?? []).filter(
        (sample) => at - sample.at <= SPAN_MILLISECONDS,
      ),
      { at, value },
    ];
    samplesByService.set(service, samples);
    return samples;
  }
}
