// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Names of the ends of servers in the evidence on prompt parts: the incarnation, whether
 * its connections broke or it fell silent, and a hash of its software's version.
 *
 * @module
 */
import { HEAD_HASH_DIGITS, headHash } from "./hashed_key.ts";

/** How an end was noticed. */
export type EndKind = "broken" | "silent";

/** A server that ended, or that may have. */
export interface EndedServer {
  /** Name of the incarnation, unique among all servers. */
  readonly incarnation: string;
  /** Version of its software. */
  readonly version: string;
}

/** The end of a server. */
export interface ServerEnd {
  readonly incarnation: string;
  readonly kind: EndKind;
  /** Hash of its software's version. */
  readonly versionHash: string;
}

const SEPARATORS: Readonly<Record<EndKind, string>> = {
  broken: "#",
  silent: "~",
};

/** Returns the end of a server under a request. */
export function endOf(
  { incarnation, version }: EndedServer,
  kind: EndKind,
): ServerEnd {
  return { incarnation, kind, versionHash: headHash(version) };
}

/** Returns the name of an end. */
export function nameOfEnd({
  incarnation,
  kind,
  versionHash,
}: ServerEnd): string {
  return `${incarnation}${SEPARATORS[kind]}${versionHash}`;
}

/** Returns the end with a name. */
export function endOfName(name: string): ServerEnd {
  const separatorAt = name.length - HEAD_HASH_DIGITS - 1;
  return {
    incarnation: name.slice(0, separatorAt),
    kind: name[separatorAt] === SEPARATORS.silent ? "silent" : "broken",
    versionHash: name.slice(separatorAt + 1),
  };
}
