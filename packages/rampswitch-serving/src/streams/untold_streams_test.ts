// Copyright 2026 the rampswitch authors. Apache-2.0 license.

import { describe, expect, test } from "@jest/globals";
import { isCertainlyUntold, type KeeperState } from "./untold_streams.ts";

/** A host that has run for a minute; its list was confirmed a second ago. */
const STATE: KeeperState = {
  runningMilliseconds: 60_000,
  listAgeMilliseconds: 1_000,
};

/** A host that started shortly before its list was last confirmed. */
const STARTED: KeeperState = { ...STATE, runningMilliseconds: 1_900 };

/** A host whose list was not confirmed for as long as versions are retained. */
const OLD: KeeperState = { ...STATE, listAgeMilliseconds: 55_000 };

const ASKED = {
  own: STATE,
  isOwnKeeper: true,
  vouchers: [STATE],
  keepers: [STATE],
  isWholeFleetHeard: true,
};

describe("a stream of another version would have been told to hosts that reply", () => {
  test.each([
    ["if two of them were there since the list was confirmed", {}, true],
    ["not if a host is not heard", { isWholeFleetHeard: false }, false],
    ["not if one of them started since", { keepers: [STARTED] }, false],
    ["not if this host started since", { own: STARTED }, false],
    ["not if this host need not be told", { isOwnKeeper: false }, false],
    ["not if nobody else had to be told", { keepers: [] }, false],
    [
      "if two others were there, though this host need not be told",
      { isOwnKeeper: false, keepers: [STATE, STATE] },
      true,
    ],
    [
      "if the list of another one alone was confirmed",
      { own: OLD, vouchers: [OLD, STATE], keepers: [OLD] },
      true,
    ],
    [
      "not if the list was confirmed only at hosts that don't know the past",
      { own: OLD, vouchers: [], keepers: [STATE] },
      false,
    ],
  ] as const)("%s", (_, changed, expected) => {
    const { own, ...states } = { ...ASKED, ...changed };
    expect(isCertainlyUntold(own, states)).toBe(expected);
  });
});
