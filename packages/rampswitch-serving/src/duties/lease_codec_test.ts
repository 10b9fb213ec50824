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

describe("a stored lease", () => {
  test.each([true, false])("decodes to the encoded lease", (incomplete) => {
    const lease = { ...LEASE, final: { ...LEASE.final, incomplete } };
    expect(decodeLease(encodeLease(lease))).toEqual(lease);
  });

  test("has the fields that a host of an earlier version reads", () => {
    const { final, ...rest } = LEASE;
    expect(JSON.parse(encodeLease(LEASE))).toMatchObject({
      ...rest,
      reports: final.reports,
    });
  });

  test("of an earlier version counts all older windows as final", () => {
    const { final, ...rest } = LEASE;
    const former = JSON.stringify({ ...rest, reports: final.reports });
    expect(decodeLease(former)?.final.windows).toEqual([[0, 100]]);
  });

  test.each([
    undefined,
    "",
    "{}",
    "corrupt",
    JSON.stringify({ ...JSON.parse(encodeLease(LEASE)), finalWindows: [[1]] }),
    JSON.stringify({ ...JSON.parse(encodeLease(LEASE)), fence: "7" }),
  ])("is not decoded if it is malformed: %s", (value) => {
    expect(decodeLease(value)).toBeUndefined();
  });
});
