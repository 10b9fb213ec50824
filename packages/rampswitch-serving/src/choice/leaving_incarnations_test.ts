// Copyright 2026 the rampswitch authors. Apache-2.0 license.

import { describe, expect, test } from "@jest/globals";
import { LeavingLives } from "./leaving_incarnations.ts";

const LIFE = { id: "s1", born: 1_000 };
const TO_ALL = { ownOnly: false, isWantedLonger: () => false };

describe("lives that said that they leave", () => {
  test("are known for good, from the first time on", () => {
    const lives = new LeavingLives();
    expect(lives.said(LIFE, { since: 500, origin: "answer" })).toBe(true);
    expect(lives.said(LIFE, { since: 900, origin: "peer" })).toBe(false);
    expect(lives.said(LIFE, { since: 300, origin: "peer" })).toBe(false);
    expect(lives.since(LIFE)).toBe(300);
  });

  test("are not other lives of the same server", () => {
    const lives = new LeavingLives();
    lives.said(LIFE, { since: 500, origin: "answer" });
    expect(lives.since({ ...LIFE, born: 2_000 })).toBeUndefined();
    expect(lives.since({ id: LIFE.id })).toBeUndefined();
  });

  test("are told while they are young, or wanted longer", () => {
    const lives = new LeavingLives();
    lives.said(LIFE, { since: 500, origin: "answer" });
    expect(lives.news(700, TO_ALL)).toEqual([{ ...LIFE, age: 200 }]);
    expect(lives.news(60_000, TO_ALL)).toEqual([]);
    const wanted = { ...TO_ALL, isWantedLonger: () => true };
    expect(lives.news(60_000, wanted)).toEqual([{ ...LIFE, age: 59_500 }]);
  });

  test("are told by whoever read them, where relays tell the rest", () => {
    const lives = new LeavingLives();
    lives.said(LIFE, { since: 500, origin: "peer" });
    expect(lives.news(700, { ...TO_ALL, ownOnly: true })).toEqual([]);
  });

  test("are not told where the store tells them", () => {
    const lives = new LeavingLives();
    lives.said(LIFE, { since: 500, origin: "entry" });
    expect(lives.news(700, TO_ALL)).toEqual([]);
    expect(lives.since(LIFE)).toBe(500);
  });

  test("are bounded in number; the first ones are forgotten", () => {
    const lives = new LeavingLives();
    Array.from({ length: 20_000 }, (_, index) =>
      lives.said({ id: `s${index}` }, { since: index, origin: "peer" }),
    );
    expect(lives.since({ id: "s0" })).toBeUndefined();
    expect(lives.since({ id: "s19999" })).toBe(19_999);
    expect(lives.news(20_000, TO_ALL).length).toBeLessThanOrEqual(256);
  });
});
