// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Which hosts keep the version of a stream for the case that its host ends. Pure.
 *
 * @module
 */
import { rendezvousOrder } from "rampswitch-utils";

/** A host that may keep it. */
export interface PlacedHost {
  readonly name: string;
  readonly dataHall: string;
}

/**
 * Orders hosts by a key, one of each data hall in turn, so that the first few of them
 * are not lost together with a data hall. Hosts that know nearly the same hosts get
 * nearly the same order.
 */
export function spreadOverDataHalls<Host extends PlacedHost>(
  key: string,
  hosts: readonly Host[],
): readonly Host[] {
  const byName = new Map(hosts.map((host) => [host.name, host]));
  const turns = new Map<string, number>();
  return rendezvousOrder(key, [...byName.keys()])
    .flatMap((name) => byName.get(name) ?? [])
    .map((host) => {
      const turn = turns.get(host.dataHall) ?? 0;
      turns.set(host.dataHall, turn + 1);
      return { host, turn };
    })
    .toSorted((left, right) => left.turn - right.turn)
    .map(({ host }) => host);
}
