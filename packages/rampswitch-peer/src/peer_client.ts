// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Calls to the peers, with deadlines and reused connections.
 *
 * @module
 */
import {
  type Client,
  createClient,
  type Interceptor,
} from "@connectrpc/connect";
import { createConnectTransport } from "@connectrpc/connect-node";
import { Result } from "true-myth";
import type { Clock } from "rampswitch-utils";
import { PeerService } from "./generated/rampswitch/peer/v1/peer_pb.ts";
import { PEER_TOKEN_HEADER, type PeerTokens } from "./peer_token.ts";

/** The typed client of one peer. */
export type PeerClient = Client<typeof PeerService>;

/** Why a call to a peer failed. */
export interface PeerCallError {
  readonly address: string;
  readonly detail: string;
}

const IDLE_CONNECTION_MILLISECONDS = 30_000;
const PING_MILLISECONDS = 10_000;

/** Clients of all peers, made at their first use. */
export class PeerClients {
  readonly #clients = new Map<string, PeerClient>();
  readonly #authenticate: Interceptor;

  constructor(tokens: PeerTokens, clock: Clock) {
    this.#authenticate = (next) => (request) => {
      request.header.set(PEER_TOKEN_HEADER, tokens.make(clock.now()));
      return next(request);
    };
  }

  /** Calls a peer; every failure is a value. */
  async call<Answer>(
    address: string,
    run: (client: PeerClient) => Promise<Answer>,
  ): Promise<Result<Answer, PeerCallError>> {
    try {
      return Result.ok(await run(this.#client(address)));
    } catch (error) {
      const detail = error instanceof Error ? error.message : String(error);
      return Result.err({ address, detail });
    }
  }

  #client(address: string): PeerClient {
    const known = this.#clients.get(address);
    if (known !== undefined) return known;
    const client = createClient(
      PeerService,
      createConnectTransport({
        httpVersion: "2",
        baseUrl: `http://${address}`,
        interceptors: [this.#authenticate],
        idleConnectionTimeoutMs: IDLE_CONNECTION_MILLISECONDS,
        pingIntervalMs: PING_MILLISECONDS,
      }),
    );
    this.#clients.set(address, client);
    return client;
  }
}
