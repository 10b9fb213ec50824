// Copyright 2026 the rampswitch authors. Apache-2.0 license.

import { describe, expect, test } from "@jest/globals";
import { seededRandom } from "rampswitch-utils";
import { type ChoiceInputs, chooseServer } from "./choose_server.ts";
import { PrefixCacheEstimate } from "./prefix_cache_estimate.ts";
import { ServerRecord } from "./server_record.ts";
import { backendServerStandin } from "../model/backend_server_standin.ts";

const PARTS = [
  { id: "system", tokens: 500 },
  { id: "file", tokens: 6_000 },
  { id: "own", tokens: 1_000 },
];

const INPUTS: ChoiceInputs = {
  now: 10_000,
  dataHall: "a",
  engine: { slots: 8, memoryTokens: 500_000, migratable: true },
  parts: PARTS,
  promptTokens: 7_500,
  readingRate: 50,
  excluded: new Set(),
  maximumOwnRequests: 100,
  receivesDispatches: true,
  leavingGraceMilliseconds: 1_200,
  draw: () => 0.5,
};

function server(id: string, dataHall = "a"): ServerRecord {
  return new ServerRecord(backendServerStandin({ id, dataHall }));
}

function chosen(
  records: readonly ServerRecord[],
  options: {
    prefixes?: PrefixCacheEstimate;
    inputs?: Partial<ChoiceInputs>;
  } = {},
): string {
  const prefixes = options.prefixes ?? new PrefixCacheEstimate();
  const outcome = chooseServer(records, prefixes, {
    ...INPUTS,
    ...options.inputs,
  });
  return outcome.kind === "chosen"
    ? outcome.choice.record.entry.id
    : outcome.kind;
}

