// Copyright 2026 the rampswitch authors. Apache-2.0 license.

import { expect, test } from "@jest/globals";
import { ManualClock } from "rampswitch-utils";
import { PeerLeases } from "./peer_leases.ts";

// Guards against memory and work that grow with each host that held the duties.
test("leases of hosts that ended are forgotten during 10,000 replacements", () => {
  const clock = new ManualClock(0);
  const leases = new PeerLeases(clock);
  const known = Array.from({ length: 10_000 }, (_, index) => {
    clock.advance(400);
    leases.receive(`replaced-${index}`, { fence: index, version: index });
    return leases.knownPeers;
  });
  expect(Math.max(...known)).toBeLessThan(20);
  expect(leases.recent.map(({ fence }) => fence).at(-1)).toBe(9_999);
  expect(leases.recent.length).toBe(8);
});
