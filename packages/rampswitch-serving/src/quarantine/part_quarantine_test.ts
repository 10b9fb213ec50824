// Copyright 2026 the rampswitch authors. Apache-2.0 license.

import { describe, expect, test } from "@jest/globals";
import {
  ManualClock,
  rendezvousOrder,
  seededRandom,
  SILENT_LOGGER,
} from "rampswitch-utils";
import { ServingMetrics } from "../observation/mod.ts";
import { PartQuarantine } from "./part_quarantine.ts";
import type { QuarantineUpdate } from "./quarantine_update.ts";
import type { AnsweredParts } from "./recent_answers.ts";
import { SharedParts } from "./shared_parts.ts";

const LAG_MILLISECONDS = 700;

const HOSTS = 8;

const HOST_NAMES = Array.from({ length: HOSTS }, (_, index) => `h${index}`);

const STEP_MILLISECONDS = 10;

const GOSSIP_MILLISECONDS = 250;

/** Share of the messages that are lost. */
const LOSS_SHARE = 0.2;

const CONTACT_MILLISECONDS = 3_000;

/** Ends of servers after which at most so many sends may follow. */
const ENDS_TO_TELL = 5;
const SENDS_ALLOWED = 3;

function partsOf(...ids: readonly string[]): SharedParts {
  const all = [...ids, "own"].map((id) => ({ id, tokens: 10 }));
  return new SharedParts("models", all);
}

interface Options {
  readonly turn?: (key: string) => number;
  readonly answering?: () => readonly AnsweredParts[];
  readonly explained?: ReadonlySet<string>;
  readonly heard?: ReadonlySet<string>;
  readonly versions?: readonly string[];
}

function quarantineOf(
  clock: ManualClock,
  options: Options = {},
): PartQuarantine {
  return new PartQuarantine({
    clock,
    logger: SILENT_LOGGER,
    metrics: new ServingMetrics(),
    trialRank: (key) => ({
      rank: options.turn?.(key) ?? 0,
      lagMilliseconds: LAG_MILLISECONDS,
    }),
    wasHeardAfter: (incarnation) => options.heard?.has(incarnation) ?? false,
    isExplained: (incarnation) => options.explained?.has(incarnation) ?? false,
    versions: () => options.versions ?? ["v1"],
    answering: () => options.answering?.() ?? [],
    onStoredChange: () => undefined,
  });
}

function ended(incarnation: string): {
  readonly incarnation: string;
  readonly version: string;
} {
  return { incarnation, version: "v1" };
}

/** Loses a request at servers, one after the other. */
function lose(
  quarantine: PartQuarantine,
  clock: ManualClock,
  losses: readonly (readonly [string, SharedParts])[],
): void {
  losses.forEach(([incarnation, parts]) => {
    quarantine.recordLoss(parts, ended(incarnation));
    clock.advance(200);
  });
}

/** Hosts that exchange updates, of which some are lost. */
class SimulatedFleet {
  readonly clock = new ManualClock(1_000_000);
  readonly random;
  hosts: readonly PartQuarantine[];
  #messages: readonly {
    readonly at: number;
    readonly to: number;
    readonly updates: readonly QuarantineUpdate[];
  }[] = [];
  #stored: readonly QuarantineUpdate[] = [];

  constructor(seed: number) {
    this.random = seededRandom(seed);
    this.hosts = HOST_NAMES.map((_, index) => this.#newHost(index));
  }

  anyHost(): PartQuarantine {
    const host = this.hosts[this.random.below(HOSTS)];
    if (host === undefined) throw new Error("the fleet has no hosts");
    return host;
  }

  /** Replaces hosts; the new ones know only what is stored. */
  replace(which: (index: number) => boolean): void {
    this.hosts = this.hosts.map((host, index) => {
      if (!which(index)) return host;
      const replacement = this.#newHost(index);
      replacement.receive(this.#stored);
      return replacement;
    });
  }

  step(): void {
    this.clock.advance(STEP_MILLISECONDS);
    const now = this.clock.now();
    const due = this.#messages.filter(({ at }) => at <= now);
    this.#messages = this.#messages.filter(({ at }) => at > now);
    due.forEach(({ to, updates }) => this.hosts[to]?.receive(updates));
    this.hosts.forEach((host, from) => {
      if ((now + from * 30) % GOSSIP_MILLISECONDS >= STEP_MILLISECONDS) return;
      const updates = host.updates();
      if (host.stored().length > 0) this.#stored = host.stored();
      this.hosts.forEach((_, to) => {
        if (to === from || this.random.next() < LOSS_SHARE) return;
        const at = now + this.random.below(120);
        this.#messages = [...this.#messages, { at, to, updates }];
      });
    });
  }

  #newHost(index: number): PartQuarantine {
    const name = HOST_NAMES[index] ?? "";
    const turn = (key: string) =>
      rendezvousOrder(key, HOST_NAMES).indexOf(name);
    return quarantineOf(this.clock, { turn });
  }
}

interface Outcome {
  readonly lateSends: number;
  /** Sound requests that were refused once all hosts knew. */
  readonly refused: number;
}

