// Copyright 2026 the rampswitch authors. Apache-2.0 license.

import { describe, expect, test } from "@jest/globals";
import fc from "fast-check";
import { Fingerprint } from "../quarantine/mod.ts";
import type { RequestFingerprint } from "./reservations.ts";
import { ReturnTimes } from "./return_times.ts";
import type { ClassRoom } from "./room_admission.ts";
import type { RoomClass } from "./room_class.ts";

const LAG = 250;
const WORK = 200;
/** Room for 40 requests a second, of which 20 are promised. */
const ROOM: ClassRoom = { perMillisecond: 8, available: 0, work: WORK };
const PATIENT = 60_000;

const BURST: RoomClass = {
  service: "models",
  workspaceRank: 0,
  routeRank: 0,
  workspace: "burst",
};

function fingerprint(name: string): RequestFingerprint {
  return new Fingerprint({
    method: "POST",
    hostName: "models.example",
    target: "/v1/answers",
    workspace: "burst",
    body: Buffer.from(name),
  });
}

interface Told extends ClassRoom {
  readonly left?: number;
  readonly serviceRate?: number;
}

/** The return times of one host, and what its metrics count. */
function hostOf(hosts = 1) {
  const counts = { kept: 0, refused: 0, lapsed: 0 };
  const times = new ReturnTimes(
    { hosts: () => hosts, lagMilliseconds: () => LAG, draw: () => 0.5 },
    {
      kept: () => (counts.kept += 1),
      refused: () => (counts.refused += 1),
      lapsed: () => (counts.lapsed += 1),
    },
  );
  const assign = (
    name: string,
    now: number,
    { left = PATIENT, serviceRate = 0, ...room }: Told = ROOM,
  ) =>
    times.assign(
      {
        roomClass: BURST,
        fingerprint: fingerprint(name),
        leftMilliseconds: left,
        serviceRate,
      },
      room,
      now,
    );
  const claim = (name: string, now: number, room = ROOM) =>
    times.claim(
      { roomClass: BURST, fingerprint: fingerprint(name) },
      () => room,
      now,
    );
  return { times, counts, assign, claim };
}

describe("return times", () => {
  test("come one by one at half of the rate of the class", () => {
    const { assign } = hostOf();
    const delays = ["a", "b", "c"].map(
      (name) => assign(name, 1_000).delayMilliseconds,
    );
    expect(delays[0]).toBe(50);
    // What is promised is deducted from the rate that admission states.
    expect((delays[1] ?? 0) - (delays[0] ?? 0)).toBeLessThanOrEqual(50);
    expect((delays[2] ?? 0) - (delays[1] ?? 0)).toBeGreaterThan(30);
  });

  test("begin when an overdraft is paid off, and when the hosts know them", () => {
    const { assign } = hostOf();
    const overdrawn = { ...ROOM, available: -4_000 };
    expect(assign("a", 0, overdrawn).delayMilliseconds).toBe(500);
    expect(hostOf(6).assign("a", 0).delayMilliseconds).toBe(LAG + 100);
  });

  test("that are too late are told as they are and reserve nothing", () => {
    const { times, assign } = hostOf();
    const told = assign("a", 0, {
      ...ROOM,
      available: -8_000,
      left: 1_500,
    });
    expect(told).toEqual({ delayMilliseconds: 1_000, reserved: false });
    expect(times.reservations.size).toBe(0);
    // The next caller, who has more time left, does not wait behind the first.
    expect(assign("b", 0).delayMilliseconds).toBe(50);
  });

  test("are far away while a class has no room", () => {
    const { assign } = hostOf();
    const none = { perMillisecond: 0, available: 0, work: WORK };
    const told = { delayMilliseconds: 60_000, reserved: false };
    expect(["a", "b"].map((name) => assign(name, 0, none))).toEqual([
      told,
      told,
    ]);
  });

  test("follow from the service's slots until the rate of the class is known", () => {
    const { assign } = hostOf();
    const unknown = { perMillisecond: 0, available: 0, work: WORK };
    const told = ["a", "b"].map((name) =>
      assign(name, 0, { ...unknown, serviceRate: 8 }),
    );
    expect(told.map(({ reserved }) => reserved)).toEqual([true, true]);
    const alone = { perMillisecond: Infinity, available: Infinity, work: WORK };
    expect(assign("c", 0, { ...alone, serviceRate: 8 }).reserved).toBe(true);
  });

  test("are not far away when the rate of the class is zero for a moment", () => {
    const { assign } = hostOf();
    assign("a", 0);
    const moment = { perMillisecond: 0, available: 0, work: WORK };
    expect(assign("b", 500, moment).delayMilliseconds).toBeLessThan(500);
  });

  test("are kept for one who returns as told, once", () => {
    const { assign, claim, counts } = hostOf();
    const { delayMilliseconds } = assign("a", 0);
    expect(claim("other", delayMilliseconds)).toBe(false);
    expect(claim("a", delayMilliseconds + 3)).toBe(true);
    expect(claim("a", delayMilliseconds + 4)).toBe(false);
    expect(counts).toEqual({ kept: 1, refused: 0, lapsed: 0 });
  });

  test("are kept for each of several requests with the same content", () => {
    const { assign, claim } = hostOf();
    const delays = [assign("a", 0), assign("a", 0), assign("a", 0)].map(
      ({ delayMilliseconds }) => delayMilliseconds,
    );
    expect(delays.map((delay) => claim("a", delay))).toEqual([
      true,
      true,
      true,
    ]);
  });

  test("remain for one who comes early, who is a new request", () => {
    const { assign, claim } = hostOf(6);
    const { delayMilliseconds } = assign("a", 0);
    expect(claim("a", delayMilliseconds - 60)).toBe(false);
    expect(claim("a", delayMilliseconds - 40)).toBe(true);
  });

  test("lapse, and their room goes to new requests", () => {
    const { times, assign, claim, counts } = hostOf();
    const { delayMilliseconds } = assign("a", 0);
    expect(times.dueWork(BURST, LAG, 0)).toBe(WORK);
    expect(times.dueWork(BURST, 1_000 + LAG, 1_000)).toBe(0);
    const late = delayMilliseconds + 1_001;
    expect(claim("a", late)).toBe(false);
    expect(times.dueWork(BURST, late + LAG, late)).toBe(0);
    times.reservations.updates(late + 200);
    expect(counts).toEqual({ kept: 0, refused: 0, lapsed: 1 });
    expect(times.reservations.size).toBe(0);
  });

  test("are kept up to the room that is left when servers were lost", () => {
    const { assign, claim, counts } = hostOf();
    const names = Array.from({ length: 160 }, (_, index) => `r${index}`);
    const delays = names.map((name) => assign(name, 0).delayMilliseconds);
    const shrunk = { ...ROOM, perMillisecond: 0 };
    const kept = names.filter((name, index) =>
      claim(name, delays[index] ?? 0, shrunk),
    );
    expect(kept.length).toBeGreaterThan(3);
    expect(kept.length).toBeLessThan(120);
    expect(counts.refused).toBe(160 - kept.length);
  });

  test("after a pause of the process admit only those who still come in time", () => {
    const { times, assign, claim } = hostOf();
    const first = assign("a", 0).delayMilliseconds;
    assign("b", 0);
    const resumed = 30_000;
    expect(claim("a", resumed)).toBe(false);
    expect(times.dueWork(BURST, resumed + LAG, resumed)).toBe(0);
    // The schedule goes on from now instead of making up for the pause.
    expect(assign("c", resumed).delayMilliseconds).toBe(first);
    expect(assign("d", resumed).delayMilliseconds).toBeGreaterThan(first);
  });
});

