// Copyright 2026 the rampswitch authors. Apache-2.0 license.

import { describe, expect, test } from "@jest/globals";
import { seededRandom } from "rampswitch-utils";
import { type ChoiceInputs, chooseServer } from "./choose_server.ts";
import {
  type ReplayedAnswer,
  type ReplayedLoad,
  replayLoad,
} from "./engine_load_standin.ts";
import { homeServers } from "./home_server.ts";
import { PrefixCacheEstimate } from "./prefix_cache_estimate.ts";
import { ServerRecord } from "./server_record.ts";
import { SubjectRates } from "./subject_rates.ts";

const PARTS = [
  { id: "system", tokens: 400 },
  { id: "subject", tokens: 4_500 },
  { id: "own", tokens: 7_100 },
];

const PLACEMENT = { homes: 1, meanHoldMilliseconds: 900, memoryTokens: 0 };

/** Inputs for a long prompt in a fleet with relays. */
const INPUTS: ChoiceInputs = {
  now: 10_000,
  dataHall: "a",
  engine: {
    slots: 64,
    memoryTokens: 500_000,
    migratable: true,
    copyTokensPerMillisecond: 1_000,
  },
  parts: PARTS,
  promptTokens: 12_000,
  readingRate: 48,
  excluded: new Set(),
  maximumOwnRequests: 100,
  receivesDispatches: false,
  leavingGraceMilliseconds: 1_200,
  placement: PLACEMENT,
  draw: () => 0.5,
};

function server(id: string, dataHall = "a"): ServerRecord {
  return new ServerRecord({
    id,
    service: "models",
    address: `${id}:1`,
    dataHall,
    slots: 64,
    state: "ready",
    version: "v1",
    reclaimable: true,
    born: 1,
  });
}

function servers(count: number): readonly ServerRecord[] {
  return Array.from({ length: count }, (_, at) => server(`s${at}`));
}

/** Runs streams of another host at a server. */
function runStreams(record: ServerRecord, running: number): void {
  const work = { running, pendingPrefillTokens: 0 };
  record.receivePeerWork("fleet", work, INPUTS.now);
}

function choose(
  records: readonly ServerRecord[],
  inputs: Partial<ChoiceInputs> = {},
  prefixes = new PrefixCacheEstimate(),
) {
  const outcome = chooseServer(records, prefixes, { ...INPUTS, ...inputs });
  if (outcome.kind !== "chosen") throw new Error(outcome.kind);
  const { choice, candidates } = outcome;
  return {
    id: choice.record.entry.id,
    copyFrom: choice.copyFrom?.entry.id,
    candidates: candidates?.map(({ entry }) => entry.id),
  };
}

function homeOf(records: readonly ServerRecord[]): ServerRecord {
  const [home] = homeServers(records, "subject", 1);
  if (home === undefined) throw new Error("no home");
  return home;
}

