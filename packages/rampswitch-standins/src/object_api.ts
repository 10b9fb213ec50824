// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Stand-in of the platform's object API: versions, conditional updates,
 * watches, outages, lost answers, rate limits and call counts.
 *
 * @module
 */
import type { Listening } from "rampswitch-utils";
import { type Random, seededRandom } from "rampswitch-utils";
import {
  sendJson,
  type StandinCall,
  type StandinRoute,
  startStandin,
} from "./http_standin.ts";

const MAXIMUM_VALUE = 1024 * 1024;
const KEPT_EVENTS = 10_000;

/** Faults that can be set on the object API. */
export interface ObjectApiFaults {
  /** Refuse every call without effect. */
  readonly outage: boolean;
  /** Leave every call without an answer and without effect. */
  readonly silent: boolean;
  /** Share of changes that take effect but whose answer is lost. */
  readonly loseAnswers: number;
  /** Added to each call. */
  readonly delayMilliseconds: number;
  readonly readsPerSecond: number;
  readonly writesPerSecond: number;
}

/** Calls answered or refused since the start, by kind. */
export interface ObjectApiCalls {
  readonly reads: number;
  readonly writes: number;
  readonly watches: number;
  readonly refused: number;
  readonly lostAnswers: number;
}

const NO_FAULTS: ObjectApiFaults = {
  outage: false,
  silent: false,
  loseAnswers: 0,
  delayMilliseconds: 0,
  readsPerSecond: 2_000,
  writesPerSecond: 400,
};

interface Entry {
  readonly key: string;
  readonly version: number;
  readonly value: string;
}

interface Event {
  readonly key: string;
  readonly version: number;
  readonly value?: string;
}

interface Waiting {
  readonly prefix: string;
  readonly wake: () => void;
}

