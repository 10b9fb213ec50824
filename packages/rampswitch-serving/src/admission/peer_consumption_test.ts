// Copyright 2026 the rampswitch authors. Apache-2.0 license.

import { describe, expect, test } from "@jest/globals";
import { DIRECT_GOSSIP_TIMING } from "../membership/relay_plan.ts";
import { PeerConsumptionTracker } from "./peer_consumption.ts";

const MINUTE_MILLISECONDS = 60_000;
const UPDATE = { incarnation: "1", totals: {}, stopping: false };
const PRESENT = ["a", "b", "c", "d"];

/** A host that hears four others after it has heard 100 that ended since. */
function trackerBesideGone(change: Partial<typeof UPDATE>) {
  const tracker = new PeerConsumptionTracker(DIRECT_GOSSIP_TIMING);
  tracker.markHostsListed();
  Array.from({ length: 100 }, (_, index) =>
    tracker.receiveUpdate(`gone-${index}`, { ...UPDATE, ...change }, 0),
  );
  return tracker;
}

/**
 * Guards against hosts that count for good: beside many that had ended, this host took
 * itself for cut off, and kept the share of each silent host for twice the time.
 */
describe("peers that ended minutes ago", () => {
  test.each([{}, { stopping: true }])(
    "do not count as peers that this host should hear: %j",
    (change) => {
      const tracker = trackerBesideGone(change);
      const heardAt = 6 * MINUTE_MILLISECONDS;
      PRESENT.forEach((peer) => tracker.receiveUpdate(peer, UPDATE, heardAt));
      const [, ...others] = PRESENT;
      const now = heardAt + 40_000;
      others.forEach((peer) => tracker.receiveUpdate(peer, UPDATE, now));
      expect(tracker.hosts(now)).toBe(4);
      expect(tracker.silentShare(now)).toBe(0);
      expect(tracker.knownPeers).toBe(PRESENT.length);
    },
  );

  test("are forgotten by a member, so that memory is bounded during replacements", () => {
    const tracker = trackerBesideGone({});
    tracker.followRelay({ hosts: 5, silentShare: 0 }, 0);
    const known = Array.from({ length: 10_000 }, (_, index) => {
      tracker.addExpectedPeer(`replaced-${index}`, index * 360);
      return tracker.knownPeers;
    });
    // Ten thousand in an hour, and those of five minutes.
    expect(Math.max(...known)).toBeLessThan(1_000);
  });
});
