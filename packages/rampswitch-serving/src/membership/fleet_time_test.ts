// Copyright 2026 the rampswitch authors. Apache-2.0 license.

import { describe, expect, test } from "@jest/globals";
import { FleetTime } from "./fleet_time.ts";

const ROUND_MILLISECONDS = 250;

/** Time from sending a message to reading it, in milliseconds. */
const DELAY_MILLISECONDS = 80;

const HOUR_MILLISECONDS = 3_600_000;

/**
 * A host of the simulation. True time is the monotonic time of a host that was never
 * suspended.
 */
interface SimulatedHost {
  readonly time: FleetTime;
  /** Error of its time of day, in milliseconds; positive if it is ahead. */
  ahead: number;
  /** Time for which its monotonic clock stopped, in milliseconds. */
  suspendedFor: number;
}

/** Hosts that all exchange estimates. */
class SimulatedFleet {
  now = 0;
  readonly hosts: SimulatedHost[] = [];

  constructor(count: number, ahead = 0) {
    for (let index = 0; index < count; index += 1) this.start(ahead);
  }

  start(ahead: number): SimulatedHost {
    const host = { ahead, suspendedFor: 0 };
    const time = new FleetTime(() => this.now + host.ahead, this.now);
    const started = Object.assign(host, { time });
    this.hosts.push(started);
    return started;
  }

  pass(milliseconds: number): void {
    const endsAt = this.now + milliseconds;
    while (this.now < endsAt) {
      this.now += ROUND_MILLISECONDS;
      this.hosts.forEach((host) => this.#round(host));
    }
  }

  #round(host: SimulatedHost): void {
    const monotonic = this.now - host.suspendedFor;
    const others = this.hosts.filter((other) => other !== host);
    others.forEach((other, index) => {
      const sentAt = this.now - DELAY_MILLISECONDS - other.suspendedFor;
      host.time.receive(
        String(index),
        other.time.ownEstimate(sentAt),
        monotonic,
      );
    });
    const offsets = others.map(
      (other) => this.now - DELAY_MILLISECONDS + other.ahead - monotonic,
    );
    host.time.sample(offsets, monotonic);
  }

  /** Absolute error of fleet time at each host, in milliseconds. */
  errors(): readonly number[] {
    return this.hosts.map(({ time, suspendedFor }) =>
      Math.abs(time.at(this.now - suspendedFor) - this.now),
    );
  }

  get largestError(): number {
    return Math.max(...this.errors());
  }
}

describe("fleet time", () => {
  test("does not drift because of message delays", () => {
    const fleet = new SimulatedFleet(5);
    fleet.pass(HOUR_MILLISECONDS / 4);
    expect(fleet.largestError).toBeLessThanOrEqual(2 * DELAY_MILLISECONDS);
  });

  test("is not changed by one clock that is an hour ahead from the start", () => {
    const fleet = new SimulatedFleet(4);
    fleet.start(HOUR_MILLISECONDS);
    fleet.pass(2 * ROUND_MILLISECONDS);
    expect(fleet.largestError).toBeLessThanOrEqual(2 * DELAY_MILLISECONDS);
    fleet.pass(HOUR_MILLISECONDS / 12);
    expect(fleet.largestError).toBeLessThanOrEqual(2 * DELAY_MILLISECONDS);
  });

  test("follows the clocks back if all hosts started while they were wrong", () => {
    const fleet = new SimulatedFleet(5, 3_000);
    fleet.pass(6_000);
    fleet.hosts.forEach((host) => {
      host.ahead = 0;
    });
    fleet.pass(7_000);
    expect(fleet.largestError).toBeLessThanOrEqual(2 * DELAY_MILLISECONDS);
  });

  test("is restored from other hosts after a suspension", () => {
    const fleet = new SimulatedFleet(5);
    fleet.pass(60_000);
    const [suspended] = fleet.hosts;
    if (suspended === undefined) return;
    suspended.suspendedFor = 8_000;
    fleet.pass(2 * ROUND_MILLISECONDS);
    expect(fleet.largestError).toBeLessThanOrEqual(2 * DELAY_MILLISECONDS);
  });

  test("is settled after estimates of most hosts, or after some seconds", () => {
    const time = new FleetTime(() => 0, 0);
    expect(time.isSettled(1, 0)).toBe(true);
    expect(time.isSettled(5, 100)).toBe(false);
    time.receive("a", { wallTime: 100, samples: 9 }, 100);
    expect(time.isSettled(5, 100)).toBe(false);
    time.receive("b", { wallTime: 100, samples: 9 }, 100);
    expect(time.isSettled(5, 100)).toBe(true);
    expect(time.isSettled(9, 100)).toBe(false);
    expect(time.isSettled(9, 6_000)).toBe(true);
  });
});
