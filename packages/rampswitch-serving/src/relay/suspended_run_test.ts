// Copyright 2026 the rampswitch authors. Apache-2.0 license.

import { describe, expect, test } from "@jest/globals";
import type { Choice } from "../choice/mod.ts";
import { ServerRecord } from "../choice/mod.ts";
import { SuspendedRun } from "./suspended_run.ts";
import { backendServerStandin } from "../model/backend_server_standin.ts";

function choiceOf(id: string): Choice {
  return {
    record: new ServerRecord(backendServerStandin({ id, service: "model" })),
    predictedMilliseconds: 0,
    workMilliseconds: 0,
    slowdown: 1,
    cachedTokens: 0,
    copyFrom: undefined,
    load: 0,
  };
}

const COPY = choiceOf("copy");
const SOURCE = choiceOf("source");
const MEMORY = { address: "127.0.0.1:1", handle: "h" };

const always = () => true;

/** Ids of the servers of all remaining tries, in order. */
function remainingServers(suspended: SuspendedRun): readonly string[] {
  const next = suspended.next(always);
  return next === undefined
    ? []
    : [next.choice.record.entry.id, ...remainingServers(suspended)];
}

describe("a suspended run resumes", () => {
  test("mostly at the server with the copy, sometimes at the one that stopped it", () => {
    const suspended = new SuspendedRun(MEMORY, { copy: COPY, source: SOURCE });
    expect(remainingServers(suspended)).toEqual([
      "copy",
      "copy",
      "source",
      "copy",
      "copy",
      "source",
    ]);
  });

  test("at the server that stopped it, if no server received a copy", () => {
    const suspended = new SuspendedRun(MEMORY, {
      copy: undefined,
      source: SOURCE,
    });
    expect(new Set(remainingServers(suspended))).toEqual(new Set(["source"]));
  });

  test("never again at a server where the memory can't be used any more", () => {
    const suspended = new SuspendedRun(MEMORY, { copy: COPY, source: SOURCE });
    suspended.next(always);
    suspended.markUnreachable(COPY);
    expect(new Set(remainingServers(suspended))).toEqual(new Set(["source"]));
    const lost = new SuspendedRun(MEMORY, { copy: COPY, source: SOURCE });
    lost.markUnreachable(COPY);
    lost.markUnreachable(SOURCE);
    expect(lost.next(always)).toBeUndefined();
    expect(lost.exhausted).toBe(false);
  });

  test("never at a server that accepts no more sends", () => {
    const suspended = new SuspendedRun(MEMORY, { copy: COPY, source: SOURCE });
    const locations = Array.from({ length: 6 }, () =>
      suspended.next((choice) => choice !== SOURCE),
    ).map((next) => next?.choice);
    expect(new Set(locations)).toEqual(new Set([COPY]));
    expect(suspended.exhausted).toBe(true);
  });

  test("without a pause at first, then after growing pauses", () => {
    const suspended = new SuspendedRun(MEMORY, { copy: COPY, source: SOURCE });
    const waits = Array.from({ length: 6 }, () => suspended.next(always)).map(
      (next) => next?.waitMilliseconds ?? -1,
    );
    expect(waits[0]).toBe(0);
    expect(waits).toEqual(waits.toSorted((left, right) => left - right));
  });
});