describe("choice of a server", () => {
  test("prefers the server with the prompt's parts cached", () => {
    const records = ["s1", "s2", "s3"].map((id) => server(id));
    records.forEach((cachingServer) => {
      const prefixes = new PrefixCacheEstimate();
      prefixes.stored(cachingServer.entry.id, PARTS.slice(0, 2), 500_000);
      expect(chosen(records, { prefixes })).toBe(cachingServer.entry.id);
    });
  });

  test("takes another server if the queue costs more than a new prefill", () => {
    const records = ["s1", "s2"].map((id) => server(id));
    const prefixes = new PrefixCacheEstimate();
    prefixes.stored("s1", PARTS.slice(0, 2), 500_000);
    records[0]?.started(20_000);
    expect(chosen(records, { prefixes })).toBe("s2");
  });

  test("takes any of the servers that are equal", () => {
    // With fast answers, a few hosts sent all requests to one of eight equal servers
    // and overloaded it.
    const records = ["s1", "s2", "s3", "s4"].map((id) => server(id));
    const random = seededRandom(7);
    const inputs = { parts: [], draw: () => random.next() };
    const all = Array.from({ length: 400 }, () => chosen(records, { inputs }));
    records.forEach(({ entry }) =>
      expect(all.filter((id) => id === entry.id).length).toBeGreaterThan(60),
    );
  });

  test("hosts agree without messages if nothing is known", () => {
    const records = ["s1", "s2", "s3", "s4"].map((id) => server(id));
    const first = chosen(records);
    expect(chosen(records.toReversed())).toBe(first);
  });

  test("hosts that do not receive each other's dispatches use one home server", () => {
    const records = ["s1", "s2", "s3", "s4"].map((id) => server(id));
    const parts = [{ id: "system", tokens: 1_000 }, ...PARTS.slice(1)];
    const home = chosen(records, { inputs: { parts } });
    const other = records.find(({ entry }) => entry.id !== home);
    const prefixes = new PrefixCacheEstimate();
    // This host sent a prompt with the same first part elsewhere.
    prefixes.stored(other!.entry.id, parts.slice(0, 1), 500_000);
    const withoutDispatches = { parts, receivesDispatches: false };
    expect(chosen(records, { prefixes, inputs: withoutDispatches })).toBe(home);
    expect(chosen(records, { prefixes, inputs: { parts } })).toBe(
      other!.entry.id,
    );
  });

  test("hosts that know loads with a delay do not all choose the same server", () => {
    const records = Array.from({ length: 20 }, (_, index) => {
      const record = server(`s${index}`);
      if (index > 0)
        record.receivePeerWork(
          "b",
          { running: 3, pendingPrefillTokens: 9e3 },
          1e4,
        );
      return record;
    });
    const random = seededRandom(5);
    const choices = Array.from({ length: 60 }, () =>
      chosen(records, {
        inputs: {
          parts: [],
          receivesDispatches: false,
          draw: () => random.next(),
        },
      }),
    );
    const idle = choices.filter((id) => id === "s0").length;
    expect(idle).toBeGreaterThan(0);
    expect(idle).toBeLessThan(20);
    const all = choices.map(() => chosen(records, { inputs: { parts: [] } }));
    expect(new Set(all)).toEqual(new Set(["s0"]));
  });

  describe("copies of cached parts", () => {
    const copying = {
      engine: {
        slots: 8,
        memoryTokens: 500_000,
        migratable: true,
        copyTokensPerMillisecond: 1_000,
      },
    };

    /** An engine with cached parts and a long prefill queue, and an idle engine. */
    function busyCachingServer(): {
      readonly cachingServer: ServerRecord;
      readonly records: readonly ServerRecord[];
      readonly prefixes: PrefixCacheEstimate;
    } {
      const cachingServer = server("keeper");
      cachingServer.started(20_000);
      const prefixes = new PrefixCacheEstimate();
      prefixes.stored("keeper", PARTS.slice(0, 2), 500_000);
      return {
        cachingServer,
        records: [cachingServer, server("idle")],
        prefixes,
      };
    }

    function copyOf(
      setUp: ReturnType<typeof busyCachingServer>,
      inputs: Partial<ChoiceInputs> = copying,
    ): { readonly from: string | undefined; readonly cachedTokens: number } {
      const outcome = chooseServer(setUp.records, setUp.prefixes, {
        ...INPUTS,
        ...inputs,
      });
      if (outcome.kind !== "chosen") throw new Error("no server was chosen");
      const { copyFrom, cachedTokens, record } = outcome.choice;
      expect(record.entry.id).toBe("idle");
      return { from: copyFrom?.entry.id, cachedTokens };
    }

    test("come from the engine that has them cached, and need no prefill", () => {
      expect(copyOf(busyCachingServer())).toEqual({
        from: "keeper",
        cachedTokens: 6_500,
      });
    });

    test("come from an engine that left recently, not from one long gone", () => {
      const setUp = busyCachingServer();
      setUp.cachingServer.entry = {
        ...setUp.cachingServer.entry,
        state: "leaving",
      };
      setUp.cachingServer.leavingSince = INPUTS.now - 1_000;
      expect(copyOf(setUp).from).toBe("keeper");
      setUp.cachingServer.leavingSince = INPUTS.now - 2_000;
      expect(copyOf(setUp)).toEqual({ from: undefined, cachedTokens: 0 });
    });

    test("do not come from an engine that fails", () => {
      const setUp = busyCachingServer();
      setUp.cachingServer.failed(INPUTS.now, { surelyDown: true });
      expect(copyOf(setUp).from).toBeUndefined();
    });

    test("are not made if prefill is faster, or if engines can't copy", () => {
      expect(
        copyOf(busyCachingServer(), {
          engine: { ...copying.engine, copyTokensPerMillisecond: 40 },
        }).from,
      ).toBeUndefined();
      expect(copyOf(busyCachingServer(), {}).from).toBeUndefined();
    });
  });

  test("leaves out servers that leave, fail, are full or were tried", () => {
    const ready = server("ready");
    const leaving = server("leaving");
    leaving.entry = { ...leaving.entry, state: "leaving" };
    const down = server("down");
    down.failed(INPUTS.now, { surelyDown: true });
    const full = server("full");
    Array.from({ length: 20 }).forEach(() => full.started(0));
    leaving.leavingSince = INPUTS.now - 1_300;
    expect(chosen([leaving, down, full, ready])).toBe("ready");
    expect(chosen([leaving])).toBe("none");
    expect(chosen([full])).toBe("full");
    const excluded = new Set(["ready"]);
    expect(chosen([ready], { inputs: { excluded } })).toBe("none");
  });

  test("takes a server that began to leave recently rather than none", () => {
    const leaving = server("leaving");
    leaving.entry = { ...leaving.entry, state: "leaving" };
    leaving.leavingSince = INPUTS.now - 1_100;
    const full = server("full");
    Array.from({ length: 20 }).forEach(() => full.started(0));
    expect(chosen([leaving])).toBe("leaving");
    expect(chosen([leaving, full])).toBe("leaving");
    expect(chosen([leaving, server("ready")])).toBe("ready");
    expect(
      chosen([leaving, full], { inputs: { leavingGraceMilliseconds: 0 } }),
    ).toBe("full");
    const gone = server("gone");
    gone.entry = { ...gone.entry, state: "leaving" };
    expect(chosen([gone])).toBe("none");
  });

  test("takes a failed server again after its ejection", () => {
    const record = server("s1");
    record.failed(INPUTS.now, { surelyDown: true });
    expect(record.isEjected(INPUTS.now + 200)).toBe(true);
    expect(record.isEjected(INPUTS.now + 500)).toBe(false);
  });

  test("tries a failed server rather than none", () => {
    const record = server("s1");
    record.failed(INPUTS.now, { surelyDown: true });
    expect(chosen([record])).toBe("s1");
  });

  test("leaves out a server that rejects requests while it has free slots", () => {
    const rejecting = server("s1");
    rejecting.rejected(INPUTS.now);
    rejecting.rejected(INPUTS.now);
    expect(rejecting.isEjected(INPUTS.now)).toBe(true);
    const full = server("s2");
    Array.from({ length: 9 }).forEach(() => full.started(0));
    full.rejected(INPUTS.now);
    full.rejected(INPUTS.now);
    expect(full.isEjected(INPUTS.now)).toBe(false);
  });

  test("counts the work of peers while their updates are fresh", () => {
    const record = server("s1");
    record.receivePeerWork(
      "b",
      { running: 5, pendingPrefillTokens: 900 },
      INPUTS.now,
    );
    expect(record.load(INPUTS.now + 100)).toBe(5);
    expect(record.pendingPrefillTokens(INPUTS.now + 100)).toBe(900);
    expect(record.load(INPUTS.now + 5_000)).toBe(0);
  });

  test("keeps plain services' requests in the data hall, and spreads them", () => {
    const plain = { engine: undefined, parts: [], promptTokens: 0 };
    const near = server("near", "a");
    const far = server("far", "b");
    expect(chosen([far, near], { inputs: plain })).toBe("near");
    Array.from({ length: 8 }).forEach(() => near.started(0));
    expect(chosen([far, near], { inputs: plain })).toBe("far");
  });
});
