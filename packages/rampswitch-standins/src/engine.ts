// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Stand-in of a model engine: the engine model behind an OpenAI-compatible
 * HTTP interface, with resume, cancel, KV cache moves, orders and faults.
 * docs/references/engine.md defines the interface.
 *
 * @module
 */
import type { ServerResponse } from "node:http";
import { blockHashes, type Listening, promptWords } from "rampswitch-utils";
import {
  answerToken,
  type ChatBody,
  DEFAULT_ANSWER_TOKENS,
  promptText,
} from "./chat.ts";
import {
  DEFAULT_ENGINE_PROFILE,
  type EngineLoad,
  EngineModel,
  type EngineProfile,
} from "./engine_model.ts";
import {
  sendJson,
  type StandinCall,
  type StandinRoute,
  startStandin,
} from "./http_standin.ts";
import { OrderBook } from "./order_book.ts";

/** Faults that can be set on an engine. */
export interface EngineFaults {
  /** Answer every request with status 500. */
  readonly failing: boolean;
  /** Answer with bytes that are not the protocol. */
  readonly nonsense: boolean;
  /** Take requests and never answer. */
  readonly hanging: boolean;
  /** Answer "not run" and say that the engine is leaving. */
  readonly leaving: boolean;
  /** Close every connection, as a host that was taken does. */
  readonly dead: boolean;
  /** End each stream after so many tokens by closing the connection. */
  readonly cutAfterTokens: number | undefined;
  /** Milliseconds by which the load report lags. */
  readonly loadLagMilliseconds: number;
  /** Share of cache events that are never published. */
  readonly cacheEventGap: number;
}

/** One execution, as the history checker reads it. */
export interface Execution {
  readonly attempt: string;
  readonly requestId: string;
  readonly operation: string;
  readonly firstToken: number;
  readonly startedAt: number;
}

/** How an engine stand-in is started. */
export interface EngineOptions {
  readonly address?: string;
  readonly profile?: EngineProfile;
  /** Divides all durations of the model. */
  readonly timeScale?: number;
  readonly checksOrderEpoch?: boolean;
}

interface Stream {
  readonly attempt: string;
  readonly prompt: string;
  readonly words: readonly string[];
  readonly firstToken: number;
  readonly endToken: number;
  readonly whole: boolean;
  next: number;
  done: boolean;
  responses: readonly StreamReader[];
}

interface StreamReader {
  readonly response: ServerResponse;
  readonly after: number;
}

const NO_FAULTS: EngineFaults = {
  failing: false,
  nonsense: false,
  hanging: false,
  leaving: false,
  dead: false,
  cutAfterTokens: undefined,
  loadLagMilliseconds: 250,
  cacheEventGap: 0.05,
};

const KEPT_STREAMS = 4_096;
const MINIMUM_STEP_MILLISECONDS = 1;
const SSE_HEADERS = {
  "content-type": "text/event-stream",
  "cache-control": "no-cache",
};

/** A model engine served over HTTP. */
export class Engine implements AsyncDisposable {
  readonly #model: EngineModel;
  readonly #timeScale: number;
  readonly #orders: OrderBook;
  readonly #streams = new Map<string, Stream>();
  readonly #executions: Execution[] = [];
  #faults: EngineFaults = NO_FAULTS;
  #reported: EngineLoad;
  #reportedAt = 0;
  #stepping = false;
  #closed = false;
  #importedTokens = 0;
  #listening: Listening | undefined;

  private constructor(options: EngineOptions) {
    this.#model = new EngineModel(options.profile ?? DEFAULT_ENGINE_PROFILE);
    this.#timeScale = options.timeScale ?? 1;
    this.#orders = new OrderBook(options.checksOrderEpoch ?? true);
    this.#reported = this.#model.load;
  }

  /** Starts an engine. */
  static async start(options: EngineOptions = {}): Promise<Engine> {
    const engine = new Engine(options);
    engine.#listening = await startStandin(engine.#routes(), options.address);
    return engine;
  }

