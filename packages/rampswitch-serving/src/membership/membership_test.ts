// Copyright 2026 the rampswitch authors. Apache-2.0 license.

import { afterEach, describe, expect, test } from "@jest/globals";
import fc from "fast-check";
import { Result } from "true-myth";
import {
  SuspendAwareClock,
  type Clock,
  ManualClock,
  Ownership,
  seededRandom,
  SILENT_LOGGER,
} from "rampswitch-utils";
import {
  type ChangeBatch,
  type ObjectStore,
  type StoredObject,
  ONE_ERA,
} from "rampswitch-store";
import { ServingMetrics } from "../observation/mod.ts";
import { Membership, type OwnUpdate } from "./membership.ts";
import { decodeMessage, encodeMessage } from "./peer_codec.ts";
import type { FleetDigest, PeerMessage, PeerUpdate } from "./peer_messages.ts";
import { openPeerTransport } from "./peer_transport.ts";

const OWN_UPDATE: OwnUpdate = {
  slowdowns: [{ id: "s1", born: 1_796_169_600_123, slowdown: 2.5, hosts: 1 }],
  leaving: [{ id: "s9", born: 7, age: 20 }],
  lostServers: [{ id: "s8", born: 6, age: 30 }],
  brittle: [{ id: "s1", born: undefined, bound: 5, age: 3, rejections: 1 }],
  outOfReach: ["s1"],
  returns: [
    { key: "0123456789abcdef", id: 9, dueIn: 400, rank: 102, kept: true },
  ],
  limits: [
    { id: "s1", born: 1_796_169_600_123, perSecond: 1.2, age: 40 },
    { id: "s2", born: undefined, perSecond: undefined, age: 500 },
  ],
  lentTo: { models: "host-1" },
  stopping: false,
  configurationVersion: 4,
  configurationAge: 120,
  followed: { configuration: 7, servers: 9 },
  admitted: { large: 5 },
  levels: { large: 90 },
  work: {
    s1: { running: 2, pendingPrefillTokens: 700, born: 1_796_169_600_123 },
  },
  counts: { "17": { large: 3 } },
  dispatches: [
    {
      server: "s1",
      born: 1_796_169_600_123,
      parts: [{ id: "p", tokens: 40 }],
    },
  ],
  readTokens: { models: 1_000 },
  lease: { fence: 3, version: 77 },
  promptParts: [],
  arrivals: {},
  quarantine: [
    {
      fingerprint: "0123456789abcdef01234567",
      lostIncarnations: { "s1/1796169600123": 350, s2: 20 },
      lastTrialAge: 30,
      trials: 1,
      completedAge: undefined,
    },
  ],
  rollouts: [
    {
      spec: {
        service: "models",
        toVersion: "v2",
        durationMilliseconds: 12_000,
      },
      baseline: ["v1"],
      storeVersion: 9,
      remainingMilliseconds: 7_000,
      phase: "canary",
      senderProgress: {
        hasLeftBaseline: false,
        counts: { "t|f|s1|reviews": 1 },
        waiting: { "t|9|s1|reviews": 2 },
      },
    },
  ],
};

/** The relays of the tests admit requests with fewer tokens than this. */
const FITTING_TOKENS = 1_000;

/** The newest configuration, which relays forward. */
const CONFIGURATION: ChangeBatch = {
  after: 0,
  version: 9,
  events: [{ key: "config/main", version: 7, value: "x".repeat(20_000) }],
};

/** An in-memory store that the hosts of a test share. */
function sharedStore(): ObjectStore {
  const objects = new Map<string, StoredObject>();
  let version = 0;
  const unused = () =>
    Promise.reject(new Error("membership calls only list, put and remove"));
  return {
    ...ONE_ERA,
    list: () =>
      Promise.resolve(Result.ok({ version, objects: [...objects.values()] })),
    put: (key, value) => {
      version += 1;
      const object = { key, value, version };
      objects.set(key, object);
      return Promise.resolve(Result.ok(object));
    },
    get: unused,
    remove: (key) => {
      version += 1;
      objects.delete(key);
      return Promise.resolve(Result.ok(undefined));
    },
    watch: unused,
  };
}

