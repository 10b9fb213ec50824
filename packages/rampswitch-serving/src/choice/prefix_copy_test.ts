// Copyright 2026 the rampswitch authors. Apache-2.0 license.

import { describe, expect, test } from "@jest/globals";
import { planCopy } from "./prefix_copy.ts";
import { ServerRecord } from "./server_record.ts";
import { backendServerStandin } from "../model/backend_server_standin.ts";

function server(id: string): ServerRecord {
  return new ServerRecord(backendServerStandin({ id }));
}

/** Plans a copy from an engine with 1,000 tokens, by the rates of both ways. */
function plan(cachedTokens: number, rates: { copy: number; read: number }) {
  return planCopy(server("s1"), cachedTokens, {
    now: 0,
    engine: {
      slots: 8,
      memoryTokens: 500_000,
      migratable: true,
      copyTokensPerMillisecond: rates.copy,
    },
    parts: [],
    readingRate: rates.read,
    copySource: { record: server("s2"), tokens: 1_000 },
  });
}

describe("plan of a copy", () => {
  test("copies what the engine lacks if that is faster than its prefill", () => {
    expect(plan(200, { copy: 400, read: 20 }).tokens).toBe(800);
    expect(plan(200, { copy: 400, read: 2_000 }).tokens).toBe(0);
  });

  // With a copy slower than the prefill, a negative count of tokens appeared to save
  // time, and was subtracted from the tokens that the engine has cached.
  test("copies nothing to an engine that has more cached than the source", () => {
    const copy = plan(6_000, { copy: 10, read: 60 });
    expect(copy).toEqual({ from: undefined, tokens: 0, milliseconds: 0 });
  });
});
