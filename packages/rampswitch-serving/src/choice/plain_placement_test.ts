// Copyright 2026 the rampswitch authors. Apache-2.0 license.

import { describe, expect, test } from "@jest/globals";
import { exponential, seededRandom } from "rampswitch-utils";
import { type ChoiceInputs, chooseServer } from "./choose_server.ts";
import { PrefixCacheEstimate } from "./prefix_cache_estimate.ts";
import { ServerRecord } from "./server_record.ts";

const HOLD_MILLISECONDS = 200;

const INPUTS: ChoiceInputs = {
  now: 10_000,
  dataHall: "a",
  engine: undefined,
  parts: [],
  promptTokens: 0,
  readingRate: 40,
  holdMilliseconds: HOLD_MILLISECONDS,
  excluded: new Set(),
  maximumOwnRequests: 100,
  receivesDispatches: true,
  leavingGraceMilliseconds: 0,
  placement: {
    homes: 1,
    meanHoldMilliseconds: HOLD_MILLISECONDS,
    memoryTokens: 0,
  },
  draw: () => 0.5,
};

function server(id: string, dataHall = "a"): ServerRecord {
  return new ServerRecord({
    id,
    service: "plain",
    address: "127.0.0.1:1",
    dataHall,
    slots: 6,
    state: "ready",
    version: "v1",
    reclaimable: true,
    born: 1,
  });
}

function withLoad(record: ServerRecord, load: number): ServerRecord {
  Array.from({ length: load }).forEach(() => record.started(0));
  return record;
}

function chosen(
  records: readonly ServerRecord[],
  inputs: Partial<ChoiceInputs> = {},
): string {
  const outcome = chooseServer(records, new PrefixCacheEstimate(), {
    ...INPUTS,
    ...inputs,
  });
  return outcome.kind === "chosen"
    ? outcome.choice.record.entry.id
    : outcome.kind;
}

describe("a plain request", () => {
  test("waits at a server of usual speed rather than run at a slow one", () => {
    // A wait for two slots of six takes 67 ms, and the slow server 300 ms longer.
    const busy = withLoad(server("busy"), 7);
    const slow = server("slow");
    slow.speed.reported(250, INPUTS.now);
    expect(chosen([slow, busy])).toBe("busy");
  });

  test("goes to another data hall rather than wait for a slot", () => {
    const near = withLoad(server("near"), 6);
    const far = withLoad(server("far", "b"), 5);
    expect(chosen([near, far])).toBe("far");
  });

  test("goes to the server with the most free slots", () => {
    const records = [1, 0, 3, 5].map((load, at) =>
      withLoad(server(`s${at}`), load),
    );
    expect(chosen(records)).toBe("s1");
  });

  test("goes where it went before if servers report no speed", () => {
    const random = seededRandom(31);
    Array.from({ length: 300 }).forEach(() => {
      const records = Array.from({ length: 12 }, (_, at) =>
        withLoad(server(`s${at}`, at % 3 === 0 ? "b" : "a"), random.below(10)),
      );
      const former = records.map((record) => {
        const load = record.load(INPUTS.now);
        const waiting = Math.max(0, load + 1 - 6);
        const distance = record.entry.dataHall === "a" ? 0 : 6;
        return (load / 6) * 10 + (waiting / 6) * 40 + distance;
      });
      const least = Math.min(...former);
      const draw = random.next();
      const equal = records.filter((_, at) => former[at] === least);
      const expected = equal[Math.floor(draw * equal.length)];
      const inputs = { placement: undefined, draw: () => draw };
      expect(chosen(records, inputs)).toBe(expected?.entry.id);
    });
  });
});

/**
 * Twelve servers in two data halls, with unequal numbers of servers and of callers:
 * hall a has three servers and two thirds of the callers. Requests take 200 ms, or 2.5
 * times as long at the two servers that are slow for 600 ms. They use 0.8 of the slots.
 */
function replay(placement: ChoiceInputs["placement"], seed: number) {
  const random = seededRandom(seed);
  const records = Array.from({ length: 12 }, (_, at) =>
    server(`s${at}`, at < 3 ? "a" : "b"),
  );
  const ends: { at: number; end(): void }[] = [];
  const freeAt = new Map<ServerRecord, number[]>(
    records.map((record) => [record, Array<number>(6).fill(0)]),
  );
  const times: number[] = [];
  const isSlow = (record: ServerRecord, at: number) => {
    const spell = Math.floor(at / 600);
    return (records.indexOf(record) - 2 * spell) % 12 === 0 ||
      (records.indexOf(record) - 2 * spell + 1) % 12 === 0
      ? 2.5
      : 1;
  };
  let now = 0;
  while (times.length < 4_000) {
    now += exponential(random, 1_000 / 290);
    ends
      .splice(0)
      .forEach((one) => (one.at <= now ? one.end() : ends.push(one)));
    records.forEach((record) =>
      record.speed.reported(100 * isSlow(record, now), now),
    );
    const outcome = chooseServer(records, new PrefixCacheEstimate(), {
      ...INPUTS,
      now,
      dataHall: random.next() < 2 / 3 ? "a" : "b",
      placement,
      draw: () => random.next(),
    });
    if (outcome.kind !== "chosen") {
      times.push(Infinity);
      continue;
    }
    const { record } = outcome.choice;
    const work = record.started(0);
    const slots = freeAt.get(record) ?? [];
    const free = Math.min(...slots);
    const start = Math.max(now, free);
    const at = start + HOLD_MILLISECONDS * isSlow(record, start);
    slots[slots.indexOf(free)] = at;
    ends.push({ at, end: () => work.ended() });
    times.push(at - now);
  }
  const sorted = times.toSorted((left, right) => left - right);
  return {
    mean: times.reduce((sum, time) => sum + time, 0) / times.length,
    p95: sorted[Math.floor(0.95 * sorted.length)] ?? 0,
  };
}

describe("requests to twelve plain servers in unequal data halls", () => {
  test("end within twice the usual time at four fifths of the slots", () => {
    // The rule of before gives the same times here: both avoid slow servers by the
    // figures, and both order servers of usual speed by their load.
    [1, 2, 3].forEach((seed) => {
      const { mean, p95 } = replay(INPUTS.placement, seed);
      expect(mean).toBeLessThan(1.15 * HOLD_MILLISECONDS);
      expect(p95).toBeLessThan(2 * HOLD_MILLISECONDS);
    });
  });
});
