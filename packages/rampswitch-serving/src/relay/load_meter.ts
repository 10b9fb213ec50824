// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * The load of each service over all hosts, for the planning of servers.
 *
 * @module
 */
import type { Clock } from "rampswitch-utils";
import { silentPeers } from "../model/silent_peers.ts";

/** Span over which loads are averaged, in milliseconds. */
const SPAN_MILLISECONDS = 6_000;

interface Sample {
  readonly at: number;
  readonly value: number;
}

/** Total prompt tokens that were sent to be read, by service. */
export type ReadTokens = Readonly<Record<string, number>>;

interface PeerTotals {
  readonly totals: ReadTokens;
  readonly receivedAt: number;
}

/** Load of all services as measured by this host and reported by its peers. */
export class LoadMeter {
  readonly #clock: Clock;
  #own: Record<string, number> = {};
  /** Newest totals that each incarnation of a peer reported. */
  readonly #peers = new Map<string, PeerTotals>();
  /** Tokens that peers have read since their first reports, by service. */
  readonly #readByPeers = new Map<string, number>();
  #arePeersIdle = true;
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
    return this.#arePeersIdle && areZero(this.#own);
  }

  /** Number of incarnations of peers that are retained. */
  get knownIncarnations(): number {
    return this.#peers.size;
  }

  /** Receives a peer's totals; `incarnation` differs for each of its processes. */
  receivePeerTotals(incarnation: string, totals: ReadTokens): void {
    const before = this.#peers.get(incarnation)?.totals;
    if (before === undefined) this.#forgetSilent();
    // Tokens from before a peer's first report are not part of the current load.
    else this.#addRead(before, totals);
    this.#arePeersIdle &&= areZero(totals);
    const receivedAt = this.#clock.now();
    this.#peers.set(incarnation, { totals, receivedAt });
  }

  #addRead(before: ReadTokens, totals: ReadTokens): void {
    Object.entries(totals).forEach(([service, tokens]) => {
      const read = this.#readByPeers.get(service) ?? 0;
      const added = tokens - (before[service] ?? 0);
      this.#readByPeers.set(service, read + added);
    });
  }

  #forgetSilent(): void {
    silentPeers(this.#peers, this.#clock.now()).forEach((incarnation) =>
      this.#peers.delete(incarnation),
    );
  }

  /** Prompt tokens a second that all hosts send to a service. */
  readTokensPerSecond(service: string): number {
    const total =
      (this.#own[service] ?? 0) + (this.#readByPeers.get(service) ?? 0);
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

function areZero(totals: ReadTokens): boolean {
  return Object.values(totals).every((tokens) => tokens === 0);
}