let ownership = new Ownership();

afterEach(async () => {
  await ownership[Symbol.asyncDispose]();
  ownership = new Ownership();
});

const VIEW = {
  configurationVersion: 4,
  configurationAge: 80,
  followed: { configuration: 7, servers: 9 },
  levels: { large: 70 },
  silentShare: 0,
  work: { s1: { running: 9, pendingPrefillTokens: 50, born: undefined } },
  leases: [{ fence: 3, version: 77 }],
  servers: {
    after: 4,
    version: 9,
    listedVersion: 8,
    events: [
      { key: "servers/s1", version: 8, value: "{}" },
      { key: "servers/s2", version: 9 },
    ],
  },
  promptParts: [],
  arrivals: {},
  quarantine: OWN_UPDATE.quarantine,
  rollouts: OWN_UPDATE.rollouts.map((one) => ({ ...one, own: undefined })),
  slowdowns: [{ id: "s9", born: 7, slowdown: 1.75, hosts: 4 }],
  leaving: OWN_UPDATE.leaving,
  lostServers: OWN_UPDATE.lostServers,
  returns: OWN_UPDATE.returns,
  brittle: OWN_UPDATE.brittle,
  hostsLackingReach: ["c"],
  limits: OWN_UPDATE.limits,
};

interface SharedByHosts {
  readonly store: ObjectStore;
  readonly clock: ManualClock;
  /** `clock` if left out. */
  readonly cautiousClock?: Clock;
  readonly received: PeerUpdate[];
  readonly digests?: FleetDigest[];
  readonly configurations?: ChangeBatch[];
  readonly wallTime: number | (() => number);
  readonly dataHall?: string;
  /** Identifies one run of a host's process. */
  readonly incarnation?: string;
  readonly address?: string;
}

async function openHost(
  host: string,
  shared: SharedByHosts,
): Promise<Membership> {
  const { wallTime } = shared;
  return ownership.own(
    await Membership.open(
      {
        host,
        dataHall: shared.dataHall ?? "a",
        cores: 1,
        incarnation: `${shared.incarnation ?? "first"}-of-${host}`,
        address: shared.address ?? "127.0.0.1:0",
        store: shared.store,
        hostsPrefix: "hosts/",
        clock: shared.clock,
        cautiousClock: shared.cautiousClock ?? shared.clock,
        wallTime: typeof wallTime === "number" ? () => wallTime : wallTime,
        random: seededRandom(host.length),
        logger: SILENT_LOGGER,
        metrics: new ServingMetrics(),
        holdsDuties: () => true,
        storeWritesPerSecond: () => 400,
      },
      {
        ownUpdate: () => OWN_UPDATE,
        stopping: () => false,
        viewFor: () => VIEW,
        onUpdate: (update) => shared.received.push(update),
        onDigest: (digest) => shared.digests?.push(digest),
        onListed: () => undefined,
        onLimitQuery: ({ tokens }) =>
          tokens < FITTING_TOKENS
            ? { kind: "admitted" }
            : { kind: "over_limit", retryAfterMilliseconds: 250 },
        onUnusedAdmission: () => undefined,
        onStream: () => undefined,
        onStreamQuery: () => ({ reply: { kind: "unknown" } }),
        onPermitQuery: ({ servers }) => ({
          kind: "given",
          server: servers[0] ?? "",
        }),
        configuration: () => CONFIGURATION,
        onConfiguration: (changes) => shared.configurations?.push(changes),
      },
    ),
  );
}

/** Advances the clock and lets sockets and promises proceed. */
async function step(clock: ManualClock, milliseconds: number): Promise<void> {
  clock.advance(milliseconds);
  await new Promise((resolve) => setTimeout(resolve, 5));
}

