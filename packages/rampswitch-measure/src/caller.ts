// Copyright 2026 the rampswitch authors. Apache-2.0 license.

import { type Dispatcher, Pool } from "undici";
import { answerText } from "rampswitch-standins";
import { parseJson } from "rampswitch-utils";
import { SERVICES, workspaceKey } from "./deployment_plan.ts";

/** What one call brought. */
export interface CallResult {
  readonly status: number;
  /** Whether the answer came to its proper end. */
  readonly whole: boolean;
  readonly requestId: string | undefined;
  /** Whether the work ran, where the answer is a problem document. */
  readonly ran: "no" | "yes" | "unknown" | undefined;
  readonly reason: string | undefined;
  readonly retryAfterMilliseconds: number | undefined;
  readonly text: string;
  /** Number of the last event that came; -1 for none. */
  readonly lastEvent: number;
  readonly firstByteMilliseconds: number;
  readonly milliseconds: number;
}

/** A chat request. */
export interface ChatCall {
  readonly prompt: string;
  readonly tokens: number;
  readonly streamed: boolean;
  readonly key?: string;
  readonly workspace: string;
  readonly lastEvent?: number;
  readonly deadlineMilliseconds?: number;
}

const CALL_MILLISECONDS = 30_000;
const CONNECTIONS = 512;

/** Connections to one address. */
export class Caller implements AsyncDisposable {
  readonly #pool: Pool;

  constructor(address: string) {
    this.#pool = new Pool(`http://${address}`, {
      connections: CONNECTIONS,
      connectTimeout: 1_000,
    });
  }

  /** Sends a chat request. */
  chat(call: ChatCall): Promise<CallResult> {
    return this.#call({
      method: "POST",
      path: "/v1/chat/completions",
      headers: headers(call),
      body: JSON.stringify({
        model: SERVICES.model,
        stream: call.streamed,
        max_tokens: call.tokens,
        messages: [{ role: "user", content: call.prompt }],
      }),
    });
  }

  /** Reads the rest of an answer. */
  again(
    requestId: string,
    call: Pick<ChatCall, "workspace" | "lastEvent">,
  ): Promise<CallResult> {
    return this.#call({
      method: "GET",
      path: `/v1/requests/${encodeURIComponent(requestId)}`,
      headers: headers(call),
      body: null,
    });
  }

  /** Calls the plain service. */
  plain(
    path: string,
    call: Pick<ChatCall, "workspace" | "key"> & {
      readonly method: "GET" | "POST";
      readonly body?: string;
    },
  ): Promise<CallResult> {
    return this.#call({
      method: call.method,
      path: `/services/${SERVICES.plain}${path}`,
      headers: headers(call),
      body: call.body ?? null,
    });
  }

  /** Sends any request. */
  raw(call: {
    readonly method: Dispatcher.HttpMethod;
    readonly path: string;
    readonly headers: Readonly<Record<string, string>>;
    readonly body: string | null;
  }): Promise<CallResult> {
    return this.#call(call);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.#pool.destroy();
  }

  async #call(call: {
    readonly method: Dispatcher.HttpMethod;
    readonly path: string;
    readonly headers: Readonly<Record<string, string>>;
    readonly body: string | null;
  }): Promise<CallResult> {
    const started = performance.now();
    let text = "";
    let status = 0;
    let requestId: string | undefined;
    let firstByteAt = started;
    let whole = false;
    try {
      const reply = await this.#pool.request({
        ...call,
        signal: AbortSignal.timeout(CALL_MILLISECONDS),
      });
      status = reply.statusCode;
      const header = reply.headers["x-request-id"];
      requestId = typeof header === "string" ? header : undefined;
      const decoder = new TextDecoder();
      for await (const chunk of reply.body) {
        if (text === "") firstByteAt = performance.now();
        text += decoder.decode(chunk as Uint8Array, { stream: true });
      }
      whole = true;
    } catch {
      whole = false;
    }
    return result(text, {
      status,
      whole,
      requestId,
      firstByteMilliseconds: firstByteAt - started,
      milliseconds: performance.now() - started,
    });
  }
}

/** The bytes that a chat request must be answered with. */
export function expectedText(
  call: Pick<ChatCall, "prompt" | "tokens">,
): string {
  return answerText(`user: ${call.prompt}`, call.tokens);
}

function headers(
  call: Partial<
    Pick<ChatCall, "workspace" | "key" | "lastEvent" | "deadlineMilliseconds">
  >,
): Readonly<Record<string, string>> {
  return {
    authorization: `Bearer ${workspaceKey(call.workspace ?? "")}`,
    "content-type": "application/json",
    ...(call.deadlineMilliseconds === undefined
      ? {}
      : { "x-deadline-milliseconds": String(call.deadlineMilliseconds) }),
    ...(call.key === undefined ? {} : { "idempotency-key": call.key }),
    ...(call.lastEvent === undefined || call.lastEvent < 0
      ? {}
      : { "last-event-id": String(call.lastEvent) }),
  };
}

function result(
  text: string,
  facts: Pick<
    CallResult,
    "status" | "whole" | "requestId" | "firstByteMilliseconds" | "milliseconds"
  >,
): CallResult {
  const isStream = text.startsWith("id:") || text.startsWith("data:");
  const body = isStream
    ? undefined
    : (parseJson(text).unwrapOr(undefined) as BodyFacts | undefined);
  const events = isStream ? streamFacts(text) : undefined;
  return {
    ...facts,
    whole: facts.whole && (events?.done ?? text !== ""),
    ran: body?.ran,
    reason: body?.reason,
    retryAfterMilliseconds: body?.retryAfterMilliseconds,
    text: events?.text ?? body?.choices?.[0]?.message?.content ?? text,
    lastEvent: events?.lastEvent ?? -1,
  };
}

interface BodyFacts {
  readonly ran?: CallResult["ran"];
  readonly reason?: string;
  readonly retryAfterMilliseconds?: number;
  readonly choices?: readonly {
    readonly message?: { readonly content?: string };
  }[];
}

interface ChunkFacts {
  readonly choices?: readonly {
    readonly delta?: { readonly content?: string };
  }[];
}

function streamFacts(text: string): {
  readonly text: string;
  readonly lastEvent: number;
  readonly done: boolean;
} {
  const blocks = text.split("\n\n").slice(0, -1);
  const tokens = blocks.flatMap((block) => {
    const match = /^id: (\d+)\ndata: (.*)$/.exec(block);
    if (match?.[2] === undefined) return [];
    const chunk = parseJson(match[2]).unwrapOr({}) as ChunkFacts;
    const content = chunk.choices?.[0]?.delta?.content ?? "";
    return [{ index: Number(match[1]), content }];
  });
  return {
    text: tokens.map(({ content }) => content).join(""),
    lastEvent: tokens.at(-1)?.index ?? -1,
    done: blocks.at(-1) === "data: [DONE]",
  };
}
