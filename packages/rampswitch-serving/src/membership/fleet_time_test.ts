// Copyright 2026 the rampswitch authors. Apache-2.0 license.

import { describe, expect, test } from "@jest/globals";
import { FleetTime } from "./fleet_time.ts";

const ROUND_MILLISECONDS = 250;

/** Time that a message takes to arrive and be read, in milliseconds. */
const DELAY_MILLISECONDS = 80;

const HOUR_MILLISECONDS = 3_600_000;

/** A host of the simulation; true time is the steady time of all that never slept. */
interface SimulatedHost {
  readonly time: FleetTime;
  /** How far its time of day is ahead, in milliseconds. */
  ahead: number;
  /** How long its steady clock stood still, in milliseconds. */
  slept: number;
}

/** Hosts that all hear each other. */
class SimulatedFleet {
  now = 0;
  readonly hosts: SimulatedHost[] = [];

  constructor(count: number, ahead = 0) {
    for (let index = 0; index < count; index += 1) this.start(ahead);
  }

  start(ahead: number): SimulatedHost {
    const host = { ahead, slept: 0 };
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
    const steady = this.now - host.slept;
    const others = this.hosts.filter((other) => other !== host);
    others.forEach((other, index) => {
      const sentAt = this.now - DELAY_MILLISECONDS - other.slept;
      host.time.heard(String(index), other.time.carried(sentAt), steady);
    });
    const offsets = others.map(
      (other) => this.now - DELAY_MILLISECONDS + other.ahead - steady,
    );
    host.time.sample(offsets, steady);
  }

  /** How far each host's agreed time is from the truth, in milliseconds. */
  errors(): readonly number[] {
    return this.hosts.map(({ time, slept }) =>
      Math.abs(time.at(this.now - slept) - this.now),
    );
  }

  get largestError(): number {
    return Math.max(...this.errors());
  }
}

describe("the time of day that hosts carry", () => {
  test("does not drift by the delay of messages", () => {
    const fleet = new SimulatedFleet(5);
    fleet.pass(HOUR_MILLISECONDS / 4);
    expect(fleet.largestError).toBeLessThanOrEqual(2 * DELAY_MILLISECONDS);
  });

  test("is not moved by one clock an hour ahead, from the start on", () => {
    const fleet = new SimulatedFleet(4);
    fleet.start(HOUR_MILLISECONDS);
    fleet.pass(2 * ROUND_MILLISECONDS);
    expect(fleet.largestError).toBeLessThanOrEqual(2 * DELAY_MILLISECONDS);
    fleet.pass(HOUR_MILLISECONDS / 12);
    expect(fleet.largestError).toBeLessThanOrEqual(2 * DELAY_MILLISECONDS);
  });

  test("follows the clocks back where all hosts started while they were off", () => {
    const fleet = new SimulatedFleet(5, 3_000);
    fleet.pass(6_000);
    fleet.hosts.forEach((host) => {
      host.ahead = 0;
    });
    fleet.pass(7_000);
    expect(fleet.largestError).toBeLessThanOrEqual(2 * DELAY_MILLISECONDS);
  });

  test("is learned anew from the others by a host that was suspended", () => {
    const fleet = new SimulatedFleet(5);
    fleet.pass(60_000);
    const [suspended] = fleet.hosts;
    if (suspended === undefined) return;
    suspended.slept = 8_000;
    fleet.pass(2 * ROUND_MILLISECONDS);
    expect(fleet.largestError).toBeLessThanOrEqual(2 * DELAY_MILLISECONDS);
  });

  test("is relied on once most hosts are heard, or after some seconds", () => {
    const time = new FleetTime(() => 0, 0);
    expect(time.isSettled(1, 0)).toBe(true);
    expect(time.isSettled(5, 100)).toBe(false);
    time.heard("a", { wallTime: 100, samples: 9 }, 100);
    expect(time.isSettled(5, 100)).toBe(false);
    time.heard("b", { wallTime: 100, samples: 9 }, 100);
    expect(time.isSettled(5, 100)).toBe(true);
    expect(time.isSettled(9, 100)).toBe(false);
    expect(time.isSettled(9, 6_000)).toBe(true);
  });
});
