// Copyright 2026 the rampswitch authors. Apache-2.0 license.

import { describe, expect, test } from "@jest/globals";
import { SlotReplica } from "./slot_replica.ts";

const TIMES = { retention: 900_000, clockSkew: 2_000 };

/** Creation time of the key, in milliseconds since the Unix epoch. */
const KEY_TIME = 1_796_169_600_000;

function replicaWith(key: string): SlotReplica {
  const replica = new SlotReplica("a", 0, { times: TIMES });
  replica.observe({
    epoch: 1,
    primary: "a",
    backup: undefined,
    knownSince: 0,
  });
  replica.open({ key, keyTime: KEY_TIME, guarded: true }, KEY_TIME);
  replica.finish(key, "done");
  return replica;
}

describe("a key that must not run again", () => {
  test("is recorded for its retention, measured by a monotonic clock", () => {
    const replica = replicaWith("k");
    expect(replica.prune(10_000)).toEqual([]);
    expect(replica.prune(10_000 + TIMES.retention)).toEqual([]);
    expect(replica.prune(10_001 + TIMES.retention)).toEqual(["k"]);
    expect(replica.size).toBe(0);
  });

  test("is recorded while it runs", () => {
    const replica = replicaWith("k");
    replica.open({ key: "runs", keyTime: KEY_TIME, guarded: false }, KEY_TIME);
    replica.prune(0);
    expect(replica.prune(2 * TIMES.retention)).toEqual(["k"]);
  });
});
