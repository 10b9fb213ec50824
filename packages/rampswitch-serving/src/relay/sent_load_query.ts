// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Sends a query for the load of a server through the connections of its requests, so
 * that a send after it finds an open one.
 *
 * @module
 */
import type {
  LoadQueryListener,
  SentLoadQuery,
  ServerRecord,
} from "../choice/mod.ts";
import type { AnswerHead } from "../model/request.ts";
import type { RequestContext } from "./request_context.ts";

/** Sends a query to a server; the listener is called once unless it is aborted. */
export function sendLoadQuery(
  { entry }: ServerRecord,
  query: { readonly path: string; readonly listener: LoadQueryListener },
  { client, codec }: Pick<RequestContext, "client" | "codec">,
): SentLoadQuery {
  let head: AnswerHead | undefined;
  return client.send(
    entry,
    {
      method: "GET",
      target: query.path,
      headers: codec.encodeLoadQuery(entry.id),
      body: undefined,
    },
    {
      written: () => undefined,
      head: (status, headers) => {
        head = codec.decodeAnswer(status, headers);
      },
      data: () => undefined,
      ended: () => {
        // An answer that another server gave says nothing of this one.
        const load = head?.notExecuted === false ? head.load : undefined;
        onceReusable(() =>
          query.listener(
            load === undefined
              ? { kind: "unreadable" }
              : { kind: "answered", load },
          ),
        );
      },
      failed: () => query.listener({ kind: "failed" }),
    },
  );
}

/**
 * Calls back when the connection of an answer that has just ended can be used again.
 * The client waits for one turn of the event loop, in case the server closes it; a send
 * before that would open another connection.
 */
function onceReusable(callback: () => void): void {
  setImmediate(() => setImmediate(callback));
}
