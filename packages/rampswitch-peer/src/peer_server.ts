// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Answers to the peers, over HTTP/2.
 *
 * @module
 */
import {
  Code,
  ConnectError,
  createContextKey,
  createContextValues,
  type ServiceImpl,
} from "@connectrpc/connect";
import { connectNodeAdapter } from "@connectrpc/connect-node";
import {
  createServer,
  type Http2Session,
  type ServerHttp2Stream,
} from "node:http2";
import {
  type Clock,
  type Listening,
  listenUntilDisposed,
} from "rampswitch-utils";
import { PeerService } from "./generated/rampswitch/peer/v1/peer_pb.ts";
import { PEER_TOKEN_HEADER, type PeerTokens } from "./peer_token.ts";

/** What an entry host answers. */
export type PeerHandlers = ServiceImpl<typeof PeerService>;

/** Session of a call, for what is noted of its connection. */
const SESSION = createContextKey<Http2Session | undefined>(undefined);

/** How peers are listened for. */
export interface PeerListenerOptions {
  readonly tokens: PeerTokens;
  readonly clock: Clock;
  /** Maximum number of connections; without a bound by default. */
  readonly maximumConnections?: number;
}

/** Listens for peers; refuses callers without a valid token. */
export async function listenForPeers(
  address: string,
  handlers: PeerHandlers,
  options: PeerListenerOptions,
): Promise<Listening> {
  const { maximumConnections = Infinity } = options;
  const sessions = new Set<Http2Session>();
  /** Sessions of which a call had a valid token. */
  const peers = new WeakSet<Http2Session>();
  const server = createServer(
    connectNodeAdapter({
      routes: (router) => {
        router.service(PeerService, handlers);
      },
      contextValues: (request) =>
        createContextValues().set(SESSION, sessionOf(request)),
      interceptors: [
        (next) => (request) => {
          const token = request.header.get(PEER_TOKEN_HEADER) ?? undefined;
          if (options.tokens.check(token, options.clock.now()) === undefined) {
            throw new ConnectError("not a peer", Code.Unauthenticated);
          }
          const session = request.contextValues.get(SESSION);
          if (session !== undefined) peers.add(session);
          return next(request);
        },
      ],
    }),
  );
  server.on("session", (session) => {
    session.on("close", () => sessions.delete(session));
    session.on("error", () => undefined);
    sessions.add(session);
    if (sessions.size <= maximumConnections) return;
    // The oldest connection that isn't known to be a peer's makes room.
    const spared = [...sessions].find((other) => !peers.has(other));
    (spared ?? session).destroy();
  });
  return await listenUntilDisposed(server, address, () =>
    sessions.forEach((session) => session.destroy()),
  );
}

function sessionOf(request: object): Http2Session | undefined {
  const { stream } = request as { readonly stream?: ServerHttp2Stream };
  return stream?.session;
}
