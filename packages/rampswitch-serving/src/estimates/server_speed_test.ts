// Copyright 2026 the rampswitch authors. Apache-2.0 license.

import { describe, expect, test } from "@jest/globals";
import fc from "fast-check";
import { ServerSpeed } from "./server_speed.ts";

const PEER = { from: "h1", relayed: false };
const OTHER_PEER = { from: "h2", relayed: false };
const RELAY = { from: "(fleet)", relayed: true };

/** A speed with answers of one ratio, the last one at 10,000 ms. */
function afterAnswers(
  answers: number,
  options: { readonly ratio: number; readonly figure?: number },
): ServerSpeed {
  const speed = new ServerSpeed();
  for (let count = answers - 1; count >= 0; count -= 1) {
    const now = 10_000 - 50 * count;
    if (options.figure !== undefined) speed.reported(options.figure, now);
    speed.observed(options.ratio, now, { sentAt: now - 40 });
  }
  return speed;
}

describe("a server of which nothing is known", () => {
  test("has its usual speed", () => {
    const speed = new ServerSpeed();
    expect(speed.slowdown(0)).toBe(1);
    expect(speed.isKnown(0)).toBe(false);
    expect(speed.ownLearned(0)).toBeUndefined();
    expect(speed.learnedByAll(0)).toBeUndefined();
  });
});

describe("a reported figure", () => {
  // Servers change several times per second, so old figures mislead.
  test("applies at once and fades within 600 ms", () => {
    const speed = new ServerSpeed();
    expect(speed.reported(250, 1_000)).toBe(true);
    expect(speed.slowdown(1_000)).toBe(2.5);
    expect(speed.slowdown(1_300)).toBe(1.75);
    expect(speed.slowdown(1_600)).toBe(1);
    expect(speed.isKnown(1_600)).toBe(false);
  });

  test.each([0, -100, 19.9, 2_000.1, Infinity, -Infinity, NaN])(
    "of %s is treated as absent",
    (figure) => {
      const speed = new ServerSpeed();
      speed.reported(250, 1_000);
      expect(speed.reported(figure, 1_010)).toBe(false);
      expect(speed.slowdown(1_000)).toBe(2.5);
    },
  );

  test("is bounded", () => {
    const speed = new ServerSpeed();
    speed.reported(2_000, 1_000);
    expect(speed.slowdown(1_000)).toBe(8);
    speed.reported(20, 1_001);
    expect(speed.slowdown(1_001)).toBe(0.25);
  });

  test("is replaced by a later one", () => {
    const speed = new ServerSpeed();
    speed.reported(250, 1_000);
    speed.reported(100, 1_020);
    expect(speed.slowdown(1_020)).toBe(1);
  });

  // An answer that was on its way for longer has an older figure.
  test("is not replaced by that of an answer to an earlier send", () => {
    const speed = new ServerSpeed();
    speed.reported(250, 1_000, { sentAt: 950 });
    speed.reported(100, 1_020, { sentAt: 900 });
    expect(speed.slowdown(1_000)).toBe(2.5);
  });

  test("is replaced by any other once it has expired", () => {
    const speed = new ServerSpeed();
    speed.reported(250, 1_000, { sentAt: 950 });
    speed.reported(300, 1_600, { sentAt: 900 });
    expect(speed.slowdown(1_600)).toBe(3);
  });
});

describe("the learned value", () => {
  // Times of single answers vary, and most servers never report a figure.
  test("counts from a factor of 1.5", () => {
    expect(afterAnswers(1, { ratio: 2.5 }).slowdown(10_000)).toBe(1);
    expect(afterAnswers(20, { ratio: 1.45 }).slowdown(10_000)).toBe(1);
    expect(afterAnswers(20, { ratio: 0.3 }).slowdown(10_000)).toBe(1);
    // It decays between the answers, so it stays a little below their ratio.
    const slow = afterAnswers(20, { ratio: 2.5 }).slowdown(10_000);
    expect(slow / 2.4).toBeCloseTo(1, 1);
  });

  test("decays when the server gets no more requests", () => {
    const speed = afterAnswers(20, { ratio: 2.5 });
    expect(speed.slowdown(12_000)).toBeLessThan(speed.slowdown(10_000));
    expect(speed.slowdown(15_000)).toBe(1);
  });

  test("ignores ratios that are no numbers", () => {
    const speed = new ServerSpeed();
    [0, -1, NaN].forEach((ratio) => speed.observed(ratio, 1_000));
    expect(speed.ownLearned(1_000)).toBeUndefined();
  });

  test("stays within its bounds for all answers and figures", () => {
    fc.assert(
      fc.property(
        fc.array(fc.tuple(fc.double(), fc.double()), { maxLength: 40 }),
        (steps) => {
          const speed = new ServerSpeed();
          steps.forEach(([figure, ratio], index) => {
            speed.reported(figure, 1_000 + 20 * index);
            speed.observed(ratio, 1_000 + 20 * index);
          });
          const slowdown = speed.slowdown(1_000 + 20 * steps.length);
          expect(slowdown).toBeGreaterThanOrEqual(0.25);
          expect(slowdown).toBeLessThanOrEqual(8);
        },
      ),
    );
  });
});

