// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Types of the slot protocol: the slot's entry in the platform's table, the messages
 * between primary and backup, and the effects of decisions.
 *
 * @module
 */
import type { HostId } from "rampswitch-types";

/**
 * One slot's entry in the table. It is changed by conditional updates only, and each
 * change increases the epoch by one.
 */
export interface SlotEntry {
  readonly epoch: number;
  readonly primary: HostId;
  /** Absent while the primary has no backup. */
  readonly backup: HostId | undefined;
  /**
   * Time from which the primary knows all keys, in milliseconds since the Unix
   * epoch; 0 if no records were ever lost.
   */
  readonly knownSince: number;
}

/**
 * State of one key.
 *
 * - `claiming`: recorded, not sent.
 * - `sent`: sent to a backend server, or possibly sent by another host.
 * - `in_doubt`: may have run and must never be sent again.
 * - `withdrawn`: refused before it was sent.
 * - `done`: its outcome is known.
 */
export type KeyStatus = "claiming" | "sent" | "in_doubt" | "withdrawn" | "done";

/** One host's record of one key. */
export interface KeyRecord {
  readonly key: string;
  readonly status: KeyStatus;
  /** Whether the work must not run twice. */
  readonly guarded: boolean;
  /** The primary that claimed the key. */
  readonly claimant: HostId;
  /**
   * Time at which the record was created, in milliseconds since the Unix epoch. Not
   * used by this version; hosts of an earlier version expire records by it.
   */
  readonly recordedAt: number;
}

/** Messages of the slot protocol; each contains the epoch in which it was sent. */
export type SlotMessage =
  | {
      readonly kind: "claim";
      readonly slot: number;
      readonly epoch: number;
      readonly record: KeyRecord;
    }
  | {
      readonly kind: "claim_answer";
      readonly slot: number;
      readonly epoch: number;
      readonly key: string;
      readonly answer: ClaimAnswer;
    }
  | {
      readonly kind: "status";
      readonly slot: number;
      readonly epoch: number;
      readonly key: string;
      readonly status: KeyStatus;
    }
  | {
      readonly kind: "learn";
      readonly slot: number;
      readonly epoch: number;
      readonly records: readonly KeyRecord[];
    }
  | {
      readonly kind: "learned";
      readonly slot: number;
      readonly epoch: number;
    }
  | {
      readonly kind: "promote";
      readonly slot: number;
      readonly epoch: number;
    };

/**
 * Answer to a claim.
 *
 * - `held`: the claim was recorded.
 * - `old_epoch`: the claim is of an earlier epoch; its sender must read the table.
 * - `known`: the key is recorded in a state in which it must not be sent.
 */
export type ClaimAnswer = "held" | "old_epoch" | "known";

/** A conditional change of a slot's entry. */
export interface Proposal {
  readonly slot: number;
  /** The entry that must still be current; absent for a new slot. */
  readonly from: SlotEntry | undefined;
  readonly to: SlotEntry;
}

/** An action that the caller of a replica must perform after a decision. */
export type SlotEffect =
  | {
      readonly kind: "send";
      readonly to: HostId;
      readonly message: SlotMessage;
    }
  | { readonly kind: "execute"; readonly key: string }
  | { readonly kind: "propose"; readonly proposal: Proposal }
  | { readonly kind: "read_table"; readonly slot: number }
  | { readonly kind: "in_doubt"; readonly key: string }
  | { readonly kind: "taken_over"; readonly slot: number };

/** Decision of a replica on a request for a key. */
export type KeyDecision =
  | { readonly kind: "new" }
  | { readonly kind: "known"; readonly record: KeyRecord }
  | { readonly kind: "not_primary"; readonly primary: HostId | undefined }
  | { readonly kind: "history_lost" }
  | { readonly kind: "key_expired" }
  | { readonly kind: "key_time_ahead" };

/** A request for a key, as evaluated by the primary. */
export interface KeyRequest {
  readonly key: string;
  /** Creation time in the key, in milliseconds since the Unix epoch, if it has one. */
  readonly keyTime: number | undefined;
  readonly guarded: boolean;
}

/** Durations of the slot protocol, in milliseconds. */
export interface SlotTimes {
  /** How long the record of a key is retained. */
  readonly retention: number;
  /** Maximum difference between the clocks of callers and hosts. */
  readonly clockSkew: number;
}
