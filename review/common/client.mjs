// A client: sends one request on a connection of its own and keeps what it gets.

import { randomUUID } from "node:crypto";
import { Agent, request } from "node:http";
import { HEADERS, KEY_SCHEME } from "../../platform/dist/names.js";
import { CALLER_HOST, CALLER_KEY } from "./deployment.mjs";

const EVENT_ID = /^id: (\d+)$/gm;

/** Time beyond the deadline for which a client waits, in milliseconds. */
const PATIENCE_MILLISECONDS = 3_000;

/** Connections of a client that uses each of them once. */
function newAgent() {
  return new Agent({ keepAlive: false });
}

/** A connection of a client that keeps it for many requests. */
export function keptConnection() {
  return new Agent({ keepAlive: true, maxSockets: 1 });
}

/** Sends a request to a host; resolves to what the client saw. */
export function send(host, path, { deadline, record, agent = newAgent() }) {
  const attempt = randomUUID();
  const seen = { attempt, path, host: host.name, text: "", whole: false };
  seen.sentAt = record.now();
  record.add("client", "sends", { request: attempt, path, host: host.name });
  return new Promise((resolve) => {
    const ended = (error) => {
      if (seen.endedAt !== undefined) return;
      seen.endedAt = record.now();
      seen.error = error?.code ?? error?.message;
      seen.ids = [...seen.text.matchAll(EVENT_ID)].map(([, id]) => Number(id));
      record.add("client", "has", {
        request: attempt,
        status: seen.status ?? "none",
        whole: seen.whole,
        events: seen.ids.length,
        after: seen.endedAt - seen.sentAt,
        error: seen.error,
      });
      resolve(seen);
    };
    const sent = request(
      `http://${host.front}${path}`,
      {
        method: "POST",
        agent,
        timeout: deadline + PATIENCE_MILLISECONDS,
        headers: {
          host: CALLER_HOST,
          [HEADERS.attemptId]: attempt,
          [HEADERS.deadline]: String(deadline),
          [HEADERS.authorization]: `${KEY_SCHEME} ${CALLER_KEY}`,
        },
      },
      (response) => {
        seen.status = response.statusCode;
        response.on("data", (chunk) => {
          seen.text += chunk;
        });
        response.on("end", () => {
          seen.whole = response.complete;
          ended();
        });
        response.on("error", ended);
        response.on("close", () => ended(new Error("closed")));
      },
    );
    sent.on("timeout", () => sent.destroy(new Error("no answer")));
    sent.on("error", ended);
    sent.end("what is asked");
  });
}
