// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * What the end of an answer without a length or chunks shows. A server that breaks
 * such an answer off may end its connection in the same way as after a whole one, so
 * the end counts only where nothing speaks against it.
 *
 * @module
 */
import type { EndDoubt } from "../attempt/mod.ts";

/** A success without a length or chunks whose connection has ended regularly. */
export interface UnframedAnswer {
  /** Whether any event, or any byte of a whole answer, came. */
  readonly hasContent: boolean;
}

/** Why the end of an answer does not show that it is complete, if anything does. */
export function doubtAbout({
  hasContent,
}: UnframedAnswer): EndDoubt | undefined {
  if (!hasContent) return "empty";
  return undefined;
}
