// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Encoding of roll-out updates in messages between hosts.
 *
 * @module
 */
import type { RolloutUpdate } from "../rollout/rollout.ts";
import {
  isBoolean,
  isCount,
  isName,
  isNumber,
  listOf,
  nullable,
  oneOf,
  optional,
  recordOf,
  tupleOf,
} from "./checks.ts";

type Counts = Record<string, number>;

/**
 * Roll-out spec (service, target version, duration in milliseconds), versions of
 * the baseline, store version, remaining milliseconds, phase, and the sender's own
 * part (`null` from relays).
 */
type EncodedRollout = [
  string,
  string,
  number,
  string[],
  number,
  number,
  RolloutUpdate["phase"],
  [boolean, Counts, Counts] | null,
];

const isCounts = recordOf(isCount);

/**
 * Checks encoded roll-outs. The list has a message key of its own, which hosts of an
 * earlier version ignore.
 */
export const isRollouts = optional(
  listOf(
    tupleOf<EncodedRollout>(
      isName,
      isName,
      (value): value is number => isNumber(value) && value > 0,
      listOf(isName),
      isNumber,
      isNumber,
      oneOf("canary", "promoting", "completed", "rolled_back"),
      nullable(
        tupleOf<[boolean, Counts, Counts]>(isBoolean, isCounts, isCounts),
      ),
    ),
  ),
);

/** Encodes roll-out updates. */
export function encodedRollouts(
  updates: readonly RolloutUpdate[],
): EncodedRollout[] {
  return updates.map(({ spec: order, senderProgress: own, ...one }) => [
    order.service,
    order.toVersion,
    order.durationMilliseconds,
    [...one.baseline],
    one.storeVersion,
    Math.round(one.remainingMilliseconds),
    one.phase,
    own === undefined
      ? null
      : [own.hasLeftBaseline, { ...own.counts }, { ...own.waiting }],
  ]);
}

/** Decodes roll-out updates. */
export function rolloutsOf(
  encoded: readonly EncodedRollout[] | undefined,
): readonly RolloutUpdate[] {
  return (encoded ?? []).map(
    ([
      service,
      toVersion,
      durationMilliseconds,
      baseline,
      storeVersion,
      remainingMilliseconds,
      phase,
      senderProgress,
    ]) => ({
      spec: { service, toVersion, durationMilliseconds },
      baseline,
      storeVersion,
      remainingMilliseconds,
      phase,
      senderProgress:
        senderProgress === null
          ? undefined
          : {
              hasLeftBaseline: senderProgress[0],
              counts: senderProgress[1],
              waiting: senderProgress[2],
            },
    }),
  );
}
