// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Detects when answers start to go wrong more often than expected, at any time:
 * a cumulative sum of log-likelihood ratios (Page's CUSUM test), which may be
 * read after every observation. Pure apart from its sums.
 *
 * @module
 */

/**
 * Answers as Bernoulli trials: their number, and how many of them went wrong.
 */
export interface Trials {
  readonly answers: number;
  readonly wrong: number;
}

/** The answers of one observation, in total and by server. */
export interface ServerTrials extends Trials {
  readonly byServer: ReadonlyMap<string, Trials>;
}

/** The two shares of wrong answers between which a test decides. */
export interface Hypotheses {
  readonly expectedShare: number;
  readonly raisedShare: number;
}

/** Log-likelihood ratio of the raised share to the expected one. */
export function logLikelihoodRatio(
  { answers, wrong }: Trials,
  { expectedShare, raisedShare }: Hypotheses,
): number {
  return (
    wrong * Math.log(raisedShare / expectedShare) +
    (answers - wrong) * Math.log((1 - raisedShare) / (1 - expectedShare))
  );
}

/** Key of the sum that leaves out no server. */
const NO_SERVER = "";

/**
 * Detects a change to one raised share. A failing server is not a fault of its
 * version, so one sum is kept without each server that had wrong answers: the
 * change must also show in the answers of the others.
 */
export class ChangeDetector {
  /** Cumulative sums by the server that each leaves out. */
  readonly #sums = new Map<string, number>([[NO_SERVER, 0]]);
  readonly #servers = new Set<string>();

  /** Adds the answers since the last observation. */
  observe(trials: ServerTrials, hypotheses: Hypotheses): void {
    const total = this.#sums.get(NO_SERVER) ?? 0;
    trials.byServer.forEach(({ wrong }, server) => {
      this.#servers.add(server);
      if (wrong > 0 && !this.#sums.has(server)) this.#sums.set(server, total);
    });
    [...this.#sums].forEach(([server, sum]) => {
      const included = withoutServer(trials, server);
      const ratio = logLikelihoodRatio(included, hypotheses);
      this.#sums.set(server, Math.max(0, sum + ratio));
    });
  }

  /** Evidence for a change, as a logarithm of odds. */
  get evidence(): number {
    return this.#sums.get(NO_SERVER) ?? 0;
  }

  /**
   * The evidence without the server that contributes most of it; 0 if there is
   * only one server.
   */
  get evidenceWithoutWorstServer(): number {
    return this.#servers.size > 1 ? Math.min(...this.#sums.values()) : 0;
  }
}

function withoutServer(trials: ServerTrials, server: string): Trials {
  const excluded = trials.byServer.get(server);
  return {
    answers: trials.answers - (excluded?.answers ?? 0),
    wrong: trials.wrong - (excluded?.wrong ?? 0),
  };
}
