// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Seeded plans of faults.
 *
 * @module
 */
import { type Random } from "rampswitch-utils";

/** Kinds of faults that are announced. */
export const ANNOUNCED_FAULTS = [
  "backend_reclaim",
  "backend_hall_reclaim",
  "entry_reclaim",
  "entry_planned_stop",
] as const;

/** Kinds of faults that come without a word. */
export const SUDDEN_FAULTS = [
  "entry_kill",
  "entry_pause",
  "backend_loss",
  "store_outage",
  "lost_store_answers",
  "severed_links",
] as const;

/** One kind of fault. */
export type FaultKind =
  | (typeof ANNOUNCED_FAULTS)[number]
  | (typeof SUDDEN_FAULTS)[number]
  | "hall_wave";

/** One fault at a time from the start. */
export interface PlannedFault {
  readonly kind: FaultKind;
  readonly atMilliseconds: number;
  /** Number from which the victim is drawn. */
  readonly draw: number;
}

const FIRST_MILLISECONDS = 500;
const DRAWS = 1_000;

/** Plans faults of some kinds, each kind in turn, evenly over a time. */
export function planFaults(
  kinds: readonly FaultKind[],
  random: Random,
  options: { readonly milliseconds: number; readonly count: number },
): readonly PlannedFault[] {
  const step = (options.milliseconds - FIRST_MILLISECONDS) / options.count;
  return Array.from({ length: options.count }, (_, index) => ({
    kind: kinds[index % kinds.length] ?? "entry_kill",
    atMilliseconds: FIRST_MILLISECONDS + step * (index + random.next() / 2),
    draw: random.below(DRAWS),
  }));
}

/** Counts faults by kind. */
export function countFaults(
  faults: readonly PlannedFault[],
): Readonly<Record<string, number>> {
  return faults.reduce<Record<string, number>>(
    (counts, { kind }) => ({ ...counts, [kind]: (counts[kind] ?? 0) + 1 }),
    {},
  );
}
