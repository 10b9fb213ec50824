// Copyright 2026 the rampswitch authors. Apache-2.0 license.

import { describe, expect, test } from "@jest/globals";
import { EngineMemory } from "./engine_memory.ts";

describe("memory of an engine", () => {
  test("is held by requests of this host from their start to their end", () => {
    const memory = new EngineMemory();
    const end = memory.started(12_385);
    memory.started(2_400);
    expect(memory.tokens(0)).toBe(14_785);
    end();
    end();
    expect(memory.tokens(0)).toBe(2_400);
    expect(memory.ownTokens).toBe(2_400);
  });

  test("is held by requests of peers until they report fewer or end", () => {
    const memory = new EngineMemory();
    memory.received("h1", 50_000, 1_000);
    memory.received("h2", 7_000, 1_200);
    expect(memory.tokens(1_300)).toBe(57_000);
    expect(memory.tokens(1_300, "h1")).toBe(7_000);
    memory.received("h1", 20_000, 1_400);
    expect(memory.tokens(1_500)).toBe(27_000);
    // A host that ended reports nothing any more, and its requests have stopped.
    expect(memory.tokens(2_700)).toBe(20_000);
    memory.received("h1", undefined, 2_750);
    expect(memory.tokens(2_750)).toBe(0);
  });

  test.each([NaN, Infinity, -Infinity, -1, 1e12])(
    "ignores a figure of %p",
    (tokens) => {
      const memory = new EngineMemory();
      memory.received("h1", 5_000, 0);
      memory.received("h1", tokens, 100);
      memory.started(tokens)();
      memory.started(tokens);
      expect(memory.tokens(200)).toBe(0);
    },
  );
});
