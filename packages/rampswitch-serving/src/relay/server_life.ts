// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Which life of a server a line speaks of: servers may start again under the id
 * that they had.
 *
 * @module
 */
import type { ServerRecord } from "../choice/mod.ts";
import type { ServerLife } from "../model/backend_server.ts";

/** The life that a server's entry tells of now. */
export function lifeOf({ entry }: ServerRecord): ServerLife {
  const { id, born }: ServerLife = entry;
  return { id, born };
}

/** Starts of lives in a list; `undefined` where none is known. */
export function startsOf(lives: readonly ServerLife[]): string | undefined {
  return lives.some(({ born }) => born !== undefined)
    ? lives.map(({ born }) => born ?? "").join(",")
    : undefined;
}
