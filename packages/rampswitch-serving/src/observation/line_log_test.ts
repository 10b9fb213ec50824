// Copyright 2026 the rampswitch authors. Apache-2.0 license.

import { describe, expect, test } from "@jest/globals";
import { ManualClock } from "rampswitch-utils";
import { Result } from "true-myth";
import { LineLog } from "./line_log.ts";
import type { LineSink } from "./line_sink.ts";
import { ServingMetrics } from "./metrics.ts";

type Fields = Readonly<Record<string, unknown>>;

/** Longer than any wait between two writes, in milliseconds. */
const LONGER_THAN_ANY_WAIT_MILLISECONDS = 1_000;

function createLog() {
  const clock = new ManualClock();
  const metrics = new ServingMetrics();
  const reader = { reads: true, code: "EAGAIN", text: "" };
  const take = (bytes: Buffer) => {
    if (!reader.reads) {
      const { code } = reader;
      return Result.err(Object.assign(new Error("not taken"), { code }));
    }
    reader.text += bytes.toString("utf8");
    return Result.ok(bytes.length);
  };
  const sink: LineSink = {
    write: (bytes, done) => done(take(bytes)),
    writeSync: take,
  };
  const log = new LineLog({
    sink,
    clock,
    wallTime: () => clock.now(),
    metrics,
    fields: { host: "host-0" },
  });
  return {
    clock,
    reader,
    log,
    lines: () =>
      reader.text
        .split("\n")
        .filter(Boolean)
        .map((line) => JSON.parse(line) as Fields),
    counters: async () =>
      (await metrics.text())
        .split("\n")
        .filter((line) => line.startsWith("rampswitch_log_")),
  };
}

describe("log of a process", () => {
  test("numbers its lines, and omits fields without a value", () => {
    const { log, lines } = createLog();
    log.info("one", { server: "s1", workspace: undefined });
    log.warn("two");
    log.debug();
    expect(lines()).toEqual([
      {
        level: "info",
        message: "one",
        timestamp: "1970-01-01T00:00:00.000Z",
        host: "host-0",
        line: 1,
        server: "s1",
      },
      {
        level: "warn",
        message: "two",
        timestamp: "1970-01-01T00:00:00.000Z",
        host: "host-0",
        line: 2,
      },
    ]);
  });

  test("reports how many lines were lost, since when and why, in a line and in counters", async () => {
    const { clock, reader, log, lines, counters } = createLog();
    reader.reads = false;
    clock.advance(5);
    const path = "x".repeat(1_000);
    Array.from({ length: 1_000 }).forEach(() =>
      log.info("request refused", { path }),
    );
    log.info("request ended", { request: "r1" });
    reader.reads = true;
    clock.advance(LONGER_THAN_ANY_WAIT_MILLISECONDS);
    const [ended, notice] = lines().slice(-2);
    expect(ended).toMatchObject({ request: "r1", line: 1_001 });
    const lost =
      1_000 - lines().filter(({ path: loggedPath }) => loggedPath).length;
    expect(lost).toBeGreaterThan(0);
    expect(notice).toMatchObject({
      level: "warn",
      message: "log lines dropped",
      line: 1_002,
      reason: "no_room",
      lines: lost,
      total: lost,
      since: "1970-01-01T00:00:00.005Z",
    });
    expect(await counters()).toEqual([
      `rampswitch_log_lines_dropped_total{reason="no_room"} ${lost}`,
      `rampswitch_log_bytes_dropped_total{reason="no_room"} ${String(notice?.bytes)}`,
    ]);
  });

  test("reports a loss once", () => {
    const { clock, reader, log, lines } = createLog();
    reader.reads = false;
    const path = "x".repeat(100_000);
    [1, 2, 3].forEach(() => log.info("request refused", { path }));
    reader.reads = true;
    clock.advance(LONGER_THAN_ANY_WAIT_MILLISECONDS);
    log.info("later");
    clock.advance(LONGER_THAN_ANY_WAIT_MILLISECONDS);
    expect(lines().map(({ message }) => message)).toEqual([
      "request refused",
      "request refused",
      "log lines dropped",
      "later",
    ]);
  });

  test("numbers its lines in the order in which they are written, also after failed writes", () => {
    const { clock, reader, log, lines } = createLog();
    reader.reads = false;
    reader.code = "EPIPE";
    Array.from({ length: 3_000 }).forEach((_, index) => {
      log.info("request ended", {
        request: `r${index}`,
        path: "x".repeat(200),
      });
      if (index % 100 === 0) clock.advance(LONGER_THAN_ANY_WAIT_MILLISECONDS);
    });
    reader.reads = true;
    clock.advance(LONGER_THAN_ANY_WAIT_MILLISECONDS);
    log.info("later");
    const numbers = lines().map(({ line }) => Number(line));
    expect(numbers).toEqual(numbers.toSorted((left, right) => left - right));
    const lost = lines().find(({ message }) => message === "log lines dropped");
    expect(lost).toMatchObject({ reason: "write_failed" });
    expect(Number(lost?.lines)).toBe(Math.max(...numbers) - numbers.length);
  });

  test("reports losses at the end of the process", () => {
    const { reader, log, lines } = createLog();
    reader.reads = false;
    const path = "x".repeat(100_000);
    [1, 2, 3].forEach(() => log.info("request refused", { path }));
    reader.reads = true;
    log.writeSync();
    expect(lines().at(-1)).toMatchObject({ message: "log lines dropped" });
  });
});
