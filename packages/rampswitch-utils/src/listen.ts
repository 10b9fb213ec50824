// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Starting and closing servers.
 *
 * @module
 */
import type { Server, ServerResponse } from "node:http";
import {
  type AddressInfo,
  isIPv4,
  isIPv6,
  type Server as NetServer,
} from "node:net";
import { abortResponse } from "./abort_response.ts";

/** A listening server; disposing of it closes the server and its connections. */
export interface Listening extends AsyncDisposable {
  /** IP address and port, such as `127.0.0.1:8000`. */
  readonly address: string;
}

const MAXIMUM_PORT = 65_535;

/** IP address, in brackets for version 6, and port. */
const ADDRESS_PATTERN =
  /^(?:(?<ip4>[0-9.]+)|\[(?<ip6>[0-9a-f:.]+)\]):(?<port>[1-9][0-9]{0,4})$/i;

/** Returns whether a text is an IP address and a port that can be connected to. */
export function isAddress(text: string): boolean {
  const { ip4, ip6, port } = ADDRESS_PATTERN.exec(text)?.groups ?? {};
  const isIpNumber = ip4 === undefined ? isIPv6(ip6 ?? "") : isIPv4(ip4);
  return isIpNumber && Number(port) <= MAXIMUM_PORT;
}

/** Splits `127.0.0.1:8000` into IP address and port. */
export function splitAddress(address: string): {
  readonly host: string;
  readonly port: number;
} {
  const at = address.lastIndexOf(":");
  return { host: address.slice(0, at), port: Number(address.slice(at + 1)) };
}

/**
 * Starts an HTTP server on an address; port 0 lets the system choose a port. Answers
 * that have not been sent on disposal are aborted.
 */
export function listen(server: Server, address: string): Promise<Listening> {
  const open = new Set<ServerResponse>();
  server.on("request", (_incoming, response) => {
    open.add(response);
    response.once("close", () => open.delete(response));
  });
  return listenUntilDisposed(server, address, () => {
    [...open]
      .filter(({ writableFinished }) => !writableFinished)
      .forEach(abortResponse);
    server.closeAllConnections();
  });
}

/** Starts any server; `closeAll` closes the open connections on disposal. */
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
