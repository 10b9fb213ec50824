// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Keys of the prompt parts that requests to one service share. Keys have one length,
 * whatever ids callers choose, and the form of a request's fingerprint, so that messages
 * and the store hold both alike.
 *
 * @module
 */
import type { PromptPart } from "../model/request.ts";
import { contentHash, headHash } from "./hashed_key.ts";

/** The shared parts of one prompt. Keys are computed when they are first needed. */
export class SharedParts {
  /** Name of the service that reads the prompt. */
  readonly service: string;
  readonly #parts: readonly PromptPart[];
  #heads: readonly string[] | undefined;

  constructor(service: string, parts: readonly PromptPart[]) {
    this.service = service;
    this.#parts = parts;
  }

  /** Number of parts that other requests may share: all but the last one. */
  get size(): number {
    return Math.max(0, this.#parts.length - 1);
  }

  /** Keys of the parts whose fast hash is wanted, each once. */
  keys(isWanted: (head: string) => boolean): readonly string[] {
    const keys = this.#headHashes().flatMap((head, index) =>
      isWanted(head) ? [`${head}${contentHash(this.#text(index))}`] : [],
    );
    return [...new Set(keys)];
  }

  /** Id of the part with a key, as the caller sent it; `undefined` if there is none. */
  idOf(key: string): string | undefined {
    return this.#parts
      .slice(0, -1)
      .find((_, index) => key.endsWith(contentHash(this.#text(index))))?.id;
  }

  #headHashes(): readonly string[] {
    this.#heads ??= this.#parts
      .slice(0, -1)
      .map((_, index) => headHash(this.#text(index)));
    return this.#heads;
  }

  #text(index: number): string {
    return `${this.service}\n${this.#parts[index]?.id ?? ""}`;
  }
}
