// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Hosts before servers that turn requests away and ask for rests, by the decisions of
 * the serving host in simulated time.
 *
 * @module
 */
import {
  chooseServer,
  PrefixCacheEstimate,
  returnSpreadMilliseconds,
  type ReturnInputs,
  ServerRecord,
} from "rampswitch-serving";
import { exponential, type Random, seededRandom } from "rampswitch-utils";
import TinyQueue from "tinyqueue";

interface RestInputs extends ReturnInputs {
  readonly restMilliseconds: number;
}

/** Ways in which hosts return to a server after a rest. */
export const RETURNS = {
  /** All at once. */
  none: () => 0,
  /** Over as long as the rest was. */
  rest: ({ restMilliseconds }: RestInputs) => restMilliseconds,
  /** Over the time in which the server can serve a request of each host. */
  hosts: returnSpreadMilliseconds,
  /** Over the shorter of both. */
  both: (inputs: RestInputs) =>
    Math.min(inputs.restMilliseconds, returnSpreadMilliseconds(inputs)),
} as const;

/** One of {@link RETURNS}. */
export type ReturnWay = keyof typeof RETURNS;

/** What is played. */
export interface RestsRun {
  readonly hosts: number;
  readonly way: ReturnWay;
  readonly restMilliseconds: number;
  /** Share of the servers that turn all away for a while. */
  readonly shedding: number;
  /** Demand as a share of what all servers can serve. */
  readonly demand: number;
  readonly seed: number;
}

/** What came of it. */
export interface RestsFigures {
  /** Share of the requests that were served within their target. */
  readonly inTime: number;
  /** Sends that were turned away, for each request. */
  readonly sheds: number;
  /** Most requests at one server in the first 200 ms after one of its rests. */
  readonly mostAfterRest: number;
  /** Requests that arrived within a rest of their host. */
  readonly withinRests: number;
}

const SLOTS = 8;

/** Requests that may wait at a server, as a share of its slots. */
const QUEUE_SHARE = 0.75;

const HOLD_MILLISECONDS = 200;

/** Time to a server, one way, in milliseconds. */
const WAY_MILLISECONDS = 2;

const TARGET_MILLISECONDS = 1_000;

/** Time that a caller has, in milliseconds. */
const DEADLINE_MILLISECONDS = 4_000;

/** When servers begin to turn all away, and for how long, in milliseconds. */
const SHED_AT = 4_000;
const SHED_FOR = 1_000;

/** Time in which callers ask, in milliseconds. */
const ASKING_MILLISECONDS = 12_000;

const AFTER_REST_MILLISECONDS = 200;

/** Sends of one request at most. */
const MOST_SENDS = 3;

/** Least time after which a refused caller comes back, and its spread, in ms. */
const BACK_MILLISECONDS = { least: 200, spread: 400 };

interface Server {
  readonly index: number;
  readonly sheds: boolean;
  running: number;
  waiting: (() => void)[];
  readonly arrivals: number[];
  readonly restEnds: number[];
}

interface Host {
  readonly records: readonly ServerRecord[];
  /** When the newest rest ends, by server. */
  readonly rests: Map<number, number>;
}

interface Event {
  readonly at: number;
  run(): void;
}

interface Asked {
  readonly at: number;
  readonly tried: Set<string>;
}

/** A fleet before servers that ask for rests. */
export class EmulatedRests {
  readonly #run: RestsRun;
  readonly #random: Random;
  readonly #events = new TinyQueue<Event>([], (a, b) => a.at - b.at);
  readonly #servers: readonly Server[];
  readonly #hosts: readonly Host[];
  readonly #prefixes = new PrefixCacheEstimate();
  #now = 0;
  #asked = 0;
  #inTime = 0;
  #sheds = 0;
  #withinRests = 0;

