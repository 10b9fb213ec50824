// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Ids of requests and the slots of keys.
 *
 * @module
 */
import { hash32 } from "rampswitch-utils";
import { v7, validate, version } from "uuid";

const UUID_VERSION = 7;
const TIME_DIGITS = 12;
const HEXADECIMAL = 16;

/** Creates a request id in a slot; `now` is in milliseconds since the Unix epoch. */
export function mintRequestId(slot: number, now: number): string {
  return `r${slot}.${v7({ msecs: now })}`;
}

/** Returns the slot within a request id; `undefined` for other text. */
export function slotOfRequestId(id: string): number | undefined {
  const match = /^r(\d{1,6})\.[0-9a-f-]{36}$/.exec(id);
  return match?.[1] === undefined ? undefined : Number(match[1]);
}

/** Returns the slot of a caller's key; the key includes the workspace. */
export function slotOfKey(key: string, slots: number): number {
  return hash32(key) % slots;
}

/** Returns the milliseconds within a UUIDv7; `undefined` for other keys. */
export function timeOfKey(key: string): number | undefined {
  if (!validate(key) || version(key) !== UUID_VERSION) return undefined;
  const digits = key.replaceAll("-", "").slice(0, TIME_DIGITS);
  return Number.parseInt(digits, HEXADECIMAL);
}
