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
import {
  createConnectTransport,
  Http2SessionManager,
} from "@connectrpc/connect-node";
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

/** Maximum size of an answer, in bytes; a whole configuration is the largest. */
const MAXIMUM_ANSWER_BYTES = 16 * 1024 * 1024;

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
    const baseUrl = `http://${address}`;
    const client = createClient(
      PeerService,
      createConnectTransport({
        httpVersion: "2",
        baseUrl,
        interceptors: [this.#authenticate],
        readMaxBytes: MAXIMUM_ANSWER_BYTES,
        sessionManager: new GuardedSessions(baseUrl, {
          idleConnectionTimeoutMs: IDLE_CONNECTION_MILLISECONDS,
          pingIntervalMs: PING_MILLISECONDS,
        }),
      }),
    );
    this.#clients.set(address, client);
    return client;
  }
}

/**
 * The connections to one peer. A connection that its peer closes while it is idle is
 * destroyed with an error, which comes after its manager has turned to the next one and
 * would end the process; all calls of a connection are over by then.
 */
class GuardedSessions extends Http2SessionManager {
  override async request(
    ...call: Parameters<Http2SessionManager["request"]>
  ): ReturnType<Http2SessionManager["request"]> {
    const stream = await super.request(...call);
    const { session } = stream;
    if (session !== undefined && !session.listeners("error").includes(ignore))
      session.on("error", ignore);
    return stream;
  }
}

function ignore(): void {
  return;
}
