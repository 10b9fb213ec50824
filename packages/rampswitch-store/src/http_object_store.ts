// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * The object API over HTTP with JSON, as docs/references/platform.md defines.
 *
 * @module
 */
import { Result } from "true-myth";
import { buildConnector, type Dispatcher, Pool } from "undici";
import {
  answerBudget,
  type Clock,
  MONOTONIC_CLOCK,
  type Random,
  readText,
  TimeLimit,
  wasNeverConnected,
  withBoundedReading,
  withCorrectEnds,
} from "rampswitch-utils";
import { decodeJson, listOf } from "rampswitch-validation";
import * as z from "zod";
import {
  type Expectation,
  type ObjectStore,
  type StoredList,
  type StoredObject,
  type StoreError,
  type WatchBatch,
  type WatchOptions,
  ONE_ERA,
} from "./object_store.ts";
import { type CallAccounting, type CallKind } from "./call_accounting.ts";

const CALL_DEADLINE_MILLISECONDS = 1_000;
const DEFAULT_WATCH_SECONDS = 30;
const WATCH_DEADLINE_MILLISECONDS = 40_000;
const MAXIMUM_CONNECTIONS = 8;

/** Maximum size of an answer, in bytes; a list has all objects under its prefix. */
const MAXIMUM_ANSWER_BYTES = 16 * 1024 * 1024;

const OBJECT_SCHEMA = z.object({
  key: z.string(),
  version: z.int().nonnegative(),
  value: z.string(),
});

const LIST_SCHEMA = z.object({
  version: z.int().nonnegative(),
  objects: listOf(OBJECT_SCHEMA),
});

const BATCH_SCHEMA = z.object({
  version: z.int().nonnegative(),
  events: listOf(OBJECT_SCHEMA.extend({ value: z.string().exactOptional() })),
});

const CONFLICT_SCHEMA = z.object({ current: OBJECT_SCHEMA });

interface Call {
  readonly kind: CallKind;
  readonly method: Dispatcher.HttpMethod;
  readonly path: string;
  readonly body?: string;
  readonly signal?: AbortSignal;
}

interface Reply {
  readonly status: number;
  readonly body: string;
}

const ERRORS_BY_STATUS: Readonly<Record<number, (reply: Reply) => StoreError>> =
  {
    400: (reply) => ({ kind: "invalid", detail: reply.body }),
    409: (reply) => conflictError(reply),
    410: () => ({ kind: "compacted" }),
    413: (reply) => ({ kind: "invalid", detail: reply.body }),
    429: () => ({ kind: "unavailable", detail: "rate limit" }),
    503: () => ({ kind: "unavailable", detail: "store unavailable" }),
  };

/** HTTP client of the object API; counts and limits its calls by `accounting`. */
export class HttpObjectStore implements ObjectStore, AsyncDisposable {
  readonly era = ONE_ERA.era;
  readonly onEra = ONE_ERA.onEra;
  readonly accounting: CallAccounting;
  readonly #pool: Pool;
  readonly #clock: Clock;
  /** Memory of the answers that are being read. */
  readonly #answers = answerBudget(MAXIMUM_ANSWER_BYTES);

