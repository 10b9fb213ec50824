// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Backend servers as the platform lists them.
 *
 * @module
 */

/** Whether a backend server takes new work. */
export type BackendServerState = "ready" | "leaving";

/** One life of a backend server; a restart has another id. */
export interface BackendServer {
  readonly id: string;
  readonly service: string;
  /** IP number and port. */
  readonly address: string;
  readonly dataHall: string;
  readonly slots: number;
  readonly state: BackendServerState;
  /** Whether the cloud may take its host back. */
  readonly reclaimable: boolean;
}
