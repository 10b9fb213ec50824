// Copyright 2026 the rampswitch authors. Apache-2.0 license.

import { describe, expect, test } from "@jest/globals";
import fc from "fast-check";
import {
  MINIMUM_PERMITS_PER_SECOND,
  PermitLedger,
  type PermitUrgency,
} from "./permit_ledger.ts";

const HOSTS = ["a", "b", "c", "d", "e", "f", "g", "h", "i"];
const ALL_LEND = { hosts: HOSTS, lenders: new Set(HOSTS) };

/** Maximum number of permits beyond rate x time that a ledger grants at once. */
const MAXIMUM_BURST = 3;

function terms(perSecond: number, time: number, owners = ALL_LEND) {
  return { incarnationName: "s1/7", perSecond, time, owners };
}

describe("permits of a server", () => {
  test("do not exceed its rate, whatever the pattern of queries", () => {
    fc.assert(
      fc.property(
        fc.double({ min: 0, max: 50, noNaN: true }),
        fc.array(
          fc.tuple(
            fc.nat(400),
            fc.constantFrom<PermitUrgency>("ordinary", "urgent"),
          ),
          { minLength: 1, maxLength: 400 },
        ),
        (perSecond, queries) => {
          const ledger = new PermitLedger();
          const rate = Math.max(perSecond, MINIMUM_PERMITS_PER_SECOND);
          const count = { time: 0, at: 0, level: 0 };
          queries.forEach(([pause, urgency]) => {
            count.time += pause;
            const outcome = ledger.grant(terms(perSecond, count.time), urgency);
            if (outcome.kind !== "given") return;
            const leaked = (rate * (count.time - count.at)) / 1_000;
            count.level = Math.max(0, count.level - leaked) + 1;
            count.at = count.time;
            expect(count.level).toBeLessThanOrEqual(MAXIMUM_BURST);
          });
        },
      ),
    );
  });

  test("are all used while requests are waiting", () => {
    const ledger = new PermitLedger();
    const times = Array.from({ length: 6_000 }, (_, index) => index * 10);
    const given = times.filter(
      (time) => ledger.grant(terms(2, time), "ordinary").kind === "given",
    );
    expect(given.length).toBeGreaterThanOrEqual(0.95 * 2 * 60);
    expect(given.length).toBeLessThanOrEqual(2 * 60);
  });

  test("keep one free for urgent requests", () => {
    const ledger = new PermitLedger();
    ledger.grant(terms(1, 0), "ordinary");
    expect(ledger.grant(terms(1, 5_500), "ordinary").kind).toBe("given");
    expect(ledger.grant(terms(1, 5_500), "ordinary").kind).toBe("wait");
    expect(ledger.grant(terms(1, 5_500), "urgent").kind).toBe("given");
    expect(ledger.grant(terms(1, 5_500), "urgent").kind).toBe("wait");
    expect(ledger.grant(terms(1, 5_500), "continuation").kind).toBe("given");
    expect(ledger.grant(terms(1, 5_500), "continuation").kind).toBe("given");
    expect(ledger.grant(terms(1, 5_500), "continuation").kind).toBe("wait");
  });

  test("are refused with the time until the next one", () => {
    const ledger = new PermitLedger();
    ledger.grant(terms(1, 0), "urgent");
    const outcome = ledger.grant(terms(1, 100), "urgent");
    expect(outcome).toEqual({ kind: "wait", milliseconds: 900 });
  });

  test("do not exceed the rate when two hosts grant them, each for its lenders", () => {
    const [left, right] = [new PermitLedger(), new PermitLedger()];
    const half = new Set(HOSTS.slice(0, 4));
    const rest = new Set(HOSTS.slice(4));
    const times = Array.from({ length: 6_000 }, (_, index) => index * 10);
    const given = times.filter((time) => {
      const owners = { hosts: HOSTS, lenders: half };
      return left.grant(terms(2, time, owners), "urgent").kind === "given";
    });
    const others = times.filter((time) => {
      const owners = { hosts: HOSTS, lenders: rest };
      return right.grant(terms(2, time, owners), "urgent").kind === "given";
    });
    expect(given.length + others.length).toBeLessThanOrEqual(2 * 60);
    expect(given.length).toBeGreaterThan(20);
    expect(others.length).toBeGreaterThan(20);
  });

  test("are not granted without lenders", () => {
    const owners = { hosts: HOSTS, lenders: new Set<string>() };
    const ledger = new PermitLedger();
    expect(ledger.grant(terms(50, 9_000, owners), "continuation").kind).toBe(
      "wait",
    );
  });

  test("are granted again after the time was set back", () => {
    const ledger = new PermitLedger();
    ledger.grant(terms(1, 2_400_000), "urgent");
    ledger.grant(terms(1, 5_000), "urgent");
    expect(ledger.grant(terms(1, 7_100), "urgent").kind).toBe("given");
  });
});
