// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Backend servers as the platform lists them.
 *
 * @module
 */

/** A server at one moment: its id, and when its life began if that is known. */
export interface ServerLife {
  readonly id: string;
  /** Milliseconds since the epoch. */
  readonly born?: number | undefined;
}

/** Names one life among all lives of all servers. */
export function nameOfLife({ id, born }: ServerLife): string {
  return born === undefined ? id : `${id}/${born}`;
}

/** Whether a backend server takes new work. */
export type BackendServerState = "ready" | "leaving";

/**
 * One life of a backend server. A server that starts again keeps its id and its
 * address, and holds and knows nothing of its former life.
 */
export interface BackendServer {
  readonly id: string;
  /**
   * Start of this life, in milliseconds since 1970; `undefined` where a server
   * tells none and has one life for its id.
   */
  readonly born: number | undefined;
  readonly service: string;
  /** IP number and port. */
  readonly address: string;
  readonly dataHall: string;
  /** Version of its software. */
  readonly version: string;
  readonly slots: number;
  readonly state: BackendServerState;
  /** Whether the cloud may take its host back. */
  readonly reclaimable: boolean;
}
