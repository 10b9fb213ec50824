// Copyright 2026 the rampswitch authors. Apache-2.0 license.

import { describe, expect, test } from "@jest/globals";
import {
  ManualClock,
  type Random,
  rendezvousOrder,
  seededRandom,
  SILENT_LOGGER,
} from "rampswitch-utils";
import { ServingMetrics } from "../observation/mod.ts";
import { Fingerprint } from "./fingerprint.ts";
import { Quarantine } from "./quarantine.ts";
import type { QuarantineUpdate } from "./quarantine_update.ts";

const SECOND = 1_000;

/** Time between two updates of a host. */
const GOSSIP_INTERVAL_MILLISECONDS = 250;

const LAG_MILLISECONDS = 700;

/** Time within which all hosts must know what one host observed. */
const PROPAGATION_MILLISECONDS = 3 * SECOND;

/** Maximum number of sends of the whole fleet once all hosts know. */
const MAXIMUM_SENDS = 3;

/** Step of the simulated time. */
const STEP_MILLISECONDS = 10;

function fingerprintOf(name: string, length = 20): Fingerprint {
  return new Fingerprint({
    method: "POST",
    hostName: "models.example",
    target: "/stream/x",
    workspace: "w",
    body: Buffer.from(name.padEnd(length)),
  });
}

function quarantineOf(
  clock: ManualClock,
  options: {
    readonly turn?: (key: string) => number;
    readonly onStoredChange?: () => void;
    readonly heardAt?: ReadonlyMap<string, number>;
  } = {},
): Quarantine {
  return new Quarantine({
    clock,
    logger: SILENT_LOGGER,
    metrics: new ServingMetrics(),
    trialRank: (key) => ({
      rank: options.turn?.(key) ?? 0,
      lagMilliseconds: LAG_MILLISECONDS,
    }),
    onStoredChange: options.onStoredChange ?? (() => undefined),
    wasHeardAfter: (name, time) => (options.heardAt?.get(name) ?? 0) > time,
  });
}

function lostIncarnation(incarnationName: string): {
  readonly incarnation: string;
  readonly leavingSince: number | undefined;
} {
  return { incarnation: incarnationName, leavingSince: undefined };
}

const FLEET_SIZE = 8;

const HOST_NAMES = Array.from({ length: FLEET_SIZE }, (_, one) => `h${one}`);

/** Share of the messages that are lost. */
const LOSS_SHARE = 0.2;

interface Message {
  readonly at: number;
  readonly to: number;
  readonly updates: readonly QuarantineUpdate[];
}

/**
 * Hosts that exchange updates, with messages that are lost, delayed and duplicated.
 */
class SimulatedFleet {
  readonly clock = new ManualClock(1_000_000);
  readonly random: Random;
  #hosts: readonly Quarantine[];
  #messages: readonly Message[] = [];
  /** The stored requests. */
  #stored: readonly QuarantineUpdate[] = [];
  #storedAt = 0;

  constructor(seed: number) {
    this.random = seededRandom(seed);
    this.#hosts = HOST_NAMES.map((_, index) => this.#newHost(index));
  }

  get size(): number {
    return this.#hosts.length;
  }

  anyHost(): Quarantine {
    const host = this.#hosts[this.random.below(this.size)];
    if (host === undefined) throw new Error("the fleet has no hosts");
    return host;
  }

  /** Ends some hosts. Their replacements know only the stored requests. */
  replace(which: (index: number) => boolean): void {
    this.#hosts = this.#hosts.map((host, index) =>
      which(index) ? this.#newHost(index, this.#stored) : host,
    );
  }

  /** Advances the time by one step, and sends and delivers messages. */
  step(): void {
    this.clock.advance(STEP_MILLISECONDS);
    const now = this.clock.now();
    const due = this.#messages.filter(({ at }) => at <= now);
    this.#messages = this.#messages.filter(({ at }) => at > now);
    due.forEach(({ to, updates }) => this.#hosts[to]?.receive(updates));
    this.#hosts.forEach((host, index) => {
      const shifted = (now / STEP_MILLISECONDS + index) * STEP_MILLISECONDS;
      if (shifted % GOSSIP_INTERVAL_MILLISECONDS === 0)
        this.#broadcast(host, index);
    });
  }

  #broadcast(host: Quarantine, from: number): void {
    const updates = host.updates();
    if (updates.length === 0) return;
    this.#hosts.forEach((_, to) => {
      if (to === from) return;
      // None, one or two copies, up to 40 ms late.
      const copies =
        this.random.next() < LOSS_SHARE ? 0 : 1 + this.random.below(2);
      const added = Array.from({ length: copies }, () => ({
        at: this.clock.now() + this.random.below(40),
        to,
        updates,
      }));
      this.#messages = [...this.#messages, ...added];
    });
  }

  #newHost(index: number, known: readonly QuarantineUpdate[] = []): Quarantine {
    const host: Quarantine = quarantineOf(this.clock, {
      turn: (key) => rendezvousOrder(key, HOST_NAMES).indexOf(`h${index}`),
      onStoredChange: () => {
        this.#stored = host.stored();
        this.#storedAt = this.clock.now();
      },
    });
    const sinceStored = this.clock.now() - this.#storedAt;
    host.receive(known.map((one) => aged(one, sinceStored)));
    return host;
  }
}

