// Copyright 2026 the rampswitch authors. Apache-2.0 license.

import { describe, expect, test } from "@jest/globals";
import { ManualClock } from "rampswitch-utils";
import { type LimitRequest, LimitQuestions } from "./limit_questions.ts";

const REQUEST: LimitRequest = { workspace: "w", tokens: 700, priority: 1 };
const ADMITTED = { kind: "admitted" } as const;

describe("questions to a relay", () => {
  test("take the answer that names them, once", async () => {
    const unused: LimitRequest[] = [];
    const questions = new LimitQuestions(new ManualClock(0), (request) =>
      unused.push(request),
    );
    const ids: number[] = [];
    const first = questions.ask(REQUEST, (id) => ids.push(id));
    const second = questions.ask(REQUEST, (id) => ids.push(id));
    const refusal = { kind: "over_limit", retryAfterMilliseconds: 90 } as const;
    questions.answered({ id: ids[1] ?? 0, decision: refusal });
    questions.answered({ id: ids[0] ?? 0, decision: ADMITTED });
    questions.answered({ id: ids[0] ?? 0, decision: ADMITTED });
    expect(await Promise.all([first, second])).toEqual([ADMITTED, refusal]);
    expect(unused).toEqual([]);
  });

  test("give back what a late answer admitted", async () => {
    const clock = new ManualClock(0);
    const unused: LimitRequest[] = [];
    const questions = new LimitQuestions(clock, (request) =>
      unused.push(request),
    );
    const ids: number[] = [];
    const answer = questions.ask(REQUEST, (id) => ids.push(id));
    clock.advance(100);
    expect(await answer).toBeUndefined();
    questions.answered({ id: ids[0] ?? 0, decision: ADMITTED });
    questions.answered({ id: ids[0] ?? 0, decision: ADMITTED });
    expect(unused).toEqual([REQUEST]);
  });
});
