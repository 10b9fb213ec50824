// Copyright 2026 the rampswitch authors. Apache-2.0 license.

import { describe, expect, test } from "@jest/globals";
import { SILENT_LOGGER } from "rampswitch-utils";
import { ServerDirectory, type ServerRecord } from "../choice/mod.ts";
import { ServingMetrics } from "../observation/mod.ts";
import type { StoredRollout, StoredRolloutState } from "./rollout_spec.ts";
import type { RolloutUpdate } from "./rollout.ts";
import { Rollouts } from "./rollouts.ts";
import { VersionEvaluator } from "./version_evaluator.ts";

const SERVICE = "models";
const LATER = 60_000;

class Fixture {
  readonly directory = new ServerDirectory();
  readonly specReads: string[] = [];
  readonly rollouts = new Rollouts(
    {
      directory: this.directory,
      logger: SILENT_LOGGER,
      metrics: new ServingMetrics(),
      terms: () => ({ share: 0.1, slack: 50 }),
      fleetPosition: () => ({ rank: 0, hosts: 1 }),
      createEvaluator: () => new VersionEvaluator(),
      onPromoting: () => undefined,
      onUnknownVersion: () => this.specReads.push("orders"),
    },
    0,
  );

  list(version: string, count: number, now = 0): void {
    Array.from({ length: count }).forEach((_, index) => {
      const server = {
        id: `${version}-${index}`,
        born: undefined,
        service: SERVICE,
        address: `10.0.0.${index}:1`,
        dataHall: "a",
        version,
        slots: 8,
        state: "ready" as const,
        reclaimable: false,
      };
      this.directory.put(server, now);
      this.rollouts.listed(server, now);
    });
  }

  /**
   * Versions that requests go to, with enough requests to reach each version.
   */
  versions(now: number, requests = 40): readonly string[] {
    const chosen = Array.from({ length: requests }).map(() => {
      const choice = this.rollouts.choice(SERVICE, { isFirst: true, now });
      const [record] = [...choice.first, ...(choice.fallback ?? [])];
      if (record !== undefined) this.#send(record, now);
      return record?.entry.version ?? "none";
    });
    return [...new Set(chosen)].toSorted();
  }

  #send(record: ServerRecord, sentAt: number): void {
    this.rollouts.sent(record, { route: "r", sentAt })?.ended();
  }
}

function storedRollout(
  toVersion: string,
  state?: StoredRolloutState,
): StoredRollout {
  return {
    spec: { service: SERVICE, toVersion, durationMilliseconds: 12_000 },
    state,
  };
}

function updateOf(toVersion: string, storeVersion: number): RolloutUpdate {
  return {
    spec: storedRollout(toVersion).spec,
    baseline: ["v1"],
    storeVersion,
    remainingMilliseconds: 5_000,
    phase: "canary",
    senderProgress: { hasLeftBaseline: false, counts: {}, waiting: {} },
  };
}

describe("versions without a roll-out spec", () => {
  test("a new version gets no requests until the specs were read", () => {
    const fixture = new Fixture();
    fixture.list("v1", 3);
    fixture.list("v2", 3, LATER);
    expect(fixture.specReads).toEqual(["orders"]);
    expect(fixture.versions(LATER)).toEqual(["v1"]);
    fixture.rollouts.specsRead();
    const { first } = fixture.rollouts.choice(SERVICE, {
      isFirst: true,
      now: LATER,
    });
    expect(first).toHaveLength(6);
  });

  test("a version is held back while the spec of its service can't be decoded", () => {
    const fixture = new Fixture();
    fixture.list("v1", 3);
    fixture.list("v2", 3, LATER);
    fixture.rollouts.unreadable(SERVICE);
    fixture.rollouts.specsRead();
    expect(fixture.versions(LATER)).toEqual(["v1"]);
  });

  test("a held-back version is used after a while if no other has servers", () => {
    const fixture = new Fixture();
    fixture.list("v1", 1);
    fixture.list("v2", 1, LATER);
    fixture.directory.remove("v1-0", LATER);
    expect(fixture.versions(LATER + 100)).toEqual(["none"]);
    expect(fixture.versions(LATER + 2_100)).toEqual(["v2"]);
  });

  test("a host that finds several at its start uses the one with most servers", () => {
    const fixture = new Fixture();
    fixture.list("v2", 2);
    fixture.list("v1", 3);
    expect(fixture.versions(100)).toEqual(["v1"]);
  });
});

