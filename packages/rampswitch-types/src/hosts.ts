// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * The hosts of a deployment: their data halls, their addresses and the ids of
 * the processes on them.
 *
 * @module
 */

/**
 * Id of one incarnation of an entry process: the host's name, the start time and
 * the incarnation. See {@link hostId}.
 */
export type HostId = string;

/** One entry process, as its peers see it. */
export interface Host {
  /** Unique to one incarnation of the process. */
  readonly id: HostId;
  /** Name from the settings; the same after a restart. */
  readonly name: string;
  readonly dataHall: string;
  /** IP address and port that peers call. */
  readonly peerAddress: string;
  /** IP address and port for callers and for peers that forward requests. */
  readonly callerAddress: string;
  /** Milliseconds since the epoch at which the process started. */
  readonly startedAt: number;
}

const RADIX = 36;

/**
 * Builds the id of one incarnation of a process. The id contains the start
 * time, so a later incarnation of the same name proves that an earlier one has
 * ended.
 */
export function hostId(
  name: string,
  startedAt: number,
  incarnation: string,
): HostId {
  return `${name}~${Math.round(startedAt).toString(RADIX)}~${incarnation}`;
}

/** Returns the start time within a host id, in milliseconds since the epoch. */
export function hostStartedAt(id: HostId): number {
  return Number.parseInt(id.split("~")[1] ?? "", RADIX);
}

/** Returns the host name within a host id. */
export function hostName(id: HostId): string {
  return id.split("~")[0] ?? id;
}

/** State of a host on the platform's list. */
export interface ListedHost {
  readonly name: string;
  readonly state: "live" | "leaving";
  /** Milliseconds since the epoch at which a leaving host is reclaimed. */
  readonly deadline?: number;
}