  /** IP number and port. */
  get address(): string {
    return this.#listening?.address ?? "";
  }

  /** Executions so far. */
  get executions(): readonly Execution[] {
    return this.#executions;
  }

  /** Prompt tokens found cached, computed, and brought by imports. */
  get promptTokens(): {
    readonly cached: number;
    readonly computed: number;
    readonly imported: number;
  } {
    return { ...this.#model.promptTokens, imported: this.#importedTokens };
  }

  /** Orders that were carried out. */
  get orders(): OrderBook {
    return this.#orders;
  }

  /** Sets faults; those not named stay. */
  setFaults(faults: Partial<EngineFaults>): void {
    this.#faults = { ...this.#faults, ...faults };
    if (faults.dead === true) this.#die();
  }

  #die(): void {
    this.#streams.forEach((stream) => {
      this.#model.cancel(stream.attempt);
      stream.responses.forEach(({ response }) => response.destroy());
    });
    this.#streams.clear();
    this.#model.clearCache();
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.#closed = true;
    await this.#listening?.[Symbol.asyncDispose]();
  }

  #routes(): readonly StandinRoute[] {
    return [
      {
        path: /^\/(v1|health)/,
        when: () => this.#faults.dead,
        handle: ({ response }) => {
          response.destroy();
        },
      },
      {
        method: "POST",
        path: /^\/v1\/chat\/completions$/,
        handle: (call) => this.#chat(call),
      },
      {
        method: "GET",
        path: /^\/v1\/attempts\/[^/]+\/events$/,
        handle: (call) => this.#resume(call),
      },
      {
        method: "DELETE",
        path: /^\/v1\/attempts\/[^/]+$/,
        handle: (call) => this.#cancel(call),
      },
      {
        method: "GET",
        path: /^\/v1\/kv\/[^/]+$/,
        handle: (call) => this.#exportCache(call),
      },
      {
        method: "POST",
        path: /^\/v1\/kv$/,
        handle: (call) => this.#importCache(call),
      },
      {
        method: "GET",
        path: /^\/v1\/load$/,
        handle: ({ response }) => sendJson(response, 200, this.#report()),
      },
      {
        method: "GET",
        path: /^\/v1\/cache-events$/,
        handle: (call) => this.#cacheEvents(call),
      },
      {
        method: "POST",
        path: /^\/v1\/orders$/,
        handle: ({ body, response }) => {
          const answer = this.#orders.take(body);
          sendJson(response, answer.status, answer.body);
        },
      },
      {
        method: "GET",
        path: /^\/health$/,
        handle: ({ response }) =>
          sendJson(response, this.#faults.failing ? 500 : 200, {
            leaving: this.#faults.leaving,
          }),
      },
      {
        method: "GET",
        path: /^\/control\/executions$/,
        handle: ({ response }) => sendJson(response, 200, this.#executions),
      },
      {
        method: "GET",
        path: /^\/control\/orders$/,
        handle: ({ response }) => sendJson(response, 200, this.#orders.taken),
      },
      {
        method: "GET",
        path: /^\/control\/tokens$/,
        handle: ({ response }) => sendJson(response, 200, this.promptTokens),
      },
      {
        method: "POST",
        path: /^\/control$/,
        handle: ({ body, response }) => {
          this.setFaults(body as Partial<EngineFaults>);
          sendJson(response, 200, this.#faults);
        },
      },
    ];
  }

  #chat(call: StandinCall): void {
    const body = (call.body ?? {}) as ChatBody;
    const { response } = call;
    if (this.#faults.leaving) {
      response.setHeader("x-not-run", "true");
      response.setHeader("x-leaving", "true");
      sendJson(response, 503, { error: "leaving" });
      return;
    }
    const attempt = String(call.headers["x-attempt-id"] ?? `${Date.now()}`);
    const stream = newStream(attempt, body);
    this.#record(call, stream);
    if (this.#faults.failing) sendJson(response, 500, { error: "failing" });
    else if (this.#faults.nonsense) response.end("<<< not the protocol >>>");
    else if (!this.#faults.hanging) this.#run(call, stream, body);
  }

  #record(call: StandinCall, stream: Stream): void {
    this.#executions.push({
      attempt: stream.attempt,
      requestId: String(call.headers["x-request-id"] ?? ""),
      operation:
        stream.words.find((word) => word.startsWith("operation-")) ?? "",
      firstToken: stream.firstToken,
      startedAt: Date.now(),
    });
  }

  #run(call: StandinCall, stream: Stream, body: ChatBody): void {
    this.#streams.set(stream.attempt, stream);
    if (this.#streams.size > KEPT_STREAMS) {
      const [oldest] = this.#streams.keys();
      if (oldest !== undefined) this.#streams.delete(oldest);
    }
    const blocks = blockHashes(stream.words, this.#model.profile.blockTokens);
    this.#model.submit({
      attempt: stream.attempt,
      blocks,
      promptTokens: stream.words.length + stream.firstToken,
      firstToken: stream.firstToken,
      endToken: stream.endToken,
      priority: Number(call.headers["x-priority"] ?? "0"),
    });
    if (body.stream === true) {
      this.#follow(stream, call.response, stream.firstToken - 1);
    } else stream.responses = [{ response: call.response, after: -1 }];
    this.#wake();
  }

  #follow(stream: Stream, response: ServerResponse, after: number): void {
    response.writeHead(200, SSE_HEADERS);
    response.flushHeaders();
    for (let index = after + 1; index < stream.next; index += 1) {
      writeToken(response, stream, index);
    }
    if (stream.done) endStream(response, stream);
    else stream.responses = [...stream.responses, { response, after }];
  }

  #resume(call: StandinCall): void {
    const attempt = call.url.pathname.split("/")[3] ?? "";
    const stream = this.#streams.get(decodeURIComponent(attempt));
    const after = Number(call.url.searchParams.get("after") ?? "-1");
    if (stream === undefined || after + 1 < stream.firstToken) {
      sendJson(call.response, 404, { error: "no such attempt" });
    } else this.#follow(stream, call.response, after);
  }

  #cancel(call: StandinCall): void {
    const attempt = decodeURIComponent(call.url.pathname.split("/")[3] ?? "");
    const cancelled = this.#model.cancel(attempt);
    this.#streams
      .get(attempt)
      ?.responses.forEach(({ response }) => response.destroy());
    this.#streams.delete(attempt);
    sendJson(call.response, 200, { cancelled });
  }

  #exportCache(call: StandinCall): void {
    const attempt = decodeURIComponent(call.url.pathname.split("/")[3] ?? "");
    const stream = this.#streams.get(attempt);
    if (stream === undefined) {
      sendJson(call.response, 404, { error: "no such attempt" });
      return;
    }
    const blocks = blockHashes(stream.words, this.#model.profile.blockTokens);
    const tokens = stream.words.length + stream.next;
    sendJson(call.response, 200, { blocks, tokens });
  }

  async #importCache(call: StandinCall): Promise<void> {
    const { from, attempt } = call.body as {
      readonly from: string;
      readonly attempt: string;
    };
    try {
      const answer = await fetch(
        `http://${from}/v1/kv/${encodeURIComponent(attempt)}`,
      );
      const exported = (await answer.json()) as {
        readonly blocks?: readonly string[];
        readonly tokens?: number;
      };
      this.#model.store(exported.blocks ?? []);
      this.#importedTokens += exported.tokens ?? 0;
      sendJson(call.response, answer.status, { tokens: exported.tokens ?? 0 });
    } catch {
      sendJson(call.response, 502, { error: "export failed" });
    }
  }

  #report(): EngineLoad & { readonly at: number } {
    const now = Date.now();
    if (now - this.#reportedAt >= this.#faults.loadLagMilliseconds) {
      this.#reported = this.#model.load;
      this.#reportedAt = now;
    }
    return { ...this.#reported, at: this.#reportedAt };
  }

  #cacheEvents(call: StandinCall): void {
    const after = Number(call.url.searchParams.get("after") ?? "0");
    const gap = this.#faults.cacheEventGap;
    const events = this.#model
      .cacheEvents(after)
      .filter(
        ({ sequence }) =>
          (sequence * GAP_MULTIPLIER) % GAP_MODULUS >= gap * GAP_MODULUS,
      );
    sendJson(call.response, 200, { events });
  }

  #wake(): void {
    if (this.#stepping || this.#closed) return;
    this.#stepping = true;
    this.#step();
  }

  #step(): void {
    if (this.#closed || this.#model.idle) {
      this.#stepping = false;
      return;
    }
    const step = this.#model.step();
    const wait = Math.max(
      MINIMUM_STEP_MILLISECONDS,
      step.milliseconds / this.#timeScale,
    );
    setTimeout(() => {
      step.tokens.forEach(({ attempt, index, last }) =>
        this.#emit(attempt, index, last),
      );
      this.#step();
    }, wait);
  }

  #emit(attempt: string, index: number, last: boolean): void {
    const stream = this.#streams.get(attempt);
    if (stream === undefined) return;
    stream.next = index + 1;
    stream.done = last;
    if (stream.whole) {
      if (last) {
        stream.responses.forEach(({ response }) =>
          sendJson(response, 200, wholeAnswer(stream)),
        );
      }
      return;
    }
    const cut = this.#faults.cutAfterTokens;
    stream.responses.forEach(({ response }) => {
      if (cut !== undefined && index - stream.firstToken >= cut) {
        response.destroy();
        return;
      }
      writeToken(response, stream, index);
      if (last) endStream(response, stream);
    });
  }
}

