// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Estimate of the prompt parts in the prefix cache of each backend server, from the
 * dispatches of this host and of its peers. The least recently used parts are evicted
 * first, as in the engines.
 *
 * @module
 */
import type { PromptPart } from "../model/request.ts";

interface ServerCache {
  /** Tokens of each part, least recently used first. */
  readonly parts: Map<string, number>;
  tokens: number;
}

/** Share of an engine's KV-cache memory that cached parts are assumed to use. */
const CACHE_MEMORY_SHARE = 0.6;

/** Estimates the prompt parts that each backend server has cached. */
export class PrefixCacheEstimate {
  readonly #servers = new Map<string, ServerCache>();

  /** Records that a server processes or has processed these parts. */
  stored(
    serverId: string,
    parts: readonly PromptPart[],
    memoryTokens: number,
  ): void {
    const cache = this.#servers.get(serverId) ?? {
      parts: new Map<string, number>(),
      tokens: 0,
    };
    this.#servers.set(serverId, cache);
    parts.forEach((part) => {
      cache.tokens += part.tokens - (cache.parts.get(part.id) ?? 0);
      cache.parts.delete(part.id);
      cache.parts.set(part.id, part.tokens);
    });
    while (cache.tokens > memoryTokens * CACHE_MEMORY_SHARE) {
      const oldest = cache.parts.entries().next().value;
      if (oldest === undefined) break;
      cache.parts.delete(oldest[0]);
      cache.tokens -= oldest[1];
    }
  }

  /** Returns the tokens from the start of a prompt that a server probably has cached. */
  cachedTokens(serverId: string, parts: readonly PromptPart[]): number {
    const cache = this.#servers.get(serverId);
    if (cache === undefined) return 0;
    let tokens = 0;
    for (const part of parts) {
      if (!cache.parts.has(part.id)) break;
      tokens += part.tokens;
    }
    return tokens;
  }

  /** Forgets the parts of a server whose cache is empty, such as one that restarted. */
  forget(serverId: string): void {
    this.#servers.delete(serverId);
  }

  /** Forgets all servers but those given, which are listed. */
  retain(serverIds: ReadonlySet<string>): void {
    [...this.#servers.keys()]
      .filter((id) => !serverIds.has(id))
      .forEach((id) => this.#servers.delete(id));
  }
}
