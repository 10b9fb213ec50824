// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/** A client that asks for one stream, and for its rest after each broken answer. */
import { request } from "node:http";
import { performance } from "node:perf_hooks";
import { setTimeout as sleep } from "node:timers/promises";
import { HEADERS } from "../../platform/dist/names.js";
import { clientHeaders } from "./platform.mjs";

/** One stream and its client. */
export class StreamClient {
  /** Events with their id and the version that wrote them. */
  events = [];
  /** Its tries: the machine, the status, and whether events came before and in it. */
  tries = [];
  finished = false;
  #options;
  #first;
  #endsAt = Infinity;

  /**
   * `hosts` are asked in turn; `retryMs` is the time between tries, `deadlineMs` that of
   * all of them.
   */
  constructor(options) {
    this.#options = options;
  }

  get id() {
    return this.#options.id;
  }

  get versions() {
    return [...new Set(this.events.map(({ version }) => version))];
  }

  async run() {
    const { id, hosts, retryMs, deadlineMs, record } = this.#options;
    this.#endsAt = performance.now() + deadlineMs;
    while (!this.finished && performance.now() < this.#endsAt) {
      const number = this.tries.length;
      const host = hosts[number % hosts.length];
      await this.#ask(host, `${id}-${number + 1}`.padStart(16, "0"));
      if (!this.finished) await sleep(retryMs);
    }
    const all = this.events.map((event) => `${event.id}/${event.version}`);
    record.note(
      `client ${id} ${this.finished ? "has all" : "gives up"}: ${all.join(" ")}`,
    );
  }

  #ask(host, attempt) {
    const { id, record } = this.#options;
    const last = this.events.at(-1)?.id;
    const takesUp = last !== undefined;
    const tried = { host, takesUp, status: undefined, got: 0 };
    this.tries.push(tried);
    const rest = takesUp ? ` after event ${last}, resumes ${this.#first}` : "";
    record.note(`client ${id} sends ${attempt} to ${host.name}${rest}`);
    const more = takesUp
      ? {
          [HEADERS.lastEventId]: String(last),
          [HEADERS.resumes]: this.#first,
        }
      : {};
    const leftMs = this.#endsAt - performance.now();
    return new Promise((resolve) => {
      const sent = request(
        {
          ...host.front,
          agent: false,
          method: "POST",
          path: `/stream/${id}`,
          headers: { ...clientHeaders(attempt, leftMs), ...more },
        },
        (answer) => {
          tried.status = answer.statusCode;
          record.note(`client ${id} gets ${answer.statusCode}`);
          this.#read(answer, { attempt, tried }).then(resolve);
        },
      );
      sent.once("error", () => resolve());
      sent.end("prompt");
    });
  }

  #read(answer, { attempt, tried }) {
    let text = "";
    answer.setEncoding("utf8");
    answer.on("error", () => undefined);
    answer.on("data", (piece) => {
      if (answer.statusCode !== 200) return;
      const parts = `${text}${piece}`.split("\n\n");
      text = parts.pop() ?? "";
      parts.forEach((part) => {
        this.#first ??= attempt;
        tried.got += 1;
        this.events.push(eventOf(part));
      });
    });
    return new Promise((resolve) => {
      answer.once("close", () => {
        this.finished = answer.complete && answer.statusCode === 200;
        resolve();
      });
    });
  }
}

function eventOf(text) {
  return {
    id: Number(/^id: (\d+)$/m.exec(text)?.[1]),
    version: /of (\S+)$/m.exec(text)?.[1] ?? "none",
  };
}
