// A backend server as the platform's pages describe it: whole answers, streams of
// events, and moves of the memory of a running stream.

import { Buffer } from "node:buffer";
import { createServer } from "node:http";
import { clearInterval, setInterval, setTimeout } from "node:timers";
import { HEADERS, PATHS } from "../../platform/dist/names.js";

/**
 * Times of the two copies of a run's memory, in milliseconds: of some hundred tokens,
 * and of what is new since. The copies of one server run one after another.
 */
const COPY_MILLISECONDS = { first: 15, last: 6 };

const UNKNOWN = 404;
const MISDIRECTED = 421;

/** One start of a backend server. */
export class Server {
  /** Requests that it began to run, in order. */
  runs = [];
  /** Whether a run ends when the connection of its request closes. */
  dropsOnClose = true;
  /** Number of events of a whole stream. */
  events = 30;
  /** Time between two events, in milliseconds. */
  intervalMilliseconds = 100;
  /** Time that a whole answer takes, in milliseconds. */
  workMilliseconds = 20;
  /** Whether the answer to a run is lost at its first event. */
  losesAnswer = () => false;
  /** Answers a run with something else; `true` if it did. */
  spoils = () => false;
  #record;
  #server;
  #streams = new Map();
  /** Memory that is kept for streams, by handle. */
  #kept = new Map();
  #handles = 0;
  /** When the link of its copies is free, in milliseconds of the record. */
  #linkFreeAt = 0;

  constructor(id, { service, zone, record }) {
    this.id = id;
    this.service = service;
    this.zone = zone;
    this.born = Date.now();
    this.#record = record;
  }

  /** Listens on a free port of the loopback address. */
  async start() {
    this.#server = createServer((request, response) => {
      void this.#receive(request, response);
    });
    await new Promise((resolve) =>
      this.#server.listen(0, "127.0.0.1", resolve),
    );
    this.address = `127.0.0.1:${this.#server.address().port}`;
  }

  /** Ends all that it does. */
  stop() {
    this.#streams.forEach(({ run }) => clearInterval(run.timer));
    this.#server.close();
    this.#server.closeAllConnections();
  }

  /** Headers of each answer to a request. */
  answerHeaders(attempt) {
    return {
      [HEADERS.attemptId]: attempt,
      [HEADERS.signature]: `signed-by-${this.id}`,
    };
  }

  note(what, fields) {
    this.#record.add(this.id, what, fields);
  }

  async #receive(request, response) {
    const body = await textOf(request);
    if (body === undefined) return;
    const { url } = request;
    if (url === PATHS.report) this.#report(response);
    else if (url === PATHS.migrateMemory) {
      this.#move(JSON.parse(body), response);
    } else if (url.startsWith(`${PATHS.memoryCopies}/`)) {
      const freed = this.#kept.delete(url.slice(url.lastIndexOf("/") + 1));
      reply(response, freed ? 200 : UNKNOWN, {});
    } else this.#take(request, response);
  }

  #report(response) {
    reply(response, 200, { phase: "unified", born: this.born });
  }

  #take(request, response) {
    const attempt = request.headers[HEADERS.attemptId];
    if (attempt === undefined) {
      response.writeHead(400, { [HEADERS.notExecuted]: "1" }).end();
      return;
    }
    if (request.headers[HEADERS.expectedServer] !== this.id) {
      const headers = { [HEADERS.attemptId]: attempt };
      response.writeHead(MISDIRECTED, headers).end();
      return;
    }
    const after = Number(request.headers[HEADERS.lastEventId] ?? 0);
    const run = {
      attempt,
      url: request.url,
      beganAt: this.#record.now(),
      endedAt: undefined,
      made: after,
    };
    this.runs.push(run);
    this.note("runs", { request: attempt, after, path: run.url });
    if (this.spoils(run, response)) return;
    if (this.service === "counter") this.#answerWhole(run, response);
    else this.#stream(run, request, response);
  }

  #answerWhole(run, response) {
    setTimeout(() => {
      run.endedAt = this.#record.now();
      const headers = this.answerHeaders(run.attempt);
      response.writeHead(200, headers).end(`answer to ${run.attempt}`);
    }, this.workMilliseconds);
  }

  #stream(run, request, response) {
    run.lost = this.losesAnswer(run);
    if (!run.lost) {
      response.writeHead(200, this.answerHeaders(run.attempt));
      response.flushHeaders();
    }
    this.#streams.set(run.attempt, { run, response });
    response.on("close", () => {
      if (response.writableFinished || run.endedAt !== undefined) return;
      this.note("sees the connection close", {
        request: run.attempt,
        made: run.made,
      });
      if (this.dropsOnClose) this.#end(run, "drops it");
    });
    run.timer = setInterval(
      () => this.#step(run, response),
      this.intervalMilliseconds,
    );
    const deadline = Number(request.headers[HEADERS.deadline]);
    setTimeout(() => {
      if (run.endedAt !== undefined) return;
      this.#end(run, "stops at the deadline");
      response.destroy();
    }, deadline).unref();
  }

  #step(run, response) {
    run.made += 1;
    if (run.lost) {
      if (!response.destroyed) {
        this.note("loses the answer", { request: run.attempt });
        response.socket?.destroy();
      }
    } else response.write(`id: ${run.made}\ndata: event ${run.made}\n\n`);
    if (run.made < this.events) return;
    this.#end(run, "ends it");
    if (!run.lost) response.end();
  }

  #end(run, how) {
    clearInterval(run.timer);
    if (this.#streams.get(run.attempt)?.run === run) {
      this.#streams.delete(run.attempt);
    }
    run.endedAt = this.#record.now();
    this.note(how, { request: run.attempt, made: run.made });
  }

  /** Copies the memory of a run; the last call stops the run first. */
  #move({ id, last }, response) {
    const stream = this.#streams.get(id);
    const known = [...this.#kept.values()].find((one) => one.id === id);
    if (stream === undefined && known?.stopped !== true) {
      reply(response, UNKNOWN, {});
      return;
    }
    if (last === true && stream !== undefined) {
      this.#end(stream.run, "stops it as asked");
      // The stream is closed without its end.
      stream.response.destroy();
    }
    const handle = known?.handle ?? `h${(this.#handles += 1)}`;
    const created = stream?.run.made ?? known.created;
    this.#kept.set(handle, { id, handle, created, stopped: last === true });
    setTimeout(
      () => reply(response, 200, { handle, created }),
      this.#copyMilliseconds(last === true),
    );
  }

  /** Time until a copy is done, behind those that were asked for before. */
  #copyMilliseconds(isLast) {
    const now = this.#record.now();
    const copy = isLast ? COPY_MILLISECONDS.last : COPY_MILLISECONDS.first;
    this.#linkFreeAt = Math.max(now, this.#linkFreeAt) + copy;
    return this.#linkFreeAt - now;
  }
}

function reply(response, status, body) {
  response
    .writeHead(status, { "content-type": "application/json" })
    .end(JSON.stringify(body));
}

/** Reads a whole body; `undefined` if it breaks off. */
async function textOf(request) {
  const chunks = [];
  try {
    for await (const chunk of request) chunks.push(chunk);
  } catch {
    return undefined;
  }
  return Buffer.concat(chunks).toString("utf8");
}
