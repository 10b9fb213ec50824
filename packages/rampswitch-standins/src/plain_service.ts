// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Stand-in of a plain service: echoes what it was asked and records each run.
 *
 * @module
 */
import { createHash } from "node:crypto";
import type { Listening } from "rampswitch-utils";
import type { Execution } from "./engine.ts";
import {
  sendJson,
  type StandinCall,
  type StandinRoute,
  startStandin,
} from "./http_standin.ts";

/** Faults that can be set on a plain service. */
export interface PlainServiceFaults {
  /** Answer every request with status 500, after running it. */
  readonly failing: boolean;
  /** Answer with bytes that are not HTTP. */
  readonly nonsense: boolean;
  /** Run the request and never answer. */
  readonly hanging: boolean;
  /** Run the request and close the connection without an answer. */
  readonly dropping: boolean;
  /** Answer "not run" without running the request. */
  readonly refusing: boolean;
  /** Milliseconds that a run takes. */
  readonly runMilliseconds: number;
}

const NO_FAULTS: PlainServiceFaults = {
  failing: false,
  nonsense: false,
  hanging: false,
  dropping: false,
  refusing: false,
  runMilliseconds: 1,
};

/** A plain service served over HTTP. */
export class PlainService implements AsyncDisposable {
  readonly #executions: Execution[] = [];
  #faults: PlainServiceFaults = NO_FAULTS;
  #listening: Listening | undefined;

  /** Starts the service. */
  static async start(address?: string): Promise<PlainService> {
    const service = new PlainService();
    service.#listening = await startStandin(service.#routes(), address);
    return service;
  }

  /** IP number and port. */
  get address(): string {
    return this.#listening?.address ?? "";
  }

  /** Runs so far. */
  get executions(): readonly Execution[] {
    return this.#executions;
  }

  /** Sets faults; those not named stay. */
  setFaults(faults: Partial<PlainServiceFaults>): void {
    this.#faults = { ...this.#faults, ...faults };
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.#listening?.[Symbol.asyncDispose]();
  }

  #routes(): readonly StandinRoute[] {
    return [
      {
        method: "POST",
        path: /^\/control$/,
        handle: ({ body, response }) => {
          this.setFaults(body as Partial<PlainServiceFaults>);
          sendJson(response, 200, this.#faults);
        },
      },
      {
        method: "GET",
        path: /^\/control\/executions$/,
        handle: ({ response }) => sendJson(response, 200, this.#executions),
      },
      {
        method: "GET",
        path: /^\/health$/,
        handle: ({ response }) => sendJson(response, 200, {}),
      },
      { path: /.*/, handle: (call) => this.#run(call) },
    ];
  }

  async #run(call: StandinCall): Promise<void> {
    const { response, url } = call;
    if (this.#faults.refusing) {
      response.setHeader("x-not-run", "true");
      sendJson(response, 503, { error: "refusing" });
      return;
    }
    this.#record(call);
    const asked = Number(url.searchParams.get("milliseconds") ?? "0");
    const wait = Math.max(asked, this.#faults.runMilliseconds);
    if (wait > 1) await new Promise((resolve) => setTimeout(resolve, wait));
    if (this.#faults.hanging) return;
    if (this.#faults.dropping) response.destroy();
    else if (this.#faults.nonsense) nonsense(call);
    else if (this.#faults.failing) {
      sendJson(response, 500, { error: "failing" });
    } else this.#echo(call);
  }

  #record(call: StandinCall): void {
    this.#executions.push({
      attempt: String(call.headers["x-attempt-id"] ?? ""),
      requestId: String(call.headers["x-request-id"] ?? ""),
      operation: call.url.pathname,
      firstToken: 0,
      startedAt: Date.now(),
    });
  }

  #echo({ method, url, text, headers, response }: StandinCall): void {
    sendJson(response, 200, {
      method,
      path: url.pathname,
      query: url.search,
      bodySha256: createHash("sha256").update(text).digest("hex"),
      bodyBytes: Buffer.byteLength(text),
      contentType: headers["content-type"],
      hopByHop: ["connection", "te", "upgrade", "proxy-authorization"].filter(
        (name) => headers[name] !== undefined && name !== "connection",
      ),
    });
  }
}

function nonsense({ response }: StandinCall): void {
  const { socket } = response;
  socket?.write("ceci n'est pas HTTP\r\n\r\n");
  socket?.end();
}