describe("hosts that start together", () => {
  test("receive updates from each other within two seconds", async () => {
    const clock = new ManualClock(1_000);
    const store = sharedStore();
    const received: PeerUpdate[] = [];
    const hosts = await Promise.all(
      ["a", "b", "c"].map((name, index) =>
        openHost(name, { store, clock, received, wallTime: index * 2_400 }),
      ),
    );
    expect(hosts.map((host) => host.canHoldDuties)).toEqual(
      hosts.map(() => false),
    );
    for (let at = 0; at < 2_000; at += 50) await step(clock, 50);
    expect(hosts.map((host) => host.size)).toEqual([3, 3, 3]);
    expect(hosts.every((host) => host.canHoldDuties)).toBe(true);
    expect(received[0]).toMatchObject(OWN_UPDATE);
  });

  test("agree on the time of most clocks even if one is wrong", async () => {
    const clock = new ManualClock(1_000);
    const store = sharedStore();
    const shared = { store, clock, received: [] };
    const right = [
      await openHost("a", { ...shared, wallTime: 500_000 }),
      await openHost("b", { ...shared, wallTime: 500_000 }),
    ];
    const wrong = await openHost("c", { ...shared, wallTime: 502_400 });
    for (let at = 0; at < 2_000; at += 50) await step(clock, 50);
    const agreed = wrong.fleetWallTime();
    right.forEach((host) => {
      expect(Math.abs(host.fleetWallTime() - agreed)).toBeLessThan(600);
    });
  });
});

/** Steps of clocks in the tests below, in milliseconds. */
const CLOCK_STEP_MILLISECONDS = 3_000;

/** Maximum error of fleet time, in milliseconds: one exchange of updates. */
const MAXIMUM_ERROR_MILLISECONDS = 600;

/**
 * Guards against usage windows that end early. Fleet time followed each step of more
 * than half of the clocks at once. When four fifths of the clocks stepped by 3 s for
 * some seconds, 71 of 161 and 63 of 177 requests were not counted, and a report was
 * final 1.4 s before the end of its window.
 */
describe("fleet time", () => {
  /** Opens five hosts; the clocks of the first four are ahead by `clocks.ahead`. */
  async function openFive(): Promise<{
    readonly clock: ManualClock;
    readonly clocks: { ahead: number };
    readonly open: (
      name: string,
      index: number,
      incarnation?: string,
    ) => Promise<Membership>;
    readonly hosts: readonly Membership[];
  }> {
    const clock = new ManualClock(1_000);
    const shared = { store: sharedStore(), clock, received: [] };
    const clocks = { ahead: 0 };
    const open = (name: string, index: number, incarnation = "first") =>
      openHost(name, {
        ...shared,
        incarnation,
        wallTime: () => clock.now() + (index < 4 ? clocks.ahead : 0),
      });
    const names = ["a", "b", "c", "d", "e"];
    const hosts = await Promise.all(
      names.map((name, index) => open(name, index)),
    );
    for (let at = 0; at < 20_000; at += 100) await step(clock, 100);
    return { clock, clocks, open, hosts };
  }

  function errorsOf(hosts: readonly Membership[], clock: ManualClock) {
    return hosts
      .map((host) => Math.abs(host.fleetWallTime() - clock.now()))
      .filter((error) => error > MAXIMUM_ERROR_MILLISECONDS);
  }

  test.each([CLOCK_STEP_MILLISECONDS, -CLOCK_STEP_MILLISECONDS])(
    "does not follow a step of most clocks for a few seconds, by %d ms",
    async (ahead) => {
      const { clock, clocks, hosts } = await openFive();
      clocks.ahead = ahead;
      for (let at = 0; at < 6_000; at += 100) {
        await step(clock, 100);
        expect(errorsOf(hosts, clock)).toEqual([]);
      }
    },
  );

  test("is taken from other hosts by one that starts while most clocks are wrong", async () => {
    const { clock, clocks, open, hosts } = await openFive();
    clocks.ahead = CLOCK_STEP_MILLISECONDS;
    await step(clock, 100);
    await hosts[0]?.[Symbol.asyncDispose]();
    await hosts[1]?.[Symbol.asyncDispose]();
    const started = [
      await open("a", 0, "second"),
      await open("b", 1, "second"),
    ];
    for (let at = 0; at < 1_000; at += 100) await step(clock, 100);
    for (let at = 0; at < 4_000; at += 100) {
      await step(clock, 100);
      expect(errorsOf([...started, ...hosts.slice(2)], clock)).toEqual([]);
    }
  });

  test("follows a lasting step of most clocks", async () => {
    const { clock, clocks, hosts } = await openFive();
    clocks.ahead = CLOCK_STEP_MILLISECONDS;
    for (let at = 0; at < 150_000; at += 500) await step(clock, 500);
    hosts.forEach((host) => {
      const error = host.fleetWallTime() - clock.now() - clocks.ahead;
      expect(Math.abs(error)).toBeLessThan(MAXIMUM_ERROR_MILLISECONDS);
    });
  });
});

