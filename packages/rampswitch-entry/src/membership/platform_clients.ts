// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Clients of the platform's host list and of the cloud API.
 *
 * @module
 */
import { Result } from "true-myth";
import { request } from "undici";
import type { ListedHost } from "rampswitch-types";

/** A notice from the cloud that a host will be reclaimed. */
export interface ReclaimNotice {
  readonly sequence: number;
  readonly host: string;
  /** Time of the reclaim, in milliseconds since the Unix epoch. */
  readonly deadline: number;
}

/** A host that was started through the cloud API. */
export interface CloudHost {
  readonly host: string;
  readonly hostClass: string;
  readonly dataHall: string;
  /** Token that the caller passed to {@link CloudClient.start}. */
  readonly token: string;
  /** IP address and port of its backend server; absent until it serves. */
  readonly address?: string;
}

/**
 * Reads the platform's list of running and leaving hosts. The list lags behind
 * the actual state of the hosts.
 */
export interface HostListClient {
  hosts(): Promise<Result<readonly ListedHost[], string>>;
}

/** Reads reclaim notices and starts and ends hosts through the cloud API. */
export interface CloudClient {
  /** Reads the notices with a sequence number above `after`. */
  notices(after: number): Promise<Result<readonly ReclaimNotice[], string>>;
  /**
   * Starts a host and returns its name. A repeated call with the same token
   * starts no further host.
   */
  start(
    hostClass: string,
    dataHall: string,
    options: { readonly token: string },
  ): Promise<Result<string, "refused" | "unavailable">>;
  /** Ends a host. */
  end(host: string): Promise<Result<void, string>>;
  /** Lists the hosts that were started and have not been ended. */
  hosts(): Promise<Result<readonly CloudHost[], string>>;
}

const CALL_TIMEOUT_MILLISECONDS = 1_000;

async function getJson(url: string): Promise<Result<unknown, string>> {
  try {
    const answer = await request(url, {
      signal: AbortSignal.timeout(CALL_TIMEOUT_MILLISECONDS),
    });
    const body = await answer.body.json();
    return answer.statusCode === 200
      ? Result.ok(body)
      : Result.err(`status ${answer.statusCode}`);
  } catch (error) {
    return Result.err(error instanceof Error ? error.message : String(error));
  }
}

/** Creates a client that reads the host list over HTTP. */
export function httpHostList(address: string): HostListClient {
  return {
    hosts: async () =>
      (await getJson(`http://${address}/hosts`)).map(
        (body) => (body as { readonly hosts: readonly ListedHost[] }).hosts,
      ),
  };
}

/** Creates a client that calls the cloud API over HTTP. */
export function httpCloud(address: string): CloudClient {
  const base = `http://${address}`;
  return {
    notices: async (after) =>
      (await getJson(`${base}/notices?after=${after}`)).map(
        (body) =>
          (body as { readonly notices: readonly ReclaimNotice[] }).notices,
      ),
    hosts: async () =>
      (await getJson(`${base}/hosts`)).map(
        (body) => (body as { readonly hosts: readonly CloudHost[] }).hosts,
      ),
    start: async (hostClass, dataHall, { token }) => {
      try {
        const answer = await request(`${base}/hosts`, {
          method: "POST",
          body: JSON.stringify({ hostClass, dataHall, token }),
          signal: AbortSignal.timeout(CALL_TIMEOUT_MILLISECONDS),
        });
        const body = (await answer.body.json()) as { readonly host?: string };
        if (answer.statusCode === 200 && body.host !== undefined) {
          return Result.ok(body.host);
        }
        return Result.err(
          answer.statusCode === 409 ? "refused" : "unavailable",
        );
      } catch {
        return Result.err("unavailable");
      }
    },
    end: async (host) => {
      try {
        const answer = await request(
          `${base}/hosts/${encodeURIComponent(host)}`,
          {
            method: "DELETE",
            signal: AbortSignal.timeout(CALL_TIMEOUT_MILLISECONDS),
          },
        );
        await answer.body.dump();
        return Result.ok(undefined);
      } catch (error) {
        return Result.err(String(error));
      }
    },
  };
}
