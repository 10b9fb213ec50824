// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * A consistent-hash ring of backend servers: all entry hosts find the same
 * server for a conversation without communication between them, and a server
 * that joins or leaves changes the server of only its share of conversations.
 *
 * @module
 */
import { hash32 } from "rampswitch-utils";
import type { Candidate } from "./routing_table.ts";

/** Points of each server on the ring; more points distribute keys more evenly. */
const POINTS_PER_SERVER = 16;

interface RingPoint {
  /** Position on the ring: a 32-bit hash. */
  readonly at: number;
  readonly candidate: Candidate;
}

/** A consistent-hash ring of candidates. */
export class AffinityRing {
  readonly #points: readonly RingPoint[];

  constructor(candidates: readonly Candidate[]) {
    this.#points = candidates
      .flatMap((candidate) =>
        Array.from({ length: POINTS_PER_SERVER }, (_, point) => ({
          at: hash32(`${candidate.server.name}#${point}`),
          candidate,
        })),
      )
      .toSorted((left, right) => left.at - right.at);
  }

  /**
   * The first eligible candidate at or after a key's position; `undefined` if
   * none of the first {@link MAXIMUM_CANDIDATES_TRIED} is eligible.
   */
  find(
    key: string,
    eligible: (candidate: Candidate) => boolean,
  ): Candidate | undefined {
    const points = this.#points;
    const start = this.#firstPointFrom(hash32(key));
    const tried = new Set<Candidate>();
    for (let step = 0; step < points.length; step += 1) {
      const candidate = points[(start + step) % points.length]?.candidate;
      if (candidate === undefined || tried.has(candidate)) continue;
      if (eligible(candidate)) return candidate;
      tried.add(candidate);
      if (tried.size >= MAXIMUM_CANDIDATES_TRIED) return undefined;
    }
    return undefined;
  }

  /** Index of the first point at or after a position. */
  #firstPointFrom(position: number): number {
    let low = 0;
    let high = this.#points.length;
    while (low < high) {
      const middle = Math.floor((low + high) / 2);
      if ((this.#points[middle]?.at ?? 0) < position) low = middle + 1;
      else high = middle;
    }
    return low;
  }
}

/** Candidates checked for a key before the search ends without a result. */
const MAXIMUM_CANDIDATES_TRIED = 64;