  constructor(run: RestsRun) {
    this.#run = run;
    this.#random = seededRandom(run.seed);
    const count = Math.max(4, Math.ceil(run.hosts / 4));
    this.#servers = Array.from({ length: count }, (_, index) => ({
      index,
      sheds: index < Math.ceil(run.shedding * count),
      running: 0,
      waiting: [],
      arrivals: [],
      restEnds: [],
    }));
    this.#hosts = Array.from({ length: run.hosts }, () => ({
      records: this.#servers.map(({ index }) => recordOf(index)),
      rests: new Map(),
    }));
  }

  /** Plays it all. */
  play(): RestsFigures {
    const perMillisecond =
      (this.#run.demand * this.#servers.length * SLOTS) / HOLD_MILLISECONDS;
    const arrive = () => {
      if (this.#now > ASKING_MILLISECONDS) return;
      this.#asked += 1;
      const host = this.#hosts[this.#random.below(this.#hosts.length)];
      if (host !== undefined)
        this.#ask(host, { at: this.#now, tried: new Set() });
      this.#after(exponential(this.#random, 1 / perMillisecond), arrive);
    };
    this.#after(0, arrive);
    for (let next = this.#events.pop(); next; next = this.#events.pop()) {
      this.#now = next.at;
      next.run();
    }
    return {
      inTime: this.#inTime / this.#asked,
      sheds: this.#sheds / this.#asked,
      mostAfterRest: Math.max(0, ...this.#servers.map(mostAfterRest)),
      withinRests: this.#withinRests,
    };
  }

  #after(milliseconds: number, run: () => void): void {
    this.#events.push({ at: this.#now + milliseconds, run });
  }

  #ask(host: Host, asked: Asked): void {
    const outcome = chooseServer(host.records, this.#prefixes, {
      now: this.#now,
      dataHall: "a",
      engine: undefined,
      parts: [],
      promptTokens: 0,
      readingRate: 1,
      excluded: asked.tried,
      maximumOwnRequests: Infinity,
      leavingGraceMilliseconds: 0,
      receivesDispatches: false,
      draw: () => this.#random.next(),
    });
    if (outcome.kind !== "chosen" || asked.tried.size >= MOST_SENDS) {
      this.#refuse(host, asked);
      return;
    }
    const { record } = outcome.choice;
    asked.tried.add(record.incarnation);
    const work = record.started(0);
    const server = this.#servers[Number(record.entry.id)];
    if (server === undefined) return;
    this.#after(WAY_MILLISECONDS, () =>
      this.#arrived(server, host, {
        served: () => {
          work.requestAccepted();
          work.ended();
          record.succeeded();
          if (this.#now - asked.at <= TARGET_MILLISECONDS) this.#inTime += 1;
        },
        turnedAway: () => {
          work.ended();
          this.#rest(server, record, host);
          this.#ask(host, asked);
        },
      }),
    );
  }

  #refuse(host: Host, { at }: Asked): void {
    const ends = host.records.map(({ backOff: rest }) => rest.returnsAt);
    const wait = Math.max(
      BACK_MILLISECONDS.least,
      Math.min(...ends) - this.#now,
    );
    const back = wait + BACK_MILLISECONDS.spread * this.#random.next();
    if (this.#now + back - at > DEADLINE_MILLISECONDS) return;
    this.#after(back, () => this.#ask(host, { at, tried: new Set() }));
  }

  #arrived(
    server: Server,
    host: Host,
    outcome: { served(): void; turnedAway(): void },
  ): void {
    server.arrivals.push(this.#now);
    if (this.#now < (host.rests.get(server.index) ?? 0)) this.#withinRests += 1;
    const isShedding =
      server.sheds && this.#now >= SHED_AT && this.#now < SHED_AT + SHED_FOR;
    const isFull =
      server.running + server.waiting.length >= SLOTS * (1 + QUEUE_SHARE);
    if (isShedding || isFull) {
      this.#sheds += 1;
      this.#after(WAY_MILLISECONDS, () => outcome.turnedAway());
      return;
    }
    const begin = () => {
      server.running += 1;
      this.#after(exponential(this.#random, HOLD_MILLISECONDS), () => {
        server.running -= 1;
        outcome.served();
        server.waiting.shift()?.();
      });
    };
    if (server.running < SLOTS) begin();
    else server.waiting.push(begin);
  }

  #rest(server: Server, record: ServerRecord, host: Host): void {
    const { restMilliseconds, hosts, way } = this.#run;
    const within = RETURNS[way]({
      restMilliseconds,
      hosts,
      holdMilliseconds: HOLD_MILLISECONDS,
      slots: SLOTS,
    });
    record.backOff.requested({
      now: this.#now,
      milliseconds: restMilliseconds,
      returnDelay: within * this.#random.next(),
    });
    const until = this.#now + restMilliseconds;
    host.rests.set(server.index, until);
    server.restEnds.push(until);
  }
}

function recordOf(index: number): ServerRecord {
  return new ServerRecord({
    id: String(index),
    born: undefined,
    service: "models",
    address: `10.0.0.${index}:1`,
    dataHall: "a",
    version: "v1",
    slots: SLOTS,
    state: "ready",
    reclaimable: false,
  });
}

function mostAfterRest({ arrivals, restEnds }: Server): number {
  const counts = restEnds.map(
    (end) =>
      arrivals.filter((at) => at >= end && at < end + AFTER_REST_MILLISECONDS)
        .length,
  );
  return Math.max(0, ...counts);
}
