// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Types of the slot protocol: the table entry that the platform keeps, the
 * messages between primary and backup, and the effects of decisions.
 *
 * @module
 */
import type { HostId } from "rampswitch-types";

/**
 * One slot's entry in the table. It changes by conditional update only, and
 * every change raises the epoch by one.
 */
export interface SlotEntry {
  readonly epoch: number;
  readonly primary: HostId;
  /** Absent while the primary works alone. */
  readonly backup: HostId | undefined;
  /**
   * Milliseconds since the epoch from which on the primary knows every key;
   * 0 where nothing was ever lost.
   */
  readonly knownSince: number;
}

/**
 * State of one key. `claiming`: recorded, not sent. `sent`: handed to a backend
 * server, or perhaps handed by another host. `in_doubt`: never to be sent again.
 * `withdrawn`: refused before it was sent. `done`: its outcome is known.
 */
export type KeyStatus = "claiming" | "sent" | "in_doubt" | "withdrawn" | "done";

/** What a host remembers of one key. */
export interface KeyRecord {
  readonly key: string;
  readonly status: KeyStatus;
  /** Whether the work must not run twice. */
  readonly guarded: boolean;
  /** Primary that claimed the key. */
  readonly claimant: HostId;
  /**
   * Milliseconds since the epoch at which the record was made. Nothing here goes by
   * it; hosts of a former version forget by it.
   */
  readonly recordedAt: number;
}

/** Messages of the slot protocol; each names the epoch it was sent under. */
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
 * Answer to a claim. `old_epoch`: the asker must read the table. `known`: the
 * key is recorded in a state that forbids sending it.
 */
export type ClaimAnswer = "held" | "old_epoch" | "known";

/** A conditional change of the table. */
export interface Proposal {
  readonly slot: number;
  /** The entry that must still be in force; absent for a new slot. */
  readonly from: SlotEntry | undefined;
  readonly to: SlotEntry;
}

/** What the shell has to do after a decision. */
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

/** What the primary says to a request for a key. */
export type KeyVerdict =
  | { readonly kind: "new" }
  | { readonly kind: "known"; readonly record: KeyRecord }
  | { readonly kind: "not_primary"; readonly primary: HostId | undefined }
  | { readonly kind: "history_lost" }
  | { readonly kind: "key_expired" }
  | { readonly kind: "key_time_ahead" };

/** A request for a key, as the primary judges it. */
export interface KeyRequest {
  readonly key: string;
  /** Time within the key, in milliseconds; absent for keys without one. */
  readonly keyTime: number | undefined;
  readonly guarded: boolean;
}

/** Durations of the slot protocol, in milliseconds. */
export interface SlotTimes {
  /** How long a key is remembered. */
  readonly retention: number;
  /** Largest difference between the clocks of callers and hosts. */
  readonly clockSkew: number;
}