  constructor(
    address: string,
    options: { readonly accounting: CallAccounting; readonly clock?: Clock },
  ) {
    this.accounting = options.accounting;
    this.#clock = options.clock ?? MONOTONIC_CLOCK;
    this.#pool = new Pool(`http://${address}`, {
      connections: MAXIMUM_CONNECTIONS,
      pipelining: 1,
      connect: withBoundedReading(
        withCorrectEnds(
          buildConnector({ timeout: CALL_DEADLINE_MILLISECONDS }),
        ),
      ),
    });
  }

  async get(
    key: string,
  ): Promise<Result<StoredObject | undefined, StoreError>> {
    const reply = await this.#call({
      kind: "get",
      method: "GET",
      path: objectPath(key),
    });
    return reply.andThen((answer) =>
      answer.status === 404
        ? Result.ok<StoredObject | undefined, StoreError>(undefined)
        : decodeReply(OBJECT_SCHEMA, answer),
    );
  }

  async list(prefix: string): Promise<Result<StoredList, StoreError>> {
    const path = `/objects?prefix=${encodeURIComponent(prefix)}`;
    const reply = await this.#call({ kind: "list", method: "GET", path });
    return reply.andThen((answer) => decodeReply(LIST_SCHEMA, answer));
  }

  async put(
    key: string,
    value: string,
    options: { readonly expected: Expectation },
  ): Promise<Result<StoredObject, StoreError>> {
    const reply = await this.#call({
      kind: "put",
      method: "PUT",
      path: `${objectPath(key)}?expected=${options.expected}`,
      body: JSON.stringify({ value }),
    });
    return reply.andThen((answer) => decodeReply(OBJECT_SCHEMA, answer));
  }

  async remove(
    key: string,
    version: number,
  ): Promise<Result<void, StoreError>> {
    const reply = await this.#call({
      kind: "remove",
      method: "DELETE",
      path: `${objectPath(key)}?expected=${version}`,
    });
    return reply.andThen((answer) =>
      answer.status === 204
        ? Result.ok<void, StoreError>(undefined)
        : Result.err(errorFromReply(answer)),
    );
  }

  async watch(
    prefix: string,
    after: number,
    options: WatchOptions,
  ): Promise<Result<WatchBatch, StoreError>> {
    const query =
      `prefix=${encodeURIComponent(prefix)}&after=${after}` +
      `&seconds=${options.seconds ?? DEFAULT_WATCH_SECONDS}`;
    const reply = await this.#call({
      kind: "watch",
      method: "GET",
      path: `/watch?${query}`,
      signal: options.signal,
    });
    return reply.andThen((answer) => decodeReply(BATCH_SCHEMA, answer));
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.#pool.destroy();
  }

  async #call(call: Call): Promise<Result<Reply, StoreError>> {
    if (!this.accounting.admit(call.kind)) {
      return Result.err({ kind: "unavailable", detail: "own rate ceiling" });
    }
    using limit = new TimeLimit(
      this.#clock,
      call.kind === "watch"
        ? WATCH_DEADLINE_MILLISECONDS
        : CALL_DEADLINE_MILLISECONDS,
    );
    const deadline = limit.signal;
    try {
      const response = await this.#pool.request({
        method: call.method,
        path: call.path,
        headers: { "content-type": "application/json" },
        body: call.body ?? null,
        signal:
          call.signal === undefined
            ? deadline
            : AbortSignal.any([deadline, call.signal]),
      });
      const body = await readText(
        response.body,
        MAXIMUM_ANSWER_BYTES,
        this.#answers,
      );
      return body
        .map((text) => ({ status: response.statusCode, body: text }))
        .mapErr((error) => ({ kind: "unknown", detail: `body ${error}` }));
    } catch (error) {
      return Result.err(transportError(error));
    }
  }
}

function transportError(error: unknown): StoreError {
  const detail = error instanceof Error ? error.message : String(error);
  return wasNeverConnected(error)
    ? { kind: "unavailable", detail }
    : { kind: "unknown", detail };
}

function objectPath(key: string): string {
  return `/objects/${key.split("/").map(encodeURIComponent).join("/")}`;
}

function decodeReply<Schema extends z.ZodType>(
  schema: Schema,
  reply: Reply,
): Result<z.output<Schema>, StoreError> {
  if (reply.status !== 200) return Result.err(errorFromReply(reply));
  return decodeJson(schema, reply.body, "answer").mapErr((detail) => ({
    kind: "unknown",
    detail,
  }));
}

function errorFromReply(reply: Reply): StoreError {
  const build = ERRORS_BY_STATUS[reply.status];
  return (
    build?.(reply) ?? { kind: "unknown", detail: `status ${reply.status}` }
  );
}

function conflictError(reply: Reply): StoreError {
  // The status alone tells that nothing changed.
  return decodeJson(CONFLICT_SCHEMA, reply.body, "conflict").match({
    Ok: ({ current }): StoreError => ({ kind: "conflict", current }),
    Err: (): StoreError => ({ kind: "conflict" }),
  });
}

const FIRST_RETRY_MILLISECONDS = 100;
const MAXIMUM_RETRY_MILLISECONDS = 5_000;

/** Initial and maximum delay after failed calls, in milliseconds. */
export interface BackoffRange {
  readonly initial: number;
  readonly maximum: number;
}

const DEFAULT_BACKOFF_RANGE: BackoffRange = {
  initial: FIRST_RETRY_MILLISECONDS,
  maximum: MAXIMUM_RETRY_MILLISECONDS,
};

/**
 * Returns the delay before the next attempt, in milliseconds. It doubles with each
 * failure up to the maximum of the range, with jitter over its upper half.
 */
export function storeBackoff(
  failures: number,
  random: Random,
  range: BackoffRange = DEFAULT_BACKOFF_RANGE,
): number {
  const maximum = Math.min(
    range.maximum,
    range.initial * 2 ** Math.min(failures, 16),
  );
  return maximum * (0.5 + random.next() / 2);
}
