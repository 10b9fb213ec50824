// Copyright 2026 the rampswitch authors. Apache-2.0 license.

import { describe, expect, test } from "@jest/globals";
import { doubtAbout, type UnframedAnswer } from "./unframed_end.ts";

const REGULAR: UnframedAnswer = {
  hasContent: true,
  remainingMilliseconds: 1_000,
  mayHaveBeenStopped: false,
};

// Guards against a broken answer that ends as complete.
describe("the end of an answer without a length", () => {
  test.each<readonly [string, Partial<UnframedAnswer>, string | undefined]>([
    ["nothing speaks against it", {}, undefined],
    ["nothing of the answer came", { hasContent: false }, "empty"],
    ["the server's time is up", { remainingMilliseconds: 1 }, "time_limit"],
    [
      "an earlier run there was to stop",
      { mayHaveBeenStopped: true },
      "stopped",
    ],
  ])("is judged if %s", (_name, answer, doubt) => {
    expect(doubtAbout({ ...REGULAR, ...answer })).toBe(doubt);
  });
});