describe("a host that was suspended", () => {
  test("ignores ages that were reported before it resumed", async () => {
    const clock = new ManualClock(1_000);
    const shared = { store: sharedStore(), clock, wallTime: 500_000 };
    const received: PeerUpdate[] = [];
    const suspension = { milliseconds: 0 };
    const wallTime = () => clock.now() + suspension.milliseconds;
    await openHost("a", { ...shared, received: [] });
    const suspended = await openHost("b", {
      ...shared,
      received,
      cautiousClock: new SuspendAwareClock(clock, wallTime),
    });
    for (let at = 0; at < 2_000; at += 50) await step(clock, 50);
    const update = received.at(-1);
    expect(update?.configurationAge).toBeDefined();
    if (update === undefined) return;
    suspension.milliseconds = 8_000;
    // A message that arrived during the suspension is read first.
    const late = {
      ...update,
      sequence: update.sequence + 1,
      configurationAge: 90,
    };
    suspended.receive(
      encodeMessage({
        kind: "updates",
        from: "a",
        wantsDigest: false,
        readsSharedDigest: false,
        updates: [{ age: 0, update: late }],
      }),
    );
    expect(received.at(-1)?.sequence).toBe(late.sequence);
    expect(received.at(-1)?.configurationAge).toBeUndefined();
  });
});

async function listedAddresses(
  store: ObjectStore,
): Promise<ReadonlyMap<string, string>> {
  const listed = await store.list("hosts/");
  const objects = listed.isOk ? listed.value.objects : [];
  return new Map(
    objects.map(({ key, value }) => {
      const { address } = JSON.parse(value) as { address: string };
      return [key.slice("hosts/".length), address];
    }),
  );
}

/** Opens a fleet of two data halls that is large enough to need relays. */
async function openLargeFleet(): Promise<{
  readonly clock: ManualClock;
  readonly shared: Omit<SharedByHosts, "received">;
  readonly hosts: readonly {
    readonly name: string;
    readonly dataHall: string;
    readonly membership: Membership;
    readonly received: PeerUpdate[];
    readonly digests: FleetDigest[];
    readonly configurations: ChangeBatch[];
  }[];
}> {
  const clock = new ManualClock(1_000);
  const store = sharedStore();
  const hosts = await Promise.all(
    Array.from({ length: 24 }, async (_, index) => {
      const name = `host-${index}`;
      const dataHall = index % 2 === 0 ? "a" : "b";
      const received: PeerUpdate[] = [];
      const digests: FleetDigest[] = [];
      const configurations: ChangeBatch[] = [];
      const membership = await openHost(name, {
        store,
        clock,
        received,
        digests,
        configurations,
        wallTime: 500_000,
        dataHall,
      });
      return { name, dataHall, membership, received, digests, configurations };
    }),
  );
  for (let at = 0; at < 6_000; at += 100) await step(clock, 100);
  return { clock, hosts, shared: { store, clock, wallTime: 500_000 } };
}