describe("a long prompt", () => {
  test("goes to an engine without streams and copies from its home server", () => {
    const records = servers(6);
    const home = homeOf(records);
    const idle = records.find((record) => record !== home);
    records
      .filter((record) => record !== idle)
      .forEach((record) => runStreams(record, 1));
    const chosen = choose(records);
    expect(chosen.id).toBe(idle?.entry.id);
    expect(chosen.copyFrom).toBe(home.entry.id);
  });

  test("goes to its home server if that runs no streams", () => {
    const records = servers(6);
    const chosen = choose(records);
    expect(chosen.id).toBe(homeOf(records).entry.id);
    expect(chosen.copyFrom).toBeUndefined();
  });

  test("is prefilled where it goes if a copy takes longer", () => {
    const records = servers(6);
    runStreams(homeOf(records), 2);
    const engine = { ...INPUTS.engine!, copyTokensPerMillisecond: 40 };
    expect(choose(records, { engine }).copyFrom).toBeUndefined();
    const withoutCopies = { ...engine, copyTokensPerMillisecond: undefined };
    const chosen = choose(records, { engine: withoutCopies });
    expect(chosen.copyFrom).toBeUndefined();
    expect(chosen.id).not.toBe(homeOf(records).entry.id);
  });

  test("copies from the engine that this host knows to have the parts", () => {
    // The home changes as servers come and go, and the one before still has the parts.
    const records = servers(6);
    const home = homeOf(records);
    const [other, idle] = records.filter((record) => record !== home);
    const prefixes = new PrefixCacheEstimate();
    prefixes.stored(other!.entry.id, PARTS.slice(0, 2), 500_000);
    records
      .filter((record) => record !== idle)
      .forEach((record) => runStreams(record, 1));
    const chosen = choose(records, {}, prefixes);
    expect(chosen.id).toBe(idle?.entry.id);
    expect(chosen.copyFrom).toBe(other?.entry.id);
  });

  test("does not copy from a home server that left, fails, or has ended", () => {
    const end = [
      (record: ServerRecord) => record.end(),
      (record: ServerRecord) => {
        record.isReadable = false;
      },
      (record: ServerRecord) => record.failed(INPUTS.now, { surelyDown: true }),
    ];
    end.forEach((change) => {
      const records = servers(6);
      const home = homeOf(records);
      change(home);
      const next = homeOf(records.filter((record) => record !== home));
      runStreams(next, 3);
      const chosen = choose(records);
      expect(chosen.id).not.toBe(home.entry.id);
      // The next server in the order of homes takes its place.
      expect(chosen.copyFrom).toBe(next.entry.id);
    });
  });

  test("avoids an engine that reports that it is slow, also if that is its home", () => {
    const records = servers(6);
    const home = homeOf(records);
    home.speed.reported(250, INPUTS.now);
    expect(choose(records).id).not.toBe(home.entry.id);
    records.forEach(({ speed }) => speed.reported(250, INPUTS.now));
    expect(choose(records).id).toBe(home.entry.id);
  });

  test("weighs a wait for another prompt against the delay of streams", () => {
    const records = servers(2);
    // Five streams are delayed more than one prompt that waits for half a prefill.
    runStreams(records[0]!, 5);
    records[1]!.receivePeerWork(
      "fleet",
      { running: 1, pendingPrefillTokens: 6_000 },
      INPUTS.now,
    );
    expect(choose(records).id).toBe("s1");
  });

  test("has up to three candidates among the best, that differ from host to host", () => {
    const records = servers(40);
    records.slice(10).forEach((record) => runStreams(record, 2));
    const random = seededRandom(4);
    const drawn = Array.from({ length: 50 }, () =>
      choose(records, { draw: () => random.next() }),
    );
    drawn.forEach(({ candidates }) => {
      expect(candidates).toHaveLength(3);
      expect(new Set(candidates).size).toBe(3);
    });
    const all = new Set(drawn.flatMap(({ candidates }) => candidates ?? []));
    const idle = records.slice(0, 10).map(({ entry }) => entry.id);
    idle.forEach((id) => expect(all).toContain(id));
    expect([...all].filter((id) => !idle.includes(id))).toEqual([]);
  });

  test("goes to the candidate whose fresh report is best", () => {
    const records = servers(20);
    const prefixes = new PrefixCacheEstimate();
    const { candidates } = choose(records, {}, prefixes);
    const among = records.filter(({ entry }) => candidates?.includes(entry.id));
    // What other hosts reported is older than the servers' own figures.
    among.forEach((record, at) => {
      runStreams(record, 1 - Math.sign(at));
      const running = at === 0 ? 0 : 2;
      record.reported({ running, waiting: 0, slots: 64 }, INPUTS.now);
    });
    const again = choose(records, { among }, prefixes);
    expect(again.id).toBe(among[0]?.entry.id);
    expect(again.candidates).toBeUndefined();
  });

  test("copies from its home also if it goes to the best of candidates without it", () => {
    // The first by hash of a few candidates was taken for the home, which made the
    // engine read all of the prompt.
    const records = servers(40);
    const home = homeOf(records);
    runStreams(home, 5);
    const { candidates } = choose(records);
    const among = records.filter(({ entry }) => candidates?.includes(entry.id));
    expect(among).not.toContain(home);
    expect(choose(records, { among }).copyFrom).toBe(home.entry.id);
  });

  test("does not go to a candidate that left or restarted meanwhile", () => {
    const records = servers(20);
    const { candidates } = choose(records);
    const among = records.filter(({ entry }) => candidates?.includes(entry.id));
    const [left, restarted, stays] = among;
    left!.entry = { ...left!.entry, state: "leaving" };
    restarted!.end();
    expect(choose(records, { among }).id).toBe(stays?.entry.id);
    stays!.end();
    const outcome = chooseServer(records, new PrefixCacheEstimate(), {
      ...INPUTS,
      among,
    });
    expect(outcome.kind).toBe("none");
  });
});

