// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * A server that writes its answers past the HTTP library, so that they may be cut off.
 *
 * @module
 */
import { createServer, type Socket } from "node:net";
import { type Listening, listenUntilDisposed } from "rampswitch-utils";
import { OWN_ADDRESS } from "./own_loopback.ts";

/** Starts a server that answers the first bytes on each connection. */
export function startRawServer(
  answer: (socket: Socket) => void,
): Promise<Listening> {
  const sockets = new Set<Socket>();
  const server = createServer((socket) => {
    sockets.add(socket);
    socket.on("error", () => undefined);
    socket.once("close", () => sockets.delete(socket));
    socket.once("data", () => answer(socket));
  });
  return listenUntilDisposed(server, OWN_ADDRESS, () =>
    sockets.forEach((socket) => socket.destroy()),
  );
}
