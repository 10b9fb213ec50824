// Copyright 2026 the rampswitch authors. Apache-2.0 license.

import { describe, expect, test } from "@jest/globals";
import fc from "fast-check";
import {
  isNestedDeeper,
  MAXIMUM_JSON_LEVELS,
  memberTexts,
  parseJson,
  splitAtCommas,
} from "./json.ts";

const PARAMETERS = { seed: 70, numRuns: 500 };

function lists(levels: number): string {
  return "[".repeat(levels) + "]".repeat(levels);
}

describe("JSON text", () => {
  test("is parsed up to a number of levels, and refused beyond it", () => {
    expect(parseJson(lists(MAXIMUM_JSON_LEVELS)).isOk).toBe(true);
    expect(parseJson(lists(MAXIMUM_JSON_LEVELS + 1)).isErr).toBe(true);
    expect(parseJson(lists(500_000)).isErr).toBe(true);
  });

  // Guards against a text of brackets stopping a host for half a second.
  test("that is nested too deep is refused without being parsed", () => {
    const unfinished = `${"[".repeat(MAXIMUM_JSON_LEVELS + 1)}no JSON`;
    expect(parseJson(unfinished).toString()).toContain("nested levels");
  });

  test("has the levels of its value, whatever its strings hold", () => {
    fc.assert(
      fc.property(fc.jsonValue({ maxDepth: 5 }), (value) => {
        const levels = levelsOf(value);
        const text = JSON.stringify(value);
        expect(isNestedDeeper(text, levels)).toBe(false);
        expect(levels === 0 || isNestedDeeper(text, levels - 1)).toBe(true);
      }),
      PARAMETERS,
    );
  });

  test("is split at the commas between its elements or members", () => {
    const values = fc.array(fc.jsonValue({ maxDepth: 3 }), { minLength: 1 });
    fc.assert(
      fc.property(values, (elements) => {
        const text = JSON.stringify(elements, null, 1);
        const parts = splitAtCommas(text.slice(1, -1));
        expect(parts?.map((part) => JSON.parse(part) as unknown)).toEqual(
          JSON.parse(text),
        );
        const members = memberTexts(
          JSON.stringify({ a: 1, b: elements, c: {} }),
        );
        expect([...members.keys()]).toEqual(["a", "b", "c"]);
        expect(JSON.parse(members.get("b") ?? "")).toEqual(JSON.parse(text));
      }),
      PARAMETERS,
    );
  });

  test("whose brackets or quotation marks don't match is not split", () => {
    ["[1, 2", "1], 2", '"a, 2', '{"a":1'].forEach((text) =>
      expect(splitAtCommas(text)).toBeUndefined(),
    );
  });
});

function levelsOf(value: unknown): number {
  return typeof value === "object" && value !== null
    ? 1 + Math.max(0, ...Object.values(value).map(levelsOf))
    : 0;
}
