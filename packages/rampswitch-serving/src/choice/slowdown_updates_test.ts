// Copyright 2026 the rampswitch authors. Apache-2.0 license.

import { describe, expect, test } from "@jest/globals";
import { ServerDirectory } from "./server_directory.ts";
import type { ServerRecord } from "./server_record.ts";
import {
  maximumSlowdown,
  ownSlowdowns,
  receiveSlowdowns,
  slowdownsByAll,
} from "./slowdown_updates.ts";
import { backendServerStandin } from "../model/backend_server_standin.ts";

const NOW = 10_000;
const RELAY = { from: "(fleet)", relayed: true };

function directoryOf(ids: readonly string[], born?: number): ServerDirectory {
  const directory = new ServerDirectory();
  ids.forEach((id) => put(directory, id, born));
  return directory;
}

function put(directory: ServerDirectory, id: string, born?: number): void {
  directory.put(backendServerStandin({ id, born }), NOW);
}

function answer(record: ServerRecord | undefined, ratio: number): void {
  for (let count = 0; count < 20; count += 1)
    record?.speed.observed(ratio, NOW);
}

describe("slowdowns that a host reports", () => {
  test("are those of servers whose answers took another time than usual", () => {
    const directory = directoryOf(["s1", "s2", "s3"], 7);
    answer(directory.get("s1"), 2.5);
    answer(directory.get("s2"), 1.1);
    expect(ownSlowdowns(directory.all(), NOW)).toEqual([
      { id: "s1", born: 7, slowdown: expect.closeTo(2.5, 1), hosts: 1 },
    ]);
    expect(maximumSlowdown(directory.all(), NOW)).toBeCloseTo(2.5, 1);
  });

  test("are at most 32, the greatest ones first", () => {
    const ids = Array.from({ length: 50 }, (_, index) => `s${index}`);
    const directory = directoryOf(ids);
    ids.forEach((id, index) => answer(directory.get(id), 1.5 + index / 10));
    const reported = ownSlowdowns(directory.all(), NOW);
    expect(reported).toHaveLength(32);
    expect(reported[0]?.id).toBe("s49");
  });

  test("of a relay are the medians of its members' values", () => {
    const directory = directoryOf(["s1"], 7);
    [2, 2.5, 8].forEach((slowdown, index) =>
      receiveSlowdowns([{ id: "s1", born: 7, slowdown, hosts: 1 }], NOW, {
        directory,
        source: { from: `h${index}`, relayed: false },
      }),
    );
    expect(slowdownsByAll(directory.all(), NOW)).toEqual([
      { id: "s1", born: 7, slowdown: 2.5, hosts: 3 },
    ]);
  });
});

describe("slowdowns that a host receives", () => {
  function slowdownAfter(update: {
    readonly id?: string;
    readonly born?: number | undefined;
  }): number {
    const directory = directoryOf(["s1", "s2"], 7);
    const one = { id: "s1", born: 7, slowdown: 2.5, hosts: 3, ...update };
    receiveSlowdowns([one], NOW, { directory, source: RELAY });
    expect(directory.get("s2")?.speed.slowdown(NOW)).toBe(1);
    return directory.get("s1")?.speed.slowdown(NOW) ?? 0;
  }

  test("apply to the named incarnation", () => {
    expect(slowdownAfter({})).toBeCloseTo(2.5);
  });

  test("of another incarnation or server have no effect", () => {
    expect(slowdownAfter({ born: 6 })).toBe(1);
    expect(slowdownAfter({ born: undefined })).toBe(2.5);
    expect(slowdownAfter({ id: "unknown" })).toBe(1);
  });

  test("do not apply to a server that started again", () => {
    const directory = directoryOf(["s1"], 7);
    directory.get("s1")?.speed.reported(250, NOW);
    answer(directory.get("s1"), 2.5);
    put(directory, "s1", 8);
    const update = { id: "s1", slowdown: 2.5, hosts: 3 };
    [7, undefined].forEach((born) =>
      receiveSlowdowns([{ ...update, born }], NOW, {
        directory,
        source: RELAY,
      }),
    );
    expect(directory.get("s1")?.speed.slowdown(NOW)).toBe(1);
  });
});
