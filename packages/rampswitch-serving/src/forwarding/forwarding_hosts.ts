// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Chooses the hosts through which requests are sent to servers out of reach.
 *
 * @module
 */
import type { Clock, Random } from "rampswitch-utils";
import type { PeerReach } from "../reach/mod.ts";
import type { ForwardingHost } from "./forwarding_client.ts";

/** Hosts that are compared by the number of requests that this host sends through them. */
const COMPARED_HOSTS = 2;

/** Time for which a host that did not forward a request is left out, in milliseconds. */
const AVOIDED_MILLISECONDS = 1_000;

/** Dependencies of the choice. */
export interface ForwardingHostsParts {
  readonly clock: Clock;
  readonly random: Random;
  readonly peerReach: PeerReach;
  /** The other hosts that are present as far as this host knows. */
  hosts(): readonly ForwardingHost[];
}

/** Chooses hosts, and counts the requests that this host sends through each. */
export class ForwardingHosts {
  readonly #parts: ForwardingHostsParts;
  readonly #running = new Map<string, number>();
  readonly #avoidedUntil = new Map<string, number>();

  constructor(parts: ForwardingHostsParts) {
    this.#parts = parts;
  }

  /** Whether some host may reach a server. */
  hasAny(server: string): boolean {
    return this.#candidates(server, []).length > 0;
  }

  /**
   * Chooses a host that may reach a server, of those that were not tried; `undefined`
   * if there is none. A second host is of another data hall if possible, since the
   * hosts of one are often cut off together.
   */
  choose(
    server: string,
    tried: readonly ForwardingHost[],
  ): ForwardingHost | undefined {
    const all = this.#candidates(server, tried);
    const elsewhere = all.filter(
      ({ dataHall }) => !tried.some((host) => host.dataHall === dataHall),
    );
    const hosts = elsewhere.length > 0 ? elsewhere : all;
    return Array.from({ length: COMPARED_HOSTS }, () => this.#draw(hosts))
      .flatMap((host) => host ?? [])
      .toSorted((left, right) => this.#runningAt(left) - this.#runningAt(right))
      .at(0);
  }

  /** Counts a request that is sent through a host; returns how to end it. */
  started({ name }: ForwardingHost): () => void {
    this.#running.set(name, (this.#running.get(name) ?? 0) + 1);
    let ended = false;
    return () => {
      if (ended) return;
      ended = true;
      const left = (this.#running.get(name) ?? 1) - 1;
      if (left === 0) this.#running.delete(name);
      else this.#running.set(name, left);
    };
  }

  /** Leaves a host out for some time: for one server, or for all. */
  avoid({ name }: ForwardingHost, server?: string): void {
    const now = this.#parts.clock.now();
    this.#avoidedUntil.set(
      avoidedKey(name, server),
      now + AVOIDED_MILLISECONDS,
    );
  }

  #candidates(
    server: string,
    tried: readonly ForwardingHost[],
  ): readonly ForwardingHost[] {
    const { clock, peerReach } = this.#parts;
    const now = clock.now();
    [...this.#avoidedUntil]
      .filter(([, until]) => until <= now)
      .forEach(([name]) => this.#avoidedUntil.delete(name));
    return this.#parts
      .hosts()
      .filter(
        ({ name }) =>
          !this.#avoidedUntil.has(avoidedKey(name)) &&
          !this.#avoidedUntil.has(avoidedKey(name, server)),
      )
      .filter(({ name }) => !peerReach.lacks(name, server))
      .filter(({ name }) => !tried.some((host) => host.name === name));
  }

  #draw(hosts: readonly ForwardingHost[]): ForwardingHost | undefined {
    return hosts[Math.floor(this.#parts.random.next() * hosts.length)];
  }

  #runningAt({ name }: ForwardingHost): number {
    return this.#running.get(name) ?? 0;
  }
}

function avoidedKey(host: string, server = ""): string {
  return `${host}/${server}`;
}
