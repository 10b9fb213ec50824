// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Which hosts keep the version of a stream for the case that its host ends. Pure.
 *
 * @module
 */
import { hash32, rendezvousOrder } from "rampswitch-utils";

/** A host that may keep it. */
export interface PlacedHost {
  readonly name: string;
  readonly dataHall: string;
}

/** A host and its place on the ring of its data hall. */
interface RingPlace<Host> {
  readonly host: Host;
  readonly hash: number;
}

/**
 * The hosts of each data hall on a ring of hashes. Hosts that know nearly the same hosts
 * find nearly the same ones for a key, and finding them looks at few of them.
 */
export class KeeperRings<Host extends PlacedHost> {
  /** By data hall, in the order of the hashes. */
  readonly #rings: ReadonlyMap<string, readonly RingPlace<Host>[]>;

  constructor(hosts: readonly Host[]) {
    const halls = new Set(hosts.map(({ dataHall }) => dataHall));
    this.#rings = new Map(
      [...halls].map((hall) => [
        hall,
        ringOf(hosts.filter(({ dataHall }) => dataHall === hall)),
      ]),
    );
  }

  /** Whether there are no hosts. */
  get isEmpty(): boolean {
    return this.#rings.size === 0;
  }

  /**
   * Returns the hosts that keep what a key names, one of each data hall in turn, so that
   * the first few are not lost together with a data hall.
   */
  keepersOf(key: string, count: number): readonly Host[] {
    const hash = hash32(key);
    const rings = rendezvousOrder(key, [...this.#rings.keys()])
      .map((hall) => this.#rings.get(hall) ?? [])
      .map((ring) => ({ ring, start: startOn(ring, hash) }));
    const longest = Math.max(0, ...rings.map(({ ring }) => ring.length));
    const turns = Math.min(count, longest);
    return Array.from({ length: turns }, (_, turn) => turn)
      .flatMap((turn) => rings.flatMap((ring) => placeAt(ring, turn) ?? []))
      .slice(0, count);
  }
}

function ringOf<Host extends PlacedHost>(
  hosts: readonly Host[],
): readonly RingPlace<Host>[] {
  return hosts
    .map((host) => ({ host, hash: hash32(host.name) }))
    .toSorted((left, right) => left.hash - right.hash);
}

/** The host that is so many places after the start; `undefined` after a full turn. */
function placeAt<Host>(
  {
    ring,
    start,
  }: { readonly ring: readonly RingPlace<Host>[]; readonly start: number },
  turn: number,
): Host | undefined {
  return turn < ring.length
    ? ring[(start + turn) % ring.length]?.host
    : undefined;
}

/** Index of the first place at or after a hash; the first place follows the last one. */
function startOn(ring: readonly RingPlace<PlacedHost>[], hash: number): number {
  const index = ring.findIndex((place) => place.hash >= hash);
  return index < 0 ? 0 : index;
}
