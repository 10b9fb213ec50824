// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * The rules that prevent a second execution. They are separate functions, so that
 * the exploration can replace one and must then find a second execution.
 *
 * @module
 */
import type { HostId } from "rampswitch-types";
import type {
  ClaimAnswer,
  KeyRecord,
  KeyStatus,
  SlotEntry,
  SlotTimes,
} from "./slot_types.ts";

/** Statuses in which a key may be claimed (again), because it was not sent. */
const CLAIMABLE_STATUSES: readonly KeyStatus[] = ["claiming", "withdrawn"];

/** Rules of the slot protocol. */
export interface SlotRules {
  /** Whether a claim of an epoch may still be recorded. */
  acceptsEpoch(epoch: number, floor: number): boolean;
  /** Whether an answer to a claim is valid in the current epoch. */
  acceptsAnswer(epoch: number, current: number): boolean;
  /** Whether a host without a role may take over a slot; a holder must have ended. */
  canTakeOver(entry: SlotEntry, isGone: (host: HostId) => boolean): boolean;
  /** Whether the primary's records cover a key with this creation time. */
  coversKey(
    keyTime: number | undefined,
    entry: SlotEntry,
    options: { readonly now: number; readonly times: SlotTimes },
  ): boolean;
  /** Hosts that must record a claim before the key is sent. */
  holders(entry: SlotEntry, learner: HostId | undefined): readonly HostId[];
  /** Whether a primary may send its pending claims in the next epoch. */
  retainsClaims(before: SlotEntry, after: SlotEntry, self: HostId): boolean;
  /** Whether a record received from a primary replaces the known one. */
  acceptsRecord(known: KeyRecord | undefined): boolean;
  /** Answer to a claim, given the known record of the key if there is one. */
  answerClaim(known: KeyRecord | undefined, claimed: KeyRecord): ClaimAnswer;
}

/** The rules used in production. */
export const SLOT_RULES: SlotRules = {
  acceptsEpoch: (epoch, floor) => epoch >= floor,
  acceptsAnswer: (epoch, current) => epoch === current,
  canTakeOver: (entry, isGone) =>
    isGone(entry.primary) ||
    (entry.backup !== undefined && isGone(entry.backup)),
  coversKey: (keyTime, entry, { now, times }) =>
    entry.knownSince === 0 ||
    (keyTime === undefined
      ? now > entry.knownSince + times.retention
      : keyTime > entry.knownSince + times.clockSkew),
  holders: (entry, learner) =>
    [entry.backup, learner]
      .filter((host) => host !== undefined)
      .filter((host, index, hosts) => hosts.indexOf(host) === index),
  retainsClaims: (before, after, self) =>
    before.primary === self &&
    after.primary === self &&
    after.epoch === before.epoch + 1,
  acceptsRecord: (known) =>
    known === undefined || CLAIMABLE_STATUSES.includes(known.status),
  answerClaim: (known, claimed) =>
    known === undefined ||
    (CLAIMABLE_STATUSES.includes(known.status) &&
      known.claimant === claimed.claimant)
      ? "held"
      : "known",
};