/** The object API in memory, served over HTTP. */
export class ObjectApi implements AsyncDisposable {
  readonly #entries = new Map<string, Entry>();
  readonly #events: Event[] = [];
  #compactedTo = 0;
  #version = 0;
  #waiting: readonly Waiting[] = [];
  #faults: ObjectApiFaults = NO_FAULTS;
  #calls: ObjectApiCalls = {
    reads: 0,
    writes: 0,
    watches: 0,
    refused: 0,
    lostAnswers: 0,
  };
  #window = { second: 0, reads: 0, writes: 0 };
  readonly #random: Random;
  #listening: Listening | undefined;

  private constructor(seed: number) {
    this.#random = seededRandom(seed);
  }

  /** Starts the stand-in. */
  static async start(
    options: { readonly address?: string; readonly seed?: number } = {},
  ): Promise<ObjectApi> {
    const api = new ObjectApi(options.seed ?? 1);
    api.#listening = await startStandin(api.#routes(), options.address);
    return api;
  }

  /** IP number and port. */
  get address(): string {
    return this.#listening?.address ?? "";
  }

  /** Calls so far. */
  get calls(): ObjectApiCalls {
    return this.#calls;
  }

  /** Sets faults; those not named stay. */
  setFaults(faults: Partial<ObjectApiFaults>): void {
    this.#faults = { ...this.#faults, ...faults };
    if (this.#faults.outage || this.#faults.silent) this.#wakeAll();
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.#wakeAll();
    await this.#listening?.[Symbol.asyncDispose]();
  }

  #routes(): readonly StandinRoute[] {
    return [
      {
        method: "POST",
        path: /^\/control$/,
        handle: ({ body, response }) => {
          this.setFaults(body as Partial<ObjectApiFaults>);
          sendJson(response, 200, this.#faults);
        },
      },
      {
        method: "GET",
        path: /^\/control\/calls$/,
        handle: ({ response }) => sendJson(response, 200, this.#calls),
      },
      {
        method: "GET",
        path: /^\/objects$/,
        handle: (call) => this.#read(call, () => this.#list(call)),
      },
      {
        method: "GET",
        path: /^\/objects\/.+$/,
        handle: (call) => this.#read(call, () => this.#get(call)),
      },
      {
        method: "PUT",
        path: /^\/objects\/.+$/,
        handle: (call) => this.#write(call, () => this.#put(call)),
      },
      {
        method: "DELETE",
        path: /^\/objects\/.+$/,
        handle: (call) => this.#write(call, () => this.#remove(call)),
      },
      {
        method: "GET",
        path: /^\/watch$/,
        handle: (call) => this.#read(call, () => this.#watch(call), true),
      },
    ];
  }

  async #read(
    call: StandinCall,
    run: () => Promise<void> | void,
    watch = false,
  ): Promise<void> {
    if (!(await this.#admit(call, "reads"))) return;
    this.#calls = watch
      ? { ...this.#calls, watches: this.#calls.watches + 1 }
      : { ...this.#calls, reads: this.#calls.reads + 1 };
    await run();
  }

  async #write(
    call: StandinCall,
    run: () => { readonly status: number; readonly body: unknown },
  ): Promise<void> {
    if (!(await this.#admit(call, "writes"))) return;
    this.#calls = { ...this.#calls, writes: this.#calls.writes + 1 };
    const answer = run();
    if (this.#random.next() < this.#faults.loseAnswers) {
      this.#calls = {
        ...this.#calls,
        lostAnswers: this.#calls.lostAnswers + 1,
      };
      call.response.destroy();
      return;
    }
    sendJson(call.response, answer.status, answer.body);
  }

  async #admit(call: StandinCall, kind: "reads" | "writes"): Promise<boolean> {
    const { delayMilliseconds } = this.#faults;
    if (delayMilliseconds > 0) {
      await new Promise((resolve) => setTimeout(resolve, delayMilliseconds));
    }
    if (this.#faults.silent) return false;
    const limited = this.#overLimit(kind);
    if (!this.#faults.outage && !limited) return true;
    this.#calls = { ...this.#calls, refused: this.#calls.refused + 1 };
    sendJson(call.response, limited ? 429 : 503, { error: "unavailable" });
    return false;
  }

  #overLimit(kind: "reads" | "writes"): boolean {
    const second = Math.floor(Date.now() / 1000);
    if (second !== this.#window.second) {
      this.#window = { second, reads: 0, writes: 0 };
    }
    this.#window = { ...this.#window, [kind]: this.#window[kind] + 1 };
    return this.#window[kind] > this.#faults[`${kind}PerSecond`];
  }

  #list({ url, response }: StandinCall): void {
    const prefix = url.searchParams.get("prefix") ?? "";
    const objects = [...this.#entries.values()].filter((entry) =>
      entry.key.startsWith(prefix),
    );
    sendJson(response, 200, { version: this.#version, objects });
  }

  #get({ url, response }: StandinCall): void {
    const entry = this.#entries.get(keyOf(url));
    sendJson(response, entry === undefined ? 404 : 200, entry);
  }

  #put({ url, body, text }: StandinCall): {
    readonly status: number;
    readonly body: unknown;
  } {
    const key = keyOf(url);
    if (text.length > MAXIMUM_VALUE) {
      return { status: 413, body: { error: "value over a megabyte" } };
    }
    const value = (body as { readonly value?: unknown } | undefined)?.value;
    if (typeof value !== "string") {
      return { status: 400, body: { error: "no value" } };
    }
    const current = this.#entries.get(key);
    if (!expectationHolds(url, current)) {
      return { status: 409, body: { current } };
    }
    this.#version += 1;
    const entry = { key, version: this.#version, value };
    this.#entries.set(key, entry);
    this.#publish(entry);
    return { status: 200, body: entry };
  }

  #remove({ url }: StandinCall): {
    readonly status: number;
    readonly body: unknown;
  } {
    const key = keyOf(url);
    const current = this.#entries.get(key);
    if (current === undefined || !expectationHolds(url, current)) {
      return { status: 409, body: { current } };
    }
    this.#version += 1;
    this.#entries.delete(key);
    this.#publish({ key, version: this.#version });
    return { status: 204, body: undefined };
  }

  async #watch({ url, response }: StandinCall): Promise<void> {
    const prefix = url.searchParams.get("prefix") ?? "";
    const after = Number(url.searchParams.get("after") ?? "0");
    const seconds = Number(url.searchParams.get("seconds") ?? "30");
    if (after < this.#compactedTo) {
      sendJson(response, 410, { error: "compacted" });
      return;
    }
    const found = () =>
      this.#events.filter(
        (event) => event.version > after && event.key.startsWith(prefix),
      );
    if (found().length === 0) await this.#wait(prefix, seconds, response);
    if (this.#faults.outage || this.#faults.silent) response.destroy();
    else {
      sendJson(response, 200, { version: this.#version, events: found() });
    }
  }

  #wait(
    prefix: string,
    seconds: number,
    response: StandinCall["response"],
  ): Promise<void> {
    return new Promise((resolve) => {
      const wake = () => {
        clearTimeout(timer);
        this.#waiting = this.#waiting.filter((other) => other !== waiting);
        resolve();
      };
      const waiting = { prefix, wake };
      const timer = setTimeout(wake, seconds * 1000);
      this.#waiting = [...this.#waiting, waiting];
      response.on("close", wake);
    });
  }

  #publish(event: Event): void {
    this.#events.push(event);
    if (this.#events.length > 2 * KEPT_EVENTS) {
      const dropped = this.#events.splice(0, KEPT_EVENTS);
      this.#compactedTo = dropped.at(-1)?.version ?? 0;
    }
    this.#waiting
      .filter(({ prefix }) => event.key.startsWith(prefix))
      .forEach(({ wake }) => wake());
  }

  #wakeAll(): void {
    this.#waiting.forEach(({ wake }) => wake());
  }
}

function keyOf(url: URL): string {
  return decodeURIComponent(url.pathname.replace(/^\/objects\//, ""));
}

function expectationHolds(url: URL, current: Entry | undefined): boolean {
  const expected = url.searchParams.get("expected");
  return expected === "absent"
    ? current === undefined
    : current !== undefined && String(current.version) === expected;
}
