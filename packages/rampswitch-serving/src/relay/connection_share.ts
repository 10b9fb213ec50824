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

/** A host's part of the connections. */
export interface ConnectionPart {
  /** Hosts that may be serving. */
  readonly hosts: number;
  /** This host's part of the requests for the service, 0 to 1. */
  readonly part: number;
}

/**
 * Maximum number of connections of one host to one server of a service. A host that
 * gets more requests than others may use more; they use less than an even share then.
 */
export function ownConnections(
  { maximumConnections }: Pick<Service, "maximumConnections">,
  { hosts, part }: ConnectionPart,
): number {
  const share =
    maximumConnections * CONNECTION_SHARE * Math.max(part, 1 / hosts);
  return Math.max(MINIMUM_CONNECTIONS, Math.floor(share));
}
