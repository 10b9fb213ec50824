// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * What hosts tell each other of the versions that began streams.
 *
 * @module
 */
import type { StreamKey } from "./begun_streams.ts";
import type { KeeperState, KeeperStates } from "./untold_streams.ts";

/** The version that began a stream, for hosts that keep it. */
export interface StreamRecord extends StreamKey {
  /** `undefined` if it can't be told which version the server had. */
  readonly version: string | undefined;
  /** Id of the server that began it; absent if it is not known. */
  readonly serverId?: string | undefined;
  /**
   * Start of the incarnation that began it, where that is not the listed one: its version
   * is known once an entry names it. Absent beside a version.
   */
  readonly start?: number | undefined;
  /** Time since it began, or was learned of, in milliseconds; absent if it began now. */
  readonly ageMilliseconds?: number | undefined;
  /** Time in which its caller may take it up, in milliseconds. */
  readonly lifetimeMilliseconds: number;
}

/** What the hosts that were asked know of a stream. */
export interface StreamReplies {
  readonly replies: readonly StreamReply[];
  /** Whether all of them replied that may reply. */
  readonly isComplete: boolean;
  /** Whether this host hears most hosts of the fleet. */
  readonly isMajority: boolean;
  /** What those that replied report of themselves. */
  readonly keepers: KeeperStates;
}

/** The answer of one host to a query for a stream. */
export interface HostReply {
  readonly reply: StreamReply;
  /** Absent from hosts of earlier releases. */
  readonly state?: KeeperState | undefined;
}

/** What is known before this host may ask others. */
export const NO_STREAM_REPLIES: StreamReplies = {
  replies: [],
  isComplete: false,
  isMajority: false,
  keepers: {
    vouchers: [],
    keepers: [],
    isOwnKeeper: false,
    isWholeFleetHeard: false,
  },
};

/** The version of a stream that a host knows. */
export interface KnownReply {
  readonly kind: "known";
  readonly version: string;
  /**
   * Id of the server that began it; absent if it is not known, or if the host has listed
   * that server with another version and took that into account.
   */
  readonly serverId?: string | undefined;
  /** Time since the host learned of it, in milliseconds. */
  readonly ageMilliseconds?: number | undefined;
}

/** What a host knows of the version that began a stream. */
export type StreamReply =
  | KnownReply
  /** The host has a record of the stream, and its version is uncertain. */
  | { readonly kind: "uncertain" }
  /** The service is known to have had this version alone for as long as a stream lasts. */
  | { readonly kind: "single"; readonly version: string }
  /** The same, but other versions may have been listed and removed unseen meanwhile. */
  | { readonly kind: "single_since_gap"; readonly version: string }
  /**
   * This version alone is listed, and the host doesn't know what served before, or its
   * list is older than another's.
   */
  | { readonly kind: "single_recently"; readonly version: string }
  /** The host knows no version of the service, as one that has just started. */
  | { readonly kind: "none" }
  /** The service has several versions. */
  | { readonly kind: "unknown" };

/** A reply that names a version. */
export type VersionReply = Extract<StreamReply, { readonly version: string }>;

/** Whether a reply names a version. */
export function namesVersion(reply: StreamReply): reply is VersionReply {
  return "version" in reply;
}