describe("memory of engines", () => {
  const memory = { ...PLACEMENT, memoryTokens: 12_400 };

  /** A server at which a peer's requests will hold so many tokens. */
  function holding(record: ServerRecord, memoryTokens: number): ServerRecord {
    const work = { running: 1, pendingPrefillTokens: 0, memoryTokens };
    record.receivePeerWork("h1", work, INPUTS.now);
    return record;
  }

  test("keeps prompts from engines whose requests will fill it", () => {
    // An engine whose memory runs out preempts requests and computes them anew.
    const full = holding(server("full"), 445_000);
    const busy = server("busy");
    runStreams(busy, 20);
    [12_000, 2_400].forEach((promptTokens) =>
      expect(choose([full, busy], { promptTokens, placement: memory }).id).toBe(
        "busy",
      ),
    );
    const before = choose([full, busy], { placement: PLACEMENT });
    expect(before.id).toBe("full");
  });

  test("counts the requests of this host and those of its peers, once", () => {
    const record = holding(server("s1"), 300_000);
    const other = server("s2");
    runStreams(other, 20);
    const works = Array.from({ length: 12 }, () => record.started(0, 12_400));
    expect(record.memory.tokens(INPUTS.now)).toBe(448_800);
    expect(choose([record, other], { placement: memory }).id).toBe("s2");
    works.forEach((work) => work.ended());
    expect(choose([record, other], { placement: memory }).id).toBe("s1");
  });

  test("does not count those of a host that ended", () => {
    const full = holding(server("full"), 449_000);
    const busy = server("busy");
    runStreams(busy, 20);
    const records = [full, busy];
    const now = INPUTS.now + 1_499;
    busy.receivePeerWork(
      "fleet",
      { running: 20, pendingPrefillTokens: 0 },
      now,
    );
    const ofPeer = { now, placement: memory };
    expect(choose(records, ofPeer).id).toBe("busy");
    expect(choose(records, { ...ofPeer, now: now + 1 }).id).toBe("full");
  });

  test("is ignored if no engine has any left", () => {
    const records = ["s1", "s2"].map((id) => holding(server(id), 499_000));
    runStreams(records[0]!, 8);
    expect(choose(records, { placement: memory }).id).toBe("s2");
  });

  test.each([NaN, -1e9, 1e300])(
    "is not counted if a peer reports %p",
    (tokens) => {
      const records = [holding(server("s1"), tokens), server("s2")];
      runStreams(records[1]!, 8);
      expect(choose(records, { placement: memory }).id).toBe("s1");
    },
  );
});

