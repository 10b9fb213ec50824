// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Blocks of prompts, by which prefix caches are compared. Engines and entry
 * hosts compute the same hashes, which docs/references/engine.md defines.
 *
 * @module
 */
import { hash32 } from "./hash.ts";

const RADIX = 36;

/** Splits a text into words, which approximate its tokens. */
export function promptWords(text: string): readonly string[] {
  return text.split(/\s+/).filter((word) => word !== "");
}

/** Hashes each full block of words; a hash also covers all blocks before it. */
export function blockHashes(
  words: readonly string[],
  blockTokens: number,
): readonly string[] {
  const hashes: string[] = [];
  const blocks = Math.floor(words.length / blockTokens);
  for (let index = 0; index < blocks; index += 1) {
    const block = words
      .slice(index * blockTokens, (index + 1) * blockTokens)
      .join(" ");
    const text = `${hashes[index - 1] ?? ""}|${block}`;
    hashes.push(hash32(text).toString(RADIX));
  }
  return hashes;
}