describe("a large fleet", () => {
  test("sends updates to two relays of each data hall, which send digests", async () => {
    const { clock, hosts } = await openLargeFleet();
    const relays = hosts.filter(
      ({ membership }) => membership.role === "relay",
    );
    const halls = relays.map(({ dataHall }) => dataHall).toSorted();
    expect(halls).toEqual(["a", "a", "b", "b"]);
    const mayHold = hosts.filter(({ membership }) => membership.canHoldDuties);
    expect(mayHold).toEqual(relays);
    hosts.forEach((host) => {
      host.received.length = 0;
      host.digests.length = 0;
    });
    for (let at = 0; at < 2_000; at += 100) await step(clock, 100);
    relays.forEach(({ name, received }) => {
      const names = new Set(received.map(({ host }) => host));
      expect([name, names.size]).toEqual([name, 23]);
    });
    const members = hosts.filter((host) => !relays.includes(host));
    members.forEach(({ membership, digests, received }) => {
      expect(digests[0]).toMatchObject({ hosts: 24, levels: VIEW.levels });
      expect(received).toEqual([]);
      expect(membership.size).toBe(24);
    });
  });

  test("queries a relay of the data hall about limits", async () => {
    const { hosts } = await openLargeFleet();
    const members = hosts.filter(
      ({ membership }) => membership.role === "member",
    );
    const answers = await Promise.all(
      members.flatMap(({ membership }) =>
        [FITTING_TOKENS - 1, FITTING_TOKENS].map((tokens) =>
          membership.queryLimit({ workspace: "w", tokens, priority: 0 }),
        ),
      ),
    );
    const kinds = answers.map((answer) => answer?.kind);
    expect(kinds).toEqual(
      members.flatMap(() => ["admitted", "over_limit"] as const),
    );
    const deciders = hosts.flatMap(
      ({ membership }) => membership.deciders ?? [],
    );
    expect(deciders).toEqual([2, 2, 2, 2]);
  });

  test("can query relays at once when all its hosts restart", async () => {
    const { hosts, shared } = await openLargeFleet();
    const addresses = await listedAddresses(shared.store);
    await Promise.all(
      hosts.map(({ membership }) => membership[Symbol.asyncDispose]()),
    );
    const started = await Promise.all(
      hosts.map(({ name, dataHall }) => {
        const address = addresses.get(name) ?? "";
        return openHost(name, { ...shared, received: [], dataHall, address });
      }),
    );
    for (let at = 0; at < 40; at += 10) await step(shared.clock, 10);
    const members = started.filter(({ role }) => role === "member");
    expect(members.length).toBe(20);
    const answers = members.map((member) =>
      member.queryLimit({ workspace: "w", tokens: 1, priority: 0 }),
    );
    for (let at = 0; at < 100; at += 10) await step(shared.clock, 10);
    expect(await Promise.all(answers)).toEqual(
      members.map(() => ({ kind: "admitted" })),
    );
  });

  test("receives the configuration from the relay that it requests it from", async () => {
    const { clock, hosts } = await openLargeFleet();
    const members = hosts.filter(
      ({ membership }) => membership.role === "member",
    );
    members.forEach(({ membership, digests }) =>
      membership.requestConfiguration(digests.at(-1)?.relay ?? ""),
    );
    for (let at = 0; at < 400; at += 100) await step(clock, 100);
    members.forEach(({ configurations }) =>
      expect(configurations).toEqual([CONFIGURATION]),
    );
  });

  test("selects new relays when a data hall loses both", async () => {
    const { clock, hosts } = await openLargeFleet();
    const ended = hosts.filter(
      ({ membership, dataHall }) =>
        membership.role === "relay" && dataHall === "a",
    );
    await Promise.all(
      ended.map(({ membership }) => membership[Symbol.asyncDispose]()),
    );
    for (let at = 0; at < 6_000; at += 100) await step(clock, 100);
    const left = hosts.filter((host) => !ended.includes(host));
    const relays = left.filter(({ membership }) => membership.role === "relay");
    expect(relays.map(({ dataHall }) => dataHall).toSorted()).toEqual([
      "a",
      "a",
      "b",
      "b",
    ]);
  });
});

/**
 * Guards against hosts that are lost while a fleet gives up its relays: a member that
 * read the shorter list last sent its update to former relays alone.
 */
