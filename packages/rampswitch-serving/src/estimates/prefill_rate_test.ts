// Copyright 2026 the rampswitch authors. Apache-2.0 license.

import { describe, expect, test } from "@jest/globals";
import { PrefillRate } from "./prefill_rate.ts";

const TOKENS_PER_MILLISECOND = 64;
const OVERHEAD_MILLISECONDS = 15;

/** Adds prompts of these lengths, each with the time that an engine takes for it. */
function measure(rate: PrefillRate, lengths: readonly number[]): void {
  for (let round = 0; round < 100; round += 1) {
    lengths.forEach((tokens) =>
      rate.add({
        tokens,
        milliseconds: OVERHEAD_MILLISECONDS + tokens / TOKENS_PER_MILLISECOND,
      }),
    );
  }
}

describe("prefill rate", () => {
  test("is that of an average engine before the first measurement", () => {
    const rate = new PrefillRate();
    expect(rate.tokensPerMillisecond).toBe(40);
    expect(rate.overheadMilliseconds).toBe(0);
  });

  // The time of the shortest prompt was taken for the time without prefill, so that the
  // rate was too high where all prompts are long.
  test.each([
    { lengths: [50, 12_000] },
    { lengths: [2_400, 12_000] },
    { lengths: [5_000, 12_000] },
  ])("is right for prompts of $lengths tokens", ({ lengths }) => {
    const rate = new PrefillRate();
    measure(rate, lengths);
    const ratio = rate.tokensPerMillisecond / TOKENS_PER_MILLISECOND;
    expect(ratio).toBeCloseTo(1, 1);
    expect(rate.overheadMilliseconds).toBeLessThan(30);
  });

  // Other hosts' prompts are cached too, and not all hosts know of them.
  test("hardly changes by a prompt that was cached unknown to the host", () => {
    const rate = new PrefillRate();
    measure(rate, [600, 12_000]);
    rate.add({ tokens: 12_000, milliseconds: 10 });
    measure(rate, [600, 12_000]);
    const ratio = rate.tokensPerMillisecond / TOKENS_PER_MILLISECOND;
    expect(ratio).toBeGreaterThan(0.8);
    expect(ratio).toBeLessThan(1.2);
  });

  test("stays within its bounds", () => {
    const rate = new PrefillRate();
    rate.add({ tokens: 10, milliseconds: 1 });
    for (let count = 0; count < 100; count += 1)
      rate.add({ tokens: 50_000, milliseconds: 1e6 });
    expect(rate.tokensPerMillisecond).toBeCloseTo(10, 0);
  });
});
