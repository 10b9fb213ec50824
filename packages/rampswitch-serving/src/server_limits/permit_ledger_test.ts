// Copyright 2026 the rampswitch authors. Apache-2.0 license.

import { describe, expect, test } from "@jest/globals";
import fc from "fast-check";
import {
  LEAST_PER_SECOND,
  TurnLedger,
  type TurnUrgency,
} from "./permit_ledger.ts";

const HOSTS = ["a", "b", "c", "d", "e", "f", "g", "h", "i"];
const ALL = { hosts: HOSTS, lenders: new Set(HOSTS) };

/** Turns at once that a ledger gives at most, beyond rate x time. */
const MOST_AT_ONCE = 3;

function terms(perSecond: number, time: number, owners = ALL) {
  return { life: "s1/7", perSecond, time, owners };
}

describe("turns of a server", () => {
  test("are no more than its rate, however they are asked for", () => {
    fc.assert(
      fc.property(
        fc.double({ min: 0, max: 50, noNaN: true }),
        fc.array(
          fc.tuple(
            fc.nat(400),
            fc.constantFrom<TurnUrgency>("ordinary", "urgent"),
          ),
          { minLength: 1, maxLength: 400 },
        ),
        (perSecond, asked) => {
          const ledger = new TurnLedger();
          const rate = Math.max(perSecond, LEAST_PER_SECOND);
          const count = { time: 0, at: 0, level: 0 };
          asked.forEach(([pause, urgency]) => {
            count.time += pause;
            const outcome = ledger.give(terms(perSecond, count.time), urgency);
            if (outcome.kind !== "given") return;
            const leaked = (rate * (count.time - count.at)) / 1_000;
            count.level = Math.max(0, count.level - leaked) + 1;
            count.at = count.time;
            expect(count.level).toBeLessThanOrEqual(MOST_AT_ONCE);
          });
        },
      ),
    );
  });

  test("are used whole where requests are waiting", () => {
    const ledger = new TurnLedger();
    const times = Array.from({ length: 6_000 }, (_, index) => index * 10);
    const given = times.filter(
      (time) => ledger.give(terms(2, time), "ordinary").kind === "given",
    );
    expect(given.length).toBeGreaterThanOrEqual(0.95 * 2 * 60);
    expect(given.length).toBeLessThanOrEqual(2 * 60);
  });

  test("leave one for what is urgent", () => {
    const ledger = new TurnLedger();
    ledger.give(terms(1, 0), "ordinary");
    expect(ledger.give(terms(1, 5_500), "ordinary").kind).toBe("given");
    expect(ledger.give(terms(1, 5_500), "ordinary").kind).toBe("wait");
    expect(ledger.give(terms(1, 5_500), "urgent").kind).toBe("given");
    expect(ledger.give(terms(1, 5_500), "urgent").kind).toBe("wait");
    expect(ledger.give(terms(1, 5_500), "continuation").kind).toBe("given");
    expect(ledger.give(terms(1, 5_500), "continuation").kind).toBe("given");
    expect(ledger.give(terms(1, 5_500), "continuation").kind).toBe("wait");
  });

  test("tell when the next one is free", () => {
    const ledger = new TurnLedger();
    ledger.give(terms(1, 0), "urgent");
    const outcome = ledger.give(terms(1, 100), "urgent");
    expect(outcome).toEqual({ kind: "wait", milliseconds: 900 });
  });

  test("are no more where two hosts give them, each for its lenders", () => {
    const [left, right] = [new TurnLedger(), new TurnLedger()];
    const half = new Set(HOSTS.slice(0, 4));
    const rest = new Set(HOSTS.slice(4));
    const times = Array.from({ length: 6_000 }, (_, index) => index * 10);
    const given = times.filter((time) => {
      const owners = { hosts: HOSTS, lenders: half };
      return left.give(terms(2, time, owners), "urgent").kind === "given";
    });
    const others = times.filter((time) => {
      const owners = { hosts: HOSTS, lenders: rest };
      return right.give(terms(2, time, owners), "urgent").kind === "given";
    });
    expect(given.length + others.length).toBeLessThanOrEqual(2 * 60);
    expect(given.length).toBeGreaterThan(20);
    expect(others.length).toBeGreaterThan(20);
  });

  test("are none where nobody lends", () => {
    const owners = { hosts: HOSTS, lenders: new Set<string>() };
    const ledger = new TurnLedger();
    expect(ledger.give(terms(50, 9_000, owners), "continuation").kind).toBe(
      "wait",
    );
  });

  test("go on after the time went back", () => {
    const ledger = new TurnLedger();
    ledger.give(terms(1, 2_400_000), "urgent");
    ledger.give(terms(1, 5_000), "urgent");
    expect(ledger.give(terms(1, 7_100), "urgent").kind).toBe("given");
  });
});
