// Copyright 2026 the rampswitch authors. Apache-2.0 license.

import { expect, test } from "@jest/globals";
import { isIPv4 } from "node:net";
import { loopbackOf } from "./own_loopback.ts";

/** Processes whose ids follow one another, as those of one test run do. */
const PROCESSES = 100_000;

test.each([1, 65_000, 3_000_000])(
  "processes with ids from %s on have loopback addresses of their own",
  (first) => {
    const addresses = Array.from({ length: PROCESSES }, (_, index) =>
      loopbackOf(first + index),
    );
    expect(new Set(addresses).size).toBe(PROCESSES);
    expect(addresses.every((address) => isIPv4(address))).toBe(true);
  },
);
