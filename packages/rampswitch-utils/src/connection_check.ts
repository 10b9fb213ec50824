// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Checks whether a process takes connections.
 *
 * @module
 */
import type { Connector } from "./connection_ends.ts";
import { splitAddress } from "./listen.ts";

/** Where a connection goes, as undici's connectors are told. */
export interface ConnectionTarget {
  readonly hostname: string;
  readonly host: string;
  readonly port: string;
  readonly protocol: string;
}

/** Whether a new connection to an address comes up; it is closed at once. */
export function takesConnections(
  open: Connector<ConnectionTarget>,
  address: string,
): Promise<boolean> {
  const { host, port } = splitAddress(address);
  // Version 6 of the protocol has brackets in addresses, and none in connections.
  const hostname = host.replace(/^\[|\]$/g, "");
  return new Promise((resolve) => {
    open(
      { hostname, host, port: String(port), protocol: "http:" },
      (error, socket) => {
        socket?.destroy();
        resolve(error === null);
      },
    );
  });
}
