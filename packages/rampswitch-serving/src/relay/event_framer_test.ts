// Copyright 2026 the rampswitch authors. Apache-2.0 license.

import { describe, expect, test } from "@jest/globals";
import fc from "fast-check";
import { EventFramer, isAfter } from "./event_framer.ts";

const EVENTS = Array.from(
  { length: 9 },
  (_, index) => `id: ${index + 1}\ndata: é${"x".repeat(index)}\n\n`,
);

describe("event framer", () => {
  test("returns events in order for any chunk sizes, none partial or duplicate", () => {
    const bytes = Buffer.from(EVENTS.join(""));
    fc.assert(
      fc.property(
        fc.array(fc.integer({ min: 1, max: 40 }), { maxLength: 60 }),
        (sizes) => {
          const framer = new EventFramer();
          let at = 0;
          let out = "";
          let count = 0;
          [...sizes, bytes.length].forEach((size) => {
            const frames = framer.push(bytes.subarray(at, at + size));
            at = Math.min(bytes.length, at + size);
            out += frames.bytes.toString("utf8");
            count += frames.count;
            expect(EVENTS.slice(0, count).join("")).toBe(out);
            if (frames.count > 0) expect(frames.lastId).toBe(String(count));
          });
          expect(out).toBe(EVENTS.join(""));
          expect(framer.pending).toHaveLength(0);
          expect(framer.isWithinEvent).toBe(false);
        },
      ),
      { seed: 5 },
    );
  });

  // Guards against work that grows with the square of an event that doesn't end.
  test("finds the same ends and beginnings as a search of the whole text", () => {
    const pieces = fc.array(
      fc.constantFrom("\n", "\r\n", "\r", "\n\n", ": c", "a", "id: 7", "\n\r"),
      { maxLength: 30 },
    );
    fc.assert(
      fc.property(fc.array(pieces, { maxLength: 8 }), (chunks) => {
        const framer = new EventFramer();
        let rest = "";
        chunks.forEach((parts) => {
          const text = parts.join("");
          const frames = framer.push(Buffer.from(text));
          const whole = rest + text;
          const end = endOfLastEvent(whole);
          rest = whole.slice(end);
          expect(frames.bytes.toString()).toBe(whole.slice(0, end));
          expect(framer.pending.toString()).toBe(rest);
          expect(framer.isWithinEvent).toBe(hasField(rest));
        });
      }),
      { seed: 70, numRuns: 2_000 },
    );
  });

  test("counts no event without a field, and passes its bytes on with the next one", () => {
    const framer = new EventFramer();
    expect(framer.push(Buffer.from(": waits\n\n\n"))).toMatchObject({
      count: 0,
    });
    const frames = framer.push(Buffer.from("id: 1\ndata: a\n\n\n: b\n\n"));
    expect(frames).toMatchObject({ count: 1, lastId: "1" });
    expect(frames.bytes.toString()).toBe(
      ": waits\n\n\nid: 1\ndata: a\n\n\n: b\n\n",
    );
  });

  test("keeps no more of an event than an answer may have", () => {
    const framer = new EventFramer();
    const piece = Buffer.from("data: x\n".repeat(8_192));
    const frames = [1, 2, 3, 4, 5].map(() => framer.push(piece));
    expect(frames.map(({ isOverfull }) => isOverfull)).toEqual([
      false,
      false,
      false,
      false,
      true,
    ]);
  });

  test.each([
    [`id: ${"9".repeat(1_000)}\n\n`, false],
    ["id: 1\u0000\n\n", false],
    ["id: é-1\n\n", true],
  ])("whose id is %j: it can be sent as a header: %s", (text, isUsable) => {
    const frames = new EventFramer().push(Buffer.from(text));
    expect(frames.hasUsableIds).toBe(isUsable);
  });

  test("returns the first and the last id of the events", () => {
    const frames = new EventFramer().push(
      Buffer.from("data: a\n\nid: 7\ndata: b\n\nid: 9\ndata: c\n\n"),
    );
    expect(frames).toMatchObject({ count: 3, firstId: "7", lastId: "9" });
  });

  test("takes line ends of two bytes for those of one", () => {
    const framer = new EventFramer();
    const frames = framer.push(
      Buffer.from("id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r"),
    );
    expect(frames).toMatchObject({ count: 1, firstId: "1", lastId: "1" });
    expect(framer.isWithinEvent).toBe(true);
    expect(framer.push(Buffer.from("\n"))).toMatchObject({ lastId: "2" });
    expect(framer.isWithinEvent).toBe(false);
  });

  test.each([
    [": the end\n", false],
    ["\n", false],
    [": note\nid: 2\n", true],
    ["data: \u00c3", true],
  ])("after %j, it is within an event: %s", (rest, isWithin) => {
    const framer = new EventFramer();
    framer.push(Buffer.from(`id: 1\ndata: a\n\n${rest}`));
    expect(framer.isWithinEvent).toBe(isWithin);
  });

  test.each([
    ["5", "4", true],
    ["10", "9", true],
    ["4", "4", false],
    ["1", "69", false],
    ["9007199254740993", "9007199254740992", true],
    ["a", "b", true],
    [undefined, "4", true],
    ["4", undefined, true],
  ])("id %s after %s: %s", (id, former, after) => {
    expect(isAfter(id, former)).toBe(after);
  });

  test("does not return an incomplete event, and counts its bytes as pending", () => {
    const framer = new EventFramer();
    const frames = framer.push(Buffer.from("id: 1\ndata: a\n\nid: 2\nda"));
    expect(frames.bytes.toString()).toBe("id: 1\ndata: a\n\n");
    expect(framer.pending.length).toBeGreaterThan(0);
    expect(framer.isWithinEvent).toBe(true);
  });
});

function endOfLastEvent(text: string): number {
  const ends = ["\n\n", "\n\r\n"].map((end) => {
    const index = text.lastIndexOf(end);
    return index < 0 ? 0 : index + end.length;
  });
  const end = Math.max(...ends);
  // Comments and empty lines alone are no event.
  return hasField(text.slice(0, end)) ? end : 0;
}

function hasField(text: string): boolean {
  return text
    .split(/\r?\n/)
    .some((line) => line !== "" && !line.startsWith(":"));
}
