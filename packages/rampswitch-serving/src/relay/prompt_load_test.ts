// Copyright 2026 the rampswitch authors. Apache-2.0 license.

import { describe, expect, test } from "@jest/globals";
import { addedLoadTokens } from "./prompt_load.ts";

const UNREAD_TOKENS = 900;

describe("load of a prompt", () => {
  test.each([
    { counts: "once with the first send", sends: 1, possibleRuns: 0, added: 1 },
    {
      counts: "no send that no server got",
      sends: 2,
      possibleRuns: 0,
      added: 0,
    },
    {
      counts: "again after a possible run",
      sends: 2,
      possibleRuns: 1,
      added: 1,
    },
  ])("counts $counts", ({ sends, possibleRuns, added }) => {
    const send = { unreadTokens: UNREAD_TOKENS, sends, possibleRuns };
    expect(addedLoadTokens(send)).toBe(added * UNREAD_TOKENS);
  });
});
