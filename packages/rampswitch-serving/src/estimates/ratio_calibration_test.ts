// Copyright 2026 the rampswitch authors. Apache-2.0 license.

import { describe, expect, test } from "@jest/globals";
import { seededRandom } from "rampswitch-utils";
import { RatioCalibration } from "./ratio_calibration.ts";
import { ServerSpeed } from "./server_speed.ts";

describe("calibrated ratios", () => {
  test("are 1 before usual ones are known", () => {
    const calibration = new RatioCalibration();
    [3, 5, 2, 8, 1].forEach((ratio) =>
      expect(calibration.calibrated(ratio)).toBe(1),
    );
  });

  // A prediction may be off by a constant factor at all servers of a deployment.
  test("are relative to the usual ratio", () => {
    const calibration = new RatioCalibration();
    for (let count = 0; count < 100; count += 1) calibration.calibrated(3);
    expect(calibration.calibrated(3)).toBeCloseTo(1);
    expect(calibration.calibrated(7.5)).toBeCloseTo(2.5);
  });

  test.each([0, -1, NaN])("of %s are 1", (ratio) => {
    const calibration = new RatioCalibration();
    for (let count = 0; count < 100; count += 1) calibration.calibrated(1);
    expect(calibration.calibrated(ratio)).toBe(1);
    expect(calibration.calibrated(1)).toBeCloseTo(1);
  });

  // Hold times of a route may vary by nature, as those of exponential distributions do.
  // Without the spread, a usual server seemed to be slow for 12% of the answers.
  test("of widely spread times rarely make a usual server seem slow", () => {
    const calibration = new RatioCalibration();
    const random = seededRandom(3);
    const speed = new ServerSpeed();
    let slow = 0;
    for (let count = 0; count < 5_000; count += 1) {
      const ratio = -Math.log(1 - random.next());
      speed.observed(calibration.calibrated(ratio), count);
      if (speed.slowdown(count) > 1) slow += 1;
    }
    expect(slow / 5_000).toBeLessThan(0.02);
  });
});
