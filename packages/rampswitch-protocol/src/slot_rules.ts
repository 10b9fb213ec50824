// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * The rules that make a second execution impossible, each on its own, so that
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

/** Statuses from which a key may be claimed (again). */
const CLAIMABLE_STATUSES: readonly KeyStatus[] = ["claiming", "withdrawn"];

/** Rules of the slot protocol. */
export interface SlotRules {
  /** Whether a claim under an epoch may still be held. */
  acceptsEpoch(epoch: number, floor: number): boolean;
  /** Whether an answer to a claim counts under the epoch in force. */
  acceptsAnswer(epoch: number, current: number): boolean;
  /** Whether a third host may take a slot, given who is proved gone. */
  canTakeOver(entry: SlotEntry, isGone: (host: HostId) => boolean): boolean;
  /** Whether the primary can know a key with this time. */
  coversKey(
    keyTime: number | undefined,
    entry: SlotEntry,
    options: { readonly now: number; readonly times: SlotTimes },
  ): boolean;
  /** Hosts that must hold a claim before it is sent. */
  holders(entry: SlotEntry, learner: HostId | undefined): readonly HostId[];
  /** Whether a primary's unsent claims may be sent under the next entry. */
  retainsClaims(before: SlotEntry, after: SlotEntry, self: HostId): boolean;
  /** Whether a record brought by a primary replaces the known one. */
  acceptsRecord(known: KeyRecord | undefined): boolean;
  /** Answer to a claim of a key that is known already, or not at all. */
  answerClaim(known: KeyRecord | undefined, claimed: KeyRecord): ClaimAnswer;
}

/** The rules in force. */
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