function aged(update: QuarantineUpdate, by: number): QuarantineUpdate {
  return {
    ...update,
    lostIncarnations: Object.fromEntries(
      Object.entries(update.lostIncarnations).map(([incarnation, age]) => [
        incarnation,
        age + by,
      ]),
    ),
    lastTrialAge:
      update.lastTrialAge === undefined ? undefined : update.lastTrialAge + by,
  };
}

/** Sends of a request that crashes each server that runs it. */
class CrashingRequest {
  readonly sentAt: number[] = [];
  readonly endedAt: number[] = [];
  readonly fingerprint: Fingerprint;
  readonly #fleet: SimulatedFleet;
  readonly #runTime: number;

  constructor(
    name: string,
    options: { readonly fleet: SimulatedFleet; readonly runTime: number },
  ) {
    this.fingerprint = fingerprintOf(name);
    this.#fleet = options.fleet;
    this.#runTime = options.runTime;
  }

  /** Sends the request from any host, which resends it once as its route allows. */
  ask(): void {
    this.#send(this.#fleet.anyHost(), true);
  }

  #send(host: Quarantine, isFirst: boolean): void {
    const { clock } = this.#fleet;
    if (isFirst && host.begin(this.fingerprint).kind === "held") return;
    if (!isFirst && host.forbidsResend(this.fingerprint)) return;
    this.sentAt.push(clock.now());
    const incarnation = `life-${this.sentAt.length}`;
    clock.after(this.#runTime, () => {
      this.endedAt.push(clock.now());
      host.recordLoss(this.fingerprint, lostIncarnation(incarnation));
      if (isFirst) this.#send(host, false);
    });
  }

  /** Number of sends after the hosts must know that three servers ended. */
  get lateSends(): number {
    const third = this.endedAt[2] ?? Infinity;
    return this.sentAt.filter((at) => at > third + PROPAGATION_MILLISECONDS)
      .length;
  }
}

const SEEDS = Array.from({ length: 20 }, (_, index) => index + 1);

describe("a request that crashes servers", () => {
  test.each(SEEDS)(
    "is sent at most three times once the hosts know, with any message losses (seed %d)",
    (seed) => {
      const fleet = new SimulatedFleet(seed);
      const runTime = 20 + fleet.random.below(400);
      const crashing = new CrashingRequest("guilty", { fleet, runTime });
      const interval = 50 + fleet.random.below(500);
      const replaced = fleet.random.below(3);
      for (let time = 0; time < 100 * SECOND; time += STEP_MILLISECONDS) {
        fleet.step();
        if (time % (interval - (interval % STEP_MILLISECONDS)) === 0)
          crashing.ask();
        // Single hosts end from time to time, or all of them at once.
        if (replaced > 0 && time % (7 * SECOND) === 6 * SECOND) {
          const one = fleet.random.below(fleet.size);
          fleet.replace((index) => replaced === 2 || index === one);
        }
      }
      expect(crashing.endedAt.length).toBeGreaterThanOrEqual(3);
      expect(crashing.lateSends).toBeLessThanOrEqual(MAXIMUM_SENDS);
    },
  );

  test("stays held in a burst of other requests that lost servers", () => {
    const clock = new ManualClock(1_000);
    const quarantine = quarantineOf(clock);
    const crashing = fingerprintOf("guilty");
    ["a", "b", "c"].forEach((incarnation) =>
      quarantine.recordLoss(crashing, lostIncarnation(incarnation)),
    );
    for (let count = 0; count < 10_000; count += 1) {
      const other = fingerprintOf(`other ${count}`);
      quarantine.recordLoss(other, lostIncarnation(`d${count}`));
    }
    expect(quarantine.decide(crashing).kind).toBe("held");
    expect(quarantine.updates()[0]?.fingerprint).toBe(crashing.text);
  });

  test("counts a loss at an unresponsive server only when the server has ended", () => {
    const clock = new ManualClock(1_000);
    const quarantine = quarantineOf(clock);
    const request = fingerprintOf("silent");
    ["a", "b", "c"].forEach((incarnation) =>
      quarantine.recordUnresponsive(request, lostIncarnation(incarnation)),
    );
    expect(quarantine.decide(request).kind).toBe("free");
    clock.advance(4_000);
    ["a", "b", "c"].forEach((incarnation) =>
      quarantine.incarnationEnded(incarnation),
    );
    // The delay starts when the servers became unresponsive, so the first trial is
    // due.
    expect(quarantine.decide(request).kind).toBe("trial");
    expect(quarantine.forbidsResend(request)).toBe(true);
  });

  test("is not suspected when the end of the servers was announced", () => {
    const quarantine = quarantineOf(new ManualClock(1_000));
    const request = fingerprintOf("moved");
    ["a", "b", "c"].forEach((life) =>
      quarantine.recordLoss(request, { incarnation: life, leavingSince: 500 }),
    );
    expect(quarantine.decide(request).kind).toBe("free");
  });
});