describe("five hosts beside 60 entries that are removed", () => {
  const entry = { address: "127.0.0.1:9", dataHall: "a", cores: 1 };
  const gone = Array.from({ length: 60 }, (_, index) => `hosts/gone-${index}`);

  test.each([
    { by: "an operator", quietMilliseconds: 0 },
    // Nobody is gone before five minutes of silence.
    { by: "the holder of the duties", quietMilliseconds: 280_000 },
  ])("hear each other while they become direct: $by", async (removal) => {
    const clock = new ManualClock(1_000);
    const store = sharedStore();
    await Promise.all(
      gone.map((key) =>
        store.put(key, JSON.stringify(entry), { expected: "absent" }),
      ),
    );
    // Names of several lengths: each host reads the list at its own times.
    const hosts = await Promise.all(
      ["a", "bb", "ccc", "dddd", "eeeee"].map((name) =>
        openHost(name, { store, clock, received: [], wallTime: 1 }),
      ),
    );
    for (let at = 0; at < 14_000; at += 200) await step(clock, 200);
    expect(hosts.map(({ role }) => role)).toContain("member");
    const sizes = new Set<number>();
    const pass = async (milliseconds: number, each: number) => {
      for (let at = 0; at < milliseconds; at += each) {
        await step(clock, each);
        hosts.forEach(({ presentHosts }) => sizes.add(presentHosts.length));
      }
    };
    await pass(removal.quietMilliseconds, 800);
    expect(hosts.map(({ listedSize }) => listedSize)).toContain(65);
    if (removal.by === "an operator") {
      await Promise.all(gone.map((key) => store.remove(key, 1)));
    }
    await pass(70_000, 200);
    expect(hosts.map(({ listedSize }) => listedSize)).toEqual([5, 5, 5, 5, 5]);
    expect(hosts.map(({ role }) => role)).toEqual(hosts.map(() => "direct"));
    expect(Math.min(...sizes)).toBe(5);
  });
});

/**
 * Guards against hosts of an earlier version that get a shared digest during an
 * upgrade. They would count their own requests twice, and their limits would follow
 * no relay.
 */
describe("the digest of a relay", () => {
  test("is shared by members that read this, and one for each other member", async () => {
    const clock = new ManualClock(1_000);
    const store = sharedStore();
    const digests: FleetDigest[] = [];
    const names = Array.from({ length: 18 }, (_, index) => `host-${index}`);
    const hosts = await Promise.all(
      names.map((name) =>
        openHost(name, { store, clock, received: [], digests, wallTime: 1 }),
      ),
    );
    for (let at = 0; at < 5_000; at += 100) await step(clock, 100);
    const relay = hosts.findIndex(({ role }) => role === "relay");
    const listed = await store.list("hosts/", { mayBeStale: false });
    const entry = listed
      .unwrapOr({ version: 0, objects: [] })
      .objects.find(({ key }) => key === `hosts/${names[relay]}`);
    const { address } = JSON.parse(entry?.value ?? "") as { address: string };

    const received: PeerMessage[] = [];
    const transport = ownership.own(
      await openPeerTransport(
        "127.0.0.1:0",
        (datagram) => {
          const decoded = decodeMessage(datagram);
          if (decoded.isOk) received.push(decoded.value);
        },
        () => undefined,
      ),
    );
    digests.length = 0;
    const former: PeerUpdate = {
      ...OWN_UPDATE,
      host: "former",
      dataHall: "a",
      cores: 0.5,
      incarnation: "1",
      sequence: 12,
      address: transport.address,
      wallTime: 5,
      timeEstimate: { wallTime: 7, samples: 1 },
    };
    transport.send(
      address,
      encodeMessage({
        kind: "updates",
        from: "former",
        wantsDigest: true,
        readsSharedDigest: false,
        updates: [{ update: former, age: 0 }],
      }),
    );
    for (let at = 0; at < 1_000; at += 100) await step(clock, 100);

    const own = received.flatMap((one) =>
      one.kind === "digest" ? [one.digest] : [],
    );
    expect(own.length).toBeGreaterThan(0);
    own.forEach((digest) => {
      expect(digest.acknowledged).toBe(12);
      expect(digest.acknowledgedByHost).toBeUndefined();
    });
    expect(digests.length).toBeGreaterThan(0);
    digests.forEach(({ acknowledged, acknowledgedByHost = {} }) => {
      expect(acknowledged).toBeGreaterThan(0);
      expect(Object.values(acknowledgedByHost)).toContain(acknowledged);
      expect(Object.keys(acknowledgedByHost)).toHaveLength(16);
    });
  });
});

