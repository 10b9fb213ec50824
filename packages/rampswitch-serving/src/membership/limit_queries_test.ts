// Copyright 2026 the rampswitch authors. Apache-2.0 license.

import { describe, expect, test } from "@jest/globals";
import { ManualClock } from "rampswitch-utils";
import type { LimitRequest } from "../admission/mod.ts";
import { LimitQueries } from "./limit_queries.ts";

const REQUEST: LimitRequest = { workspace: "w", tokens: 700, priority: 1 };
const ADMITTED = { kind: "admitted" } as const;

describe("limit queries", () => {
  test("resolve by id, and only once", async () => {
    const unused: LimitRequest[] = [];
    const queries = new LimitQueries(new ManualClock(0), (request) =>
      unused.push(request),
    );
    const ids: number[] = [];
    const first = queries.query(REQUEST, (id) => ids.push(id));
    const second = queries.query(REQUEST, (id) => ids.push(id));
    const refusal = { kind: "over_limit", retryAfterMilliseconds: 90 } as const;
    queries.receiveAnswer({ id: ids[1] ?? 0, decision: refusal });
    queries.receiveAnswer({ id: ids[0] ?? 0, decision: ADMITTED });
    queries.receiveAnswer({ id: ids[0] ?? 0, decision: ADMITTED });
    expect(await Promise.all([first, second])).toEqual([ADMITTED, refusal]);
    expect(unused).toEqual([]);
  });

  test("report an admission that arrived after the timeout once", async () => {
    const clock = new ManualClock(0);
    const unused: LimitRequest[] = [];
    const queries = new LimitQueries(clock, (request) => unused.push(request));
    const ids: number[] = [];
    const answer = queries.query(REQUEST, (id) => ids.push(id));
    clock.advance(100);
    expect(await answer).toBeUndefined();
    queries.receiveAnswer({ id: ids[0] ?? 0, decision: ADMITTED });
    queries.receiveAnswer({ id: ids[0] ?? 0, decision: ADMITTED });
    expect(unused).toEqual([REQUEST]);
  });
});
