// Copyright 2026 the rampswitch authors. Apache-2.0 license.

import { describe, expect, test } from "@jest/globals";
import { seededRandom, type Random } from "rampswitch-utils";
import { WorkEstimates } from "../estimates/mod.ts";
import type { AdmittedRequest } from "../relay/admitted_request.ts";
import {
  observeAnswer,
  observeReportedLoad,
} from "../relay/observed_answers.ts";
import { type Choice, chooseServer } from "./choose_server.ts";
import { PrefixCacheEstimate } from "./prefix_cache_estimate.ts";
import { ServerRecord } from "./server_record.ts";
import { ownSlowdowns, receiveSlowdowns } from "./slowdown_updates.ts";

// 15% of the time, a server takes 2.5 times as long, for about 600 ms. The load here is
// twelve plain servers, 40 ms a request, 250 requests a second; every 600 ms two others
// are slow, which is 16.7% of the servers. Without knowledge of the speeds, 11.3 to 11.7%
// of the sends of one host began at a slow server in this replay.

const SERVERS = 12;
const SLOTS = 6;
const REQUEST_MILLISECONDS = 40;
const ARRIVALS_PER_MILLISECOND = 0.25;
const SPELL_MILLISECONDS = 600;
const SLOW_SERVERS = 2;
const SLOW_FACTOR = 2.5;
const REQUESTS = 5_000;

/** Time between the messages of hosts, in milliseconds. */
const GOSSIP_MILLISECONDS = 200;

const REQUEST = {
  service: { name: "plain", engine: undefined },
  route: { name: "reads", streaming: false },
  head: { promptParts: [] },
} as unknown as AdmittedRequest;

interface Figures {
  /** Share of the sends that began at a slow server. */
  readonly slowShare: number;
  /** Time that 99 of 100 answers keep, in milliseconds. */
  readonly p99: number;
}

interface Options {
  /** Whether servers report their speed. */
  readonly reports: boolean;
  /** Whether answers teach the speed of servers. */
  readonly observes: boolean;
  readonly hosts: number;
  readonly seed: number;
}

interface Host {
  readonly name: string;
  readonly records: readonly ServerRecord[];
  readonly workEstimates: WorkEstimates;
}

function host(index: number): Host {
  const records = Array.from(
    { length: SERVERS },
    (_, server) =>
      new ServerRecord({
        id: `s${server}`,
        service: "plain",
        address: "127.0.0.1:1",
        dataHall: "a",
        slots: SLOTS,
        state: "ready",
        version: "v1",
        reclaimable: false,
        born: undefined,
      }),
  );
  return { name: `h${index}`, records, workEstimates: new WorkEstimates() };
}

/** Sends what one host knows to another. */
function gossip(from: Host, to: Host, now: number): void {
  from.records.forEach(({ ownWork }, server) =>
    to.records[server]?.receivePeerWork(from.name, ownWork, now),
  );
  receiveSlowdowns(ownSlowdowns(from.records, now), now, {
    directory: {
      get: (id) => to.records.find(({ entry }) => entry.id === id),
    },
    source: { from: from.name, relayed: false },
  });
}

