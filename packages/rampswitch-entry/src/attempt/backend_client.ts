// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Calls to backend servers: connection pools, and the rule that decides whether
 * a failed call may have run.
 *
 * @module
 */
import type { Readable } from "node:stream";
import { Result } from "true-myth";
import { buildConnector, type Dispatcher, Pool } from "undici";
import {
  inDoubt,
  type InDoubt,
  refused,
  type RefusedNotRun,
} from "rampswitch-types";
import {
  isFinalStatus,
  isFramed,
  takesConnections,
  wasNeverConnected,
  withBoundedReading,
  withCorrectEnds,
} from "rampswitch-utils";

/** A call to a backend server. */
export interface BackendCall {
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string | readonly string[]>>;
  readonly body: Buffer | Readable | undefined;
  readonly timeoutMilliseconds: number;
  readonly signal?: AbortSignal;
}

/** Status and headers of an answer, and its body as a stream. */
export interface BackendReply extends Dispatcher.ResponseData {
  /**
   * Whether the end of the body is that of the answer. Without a length or chunks, the
   * end of the server's process looks the same; it takes no connections afterwards.
   */
  isWhole(): Promise<boolean>;
}

/** The outcome of a call without an answer. */
export type CallFailure = RefusedNotRun | InDoubt;

const CONNECT_TIMEOUT_MILLISECONDS = 1_000;
const CONNECTIONS_PER_SERVER = 256;
const KEEP_ALIVE_TIMEOUT_MILLISECONDS = 4_000;

const TIMEOUT_CODES: readonly string[] = [
  "UND_ERR_HEADERS_TIMEOUT",
  "UND_ERR_BODY_TIMEOUT",
];

/** HTTP client with a connection pool for each backend server. */
export class BackendClient implements AsyncDisposable {
  readonly #pools = new Map<string, Pool>();
  readonly #connect = withBoundedReading(
    withCorrectEnds(buildConnector({ timeout: CONNECT_TIMEOUT_MILLISECONDS })),
  );

  /** Makes a call; the error states whether the request may have run. */
  async call(
    address: string,
    call: BackendCall,
  ): Promise<Result<BackendReply, CallFailure>> {
    try {
      const reply = await this.#pool(address).request({
        method: call.method,
        path: call.path,
        headers: call.headers as Record<string, string | string[]>,
        body: call.body ?? null,
        headersTimeout: call.timeoutMilliseconds,
        bodyTimeout: call.timeoutMilliseconds,
        ...(call.signal === undefined ? {} : { signal: call.signal }),
      });
      if (!isFinalStatus(reply.statusCode))
        return Result.err(invalidStatus(address, reply));
      const isSure = hasMarkedEnd(call, reply);
      const isWhole = () =>
        isSure
          ? Promise.resolve(true)
          : takesConnections(this.#connect, address);
      return Result.ok({ ...reply, isWhole });
    } catch (error) {
      return Result.err(callFailure(address, error));
    }
  }

  /** Closes the pools of all servers but those at the given addresses. */
  closePoolsExcept(addresses: ReadonlySet<string>): void {
    [...this.#pools]
      .filter(([address]) => !addresses.has(address))
      .forEach(([address, pool]) => {
        this.#pools.delete(address);
        // Closing rejects only for a pool that is destroyed already.
        pool.close().catch(() => undefined);
      });
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await Promise.all([...this.#pools.values()].map((pool) => pool.destroy()));
  }

  #pool(address: string): Pool {
    const known = this.#pools.get(address);
    if (known !== undefined) return known;
    const pool = new Pool(`http://${address}`, {
      connections: CONNECTIONS_PER_SERVER,
      pipelining: 1,
      connect: this.#connect,
      keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MILLISECONDS,
    });
    this.#pools.set(address, pool);
    return pool;
  }
}

/** Closes the connection of an answer whose status is none; the call may have run. */
function invalidStatus(
  address: string,
  { statusCode, body }: Dispatcher.ResponseData,
): InDoubt {
  // Its destruction is an error to a stream that is not read to its end.
  body.on("error", () => undefined).destroy();
  const detail = `backend server at ${address}: invalid status ${statusCode}`;
  return inDoubt("backend_nonsense", detail);
}

/** Whether an answer marks its end by a length or by chunks. */
function hasMarkedEnd(
  { method }: BackendCall,
  { statusCode, headers }: Dispatcher.ResponseData,
): boolean {
  return isFramed({
    method,
    status: statusCode,
    transferEncoding: headers["transfer-encoding"]?.toString(),
    contentLength: headers["content-length"]?.toString(),
  });
}

/** Maps an error of a call to its outcome: not run, or in doubt. */
export function callFailure(address: string, error: unknown): CallFailure {
  const { code = "" } = error as NodeJS.ErrnoException;
  const message = error instanceof Error ? error.message : String(error);
  const detail = `backend server at ${address}: ${message}`;
  if (wasNeverConnected(error)) return refused("connect_failed", detail);
  if (TIMEOUT_CODES.includes(code)) return inDoubt("backend_timeout", detail);
  const unparsable = error instanceof Error && error.name === "HTTPParserError";
  return inDoubt(unparsable ? "backend_nonsense" : "backend_lost", detail);
}
