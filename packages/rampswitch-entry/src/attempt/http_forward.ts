// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Passing HTTP requests and answers through, with back pressure.
 *
 * @module
 */
import type { IncomingHttpHeaders, ServerResponse } from "node:http";
import { pipeline } from "node:stream/promises";
import { HOP_BY_HOP_HEADERS } from "rampswitch-utils";
import type { BackendReply } from "./backend_client.ts";

/** Headers of a call that passes through, with some added. */
export type PassedHeaders = Readonly<
  Record<string, string | readonly string[]>
>;

/** Headers to pass on: none that concern this connection only. */
export function passedHeaders(
  headers: IncomingHttpHeaders,
  options: {
    readonly drop?: readonly string[];
    readonly add?: Readonly<Record<string, string>>;
  } = {},
): PassedHeaders {
  const named = String(headers.connection ?? "")
    .split(",")
    .map((name) => name.trim().toLowerCase());
  const dropped = new Set([...named, ...(options.drop ?? [])]);
  const kept = Object.entries(headers).flatMap(([name, value]) =>
    value === undefined || HOP_BY_HOP_HEADERS.has(name) || dropped.has(name)
      ? []
      : [[name, value] as const],
  );
  return { ...Object.fromEntries(kept), ...options.add };
}

/**
 * Streams an answer to the caller. Resolves to false where it broke off; the
 * caller's connection is then closed, so that it cannot take a part for the
 * whole.
 */
export async function passAnswer(
  reply: BackendReply,
  response: ServerResponse,
  added: Readonly<Record<string, string>>,
): Promise<boolean> {
  response.writeHead(
    reply.statusCode,
    passedHeaders(reply.headers, { add: added }) as Record<
      string,
      string | string[]
    >,
  );
  try {
    await pipeline(reply.body, response);
    return true;
  } catch {
    response.destroy();
    return false;
  }
}