/** Plays the load on plain objects in a time of its own. */
class Replay {
  readonly #options: Options;
  readonly #random: Random;
  readonly #hosts: readonly Host[];
  readonly #freeAt = Array.from({ length: SERVERS }, () =>
    Array.from({ length: SLOTS }, () => 0),
  );
  #ends: { readonly at: number; readonly end: () => void }[] = [];
  #slow: readonly number[] = [];
  #spell = -1;
  #gossipAt = 0;
  #now = 0;
  #slowSends = 0;
  readonly #times: number[] = [];

  constructor(options: Options) {
    this.#options = options;
    this.#random = seededRandom(options.seed);
    this.#hosts = Array.from({ length: options.hosts }, (_, index) =>
      host(index),
    );
  }

  run(): Figures {
    for (let count = 0; count < REQUESTS; count += 1) {
      const gap = -Math.log(1 - this.#random.next()) / ARRIVALS_PER_MILLISECOND;
      const arrival = this.#now + gap;
      this.#ends.sort((left, right) => left.at - right.at);
      while ((this.#ends[0]?.at ?? Infinity) <= arrival) {
        const ended = this.#ends.shift();
        this.#advance(ended?.at ?? arrival);
        ended?.end();
      }
      this.#advance(arrival);
      const index = this.#random.below(this.#hosts.length);
      this.#send(this.#hosts[index] ?? host(0));
    }
    const sorted = this.#times.toSorted((left, right) => left - right);
    return {
      slowShare: this.#slowSends / REQUESTS,
      p99: Math.round(sorted[Math.floor(0.99 * REQUESTS)] ?? 0),
    };
  }

  #advance(now: number): void {
    this.#now = now;
    const spell = Math.floor(now / SPELL_MILLISECONDS);
    if (spell !== this.#spell) this.#slow = this.#otherSlowServers();
    this.#spell = spell;
    if (now < this.#gossipAt) return;
    this.#gossipAt = now + GOSSIP_MILLISECONDS;
    this.#hosts.forEach((from) =>
      this.#hosts
        .filter((to) => to !== from)
        .forEach((to) => gossip(from, to, now)),
    );
  }

  #otherSlowServers(): readonly number[] {
    const others = Array.from({ length: SERVERS }, (_, index) => index).filter(
      (index) => !this.#slow.includes(index),
    );
    return Array.from(
      { length: SLOW_SERVERS },
      () => others.splice(this.#random.below(others.length), 1)[0] ?? 0,
    );
  }

  #send(sender: Host): void {
    const { records, workEstimates } = sender;
    const outcome = chooseServer(records, new PrefixCacheEstimate(), {
      now: this.#now,
      dataHall: "a",
      engine: undefined,
      parts: [],
      promptTokens: 0,
      readingRate: 40,
      holdMilliseconds: workEstimates.of(REQUEST).holdMilliseconds,
      excluded: new Set(),
      maximumOwnRequests: 100,
      receivesDispatches: true,
      leavingGraceMilliseconds: 0,
      draw: () => this.#random.next(),
    });
    if (outcome.kind !== "chosen")
      throw new Error(`no server: ${outcome.kind}`);
    const { choice } = outcome;
    const server = records.indexOf(choice.record);
    const isSlow = this.#slow.includes(server);
    if (isSlow) this.#slowSends += 1;
    const work = choice.record.started(0);
    const sentAt = this.#now;
    const at = this.#takeSlot(
      server,
      REQUEST_MILLISECONDS * (isSlow ? SLOW_FACTOR : 1),
    );
    this.#times.push(at - sentAt);
    const end = () => {
      work.ended();
      this.#answered(sender, choice, sentAt);
    };
    this.#ends.push({ at, end });
  }

  /** Returns when a request ends that gets the first free slot of a server. */
  #takeSlot(server: number, milliseconds: number): number {
    const freeAt = this.#freeAt[server] ?? [];
    const earliest = Math.min(...freeAt);
    const endsAt = Math.max(this.#now, earliest) + milliseconds;
    freeAt[freeAt.indexOf(earliest)] = endsAt;
    return endsAt;
  }

  #answered(sender: Host, choice: Choice, sentAt: number): void {
    const { reports, observes } = this.#options;
    const { workEstimates, records } = sender;
    const now = this.#now;
    const context = {
      clock: { now: () => now },
      metrics: { event: () => undefined },
      workEstimates,
    } as never;
    const send = { choice, sentAt, unreadBefore: 0, events: 0 };
    const isSlow = this.#slow.includes(records.indexOf(choice.record));
    const running = choice.record.load(now);
    const workTimePercent = reports
      ? 100 * (isSlow ? SLOW_FACTOR : 1)
      : undefined;
    observeReportedLoad(
      { running, waiting: 0, slots: SLOTS, workTimePercent },
      send,
      context,
    );
    if (observes) {
      observeAnswer(REQUEST, { ...send, isOnlySend: true }, context);
    }
  }
}

function figures(options: Omit<Options, "seed">): readonly Figures[] {
  return [1, 2, 3].map((seed) => new Replay({ ...options, seed }).run());
}

function slowShares(options: Omit<Options, "seed">): readonly number[] {
  return figures(options).map(({ slowShare }) => slowShare);
}

describe("servers that are slow for a moment", () => {
  test("get 9% of the sends or more if nothing is known of them", () => {
    const shares = slowShares({ hosts: 1, reports: false, observes: false });
    expect(Math.min(...shares)).toBeGreaterThan(0.09);
  });

  // One answer of each server comes in about 50 ms, and a slow one takes 100 ms. Until
  // then the host can't know, so a small share remains: 1.8 to 2.2% were measured.
  test("get few sends if they report that they are slow", () => {
    const played = figures({ hosts: 1, reports: true, observes: true });
    const shares = played.map(({ slowShare }) => slowShare);
    expect(Math.max(...shares)).toBeLessThan(0.03);
    const times = played.map(({ p99 }) => p99);
    expect(Math.max(...times)).toBeLessThanOrEqual(100);
  });

  // 6.2 to 7.1% were measured.
  test("get fewer sends by the times of their answers alone", () => {
    const shares = slowShares({ hosts: 1, reports: false, observes: true });
    expect(Math.max(...shares)).toBeLessThan(0.08);
  });

  // Each host has an answer of each server every 190 ms: 5.2 to 5.4% were measured.
  test("get half of the sends if four hosts share the requests", () => {
    const shares = slowShares({ hosts: 4, reports: true, observes: true });
    expect(Math.max(...shares)).toBeLessThan(0.06);
  });
});
