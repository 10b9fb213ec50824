// Copyright 2026 the rampswitch authors. Apache-2.0 license.

import { describe, expect, test } from "@jest/globals";
import { SILENT_LOGGER } from "rampswitch-utils";
import { winstonLogger } from "./winston_logger.ts";

describe("the logger of a process", () => {
  // A host that is killed in the event-loop turn of an answer must have written its line.
  test("has written a line when the call returns, in any turn of the event loop", async () => {
    const seen: string[] = [];
    const logger = winstonLogger({
      ...SILENT_LOGGER,
      info: (message, fields) => seen.push(`${message} ${fields?.["turn"]}`),
    });
    logger.info("line", { turn: 1 });
    expect(seen).toEqual(["line 1"]);
    await new Promise(setImmediate);
    logger.info("line", { turn: 2 });
    logger.debug("line", { turn: 2 });
    expect(seen).toEqual(["line 1", "line 2"]);
  });

  test("preserves level and fields", () => {
    const seen: unknown[] = [];
    const logger = winstonLogger({
      ...SILENT_LOGGER,
      warn: (message, fields) => seen.push([message, fields]),
    });
    logger.warn("store does not answer", { age: 3 });
    // As JSON, which omits winston's symbol keys.
    expect(JSON.parse(JSON.stringify(seen))).toEqual([
      ["store does not answer", { age: 3 }],
    ]);
  });
});
