// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * UDP transport between hosts. Gossip is periodic and cumulative, so a lost
 * message needs no retransmission and peers need no connections.
 *
 * @module
 */
import { createSocket, type Socket } from "node:dgram";
import { splitAddress } from "rampswitch-utils";

/** Sends and receives datagrams. */
export interface PeerTransport extends AsyncDisposable {
  /** IP address and port that peers send to. */
  readonly address: string;
  send(address: string, datagram: Buffer): void;
}

/** Opens a UDP socket that passes every datagram to `receive`. */
export async function openPeerTransport(
  address: string,
  receive: (datagram: Buffer) => void,
  onError: (error: Error) => void,
): Promise<PeerTransport> {
  const { host, port } = splitAddress(address);
  const socket = createSocket("udp4");
  socket.on("message", receive);
  await bindSocket(socket, host, port);
  socket.on("error", onError);
  let isClosed = false;
  return {
    address: `${host}:${socket.address().port}`,
    send: (to, datagram) => {
      // Requests may still end while the host is disposed of, and tell others.
      if (isClosed) return;
      const target = splitAddress(to);
      socket.send(datagram, target.port, target.host, (error) => {
        if (error !== null) onError(error);
      });
    },
    [Symbol.asyncDispose]: () =>
      new Promise((resolve) => {
        isClosed = true;
        socket.close(() => resolve());
      }),
  };
}

function bindSocket(socket: Socket, host: string, port: number): Promise<void> {
  return new Promise((resolve, reject) => {
    socket.once("error", reject);
    socket.bind(port, host, () => {
      socket.off("error", reject);
      resolve();
    });
  });
}