describe("a server that lies", () => {
  test("is slow if its answers are slow, whatever it reports", () => {
    const speed = afterAnswers(20, { ratio: 2.5, figure: 100 });
    expect(speed.slowdown(10_000) / 2.4).toBeCloseTo(1, 1);
    const lower = afterAnswers(20, { ratio: 2.5, figure: 50 });
    expect(lower.slowdown(10_000)).toBeGreaterThan(2);
  });

  test("is no slower than its answers show by much if it reports too much", () => {
    const speed = afterAnswers(20, { ratio: 1, figure: 400 });
    expect(speed.slowdown(10_000)).toBeLessThan(1.2);
  });
});

describe("a true report", () => {
  // The speed may change while a request runs, and its answer tells the speed at the
  // end. Such answers must not make the server seem slow for seconds afterwards.
  test("of a change while requests run teaches nothing", () => {
    const speed = new ServerSpeed();
    speed.reported(250, 1_000);
    speed.reported(100, 1_050);
    for (let count = 0; count < 6; count += 1)
      speed.observed(2.4, 1_050, { sentAt: 1_010 });
    expect(speed.slowdown(1_050)).toBe(1);
    expect(speed.ownLearned(1_050)).toBeUndefined();
  });
});

describe("values of peers", () => {
  test("of a single peer have no effect, since it may be wrong", () => {
    const speed = new ServerSpeed();
    speed.received({ slowdown: 8, hosts: 1 }, 1_000, PEER);
    expect(speed.slowdown(1_000)).toBe(1);
  });

  test("count by their median", () => {
    const speed = new ServerSpeed();
    speed.received({ slowdown: 2, hosts: 1 }, 1_000, PEER);
    speed.received({ slowdown: 2.5, hosts: 1 }, 1_000, OTHER_PEER);
    expect(speed.slowdown(1_000)).toBeCloseTo(2);
    speed.received({ slowdown: 8, hosts: 1 }, 1_000, {
      from: "h3",
      relayed: false,
    });
    expect(speed.slowdown(1_000)).toBeCloseTo(2.5);
  });

  test("from a relay count as those of as many hosts", () => {
    const speed = new ServerSpeed();
    speed.received({ slowdown: 2.5, hosts: 3 }, 1_000, RELAY);
    expect(speed.slowdown(1_000)).toBeCloseTo(2.5);
  });

  test("expire if the peers stop", () => {
    const speed = new ServerSpeed();
    speed.received({ slowdown: 2.5, hosts: 1 }, 1_000, PEER);
    speed.received({ slowdown: 2.5, hosts: 1 }, 1_000, OTHER_PEER);
    expect(speed.slowdown(3_999)).toBeCloseTo(2.5);
    expect(speed.slowdown(4_000)).toBe(1);
  });

  // A host passes a value on that it received a while ago.
  test("expire within 3 s over a relay", () => {
    const relay = new ServerSpeed();
    relay.received({ slowdown: 2.5, hosts: 1 }, 1_000, PEER);
    relay.received({ slowdown: 2.5, hosts: 1 }, 1_000, OTHER_PEER);
    const passedOn = relay.learnedByAll(2_499);
    expect(passedOn).toEqual({ slowdown: 2.5, hosts: 2 });
    expect(relay.learnedByAll(2_500)).toBeUndefined();
    const member = new ServerSpeed();
    member.received(passedOn ?? { slowdown: 1, hosts: 1 }, 2_499, RELAY);
    expect(member.slowdown(3_998)).toBeCloseTo(2.5);
    expect(member.slowdown(4_000)).toBe(1);
  });

  test("that a relay received are not passed on by its members", () => {
    const member = new ServerSpeed();
    member.received({ slowdown: 2.5, hosts: 3 }, 1_000, RELAY);
    expect(member.learnedByAll(1_000)).toBeUndefined();
  });

  test.each([
    { slowdown: 9, hosts: 2 },
    { slowdown: 0.1, hosts: 2 },
    { slowdown: NaN, hosts: 2 },
    { slowdown: 2, hosts: 0 },
    { slowdown: 2, hosts: NaN },
  ])("of %j have no effect", (value) => {
    const speed = new ServerSpeed();
    speed.received(value, 1_000, RELAY);
    expect(speed.slowdown(1_000)).toBe(1);
  });

  test("of this host's own answers are sent if they differ by a quarter", () => {
    expect(afterAnswers(9, { ratio: 1.2 }).ownLearned(10_000)).toBeUndefined();
    const learned = afterAnswers(20, { ratio: 2.5 }).ownLearned(10_000);
    expect((learned ?? 0) / 2.4).toBeCloseTo(1, 1);
  });
});