/**
 * Maximum time for which a popular request that does not crash servers may be held,
 * by the number of lost servers.
 */
const MAXIMUM_HOLDS: readonly (readonly [number, number])[] = [
  [1, 0],
  [2, 0],
  [3, 4 * SECOND + LAG_MILLISECONDS * FLEET_SIZE],
  [9, 4 * SECOND + LAG_MILLISECONDS * FLEET_SIZE],
];

describe("a request that does not crash servers", () => {
  test("is not suspected by hosts that hear the servers which others lost", () => {
    const clock = new ManualClock(10 * SECOND);
    const request = fingerprintOf("popular");
    const cutOff = quarantineOf(clock);
    ["s1", "s2", "s3"].forEach((name) =>
      cutOff.recordLoss(request, lostIncarnation(name)),
    );
    clock.advance(GOSSIP_INTERVAL_MILLISECONDS);
    const heardAt = new Map([["s1", clock.now()]]);
    const inTouch = quarantineOf(clock, { heardAt });
    inTouch.receive(cutOff.updates());
    expect(inTouch.decide(request).kind).toBe("free");
    const silent = quarantineOf(clock);
    silent.receive(cutOff.updates());
    expect(silent.decide(request).kind).toBe("held");
  });

  test.each(MAXIMUM_HOLDS)(
    "is held no longer than a trial takes after %d servers were lost at once",
    (lost, longest) => {
      SEEDS.slice(0, 10).forEach((seed) => {
        const fleet = new SimulatedFleet(seed);
        const request = fingerprintOf("popular");
        const lostAt = fleet.clock.now();
        for (let count = 0; count < lost; count += 1) {
          fleet.anyHost().recordLoss(request, lostIncarnation(`life-${count}`));
        }
        let heldUntil = lostAt;
        let trials = 0;
        for (let time = 0; time < 30 * SECOND; time += STEP_MILLISECONDS) {
          fleet.step();
          if (time % 100 !== 0) continue;
          const host = fleet.anyHost();
          const { kind } = host.begin(request);
          if (kind === "trial") trials += 1;
          if (kind === "held") heldUntil = fleet.clock.now();
          // Each run takes 60 ms.
          else fleet.clock.after(60, () => host.recordCompletion(request));
        }
        // The report of the completed run takes some gossip intervals as well.
        const known = longest === 0 ? 0 : 4 * GOSSIP_INTERVAL_MILLISECONDS;
        expect(heldUntil - lostAt).toBeLessThanOrEqual(longest + known);
        expect(trials).toBeLessThanOrEqual(MAXIMUM_SENDS);
      });
    },
  );

  test("is free while others with the same path, workspace and length are held", () => {
    const quarantine = quarantineOf(new ManualClock(1_000));
    const crashing = fingerprintOf("guilty");
    ["a", "b", "c"].forEach((incarnation) =>
      quarantine.recordLoss(crashing, lostIncarnation(incarnation)),
    );
    expect(quarantine.decide(fingerprintOf("innocent")).kind).toBe("free");
  });

  test("is never held while it completes between its losses", () => {
    const clock = new ManualClock(1_000);
    const quarantine = quarantineOf(clock);
    const request = fingerprintOf("popular");
    for (let count = 0; count < 50; count += 1) {
      clock.advance(500);
      quarantine.recordLoss(request, lostIncarnation(`life-${count}`));
      clock.advance(500);
      quarantine.recordCompletion(request);
      expect(quarantine.decide(request).kind).toBe("free");
    }
  });

  test("is removed after a while", () => {
    const clock = new ManualClock(1_000);
    const quarantine = quarantineOf(clock);
    const request = fingerprintOf("once");
    quarantine.recordLoss(request, lostIncarnation("a"));
    clock.advance(61 * SECOND);
    quarantine.updates();
    quarantine.recordLoss(request, lostIncarnation("b"));
    expect(quarantine.forbidsResend(request)).toBe(false);
  });
});
