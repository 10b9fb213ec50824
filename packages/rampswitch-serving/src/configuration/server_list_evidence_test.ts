// Copyright 2026 the rampswitch authors. Apache-2.0 license.

import { expect, test } from "@jest/globals";
import type { Watcher } from "rampswitch-store";
import { ManualClock } from "rampswitch-utils";
import { ServerListEvidence } from "./server_list_evidence.ts";

interface Step {
  readonly at: number;
  /** Time as of which the store answered. */
  readonly confirmed?: number;
  /** Position of the newest change that another host reported. */
  readonly heard?: number;
  /** Position up to which this host has read changes. */
  readonly read?: number;
}

test.each<{
  readonly name: string;
  readonly steps: readonly Step[];
  readonly at: number;
  readonly currentAt: number;
}>([
  { name: "before the first answer", steps: [], at: 9_000, currentAt: 9_000 },
  {
    name: "while the store answers each second or two",
    steps: [
      { at: 1_000, confirmed: 0 },
      { at: 2_300, confirmed: 1_100 },
    ],
    at: 3_400,
    currentAt: 3_400,
  },
  {
    name: "while the store is silent",
    steps: [{ at: 1_000, confirmed: 900 }],
    at: 5_000,
    currentAt: 900,
  },
  {
    name: "soon after the store was silent",
    steps: [
      { at: 1_000, confirmed: 900 },
      { at: 5_000, confirmed: 4_900 },
    ],
    at: 6_000,
    currentAt: 900,
  },
  {
    name: "long after the store was silent",
    steps: [
      { at: 1_000, confirmed: 900 },
      { at: 5_000, confirmed: 4_900 },
      { at: 7_000, confirmed: 7_000 },
    ],
    at: 9_000,
    currentAt: 9_000,
  },
  {
    name: "while another host has a newer list",
    steps: [
      { at: 1_000, heard: 4 },
      { at: 3_000, heard: 8 },
      { at: 4_000, heard: 8 },
    ],
    at: 4_500,
    currentAt: 3_000,
  },
  {
    name: "once no other host has a newer list",
    steps: [
      { at: 3_000, heard: 8 },
      { at: 4_000, read: 8, heard: 4 },
    ],
    at: 4_500,
    currentAt: 4_500,
  },
  {
    name: "once the store answers after the list has caught up",
    steps: [
      { at: 3_000, heard: 8 },
      { at: 4_000, read: 8, confirmed: 4_000 },
    ],
    at: 4_500,
    currentAt: 4_500,
  },
  {
    name: "while the changes that it lacked are read",
    steps: [
      { at: 3_000, heard: 8 },
      { at: 4_000, read: 8 },
    ],
    at: 4_000,
    currentAt: 3_000,
  },
  {
    name: "while another host has a newer list, and a third one doesn't",
    steps: [
      { at: 3_000, heard: 8 },
      { at: 4_000, heard: 4 },
      { at: 4_200, heard: 8 },
    ],
    at: 4_500,
    currentAt: 3_000,
  },
  {
    name: "soon after the store was silent twice",
    steps: [
      { at: 1_000, confirmed: 900 },
      { at: 9_000, confirmed: 8_900 },
      { at: 11_600, confirmed: 11_500 },
    ],
    at: 11_700,
    currentAt: 900,
  },
  {
    name: "while the store is silent again, soon after it was",
    steps: [
      { at: 1_000, confirmed: 900 },
      { at: 9_000, confirmed: 8_900 },
    ],
    at: 11_600,
    currentAt: 900,
  },
  {
    name: "soon after the second silence of the store, long after the first",
    steps: [
      { at: 1_000, confirmed: 900 },
      { at: 9_000, confirmed: 8_900 },
      { at: 11_600, confirmed: 11_500 },
    ],
    at: 12_000,
    currentAt: 8_900,
  },
])("a list of servers is current $name", ({ steps, at, currentAt }) => {
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