describe("other prompts", () => {
  test("that are short keep to their home server", () => {
    const records = servers(6);
    const home = homeOf(records);
    runStreams(home, 10);
    const short = { promptTokens: 4_700 };
    expect(choose(records, short).id).toBe(home.entry.id);
  });

  test("that are short leave a home server that reports that it is slow", () => {
    const records = servers(6);
    const home = homeOf(records);
    home.speed.reported(250, INPUTS.now);
    const parts = [
      { id: "subject", tokens: 568 },
      { id: "own", tokens: 1_800 },
    ];
    const short = { parts, promptTokens: 2_368 };
    expect(choose(records, short).id).not.toBe(home.entry.id);
    records.forEach(({ speed }) => speed.reported(250, INPUTS.now));
    expect(choose(records, short).id).toBe(home.entry.id);
  });

  test("that are long keep to their home server where streams are of one kind", () => {
    const records = servers(6);
    const home = homeOf(records);
    runStreams(home, 10);
    const chosen = choose(records, { placement: undefined });
    expect(chosen).toMatchObject({ id: home.entry.id, candidates: undefined });
  });
});

const LONG = {
  perSecond: 21,
  promptTokens: 12_000,
  sharedTokens: 4_900,
  answerTokens: 385,
};

const SHORT = {
  perSecond: 44,
  promptTokens: 2_400,
  sharedTokens: 568,
  answerTokens: 28,
};

/** A calm day of a small twin of the deployments in docs/design/hard_load.md. */
const CALM_DAY: ReplayedLoad = {
  seed: 12,
  seconds: 20,
  engines: 56,
  hosts: 62,
  kinds: [LONG, SHORT],
  subjects: 16,
  largestShare: 1 / 16,
  placement: () => undefined,
  queries: false,
};

/**
 * Steps with another prompt's prefill in a row that make an answer late on an engine
 * that is 2.5 times as slow as usual: a pause of more than 500 ms.
 */
const LATE_STEPS = 7;

function mean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}

/** Placements as a fleet's hosts decide them by the rates that they see. */
function ratedPlacement({
  hosts,
  engines,
}: ReplayedLoad): ReplayedLoad["placement"] {
  const rates = Array.from({ length: hosts }, () => new SubjectRates());
  return (host, part, now) => {
    const own = rates[host]!;
    const homes = own.homes(part, now, { hosts, servers: engines });
    const kind = part.startsWith(`${LONG.promptTokens}-`) ? LONG : SHORT;
    own.add(part, (kind.promptTokens - kind.sharedTokens) / 48, now);
    return { homes, meanHoldMilliseconds: 900, memoryTokens: 0 };
  };
}

function figuresOf(answers: readonly ReplayedAnswer[]) {
  const ofKind = (kind: typeof LONG) =>
    answers.filter((answer) => answer.kind === kind);
  const firstPart = (kind: typeof LONG) =>
    mean(
      ofKind(kind).flatMap(({ at, firstPartAt }) =>
        firstPartAt === undefined ? [] : [firstPartAt - at],
      ),
    );
  return {
    lateShare: mean(
      ofKind(LONG).map(({ longestDelay }) =>
        longestDelay >= LATE_STEPS ? 1 : 0,
      ),
    ),
    prefillTokens: mean(ofKind(LONG).map((answer) => answer.prefillTokens)),
    idleShare: mean(ofKind(LONG).map(({ load }) => (load === 0 ? 1 : 0))),
    longFirstPart: firstPart(LONG),
    shortFirstPart: firstPart(SHORT),
  };
}

