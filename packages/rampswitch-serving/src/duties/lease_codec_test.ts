// Copyright 2026 the rampswitch authors. Apache-2.0 license.

import { describe, expect, test } from "@jest/globals";
import type { DutyLease } from "./duty_lease.ts";
import { decodeLease, encodeLease } from "./lease_codec.ts";

const LEASE: DutyLease = {
  holder: "a",
  incarnation: "1",
  era: 3,
  fence: 7,
  renewals: 3,
  released: false,
  counts: { "a/1": { 101: { w: 4 } } },
  final: {
    reports: { 99: { w: 9 }, 100: {} },
    windows: [
      [90, 96],
      [99, 100],
    ],
    incomplete: false,
  },
};

describe("a lease in the store", () => {
  test.each([true, false])("comes out as it went in", (incomplete) => {
    const lease = { ...LEASE, final: { ...LEASE.final, incomplete } };
    expect(decodeLease(encodeLease(lease))).toEqual(lease);
  });

  test("has what a host of a former version reads, where it looks for it", () => {
    const { final, ...rest } = LEASE;
    expect(JSON.parse(encodeLease(LEASE))).toMatchObject({
      ...rest,
      reports: final.reports,
    });
  });

  test("of a host of a former version may have lost older final windows", () => {
    const { final, ...rest } = LEASE;
    const former = JSON.stringify({ ...rest, reports: final.reports });
    expect(decodeLease(former)?.final.windows).toEqual([[0, 100]]);
  });

  test.each([
    undefined,
    "",
    "{}",
    "spoilt",
    JSON.stringify({ ...JSON.parse(encodeLease(LEASE)), finalWindows: [[1]] }),
    JSON.stringify({ ...JSON.parse(encodeLease(LEASE)), fence: "7" }),
  ])("is none where anything is wrong: %s", (value) => {
    expect(decodeLease(value)).toBeUndefined();
  });
});
