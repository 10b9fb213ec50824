// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Clients of the platform's host list and of the cloud API.
 *
 * @module
 */
import { Result } from "true-myth";
import { Agent, buildConnector, request } from "undici";
import type { ListedHost } from "rampswitch-types";
import {
  readText,
  withBoundedReading,
  withCorrectEnds,
} from "rampswitch-utils";
import { decodeJson, listOf } from "rampswitch-validation";
import * as z from "zod";

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

/** Maximum size of an answer, in bytes; a list has some hundred bytes for each host. */
const MAXIMUM_ANSWER_BYTES = 16 * 1024 * 1024;

/** A whole number of milliseconds or a sequence number. */
const NUMBER_SCHEMA = z.int().nonnegative();

const HOST_LIST_SCHEMA = z.object({
  hosts: listOf(
    z.object({
      name: z.string(),
      state: z.enum(["live", "leaving"]),
      deadline: z.number().exactOptional(),
    }),
  ),
});

const NOTICES_SCHEMA = z.object({
  notices: listOf(
    z.object({
      sequence: NUMBER_SCHEMA,
      host: z.string(),
      deadline: z.number(),
    }),
  ),
});

const CLOUD_HOSTS_SCHEMA = z.object({
  hosts: listOf(
    z.object({
      host: z.string(),
      hostClass: z.string(),
      dataHall: z.string(),
      token: z.string(),
      address: z.string().exactOptional(),
    }),
  ),
});

const STARTED_HOST_SCHEMA = z.object({ host: z.string() });

/** Connections to the host list and the cloud. */
const CONNECTIONS = new Agent({
  connect: withBoundedReading(
    withCorrectEnds(buildConnector({ timeout: CALL_TIMEOUT_MILLISECONDS })),
  ),
});

async function getDecoded<Schema extends z.ZodType>(
  url: string,
  schema: Schema,
): Promise<Result<z.output<Schema>, string>> {
  try {
    const answer = await request(url, {
      dispatcher: CONNECTIONS,
      signal: AbortSignal.timeout(CALL_TIMEOUT_MILLISECONDS),
    });
    const body = await readText(answer.body, MAXIMUM_ANSWER_BYTES);
    return answer.statusCode === 200
      ? body
          .mapErr((error) => `body ${error}`)
          .andThen((text) => decodeJson(schema, text, "answer"))
      : Result.err(`status ${answer.statusCode}`);
  } catch (error) {
    return Result.err(error instanceof Error ? error.message : String(error));
  }
}

/** Creates a client that reads the host list over HTTP. */
export function httpHostList(address: string): HostListClient {
  return {
    hosts: async () =>
      (await getDecoded(`http://${address}/hosts`, HOST_LIST_SCHEMA)).map(
        ({ hosts }) => hosts,
      ),
  };
}

/** Statuses which tell that a host is gone: just ended, or not known any more. */
const ENDED_STATUSES: ReadonlySet<number> = new Set([200, 404]);

/** Creates a client that calls the cloud API over HTTP. */
export function httpCloud(address: string): CloudClient {
  const base = `http://${address}`;
  return {
    notices: async (after) =>
      (await getDecoded(`${base}/notices?after=${after}`, NOTICES_SCHEMA)).map(
        ({ notices }) => notices,
      ),
    hosts: async () =>
      (await getDecoded(`${base}/hosts`, CLOUD_HOSTS_SCHEMA)).map(
        ({ hosts }) => hosts,
      ),
    start: async (hostClass, dataHall, { token }) => {
      try {
        const answer = await request(`${base}/hosts`, {
          dispatcher: CONNECTIONS,
          method: "POST",
          body: JSON.stringify({ hostClass, dataHall, token }),
          signal: AbortSignal.timeout(CALL_TIMEOUT_MILLISECONDS),
        });
        const body = await readText(answer.body, MAXIMUM_ANSWER_BYTES);
        if (answer.statusCode === 409) return Result.err("refused");
        if (answer.statusCode !== 200) return Result.err("unavailable");
        return body
          .mapErr(String)
          .andThen((text) => decodeJson(STARTED_HOST_SCHEMA, text, "answer"))
          .map(({ host }) => host)
          .mapErr(() => "unavailable");
      } catch {
        return Result.err("unavailable");
      }
    },
    end: async (host) => {
      try {
        const answer = await request(
          `${base}/hosts/${encodeURIComponent(host)}`,
          {
            dispatcher: CONNECTIONS,
            method: "DELETE",
            signal: AbortSignal.timeout(CALL_TIMEOUT_MILLISECONDS),
          },
        );
        await answer.body.dump();
        return ENDED_STATUSES.has(answer.statusCode)
          ? Result.ok(undefined)
          : Result.err(`status ${answer.statusCode}`);
      } catch (error) {
        return Result.err(String(error));
      }
    },
  };
}
