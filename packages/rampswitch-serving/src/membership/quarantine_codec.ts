// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Encoding of the requests during which servers ended, in messages between hosts.
 *
 * @module
 */
import {
  FINGERPRINT_PATTERN,
  type QuarantineUpdate,
} from "../quarantine/mod.ts";
import {
  isNonnegative,
  isNumber,
  isNumbers,
  isString,
  listOf,
  nullable,
  optional,
  tupleOf,
} from "./checks.ts";

/**
 * Fingerprint, ages of the ends by server incarnation, age of the newest trial,
 * number of trials, age of the newest complete run.
 */
type EncodedRequest = [
  string,
  Record<string, number>,
  number | null,
  number,
  number | null,
];

/** Encoded requests during which servers ended. */
export type EncodedQuarantine = EncodedRequest[];

/**
 * Checks encoded requests. The list has a message key of its own: hosts of an earlier
 * version accept a message with unknown keys, but reject one in which the value of a
 * known key has another structure.
 */
export const isQuarantine = optional(
  listOf(
    tupleOf<EncodedRequest>(
      (value): value is string =>
        isString(value) && FINGERPRINT_PATTERN.test(value),
      isNumbers,
      nullable(isNumber),
      isNonnegative,
      nullable(isNumber),
    ),
  ),
);

/** Encodes requests; `undefined` when there are none. */
export function encodedQuarantine(
  requests: readonly QuarantineUpdate[],
): EncodedQuarantine | undefined {
  if (requests.length === 0) return undefined;
  return requests.map((request) => [
    request.fingerprint,
    Object.fromEntries(
      Object.entries(request.lostIncarnations).map(([incarnation, age]) => [
        incarnation,
        Math.round(age),
      ]),
    ),
    roundedAge(request.lastTrialAge),
    request.trials,
    roundedAge(request.completedAge),
  ]);
}

/** Decodes requests. */
export function quarantineOf(
  encoded: EncodedQuarantine | undefined,
): readonly QuarantineUpdate[] {
  return (encoded ?? []).map(
    ([fingerprint, losses, trialAge, trials, completionAge]) => ({
      fingerprint,
      lostIncarnations: losses,
      lastTrialAge: trialAge ?? undefined,
      trials,
      completedAge: completionAge ?? undefined,
    }),
  );
}

function roundedAge(age: number | undefined): number | null {
  return age === undefined ? null : Math.round(age);
}
