// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Backend servers as the platform lists them.
 *
 * @module
 */

/** One incarnation of a server: its id and, if known, when it started. */
export interface ServerIncarnation {
  readonly id: string;
  /** Start of the incarnation, in milliseconds since 1970. */
  readonly born?: number | undefined;
}

/** Returns an id that is unique among all incarnations of all servers. */
export function incarnationId({ id, born }: ServerIncarnation): string {
  return born === undefined ? id : `${id}/${born}`;
}

/** Returns the server's id in the id of an incarnation, if it names its start. */
export function serverOfIncarnation(incarnation: string): string {
  const end = incarnation.lastIndexOf("/");
  return end < 0 ? incarnation : incarnation.slice(0, end);
}

/** Whether a backend server accepts new work. */
export type BackendServerState = "ready" | "leaving";

/**
 * One incarnation of a backend server. A restarted server keeps its id and its
 * address, but none of the state of its former incarnation.
 */
export interface BackendServer {
  readonly id: string;
  /**
   * Start of this incarnation, in milliseconds since 1970; `undefined` where a
   * server reports none and has only one incarnation for its id.
   */
  readonly born: number | undefined;
  readonly service: string;
  /** IP address and port. */
  readonly address: string;
  readonly dataHall: string;
  /** Version of its software. */
  readonly version: string;
  /** Requests that the server runs at once. */
  readonly slots: number;
  readonly state: BackendServerState;
  /** Whether the cloud may reclaim its host. */
  readonly reclaimable: boolean;
}
