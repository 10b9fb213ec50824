// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Hashing: a fast hash for placement, SHA-256 for secrets.
 *
 * @module
 */
import { createHash, timingSafeEqual } from "node:crypto";
import murmurhash from "murmurhash";

/** Hashes text to an unsigned 32-bit number (MurmurHash3); not for secrets. */
export function hash32(text: string, seed = 0): number {
  return murmurhash.v3(text, seed);
}

/** Returns the SHA-256 of text in lower-case hexadecimal. */
export function sha256(text: string): string {
  return createHash("sha256").update(text).digest("hex");
}

/** Compares a secret with a stored SHA-256 in constant time. */
export function secretMatches(secret: string, hash: string): boolean {
  const actual = Buffer.from(sha256(secret), "hex");
  const expected = Buffer.from(hash, "hex");
  return actual.length === expected.length && timingSafeEqual(actual, expected);
}

/** Orders names by rendezvous hashing for a key, highest score first. */
export function rendezvousOrder(
  key: string,
  names: readonly string[],
): readonly string[] {
  return names
    .map((name) => ({ name, score: hash32(`${key}|${name}`) }))
    .toSorted(
      (left, right) =>
        right.score - left.score || (left.name < right.name ? -1 : 1),
    )
    .map(({ name }) => name);
}
