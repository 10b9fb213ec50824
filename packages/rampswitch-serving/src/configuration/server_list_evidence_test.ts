// Copyright 2026 the rampswitch authors. Apache-2.0 license.

import { expect, test } from "@jest/globals";
import type { Watcher } from "rampswitch-store";
import { ManualClock } from "rampswitch-utils";
import { ServerListEvidence } from "./server_list_evidence.ts";

/** What happens at a time, in milliseconds. */
interface Step {
  readonly at: number;
  /** Time as of which the store answered. */
  readonly confirmed?: number;
  /** Position of the newest change that another host reported. */
  readonly heard?: number;
  /** Position up to which this host has read changes. */
  readonly read?: number;
}

/** The store answers, as of the time of the call. */
function answered(at: number, calledAt: number): Step {
  return { at, confirmed: calledAt };
}

/** Another host reports the newest change that it has read. */
function heard(at: number, position: number): Step {
  return { at, heard: position };
}

const FIRST = answered(1_000, 900);
const AFTER_SILENCE = answered(5_000, 4_900);
const AFTER_LONG_SILENCE = answered(9_000, 8_900);
const AFTER_SECOND_SILENCE = answered(11_600, 11_500);
const BEHIND = heard(3_000, 8);
const CAUGHT_UP = { at: 4_000, read: 8 };

/** When the list is looked at, and when it was last known to be current. */
interface Expected {
  readonly at: number;
  readonly currentAt: number;
}

test.each<[string, readonly Step[], Expected]>([
  ["before the first answer", [], { at: 9_000, currentAt: 9_000 }],
  [
    "while the store answers each second or two",
    [answered(1_000, 0), answered(2_300, 1_100)],
    { at: 3_400, currentAt: 3_400 },
  ],
  ["while the store is silent", [FIRST], { at: 5_000, currentAt: 900 }],
  [
    "soon after the store was silent",
    [FIRST, AFTER_SILENCE],
    { at: 6_000, currentAt: 900 },
  ],
  [
    "long after the store was silent",
    [FIRST, AFTER_SILENCE, answered(7_000, 7_000)],
    { at: 9_000, currentAt: 9_000 },
  ],
  [
    "while another host has a newer list",
    [heard(1_000, 4), BEHIND, heard(4_000, 8)],
    { at: 4_500, currentAt: 3_000 },
  ],
  [
    "once no other host has a newer list",
    [BEHIND, { ...CAUGHT_UP, heard: 4 }],
    { at: 4_500, currentAt: 4_500 },
  ],
  [
    "once the store answers after the list has caught up",
    [BEHIND, { ...CAUGHT_UP, confirmed: 4_000 }],
    { at: 4_500, currentAt: 4_500 },
  ],
  [
    "while the changes that it lacked are read",
    [BEHIND, CAUGHT_UP],
    { at: 4_000, currentAt: 3_000 },
  ],
  [
    "while another host has a newer list, and a third one doesn't",
    [BEHIND, heard(4_000, 4), heard(4_200, 8)],
    { at: 4_500, currentAt: 3_000 },
  ],
  [
    "soon after the store was silent twice",
    [FIRST, AFTER_LONG_SILENCE, AFTER_SECOND_SILENCE],
    { at: 11_700, currentAt: 900 },
  ],
  [
    "while the store is silent again, soon after it was",
    [FIRST, AFTER_LONG_SILENCE],
    { at: 11_600, currentAt: 900 },
  ],
  [
    "soon after the second silence of the store, long after the first",
    [FIRST, AFTER_LONG_SILENCE, AFTER_SECOND_SILENCE],
    { at: 12_000, currentAt: 8_900 },
  ],
])("a list of servers is current %s", (_, steps, { at, currentAt }) => {
  const clock = new ManualClock(0);
  const list = { version: 4, newestChange: 4 };
  const evidence = new ServerListEvidence(list as unknown as Watcher, clock);
  steps.forEach((step) => {
    clock.advance(step.at - clock.now());
    list.version = step.read ?? list.version;
    if (step.confirmed !== undefined) evidence.confirmed(step.confirmed);
    if (step.heard !== undefined) evidence.heard(step.heard);
  });
  clock.advance(at - clock.now());
  expect(evidence.state.currentAt).toBe(currentAt);
});
