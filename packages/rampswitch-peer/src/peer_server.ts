// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Answers to the peers, over HTTP/2.
 *
 * @module
 */
import { Code, ConnectError, type ServiceImpl } from "@connectrpc/connect";
import { connectNodeAdapter } from "@connectrpc/connect-node";
import { createServer, type Http2Session } from "node:http2";
import {
  type Clock,
  type Listening,
  listenUntilDisposed,
} from "rampswitch-utils";
import { PeerService } from "./generated/rampswitch/peer/v1/peer_pb.ts";
import { PEER_TOKEN_HEADER, type PeerTokens } from "./peer_token.ts";

/** What an entry host answers. */
export type PeerHandlers = ServiceImpl<typeof PeerService>;

/** Listens for peers; refuses callers without a valid token. */
export async function listenForPeers(
  address: string,
  handlers: PeerHandlers,
  options: { readonly tokens: PeerTokens; readonly clock: Clock },
): Promise<Listening> {
  const sessions = new Set<Http2Session>();
  const server = createServer(
    connectNodeAdapter({
      routes: (router) => {
        router.service(PeerService, handlers);
      },
      interceptors: [
        (next) => (request) => {
          const token = request.header.get(PEER_TOKEN_HEADER) ?? undefined;
          if (options.tokens.check(token, options.clock.now()) === undefined) {
            throw new ConnectError("not a peer", Code.Unauthenticated);
          }
          return next(request);
        },
      ],
    }),
  );
  server.on("session", (session) => {
    sessions.add(session);
    session.on("close", () => sessions.delete(session));
    session.on("error", () => undefined);
  });
  return await listenUntilDisposed(server, address, () =>
    sessions.forEach((session) => session.destroy()),
  );
}
