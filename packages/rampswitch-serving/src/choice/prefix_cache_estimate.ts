// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Which parts of prompts each backend server is thought to keep, from the
 * dispatches of this host and of its peers. The least recently used parts go
 * first, as they do in the engines.
 *
 * @module
 */
import type { PromptPart } from "../model/request.ts";

interface ServerMemory {
  /** Tokens of each part, least recently used first. */
  readonly parts: Map<string, number>;
  tokens: number;
}

/** Share of an engine's memory that cached parts are thought to keep. */
const CACHE_SHARE = 0.6;

/** Parts kept by each backend server. */
export class PrefixKnowledge {
  readonly #servers = new Map<string, ServerMemory>();

  /** Notes that a server reads or has read these parts. */
  stored(
    serverId: string,
    parts: readonly PromptPart[],
    memoryTokens: number,
  ): void {
    const memory = this.#servers.get(serverId) ?? {
      parts: new Map<string, number>(),
      tokens: 0,
    };
    this.#servers.set(serverId, memory);
    parts.forEach((part) => {
      memory.tokens += part.tokens - (memory.parts.get(part.id) ?? 0);
      memory.parts.delete(part.id);
      memory.parts.set(part.id, part.tokens);
    });
    while (memory.tokens > memoryTokens * CACHE_SHARE) {
      const oldest = memory.parts.entries().next().value;
      if (oldest === undefined) break;
      memory.parts.delete(oldest[0]);
      memory.tokens -= oldest[1];
    }
  }

  /** Tokens from the start of a prompt that a server is thought to keep. */
  keptTokens(serverId: string, parts: readonly PromptPart[]): number {
    const memory = this.#servers.get(serverId);
    if (memory === undefined) return 0;
    const missing = parts.findIndex((part) => !memory.parts.has(part.id));
    const kept = missing < 0 ? parts : parts.slice(0, missing);
    return kept.reduce((sum, part) => sum + part.tokens, 0);
  }

  /** Forgets what a server kept that holds nothing of before. */
  forget(serverId: string): void {
    this.#servers.delete(serverId);
  }

  /** Forgets servers that are no longer listed. */
  retain(serverIds: ReadonlySet<string>): void {
    [...this.#servers.keys()]
      .filter((id) => !serverIds.has(id))
      .forEach((id) => this.#servers.delete(id));
  }
}
