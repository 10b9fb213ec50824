// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Encoding of roll-out updates in messages between hosts.
 *
 * @module
 */
import * as z from "zod";
import type { RolloutUpdate } from "../rollout/rollout.ts";

/** Maximum length of the name of a version or a service, in characters. */
const MAXIMUM_NAME_CHARACTERS = 256;

const name = z.string().min(1).max(MAXIMUM_NAME_CHARACTERS);
const counts = z.record(z.string(), z.number().int().nonnegative());

/**
 * Roll-out spec (service, target version, duration in milliseconds), versions of
 * the baseline, store version, remaining milliseconds, phase, and the sender's own
 * part (`null` from relays).
 */
const ROLLOUT_SCHEMA = z.tuple([
  name,
  name,
  z.number().positive(),
  z.array(name),
  z.number(),
  z.number(),
  z.enum(["canary", "promoting", "completed", "rolled_back"]),
  z.tuple([z.boolean(), counts, counts]).nullable(),
]);

/** Has a message key of its own, which hosts of an earlier version ignore. */
export const ROLLOUTS_SCHEMA = z.array(ROLLOUT_SCHEMA).optional();

type EncodedRollout = z.input<typeof ROLLOUT_SCHEMA>;

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
  encoded: z.output<typeof ROLLOUTS_SCHEMA>,
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