/** Plays 100 s with one such part in each fourth request. */
function play(seed: number, replaces: boolean): Outcome {
  const fleet = new SimulatedFleet(seed);
  const { clock, random } = fleet;
  let ends = 0;
  let knownAt = Infinity;
  let lateSends = 0;
  let refused = 0;
  for (let step = 0; step < 10_000; step += 1) {
    fleet.step();
    const now = clock.now();
    if (replaces && step % 900 === 899) {
      const one = random.below(HOSTS);
      fleet.replace((index) => step % 1_800 === 899 || index === one);
    }
    if (step % 5 === 0) {
      const sound = partsOf("first", `session${random.below(6)}`);
      const host = fleet.anyHost();
      if (host.decide(sound).kind === "free") {
        host.recordAnswer({ parts: sound, beganAt: now });
      } else if (now > knownAt + CONTACT_MILLISECONDS) refused += 1;
    }
    if (step % 20 !== 0) continue;
    const bad = partsOf("first", "bad", `session${random.below(6)}`);
    const host = fleet.anyHost();
    const decision = host.decide(bad);
    if (decision.kind === "held") continue;
    host.begin(bad);
    if (now > knownAt + CONTACT_MILLISECONDS) lateSends += 1;
    const server = `life-${ends}`;
    ends += 1;
    if (ends === ENDS_TO_TELL) knownAt = now;
    host.recordLoss(bad, ended(server));
    // Sound requests that begin at the same server are lost beside it.
    const beside = partsOf("first", `session${random.below(6)}`);
    fleet.anyHost().recordLoss(beside, ended(server));
  }
  return { lateSends, refused };
}

describe("a prompt part that crashes servers", () => {
  test.each([false, true])(
    "is hardly sent by any host, and sound parts are (hosts replaced: %s)",
    (replaces) => {
      const outcomes = Array.from({ length: 20 }, (_, seed) =>
        play(seed + 1, replaces),
      );
      const worst = Math.max(...outcomes.map(({ lateSends }) => lateSends));
      expect(worst).toBeLessThanOrEqual(SENDS_ALLOWED);
      const refusals = outcomes.map(({ refused }) => refused);
      // Of some 2,000 sound requests in each play.
      expect(Math.max(...refusals)).toBeLessThan(100);
    },
    60_000,
  );

  test("is held after three ends, also where a sound part was in each of them", () => {
    const clock = new ManualClock(1_000);
    const quarantine = quarantineOf(clock);
    quarantine.recordAnswer({ parts: partsOf("first", "a"), beganAt: 900 });
    lose(quarantine, clock, [
      ["l1", partsOf("first", "bad")],
      ["l2", partsOf("first", "bad")],
      ["l3", partsOf("first", "bad")],
    ]);
    expect(quarantine.decide(partsOf("first", "bad", "b")).kind).toBe("held");
    expect(quarantine.decide(partsOf("first", "b")).kind).toBe("free");
    expect(quarantine.decide(partsOf("bad")).kind).toBe("held");
  });

  test("is held together with a part that was in the same requests alone", () => {
    const clock = new ManualClock(1_000);
    const quarantine = quarantineOf(clock);
    const both = partsOf("one", "other");
    lose(quarantine, clock, [
      ["l1", both],
      ["l2", both],
      ["l3", both],
    ]);
    expect(quarantine.decide(both).kind).toBe("held");
    expect(quarantine.decide(partsOf("one")).kind).toBe("free");
    lose(quarantine, clock, [["l4", partsOf("one")]]);
    expect(quarantine.decide(partsOf("one")).kind).toBe("held");
    expect(quarantine.decide(partsOf("other")).kind).toBe("free");
  });

  test("ends further sends of its requests after two ends", () => {
    const clock = new ManualClock(1_000);
    const quarantine = quarantineOf(clock);
    lose(quarantine, clock, [["l1", partsOf("bad")]]);
    expect(quarantine.forbidsResend(partsOf("bad"))).toBe(false);
    lose(quarantine, clock, [["l2", partsOf("bad")]]);
    expect(quarantine.forbidsResend(partsOf("bad"))).toBe(true);
  });

  test("has three trials and no more, and the hold ends an hour after its last end", () => {
    const clock = new ManualClock(1_000);
    const quarantine = quarantineOf(clock);
    const bad = partsOf("bad");
    lose(quarantine, clock, [
      ["l1", bad],
      ["l2", bad],
      ["l3", bad],
    ]);
    let trials = 0;
    for (let second = 0; second < 3_000; second += 1) {
      clock.advance(1_000);
      quarantine.updates();
      if (quarantine.decide(bad).kind !== "trial") continue;
      quarantine.begin(bad);
      trials += 1;
      quarantine.recordLoss(bad, ended(`trial-${trials}`));
    }
    expect(trials).toBe(SENDS_ALLOWED);
    expect(quarantine.decide(bad).kind).toBe("held");
    clock.advance(3_600_000);
    quarantine.updates();
    expect(quarantine.decide(bad).kind).toBe("free");
  });

  test("is tried once no server runs the software under which it was lost", () => {
    const clock = new ManualClock(1_000);
    const versions = ["v1"];
    const quarantine = quarantineOf(clock, { versions });
    const bad = partsOf("bad");
    lose(quarantine, clock, [
      ["l1", bad],
      ["l2", bad],
      ["l3", bad],
    ]);
    versions.push("v2");
    expect(quarantine.decide(bad).kind).toBe("held");
    versions.shift();
    expect(quarantine.decide(bad).kind).toBe("trial");
    quarantine.begin(bad);
    quarantine.recordAnswer({ parts: bad, beganAt: clock.now() });
    expect(quarantine.decide(bad).kind).toBe("free");
  });

  test("is the same whatever its id, and its request's last part never counts", () => {
    const clock = new ManualClock(1_000);
    const quarantine = quarantineOf(clock);
    const long = "x".repeat(10_000);
    const doubled = partsOf(long, long);
    const alone = new SharedParts("models", [{ id: "last", tokens: 1 }]);
    lose(quarantine, clock, [
      ["l1", doubled],
      ["l2", doubled],
      ["l3", doubled],
      ["l4", alone],
      ["l5", alone],
      ["l6", alone],
    ]);
    expect(quarantine.decide(partsOf(long)).kind).toBe("held");
    expect(quarantine.decide(partsOf("last")).kind).toBe("free");
    expect(quarantine.decide(alone).kind).toBe("free");
    const other = new SharedParts("other-service", [
      { id: long, tokens: 1 },
      { id: "own", tokens: 1 },
    ]);
    expect(quarantine.decide(other).kind).toBe("free");
  });
});

