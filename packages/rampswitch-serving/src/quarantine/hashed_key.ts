// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Keys that consist of a fast hash and a longer one. The fast hash alone tells most keys
 * apart, so that the longer one is seldom computed.
 *
 * @module
 */
import { createHash, type Hash } from "node:crypto";
import { hash32 } from "rampswitch-utils";

/** Hexadecimal digits of a fast hash. */
export const HEAD_HASH_DIGITS = 8;

/**
 * Hexadecimal digits of the longer hash. With 64 bits, collisions among some millions
 * of keys are very unlikely.
 */
const CONTENT_HASH_DIGITS = 16;

/** Characters of a key. */
export const KEY_DIGITS = HEAD_HASH_DIGITS + CONTENT_HASH_DIGITS;

/** Returns the fast hash of a text. */
export function headHash(text: string): string {
  return hash32(text).toString(16).padStart(HEAD_HASH_DIGITS, "0");
}

/** Returns the longer hash of a text, and of bytes after it. */
export function contentHash(text: string, bytes?: Buffer): string {
  const hash: Hash = createHash("sha256").update(text);
  const complete = bytes === undefined ? hash : hash.update(bytes);
  return complete.digest("hex").slice(0, CONTENT_HASH_DIGITS);
}

/** Returns the fast hash of a key. */
export function headHashOf(key: string): string {
  return key.slice(0, HEAD_HASH_DIGITS);
}
