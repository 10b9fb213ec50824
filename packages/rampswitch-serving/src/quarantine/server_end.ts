// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Names of the ends of servers in the evidence on prompt parts: the incarnation, whether
 * its connections broke or it fell silent, and a hash of its software's version.
 *
 * @module
 */
import { hash32 } from "rampswitch-utils";

/** How an end was noticed. */
export type EndKind = "broken" | "silent";

/** The end of a server. */
export interface ServerEnd {
  readonly incarnation: string;
  readonly kind: EndKind;
  /** Hash of its software's version. */
  readonly versionHash: string;
}

/** Hexadecimal digits of the hash of a version. */
const VERSION_DIGITS = 8;

const SEPARATORS: Readonly<Record<EndKind, string>> = {
  broken: "#",
  silent: "~",
};

/** Returns the hash of a version. */
export function versionHashOf(version: string): string {
  return hash32(version).toString(16).padStart(VERSION_DIGITS, "0");
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
  const separatorAt = name.length - VERSION_DIGITS - 1;
  return {
    incarnation: name.slice(0, separatorAt),
    kind: name[separatorAt] === SEPARATORS.silent ? "silent" : "broken",
    versionHash: name.slice(separatorAt + 1),
  };
}
