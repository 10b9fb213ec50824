// Copyright 2026 the rampswitch authors. Apache-2.0 license.

import { describe, expect, test } from "@jest/globals";
import { SILENT_LOGGER } from "rampswitch-utils";
import { ServerRecord } from "../choice/mod.ts";
import type { ServerAdvertisements } from "../model/request.ts";
import { ServingMetrics } from "../observation/mod.ts";
import { AdvertisementReader } from "./server_advertisements.ts";
import { NOTHING_ADVERTISED } from "./advertisements_standin.ts";
import { backendServerStandin } from "../model/backend_server_standin.ts";

const RECORD = new ServerRecord(
  backendServerStandin({ born: 1_000, slots: 4, reclaimable: false }),
);

function reading() {
  const lines: string[] = [];
  const taken: (readonly [string, unknown])[] = [];
  const reader = new AdvertisementReader({
    logger: {
      ...SILENT_LOGGER,
      info: (message, { text } = {}) =>
        lines.push(`${message}: ${String(text)}`),
    },
    metrics: new ServingMetrics(),
    handlers: {
      limit: {
        appliesLate: false,
        receive: (_, value) => taken.push(["limit", value]),
      },
      leaving: {
        appliesLate: true,
        receive: (_, value) => taken.push(["leaving", value]),
      },
      brittle: { appliesLate: false, receive: () => undefined },
      rest: {
        appliesLate: false,
        receive: (_, value) => {
          if (value !== undefined) taken.push(["rest", value]);
        },
      },
    },
  });
  return { reader, lines, taken };
}

function advertising(
  advertised: Partial<ServerAdvertisements>,
): ServerAdvertisements {
  return { ...NOTHING_ADVERTISED, ...advertised };
}

describe("advertised state in an answer", () => {
  test("goes to its handlers, also if the answer has none", () => {
    const { reader, taken } = reading();
    reader.read(RECORD, advertising({ limit: { kind: "said", value: 2 } }));
    expect(taken).toEqual([
      ["limit", 2],
      ["leaving", undefined],
    ]);
  });

  test("changes nothing if it can't be read, and is logged once", () => {
    const { reader, taken, lines } = reading();
    const advertised = advertising({
      limit: { kind: "unreadable", text: "-1" },
    });
    reader.read(RECORD, advertised);
    reader.read(RECORD, advertised);
    expect(taken.filter(([name]) => name === "limit")).toEqual([]);
    expect(lines).toEqual(["server limit can't be read: -1"]);
  });

  test("applies in an earlier request's answer only if it is final", () => {
    const { reader, taken } = reading();
    const advertised = advertising({
      limit: { kind: "said", value: 2 },
      leaving: { kind: "said", value: true },
    });
    reader.read(RECORD, advertised, { isLate: true });
    expect(taken).toEqual([["leaving", true]]);
  });
});