describe("reservations of other hosts", () => {
  test("are recognized where the caller returns, and their host learns it", () => {
    const [here, there] = [hostOf(6), hostOf(6)];
    const { delayMilliseconds } = here.assign("a", 0);
    const sent = here.times.reservations.updates(100);
    there.times.reservations.receive(sent, { age: 150, now: 5_250 });
    // The clocks of hosts differ: here it is 250 when it is 5,250 there.
    const returnedAt = 5_000 + delayMilliseconds;
    expect(there.claim("a", returnedAt)).toBe(true);
    const kept = there.times.reservations.updates(returnedAt + 10);
    expect(kept.map(({ kept: isKept }) => isKept)).toEqual([true]);
    here.times.reservations.receive(kept, { age: 0, now: 500 });
    expect(here.claim("a", 500)).toBe(false);
    here.times.reservations.updates(2_000);
    expect(here.counts.lapsed).toBe(0);
    expect(there.counts.kept).toBe(1);
  });

  test("are lost with a host that had not sent them", () => {
    const [here, there] = [hostOf(2), hostOf(2)];
    const { delayMilliseconds } = here.assign("a", 0);
    expect(there.claim("a", delayMilliseconds)).toBe(false);
  });

  test("are kept after the host that had sent them is gone", () => {
    const [here, there] = [hostOf(2), hostOf(2)];
    const { delayMilliseconds } = here.assign("a", 0);
    const sent = here.times.reservations.updates(0);
    there.times.reservations.receive(sent, { age: 0, now: 0 });
    expect(there.claim("a", delayMilliseconds)).toBe(true);
  });

  test("are the same when they arrive several times or by several ways", () => {
    const [here, there] = [hostOf(2), hostOf(2)];
    here.assign("a", 0);
    const sent = here.times.reservations.updates(0);
    there.times.reservations.receive(sent, { age: 0, now: 0 });
    there.times.reservations.receive(sent, { age: 3, now: 20 });
    expect(there.times.reservations.size).toBe(1);
  });

  test("are sent in a few messages, 32 at a time, and not told on by others", () => {
    const [here, there] = [hostOf(2), hostOf(2)];
    Array.from({ length: 40 }, (_, index) => here.assign(`r${index}`, 0));
    const { reservations } = here.times;
    const sent = [0, 1, 2, 3, 4].map(() => reservations.updates(10).length);
    expect(sent).toEqual([32, 32, 32, 24, 0]);
    there.times.reservations.receive(
      [{ key: "0".repeat(16), id: 1, dueIn: 100, rank: 0, kept: false }],
      { age: 0, now: 0 },
    );
    expect(there.times.reservations.updates(0)).toEqual([]);
    expect(there.times.reservations.relayUpdates(0)).toHaveLength(1);
  });

  test("reach the members of a relay by its digest, and so does a return", () => {
    const [here, relay, there] = [hostOf(20), hostOf(20), hostOf(20)];
    const { delayMilliseconds } = here.assign("a", 0);
    const heard = { age: 0, now: 0 };
    relay.times.reservations.receive(here.times.reservations.updates(0), heard);
    const digest = relay.times.reservations.relayUpdates(0);
    [here, there].forEach(({ times }) =>
      times.reservations.receive(digest, heard),
    );
    expect(there.claim("a", delayMilliseconds)).toBe(true);
    const later = { age: 0, now: delayMilliseconds };
    relay.times.reservations.receive(
      there.times.reservations.updates(later.now),
      later,
    );
    here.times.reservations.receive(
      relay.times.reservations.relayUpdates(later.now),
      later,
    );
    expect(here.claim("a", later.now)).toBe(false);
  });

  test("that are absurd fill no memory and admit no more than a share", () => {
    const { times, claim, counts } = hostOf(2);
    const update = (index: number, dueIn: number) => ({
      key: fingerprint(`r${index}`).text.slice(0, 16),
      id: index,
      dueIn,
      rank: 0,
      kept: false,
    });
    const far = { age: 0, now: 0 };
    times.reservations.receive([update(0, 1e9), update(1, -1e9)], far);
    times.reservations.receive([update(2, NaN)], far);
    expect(times.reservations.size).toBe(0);
    for (let index = 0; index < 10_000; index += 1) {
      times.reservations.receive([update(index, 100)], { age: 0, now: 0 });
    }
    expect(times.reservations.size).toBeLessThanOrEqual(4_096);
    const admitted = Array.from({ length: 4_000 }, (_, index) =>
      claim(`r${index}`, 100),
    ).filter(Boolean);
    // Half a second of the class's room, and four requests.
    expect(admitted.length).toBeLessThanOrEqual(24);
    expect(counts.refused).toBe(4_000 - admitted.length);
  });

  test("are all forgotten in time, whatever arrives", () => {
    const step = fc.record({
      kind: fc.constantFrom("assign", "claim", "tell", "hear"),
      name: fc.nat(20).map((index) => `r${index}`),
      pause: fc.nat(800),
      dueIn: fc.integer({ min: -3_000, max: 30_000 }),
    });
    fc.assert(
      fc.property(fc.array(step, { maxLength: 100 }), (steps) => {
        const { times, counts, assign, claim } = hostOf(2);
        let now = 0;
        let reserved = 0;
        let claimed = 0;
        steps.forEach(({ kind, name, pause, dueIn }, index) => {
          now += pause;
          if (kind === "assign") reserved += Number(assign(name, now).reserved);
          else if (kind === "claim") claimed += Number(claim(name, now));
          else if (kind === "tell") times.reservations.updates(now);
          else {
            const key = fingerprint(name).text.slice(0, 16);
            times.reservations.receive(
              [{ key, id: index, dueIn, rank: 0, kept: pause % 2 === 0 }],
              { age: 3, now },
            );
          }
        });
        times.reservations.updates(now + 80_000);
        expect(times.reservations.size).toBe(0);
        expect(times.dueWork(BURST, now + 160_000, now + 80_000)).toBe(0);
        expect(counts.kept).toBe(claimed);
        expect(counts.lapsed).toBeLessThanOrEqual(reserved);
      }),
      { numRuns: 200, seed: 20_261_203 },
    );
  });

  test("never promise more than half of the room, whatever arrives", () => {
    fc.assert(
      fc.property(
        fc.array(
          fc.record({
            pause: fc.nat(400),
            work: fc.integer({ min: 1, max: 2_000 }),
            left: fc.integer({ min: 100, max: 15_000 }),
          }),
          { maxLength: 200 },
        ),
        (arrivals) => {
          const { times, assign } = hostOf();
          let now = 0;
          const promised: { readonly at: number; readonly work: number }[] = [];
          arrivals.forEach(({ pause, work, left }, index) => {
            now += pause;
            // Admission deducts what falls due from the rate of new requests.
            const due = times.dueWork(BURST, now + LAG, now) / LAG;
            expect(due).toBeLessThan(4.001);
            const room = { perMillisecond: 8 - due, available: 0, work };
            const told = assign(`r${index}`, now, { ...room, left });
            const at = now + told.delayMilliseconds;
            if (told.reserved) promised.push({ at, work });
          });
          promised.forEach(({ at }, index) => {
            const later = promised.slice(index + 1);
            const last = later.at(-1)?.at ?? at;
            const sum = later.reduce((total, { work }) => total + work, 0);
            // Each time is rounded up to a millisecond.
            expect(sum).toBeLessThanOrEqual(4 * (last - at + 2));
          });
        },
      ),
      { numRuns: 200, seed: 20_261_203 },
    );
  });
});
