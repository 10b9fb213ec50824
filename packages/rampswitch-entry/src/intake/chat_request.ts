// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Reads and writes the chat protocol of callers and engines.
 *
 * @module
 */
import { Result } from "true-myth";
import { blockHashes, parseJson, promptWords, sha256 } from "rampswitch-utils";
import { BLOCK_TOKENS } from "../choice/backend_directory.ts";

/** A chat request with the values that routing needs. */
export interface ChatRequest {
  /** Name of the service. */
  readonly model: string;
  readonly streamed: boolean;
  readonly promptTokens: number;
  readonly blocks: readonly string[];
  /**
   * Hash of the messages up to and including the first with the role `user`.
   * It is the same for all requests of one conversation.
   */
  readonly conversation: string;
  /** Tokens of all messages but the last; 0 for at most two messages. */
  readonly earlierTokens: number;
  /** Maximum number of tokens to generate. */
  readonly maximumTokens: number;
  /** The body as received, to be sent to an engine. */
  readonly body: Readonly<Record<string, unknown>>;
}

const DEFAULT_MAXIMUM_TOKENS = 256;

interface ChatMessage {
  readonly role?: unknown;
  readonly content?: unknown;
}

/** Reads a chat request; the error names the malformed field. */
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
  if (maximum !== undefined && !isPositiveInteger(maximum)) {
    return Result.err(
      `max_tokens: ${JSON.stringify(maximum)}, expected a positive integer`,
    );
  }
  const chatMessages = messages as readonly ChatMessage[];
  const promptWordList = promptWords(promptText(chatMessages));
  const earlierMessages =
    chatMessages.length <= 2 ? [] : chatMessages.slice(0, -1);
  return Result.ok({
    conversation: conversationHash(chatMessages),
    earlierTokens: promptWords(promptText(earlierMessages)).length,
    model,
    streamed: stream === true,
    promptTokens: promptWordList.length,
    blocks: blockHashes(promptWordList, BLOCK_TOKENS),
    maximumTokens: maximum ?? DEFAULT_MAXIMUM_TOKENS,
    body,
  });
}

function conversationHash(messages: readonly ChatMessage[]): string {
  const first = messages.findIndex(({ role }) => role === "user");
  return sha256(promptText(messages.slice(0, first + 1)));
}

function isMessage(message: ChatMessage | null): boolean {
  return (
    typeof message === "object" &&
    message !== null &&
    typeof message.role === "string" &&
    typeof message.content === "string"
  );
}

function isPositiveInteger(value: unknown): value is number {
  return typeof value === "number" && Number.isInteger(value) && value > 0;
}

/** The prompt as one text, in the form that engines read. */
function promptText(messages: readonly ChatMessage[]): string {
  return messages
    .map(({ role, content }) => `${String(role)}: ${String(content)}`)
    .join("\n");
}

/**
 * Body of a request to an engine. It always asks for a stream, and for a
 * continuation after the tokens that were delivered before.
 */
export function engineBody(
  request: ChatRequest,
  delivered: readonly string[],
): Buffer {
  const continuation =
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
      ...continuation,
    }),
  );
}

/** One event of an engine's stream; `nonsense` is a malformed event. */
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

/** Reads one event of an engine's stream. */
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

/** Formats one token as a server-sent event for the caller. */
export function formatTokenEvent(
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

/** Formats the last events of a caller's stream. */
export function formatStreamEnd(id: string, model: string): string {
  const chunk = {
    id,
    object: "chat.completion.chunk",
    model,
    choices: [{ index: 0, delta: {}, finish_reason: "stop" }],
  };
  return `data: ${JSON.stringify(chunk)}\n\ndata: [DONE]\n\n`;
}

/** Formats the body of an answer that is not streamed. */
export function formatWholeAnswer(
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
