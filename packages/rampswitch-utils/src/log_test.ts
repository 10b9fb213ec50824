// Copyright 2026 the rampswitch authors. Apache-2.0 license.

// Guards against unbounded memory when the reader of the log stalls: without a
// bound, standard error's buffer held 20.8 MB after 51,800 lines in 4.5 s. Lines
// over the bound are dropped, and a line with their number precedes the next line.

import { describe, expect, test } from "@jest/globals";
import { createLogger, type LineOutput } from "./log.ts";

/** An output that buffers all lines until {@link readAll} is called. */
class StalledOutput implements LineOutput {
  readonly lines: string[] = [];
  writableLength = 0;

  write(line: string): void {
    this.lines.push(line);
    this.writableLength += line.length;
  }

  readAll(): void {
    this.lines.length = 0;
    this.writableLength = 0;
  }
}

/** Number of lines of 100 characters each; far more than the log buffers. */
const LINE_COUNT = 50_000;

/** Upper limit for what the log may buffer, in characters; above its own bound. */
const MAXIMUM_BUFFERED_CHARACTERS = 2 * 1024 * 1024;

describe("a log whose reader has stalled", () => {
  test("limits what it buffers and reports the number of dropped lines", () => {
    const output = new StalledOutput();
    const logger = createLogger("info", { host: "entry-1" }, output);
    const write = () => logger.info("line", { filler: "x".repeat(100) });
    Array.from({ length: LINE_COUNT }).forEach(write);
    expect(output.writableLength).toBeLessThan(MAXIMUM_BUFFERED_CHARACTERS);
    const written = output.lines.length;
    output.readAll();
    write();
    expect(output.lines).toHaveLength(2);
    expect(JSON.parse(output.lines[0] ?? "")).toMatchObject({
      level: "warn",
      message: "log lines dropped",
      host: "entry-1",
      lines: LINE_COUNT - written,
    });
    expect(output.lines[1]).toContain("filler");
  });

  test("drops no lines while its reader keeps up", () => {
    const output = new StalledOutput();
    const logger = createLogger("info", {}, output);
    const seen = Array.from({ length: 100 }, (_, index) => {
      logger.info("line", { index });
      const [line = ""] = output.lines;
      output.readAll();
      return (JSON.parse(line) as { readonly index: number }).index;
    });
    expect(seen).toEqual(Array.from({ length: 100 }, (_, index) => index));
  });
});