describe("versions with a roll-out spec", () => {
  test("the target version gets a share, and all requests after completion", () => {
    const fixture = new Fixture();
    fixture.list("v1", 3);
    fixture.rollouts.stored(storedRollout("v2"), 5, LATER);
    expect(fixture.versions(LATER)).toEqual(["v1"]);
    fixture.list("v2", 3, LATER);
    expect(fixture.versions(LATER)).toEqual(["v1", "v2"]);
    fixture.rollouts.stored(storedRollout("v2", "completed"), 7, LATER);
    expect(fixture.versions(LATER)).toEqual(["v2"]);
  });

  test("a version stays rolled back, and is not tried again", () => {
    const fixture = new Fixture();
    fixture.list("v1", 3);
    fixture.list("v2", 3, LATER);
    fixture.rollouts.stored(storedRollout("v2", "running"), 5, LATER);
    fixture.rollouts.stored(storedRollout("v2", "rolled_back"), 7, LATER);
    expect(fixture.versions(LATER)).toEqual(["v1"]);
    // The roll-out is forgotten, and a new duty holder reads the spec again.
    fixture.rollouts.updates(LATER + 11_000);
    fixture.rollouts.stored(storedRollout("v2", "running"), 8, LATER + 12_000);
    expect(fixture.versions(LATER + 12_000)).toEqual(["v1"]);
    // After another spec it may be tried again.
    fixture.rollouts.stored(storedRollout("v3"), 9, LATER + 13_000);
    fixture.rollouts.stored(
      storedRollout("v3", "completed"),
      10,
      LATER + 13_000,
    );
    fixture.rollouts.stored(storedRollout("v2"), 11, LATER + 14_000);
    expect(fixture.rollouts.updates(LATER + 14_000)[0]?.phase).toBe("canary");
  });

  test("a roll-out from before the start excludes no version without alternatives", () => {
    const moved = new Fixture();
    moved.list("v3", 3);
    moved.rollouts.stored(storedRollout("v2", "completed"), 5, 100);
    expect(moved.versions(100)).toEqual(["v3"]);
    const back = new Fixture();
    back.list("v1", 1);
    back.list("v2", 3);
    back.rollouts.stored(storedRollout("v2", "rolled_back"), 5, 100);
    expect(back.versions(100)).toEqual(["v1"]);
    const alone = new Fixture();
    alone.list("v2", 3);
    alone.rollouts.stored(storedRollout("v2", "rolled_back"), 5, 100);
    expect(alone.versions(100)).toEqual(["v2"]);
  });

  test("a second spec replaces the first one, and a withdrawn one ends", () => {
    const fixture = new Fixture();
    fixture.list("v1", 3);
    fixture.list("v2", 3, LATER);
    fixture.rollouts.stored(storedRollout("v2"), 5, LATER);
    fixture.list("v3", 3, LATER);
    fixture.rollouts.stored(storedRollout("v3"), 6, LATER);
    expect(fixture.versions(LATER)).toEqual(["v1", "v3"]);
    fixture.rollouts.withdrawn(SERVICE, LATER);
    expect(fixture.versions(LATER)).toEqual(["v1"]);
  });

  test("a spec may return to the previous version", () => {
    const fixture = new Fixture();
    fixture.list("v1", 3);
    fixture.list("v2", 3, LATER);
    fixture.rollouts.stored(storedRollout("v2"), 5, LATER);
    fixture.rollouts.stored(storedRollout("v2", "completed"), 6, LATER);
    expect(fixture.versions(LATER)).toEqual(["v2"]);
    fixture.rollouts.stored(storedRollout("v1"), 7, LATER + 1);
    expect(fixture.versions(LATER + 1)).toEqual(["v1", "v2"]);
    fixture.rollouts.stored(storedRollout("v1", "completed"), 8, LATER + 2);
    expect(fixture.versions(LATER + 2)).toEqual(["v1"]);
  });

  test("hosts receive a roll-out from others, and a new host uses no slack", () => {
    const first = new Fixture();
    first.list("v1", 3);
    first.list("v2", 3, LATER);
    first.rollouts.stored(storedRollout("v2", "running"), 5, LATER);
    const reported = first.rollouts.updates(LATER + 5_000);
    const second = new Fixture();
    second.list("v1", 3);
    second.list("v2", 3);
    second.rollouts.received(reported, { incarnation: "h/1", now: 200 });
    expect(second.versions(200, 9)).toEqual(["v1"]);
  });

  test("a roll-out that is over is reported for a limited time", () => {
    const [first, second] = [new Fixture(), new Fixture()];
    [first, second].forEach((fixture) => {
      fixture.list("v1", 3);
      fixture.list("v2", 3, LATER);
      fixture.rollouts.stored(storedRollout("v2", "running"), 5, LATER);
    });
    first.rollouts.stored(storedRollout("v2", "completed"), 7, LATER);
    const reported = Array.from({ length: 100 }).map((_, round) => {
      const now = LATER + round * 400;
      const updates = first.rollouts.updates(now);
      second.rollouts.received(updates, { incarnation: "first/1", now });
      first.rollouts.received(second.rollouts.updates(now), {
        incarnation: "second/1",
        now,
      });
      return updates.length;
    });
    expect(reported[0]).toBe(1);
    expect(reported.slice(60)).toEqual(reported.slice(60).map(() => 0));
    // The platform ends the former servers.
    [0, 1, 2].forEach((index) =>
      second.directory.remove(`v1-${index}`, LATER + 1),
    );
    expect(second.versions(LATER + 40_000)).toEqual(["v2"]);
    // A host that was cut off in the meantime reports it as still running.
    const stale = { ...updateOf("v2", 5), phase: "canary" as const };
    second.rollouts.received([stale], {
      incarnation: "cut/1",
      now: LATER + 41_000,
    });
    expect(second.versions(LATER + 41_000)).toEqual(["v2"]);
  });

  test("servers of an unevaluated version don't count towards the capacity", () => {
    const fixture = new Fixture();
    fixture.list("v1", 3);
    fixture.list("v2", 3, LATER);
    fixture.rollouts.stored(storedRollout("v2"), 5, LATER);
    const counted = fixture.directory
      .of(SERVICE)
      .filter((record) => fixture.rollouts.counts(record));
    expect(counted.map(({ entry }) => entry.version)).toEqual([
      "v1",
      "v1",
      "v1",
    ]);
    expect(fixture.rollouts.isMoving(SERVICE)).toBe(true);
    fixture.rollouts.stored(storedRollout("v2", "completed"), 6, LATER);
    expect(fixture.rollouts.isMoving(SERVICE)).toBe(false);
  });
});
