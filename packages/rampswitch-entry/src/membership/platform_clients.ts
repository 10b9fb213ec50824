// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Clients of the platform's host list and of the cloud API.
 *
 * @module
 */
import { Result } from "true-myth";
import { request } from "undici";
import type { ListedHost } from "rampswitch-types";

/** A notice that a host will be taken. */
export interface ReclaimNotice {
  readonly sequence: number;
  readonly host: string;
  /** Milliseconds since the epoch. */
  readonly deadline: number;
}

/** A host that was started through the cloud API. */
export interface CloudHost {
  readonly host: string;
  readonly hostClass: string;
  readonly dataHall: string;
  /** Chosen by whoever started it. */
  readonly token: string;
  /** IP number and port of its backend server, once it serves. */
  readonly address?: string;
}

/** The platform's list of live and leaving hosts; it lags. */
export interface HostListClient {
  hosts(): Promise<Result<readonly ListedHost[], string>>;
}

/** The cloud API: reclaim notices, starts and ends of hosts. */
export interface CloudClient {
  notices(after: number): Promise<Result<readonly ReclaimNotice[], string>>;
  /** Starts a host; a repeat of the same token starts nothing more. */
  start(
    hostClass: string,
    dataHall: string,
    options: { readonly token: string },
  ): Promise<Result<string, "refused" | "unavailable">>;
  end(host: string): Promise<Result<void, string>>;
  /** Hosts that were started and not ended. */
  hosts(): Promise<Result<readonly CloudHost[], string>>;
}

const CALL_MILLISECONDS = 1_000;

async function getJson(url: string): Promise<Result<unknown, string>> {
  try {
    const answer = await request(url, {
      signal: AbortSignal.timeout(CALL_MILLISECONDS),
    });
    const body = await answer.body.json();
    return answer.statusCode === 200
      ? Result.ok(body)
      : Result.err(`status ${answer.statusCode}`);
  } catch (error) {
    return Result.err(error instanceof Error ? error.message : String(error));
  }
}

/** Reads the host list over HTTP. */
export function httpHostList(address: string): HostListClient {
  return {
    hosts: async () =>
      (await getJson(`http://${address}/hosts`)).map(
        (body) => (body as { readonly hosts: readonly ListedHost[] }).hosts,
      ),
  };
}

/** Calls the cloud API over HTTP. */
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
          signal: AbortSignal.timeout(CALL_MILLISECONDS),
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
          { method: "DELETE", signal: AbortSignal.timeout(CALL_MILLISECONDS) },
        );
        await answer.body.dump();
        return Result.ok(undefined);
      } catch (error) {
        return Result.err(String(error));
      }
    },
  };
}
