// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Connections to one backend server that each host may use. Pure.
 *
 * @module
 */
import type { Service } from "../model/configuration.ts";

/** Share of a server's connections that all hosts together use. */
const CONNECTION_SHARE = 0.8;

/** Connections to one server that a host may use, whatever its share. */
const LEAST_CONNECTIONS = 2;

/** Connections of one host to one server of a service. */
export function ownConnections(
  { maximumConnections }: Pick<Service, "maximumConnections">,
  hosts: number,
): number {
  const share = (maximumConnections * CONNECTION_SHARE) / hosts;
  return Math.max(LEAST_CONNECTIONS, Math.floor(share));
}