const GAP_MULTIPLIER = 7919;
const GAP_MODULUS = 1000;

function newStream(attempt: string, body: ChatBody): Stream {
  const prompt = promptText(body);
  const firstToken = body.continue_from?.tokens ?? 0;
  return {
    attempt,
    prompt,
    words: promptWords(prompt),
    firstToken,
    endToken: body.max_tokens ?? DEFAULT_ANSWER_TOKENS,
    whole: body.stream !== true,
    next: firstToken,
    done: false,
    responses: [],
  };
}

function writeToken(
  response: ServerResponse,
  stream: Stream,
  index: number,
): void {
  if (response.destroyed) return;
  const chunk = {
    id: stream.attempt,
    object: "chat.completion.chunk",
    choices: [
      {
        index: 0,
        delta: { content: answerToken(stream.prompt, index) },
        finish_reason: null,
      },
    ],
  };
  response.write(`id: ${index}\ndata: ${JSON.stringify(chunk)}\n\n`);
}

function endStream(response: ServerResponse, stream: Stream): void {
  if (response.destroyed) return;
  const chunk = {
    id: stream.attempt,
    object: "chat.completion.chunk",
    choices: [{ index: 0, delta: {}, finish_reason: "stop" }],
    usage: usage(stream),
  };
  response.end(`data: ${JSON.stringify(chunk)}\n\ndata: [DONE]\n\n`);
}

function wholeAnswer(stream: Stream): unknown {
  const tokens = Array.from({ length: stream.endToken }, (_, index) =>
    answerToken(stream.prompt, index),
  );
  return {
    id: stream.attempt,
    object: "chat.completion",
    choices: [
      {
        index: 0,
        message: { role: "assistant", content: tokens.join("") },
        finish_reason: "stop",
      },
    ],
    usage: usage(stream),
  };
}

function usage(stream: Stream): unknown {
  return {
    prompt_tokens: stream.words.length,
    completion_tokens: stream.endToken,
    total_tokens: stream.words.length + stream.endToken,
  };
}
