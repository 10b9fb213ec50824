// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * How many connections to one backend server each host may use. Pure.
 *
 * @module
 */
import type { Service } from "../model/configuration.ts";

/** Share of a server's connections that all hosts together may use. */
const CONNECTION_SHARE = 0.8;

/** Minimum connections of a host to one server, even if its share is smaller. */
const MINIMUM_CONNECTIONS = 2;

/** Maximum number of connections of one host to one server of a service. */
export function ownConnections(
  { maximumConnections }: Pick<Service, "maximumConnections">,
  hosts: number,
): number {
  const share = (maximumConnections * CONNECTION_SHARE) / hosts;
  return Math.max(MINIMUM_CONNECTIONS, Math.floor(share));
}
