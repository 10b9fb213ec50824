// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Reading and writing the chat protocol towards callers and engines.
 *
 * @module
 */
import { Result } from "true-myth";
import { blockHashes, parseJson, promptWords, sha256 } from "rampswitch-utils";
import { BLOCK_TOKENS } from "../choice/backend_directory.ts";

/** What routing needs to know of a chat request. */
export interface ChatRequest {
  /** Name of the service. */
  readonly model: string;
  readonly streamed: boolean;
  readonly promptTokens: number;
  readonly blocks: readonly string[];
  /** Hash of the messages up to the caller's first; the same in each turn. */
  readonly conversation: string;
  /** Tokens of all messages but the last. */
  readonly earlierTokens: number;
  /** Tokens to generate at most. */
  readonly maximumTokens: number;
  /** The body as it came, to be passed on. */
  readonly body: Readonly<Record<string, unknown>>;
}

const DEFAULT_MAXIMUM_TOKENS = 256;

interface ChatMessage {
  readonly role?: unknown;
  readonly content?: unknown;
}

/** Reads a chat request; the error names what is wrong. */
export function parseChatRequest(body: Buffer): Result<ChatRequest, string> {
  return parseJson(body.toString("utf8"))
    .mapErr((error) => `body is not JSON: ${error}`)
    .andThen(readChatRequest);
}

function readChatRequest(value: unknown): Result<ChatRequest, string> {
  if (typeof value !== "object" || value === null || Array.isArray(value)) {
    return Result.err("body, expected a JSON object");
  }
  const body = value as Readonly<Record<string, unknown>>;
  const { model, messages, stream, max_tokens: maximum } = body;
  if (typeof model !== "string") {
    return Result.err(`model: ${JSON.stringify(model)}, expected a string`);
  }
  if (!Array.isArray(messages) || messages.length === 0) {
    return Result.err("messages, expected a list of at least one");
  }
  if (!(messages as readonly ChatMessage[]).every(isMessage)) {
    return Result.err("messages, expected a role and a text in each");
  }
  if (maximum !== undefined && !isCount(maximum)) {
    return Result.err(
      `max_tokens: ${JSON.stringify(maximum)}, expected a positive integer`,
    );
  }
  const turns = messages as readonly ChatMessage[];
  const words = promptWords(promptText(turns));
  const earlier = turns.length <= 2 ? [] : turns.slice(0, -1);
  return Result.ok({
    conversation: conversationOf(turns),
    earlierTokens: promptWords(promptText(earlier)).length,
    model,
    streamed: stream === true,
    promptTokens: words.length,
    blocks: blockHashes(words, BLOCK_TOKENS),
    maximumTokens: maximum ?? DEFAULT_MAXIMUM_TOKENS,
    body,
  });
}

function conversationOf(turns: readonly ChatMessage[]): string {
  const first = turns.findIndex(({ role }) => role === "user");
  return sha256(promptText(turns.slice(0, first + 1)));
}

function isMessage(message: ChatMessage | null): boolean {
  return (
    typeof message === "object" &&
    message !== null &&
    typeof message.role === "string" &&
    typeof message.content === "string"
  );
}

function isCount(value: unknown): value is number {
  return typeof value === "number" && Number.isInteger(value) && value > 0;
}

/** The prompt as one text, as engines read it. */
function promptText(messages: readonly ChatMessage[]): string {
  return messages
    .map(({ role, content }) => `${String(role)}: ${String(content)}`)
    .join("\n");
}

/** Body for an engine: always streamed, going on after delivered tokens. */
export function engineBody(
  request: ChatRequest,
  delivered: readonly string[],
): Buffer {
  const from =
    delivered.length === 0
      ? {}
      : {
          continue_from: { text: delivered.join(""), tokens: delivered.length },
        };
  const { maximumTokens } = request;
  return Buffer.from(
    JSON.stringify({
      ...request.body,
      max_tokens: maximumTokens,
      stream: true,
      ...from,
    }),
  );
}

/** What one event of an engine says. */
export type EngineEvent =
  | { readonly kind: "token"; readonly index: number; readonly text: string }
  | { readonly kind: "finished" }
  | { readonly kind: "done" }
  | { readonly kind: "nonsense" };

interface EngineChunk {
  readonly choices?: readonly {
    readonly delta?: { readonly content?: unknown };
    readonly finish_reason?: unknown;
  }[];
}

/** Reads one event of an engine. */
export function readEngineEvent(
  id: string | undefined,
  data: string,
): EngineEvent {
  if (data === "[DONE]") return { kind: "done" };
  const chunk = parseJson(data).unwrapOr(undefined) as EngineChunk | undefined;
  const choice = chunk?.choices?.[0];
  const text = choice?.delta?.content;
  if (typeof text === "string" && id !== undefined && /^\d+$/.test(id)) {
    return { kind: "token", index: Number(id), text };
  }
  return typeof choice?.finish_reason === "string"
    ? { kind: "finished" }
    : { kind: "nonsense" };
}

/** One token as a caller's event. */
export function callerEvent(
  id: string,
  model: string,
  event: { readonly index: number; readonly text: string },
): string {
  const chunk = {
    id,
    object: "chat.completion.chunk",
    model,
    choices: [
      {
        index: 0,
        delta: { content: event.text },
        finish_reason: null,
      },
    ],
  };
  return `id: ${event.index}\ndata: ${JSON.stringify(chunk)}\n\n`;
}

/** The end of a caller's stream. */
export function callerEnd(id: string, model: string): string {
  const chunk = {
    id,
    object: "chat.completion.chunk",
    model,
    choices: [{ index: 0, delta: {}, finish_reason: "stop" }],
  };
  return `data: ${JSON.stringify(chunk)}\n\ndata: [DONE]\n\n`;
}

/** A whole answer. */
export function wholeAnswer(
  id: string,
  model: string,
  events: readonly string[],
): string {
  return JSON.stringify({
    id,
    object: "chat.completion",
    model,
    choices: [
      {
        index: 0,
        message: { role: "assistant", content: events.join("") },
        finish_reason: "stop",
      },
    ],
    usage: { completion_tokens: events.length },
  });
}
