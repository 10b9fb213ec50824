// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Counters of several entry hosts, added up.
 *
 * @module
 */
import type { EntryChild } from "./child.ts";
import { administration } from "./operator.ts";

/** Counters by name. */
export type Counters = Readonly<Record<string, number>>;

/** Reads the counters of one host; none where it does not answer. */
export async function countersOf(entry: EntryChild): Promise<Counters> {
  const status = await administration(
    entry.addresses.administration,
    "/v1/status",
  );
  return (
    (status as { readonly counters?: Counters } | undefined)?.counters ?? {}
  );
}

/** Reads and adds up the counters of all hosts. */
export async function summedCounters(
  entries: readonly EntryChild[],
): Promise<Counters> {
  const all = await Promise.all(entries.map(countersOf));
  const sums = new Map<string, number>();
  all
    .flatMap((counters) => Object.entries(counters))
    .forEach(([name, value]) => sums.set(name, (sums.get(name) ?? 0) + value));
  return Object.fromEntries(sums);
}
