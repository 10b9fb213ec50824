// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * An estimate of which backend servers have which prompt prefixes in their
 * cache. It is based on the requests that this host sent and on cache events of
 * the servers, which arrive late and can be incomplete.
 *
 * @module
 */

/** Estimate of how much of a prompt a backend server has in its cache. */
export interface PrefixMatch {
  readonly server: string;
  /** Number of cached blocks, counted from the start of the prompt. */
  readonly blocks: number;
}

/** Servers stored for each block; the most recent ones are kept. */
const MAXIMUM_SERVERS_PER_BLOCK = 4;

/** A bounded index of prefixes; the least recently stored blocks are evicted. */
export class PrefixIndex {
  readonly #servers = new Map<string, readonly string[]>();
  readonly #capacity: number;

  /** Creates an empty index with a capacity in blocks. */
  constructor(capacity: number) {
    this.#capacity = capacity;
  }

  /** Number of blocks in the index. */
  get size(): number {
    return this.#servers.size;
  }

  /** Records that a server computes or has stored these blocks. */
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

  /** Records that a server evicted a block. */
  evicted(server: string, block: string): void {
    const holders = this.#servers.get(block);
    if (holders === undefined) return;
    const others = holders.filter((other) => other !== server);
    if (others.length === 0) this.#servers.delete(block);
    else this.#servers.set(block, others);
  }

  /** Removes a server from the index, for example after its restart. */
  removeServer(server: string): void {
    [...this.#servers]
      .filter(([, servers]) => servers.includes(server))
      .forEach(([block]) => this.evicted(server, block));
  }

  /** Servers that have a prefix of a prompt, the longest prefix first. */
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
