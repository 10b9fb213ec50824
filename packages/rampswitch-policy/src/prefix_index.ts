// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Which backend servers hold which prompt prefixes, as far as own dispatches
 * and late, gappy cache events tell.
 *
 * @module
 */

/** How much of a prompt a backend server is thought to hold. */
export interface PrefixMatch {
  readonly server: string;
  /** Blocks from the start of the prompt. */
  readonly blocks: number;
}

const MAXIMUM_SERVERS_PER_BLOCK = 4;

/** An index bounded in blocks; the least recently used go first. */
export class PrefixIndex {
  readonly #servers = new Map<string, readonly string[]>();
  readonly #capacity: number;

  constructor(capacity: number) {
    this.#capacity = capacity;
  }

  /** Number of blocks remembered. */
  get size(): number {
    return this.#servers.size;
  }

  /** Notes that a server computes or has stored these blocks. */
  stored(server: string, blocks: readonly string[]): void {
    blocks.forEach((block) => {
      const holders = this.#servers.get(block) ?? [];
      this.#servers.delete(block);
      this.#servers.set(
        block,
        holders[0] === server
          ? holders
          : [server, ...holders.filter((other) => other !== server)].slice(
              0,
              MAXIMUM_SERVERS_PER_BLOCK,
            ),
      );
    });
    while (this.#servers.size > this.#capacity) {
      const [oldest] = this.#servers.keys();
      if (oldest === undefined) return;
      this.#servers.delete(oldest);
    }
  }

  /** Notes that a server dropped a block. */
  evicted(server: string, block: string): void {
    const holders = this.#servers.get(block);
    if (holders === undefined) return;
    const others = holders.filter((other) => other !== server);
    if (others.length === 0) this.#servers.delete(block);
    else this.#servers.set(block, others);
  }

  /** Forgets everything about a server, as after its restart. */
  forget(server: string): void {
    [...this.#servers]
      .filter(([, servers]) => servers.includes(server))
      .forEach(([block]) => this.evicted(server, block));
  }

  /** Servers that hold the most of a prompt, best first. */
  matches(blocks: readonly string[]): readonly PrefixMatch[] {
    const heldBlocks = new Map<string, number>();
    const firstMissing = blocks.findIndex((block, index) => {
      const servers = this.#servers.get(block);
      servers?.forEach((server) => {
        if ((heldBlocks.get(server) ?? 0) >= index)
          heldBlocks.set(server, index + 1);
      });
      return servers === undefined;
    });
    return firstMissing === 0
      ? []
      : [...heldBlocks]
          .map(([server, count]) => ({ server, blocks: count }))
          .toSorted((left, right) => right.blocks - left.blocks);
  }
}
