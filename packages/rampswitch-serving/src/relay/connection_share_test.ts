// Copyright 2026 the rampswitch authors. Apache-2.0 license.

import { describe, expect, test } from "@jest/globals";
import { ownConnections } from "./connection_share.ts";

/** Maximum connections to a server of a small plain service, from all hosts. */
const MAXIMUM = { maximumConnections: 110 };

describe("connections to one server", () => {
  // Each host applies the minimum of two connections by itself, so 78 hosts may open
  // 156 although a server takes 110.
  test.each([1, 9, 40, 78, 195, 360])(
    "are no more than it takes from %d hosts together",
    (hosts) => {
      const all = hosts * ownConnections(MAXIMUM, { hosts, part: 1 / hosts });
      expect(all).toBeLessThanOrEqual(MAXIMUM.maximumConnections);
    },
  );

  test("are more for a host that gets most of the requests", () => {
    const most = ownConnections(MAXIMUM, { hosts: 24, part: 0.85 });
    const few = ownConnections(MAXIMUM, { hosts: 24, part: 0.15 / 23 });
    expect(most).toBe(74);
    expect(few).toBe(3);
  });
});