describe("the encoding of messages", () => {
  const update: PeerUpdate = {
    ...OWN_UPDATE,
    host: "a",
    dataHall: "hall",
    cores: 0.5,
    incarnation: "1",
    sequence: 12,
    address: "127.0.0.1:1",
    wallTime: 5,
    timeEstimate: { wallTime: 7, samples: 240 },
  };

  test.each([1, 40])("preserves updates of %d hosts", (count) => {
    const message: PeerMessage = {
      kind: "updates",
      from: "a",
      wantsDigest: true,
      readsSharedDigest: false,
      updates: Array.from({ length: count }, () => ({ update, age: 30 })),
    };
    const decoded = decodeMessage(encodeMessage(message));
    expect(decoded.isOk && decoded.value).toEqual(message);
  });

  test("preserves digests", () => {
    const message: PeerMessage = {
      kind: "digest",
      digest: {
        ...VIEW,
        relay: "a",
        acknowledged: 3,
        acknowledgedByHost: { b: 7 },
        hosts: 90,
        relays: ["a", "b"],
        permitHolders: ["a", "c"],
        wallTime: 5,
        timeSamples: 900,
      },
    };
    const decoded = decodeMessage(encodeMessage(message));
    expect(decoded.isOk && decoded.value).toEqual(message);
  });

  test.each<PeerMessage>([
    {
      kind: "limit_query",
      query: {
        id: 3,
        address: "127.0.0.1:9",
        workspace: "w",
        tokens: 900,
        priority: 2,
      },
    },
    { kind: "limit_answer", answer: { id: 3, decision: { kind: "admitted" } } },
    {
      kind: "permit_query",
      query: {
        id: 4,
        address: "127.0.0.1:9",
        service: "models",
        servers: ["s1", "s2"],
        urgency: "urgent",
      },
    },
    {
      kind: "permit_answer",
      answer: { id: 4, reply: { kind: "given", server: "s2" } },
    },
    {
      kind: "permit_answer",
      answer: { id: 4, reply: { kind: "wait", milliseconds: 350 } },
    },
    {
      kind: "configuration_query",
      query: { address: "127.0.0.1:9" },
    },
    { kind: "configuration", changes: CONFIGURATION },
    {
      kind: "limit_answer",
      answer: {
        id: 4,
        decision: { kind: "over_limit", retryAfterMilliseconds: 0 },
      },
    },
  ])("preserves messages: $kind", (message) => {
    const decoded = decodeMessage(encodeMessage(message));
    expect(decoded.isOk && decoded.value).toEqual(message);
  });

  test("never throws on messages that are truncated or changed", () => {
    const messages: readonly PeerMessage[] = [
      {
        kind: "updates",
        from: "a",
        wantsDigest: true,
        readsSharedDigest: false,
        updates: Array.from({ length: 20 }, () => ({ update, age: 30 })),
      },
      { kind: "configuration", changes: CONFIGURATION },
      {
        kind: "limit_answer",
        answer: { id: 3, decision: { kind: "admitted" } },
      },
    ];
    fc.assert(
      fc.property(
        fc.constantFrom(...messages),
        fc.record({
          position: fc.nat(),
          byte: fc.integer({ min: 0, max: 255 }),
          cut: fc.boolean(),
        }),
        (message, { position, byte, cut }) => {
          const datagram = Buffer.from(encodeMessage(message));
          const at = position % datagram.length;
          datagram[at] = byte;
          const received = cut ? datagram.subarray(0, at) : datagram;
          const decoded = decodeMessage(received);
          expect(decoded.isOk || decoded.error.length > 0).toBe(true);
        },
      ),
      { numRuns: 500, seed: 5 },
    );
  });

  test.each(["", "{", "[]", '{"k":1}', "\u0000\u0001", "\u0001abc"])(
    "reports malformed messages: %j",
    (text) => {
      expect(decodeMessage(Buffer.from(text)).isErr).toBe(true);
    },
  );
});
