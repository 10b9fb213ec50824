// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Forwards HTTP requests and answers, with back pressure.
 *
 * @module
 */
import type { IncomingHttpHeaders, ServerResponse } from "node:http";
import { pipeline } from "node:stream/promises";
import { abortResponse, HOP_BY_HOP_HEADERS } from "rampswitch-utils";
import type { BackendReply } from "./backend_client.ts";

/** Headers of a forwarded request or answer, with some added. */
export type ForwardedHeaders = Readonly<
  Record<string, string | readonly string[]>
>;

/** Headers to forward: all but hop-by-hop headers and those in `drop`. */
export function forwardedHeaders(
  headers: IncomingHttpHeaders,
  options: {
    readonly drop?: readonly string[];
    readonly add?: Readonly<Record<string, string>>;
  } = {},
): ForwardedHeaders {
  const connectionHeaders = String(headers.connection ?? "")
    .split(",")
    .map((name) => name.trim().toLowerCase());
  const dropped = new Set([...connectionHeaders, ...(options.drop ?? [])]);
  const forwarded = Object.entries(headers).flatMap(([name, value]) =>
    value === undefined || HOP_BY_HOP_HEADERS.has(name) || dropped.has(name)
      ? []
      : [[name, value] as const],
  );
  return { ...Object.fromEntries(forwarded), ...options.add };
}

/**
 * Streams an answer to the caller. Resolves to false if the answer broke off.
 * The caller's connection is then closed, so that the caller can't mistake a
 * partial answer for a complete one.
 */
export async function forwardAnswer(
  reply: BackendReply,
  response: ServerResponse,
  added: Readonly<Record<string, string>>,
): Promise<boolean> {
  response.writeHead(
    reply.statusCode,
    forwardedHeaders(reply.headers, { add: added }) as Record<
      string,
      string | string[]
    >,
  );
  try {
    // A pipeline that ends the response closes its connection in the regular way if the
    // answer breaks off.
    await pipeline(reply.body, response, { end: false });
    if (await reply.isWhole()) {
      response.end();
      return true;
    }
  } catch {
    // The answer or the caller's connection broke off.
  }
  abortResponse(response);
  return false;
}
