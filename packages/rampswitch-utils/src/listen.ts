// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Starting and ending HTTP servers.
 *
 * @module
 */
import type { Server } from "node:http";
import {
  type AddressInfo,
  isIPv4,
  isIPv6,
  type Server as NetServer,
} from "node:net";

/** A server that listens, and where. */
export interface Listening extends AsyncDisposable {
  /** IP number and port, as `127.0.0.1:8000`. */
  readonly address: string;
}

const MAXIMUM_PORT = 65_535;

/** IP number, in brackets for version 6, and port. */
const ADDRESS_PATTERN =
  /^(?:(?<ip4>[0-9.]+)|\[(?<ip6>[0-9a-f:.]+)\]):(?<port>[1-9][0-9]{0,4})$/i;

/** Whether a text is an IP number and a port that can be sent to. */
export function isAddress(text: string): boolean {
  const { ip4, ip6, port } = ADDRESS_PATTERN.exec(text)?.groups ?? {};
  const isIpNumber = ip4 === undefined ? isIPv6(ip6 ?? "") : isIPv4(ip4);
  return isIpNumber && Number(port) <= MAXIMUM_PORT;
}

/** Splits `127.0.0.1:8000` into its IP number and port. */
export function splitAddress(address: string): {
  readonly host: string;
  readonly port: number;
} {
  const at = address.lastIndexOf(":");
  return { host: address.slice(0, at), port: Number(address.slice(at + 1)) };
}

/** Listens on an address; port 0 lets the system choose one. */
export function listen(server: Server, address: string): Promise<Listening> {
  return listenUntilDisposed(server, address, () =>
    server.closeAllConnections(),
  );
}

/** Listens with any server; `closeAll` ends the connections that are open. */
export async function listenUntilDisposed(
  server: NetServer,
  address: string,
  closeAll: () => void,
): Promise<Listening> {
  const { host, port } = splitAddress(address);
  await new Promise<void>((resolve, reject) => {
    server.once("error", reject);
    server.listen(port, host, resolve);
  });
  const bound = server.address() as AddressInfo;
  return {
    address: `${host}:${bound.port}`,
    [Symbol.asyncDispose]: () =>
      new Promise((resolve) => {
        server.close(() => resolve());
        closeAll();
      }),
  };
}