describe("a sound prompt part", () => {
  test("is not held for servers that end together, however many", () => {
    const clock = new ManualClock(1_000);
    const quarantine = quarantineOf(clock);
    Array.from({ length: 12 }, (_, index) =>
      quarantine.recordLoss(partsOf("first"), ended(`l${index}`)),
    );
    expect(quarantine.decide(partsOf("first")).kind).toBe("free");
    expect(quarantine.forbidsResend(partsOf("first"))).toBe(false);
  });

  test("is not held for servers that fall silent together, one request after the other", () => {
    const clock = new ManualClock(1_000);
    const quarantine = quarantineOf(clock);
    const lives = Array.from({ length: 6 }, (_, index) => `l${index}`);
    lives.forEach((life) => {
      quarantine.recordUnresponsive(partsOf("first"), ended(life));
      clock.advance(300);
    });
    lives.forEach((life) => quarantine.incarnationEnded(life));
    expect(quarantine.decide(partsOf("first")).kind).toBe("free");
    lives.slice(0, 3).forEach((life) => {
      quarantine.recordUnresponsive(partsOf("bad"), ended(`${life}-later`));
      clock.advance(2_000);
      quarantine.incarnationEnded(`${life}-later`);
    });
    expect(quarantine.decide(partsOf("bad")).kind).toBe("held");
  });

  test("is cleared by an answer that has come for half a second, but not by a younger one", () => {
    const clock = new ManualClock(1_000);
    const answers: AnsweredParts[] = [];
    const quarantine = quarantineOf(clock, { answering: () => answers });
    const bad = partsOf("part");
    lose(quarantine, clock, [
      ["l1", bad],
      ["l2", bad],
      ["l3", bad],
    ]);
    answers.push({ parts: partsOf("part"), beganAt: clock.now() });
    clock.advance(400);
    quarantine.updates();
    expect(quarantine.decide(bad).kind).toBe("held");
    clock.advance(100);
    quarantine.updates();
    expect(quarantine.decide(bad).kind).toBe("free");
  });

  test("is not held for ends that a held request explains", () => {
    const clock = new ManualClock(1_000);
    const explained = new Set(["l1", "l2", "l3", "l4"]);
    const quarantine = quarantineOf(clock, { explained });
    lose(
      quarantine,
      clock,
      [...explained].map((end) => [end, partsOf("named")] as const),
    );
    expect(quarantine.decide(partsOf("named")).kind).toBe("free");
  });

  test("is not held for servers that were heard since", () => {
    const clock = new ManualClock(1_000);
    const heard = new Set(["l1", "l2", "l3", "l4"]);
    const quarantine = quarantineOf(clock, { heard });
    lose(
      quarantine,
      clock,
      [...heard].map((end) => [end, partsOf("named")] as const),
    );
    expect(quarantine.decide(partsOf("named")).kind).toBe("free");
  });

  test("keeps its place among thousands of parts that were lost once", () => {
    const clock = new ManualClock(1_000);
    const quarantine = quarantineOf(clock);
    const filler = (turn: number) =>
      Array.from({ length: 1_000 }, (_, index) => `f${turn}-${index}`);
    Array.from({ length: 6 }, (_, turn) =>
      lose(quarantine, clock, [[`l${turn}`, partsOf("bad", ...filler(turn))]]),
    );
    expect(quarantine.decide(partsOf("bad")).kind).toBe("held");
    expect(quarantine.updates().length).toBeLessThanOrEqual(64);
  });
});