describe("with 56 engines, 21 long and 44 short requests a second", () => {
  const before = figuresOf(replayLoad(CALM_DAY));
  const placement = () => PLACEMENT;
  const placed = figuresOf(replayLoad({ ...CALM_DAY, placement }));
  const asked = { ...CALM_DAY, placement, queries: true };
  const queried = figuresOf(replayLoad(asked));

  test("long prompts at their homes delay long streams for seven steps", () => {
    expect(before.lateShare).toBeGreaterThan(0.1);
    expect(before.idleShare).toBeLessThan(0.15);
  });

  test("fewer than half as many are delayed if idle engines are preferred", () => {
    expect(placed.lateShare).toBeLessThan(before.lateShare / 2);
    expect(placed.idleShare).toBeGreaterThan(0.4);
  });

  test("at most one in thirty is delayed if engines are asked for their load", () => {
    expect(queried.lateShare).toBeLessThan(0.033);
    expect(queried.idleShare).toBeGreaterThan(0.5);
  });

  test("first parts come no later on average", () => {
    expect(queried.longFirstPart).toBeLessThan(before.longFirstPart);
    expect(queried.shortFirstPart).toBeLessThan(1.1 * before.shortFirstPart);
  });

  test("engines read few shared parts anew, since copies spread them", () => {
    const least = LONG.promptTokens - LONG.sharedTokens;
    expect(queried.prefillTokens).toBeLessThan(1.2 * least);
  });
});

describe("with one subject that gets 0.28 of the requests", () => {
  const hot = { ...CALM_DAY, seed: 13, largestShare: 0.28 };
  const isHot = ({ part }: ReplayedAnswer) => part.endsWith("-0");
  const before = replayLoad(hot).filter(isHot);
  const oneHome = replayLoad({
    ...hot,
    queries: true,
    placement: () => PLACEMENT,
  }).filter(isHot);
  const spread = replayLoad({
    ...hot,
    queries: true,
    placement: ratedPlacement(hot),
  }).filter(isHot);

  test("its long streams are delayed no longer than those of others", () => {
    expect(figuresOf(before).lateShare).toBeGreaterThan(0.2);
    expect(figuresOf(spread).lateShare).toBeLessThan(0.033);
  });

  test("its short requests wait less than at one home", () => {
    const { shortFirstPart } = figuresOf(spread);
    expect(shortFirstPart).toBeLessThan(figuresOf(before).shortFirstPart);
    expect(shortFirstPart).toBeLessThan(figuresOf(oneHome).shortFirstPart);
  });
});

describe("with data halls of unequal numbers of servers and callers", () => {
  test("long streams are delayed as little as in one hall", () => {
    const halls = {
      ...CALM_DAY,
      queries: true,
      hallOfEngine: (index: number) => (index < 8 ? "a" : "b"),
      hallOfHost: (index: number) => (index < 40 ? "a" : "b"),
    };
    const placement = ratedPlacement(halls);
    const answers = replayLoad({ ...halls, placement });
    expect(figuresOf(answers).lateShare).toBeLessThan(0.033);
    // Callers of the small hall don't crowd its eight engines.
    const inSmall = answers.filter(({ engine }) => /^e[0-7]$/.test(engine));
    expect(inSmall.length).toBeLessThan(0.35 * answers.length);
  });
});

describe("when engines end while requests arrive", () => {
  test.each([
    ["the homes of some subjects", (id: string) => Number(id.slice(1)) < 8],
    ["56 of 64 engines, with most copies of shared parts,", () => true],
  ])("all requests go to engines that run, after %s ended", (_, isLost) => {
    const lostAt = 8_000;
    const ended = new Set<string>();
    const load: ReplayedLoad = {
      ...CALM_DAY,
      engines: 64,
      queries: true,
      onArrival: (now, engines) => {
        if (now < lostAt) return;
        Array.from({ length: 56 }, (_unused, at) => `e${at}`)
          .filter((id) => isLost(id))
          .filter((id) => !ended.has(id))
          .forEach((id) => {
            ended.add(id);
            engines.end(id);
          });
      },
    };
    const answers = replayLoad({ ...load, placement: ratedPlacement(load) });
    const after = answers.filter(({ at }) => at > lostAt);
    expect(after.length).toBeGreaterThan(500);
    expect(after.filter(({ engine }) => ended.has(engine))).toEqual([]);
    expect(
      after.filter(({ firstPartAt }) => firstPartAt === undefined),
    ).toEqual([]);
  });
});
