// Copyright 2026 the rampswitch authors. Apache-2.0 license.

import { describe, expect, test } from "@jest/globals";
import { SILENT_LOGGER } from "rampswitch-utils";
import { ServerRecord } from "../choice/mod.ts";
import type { ServerStatements } from "../model/request.ts";
import { ServingMetrics } from "../observation/mod.ts";
import { StatementReader } from "./server_advertisements.ts";
import { SAYS_NOTHING } from "./statements_standin.ts";

const RECORD = new ServerRecord({
  id: "s1",
  born: 1_000,
  service: "models",
  address: "127.0.0.1:1",
  dataHall: "a",
  version: "v1",
  slots: 4,
  state: "ready",
  reclaimable: false,
});

function reading() {
  const lines: string[] = [];
  const taken: (readonly [string, unknown])[] = [];
  const reader = new StatementReader({
    logger: {
      ...SILENT_LOGGER,
      info: (message, { text } = {}) =>
        lines.push(`${message}: ${String(text)}`),
    },
    metrics: new ServingMetrics(),
    handlers: {
      limit: {
        holdsLate: false,
        take: (_, value) => taken.push(["limit", value]),
      },
      leaving: {
        holdsLate: true,
        take: (_, value) => taken.push(["leaving", value]),
      },
      rest: {
        holdsLate: false,
        take: (_, value) => {
          if (value !== undefined) taken.push(["rest", value]);
        },
      },
    },
  });
  return { reader, lines, taken };
}

function saying(says: Partial<ServerStatements>): ServerStatements {
  return { ...SAYS_NOTHING, ...says };
}

describe("what an answer says of its server", () => {
  test("goes to whoever takes it in, also that it says nothing", () => {
    const { reader, taken } = reading();
    reader.read(RECORD, saying({ limit: { kind: "said", value: 2 } }));
    expect(taken).toEqual([
      ["limit", 2],
      ["leaving", undefined],
    ]);
  });

  test("changes nothing where it can't be read, and is told once", () => {
    const { reader, taken, lines } = reading();
    const says = saying({ limit: { kind: "unreadable", text: "-1" } });
    reader.read(RECORD, says);
    reader.read(RECORD, says);
    expect(taken.filter(([name]) => name === "limit")).toEqual([]);
    expect(lines).toEqual(["server limit can't be read: -1"]);
  });

  test("holds of an earlier request's answer as far as it is final", () => {
    const { reader, taken } = reading();
    const says = saying({
      limit: { kind: "said", value: 2 },
      leaving: { kind: "said", value: true },
    });
    reader.read(RECORD, says, { isLate: true });
    expect(taken).toEqual([["leaving", true]]);
  });
});
