// Copyright 2026 the rampswitch authors. Apache-2.0 license.

import { describe, expect, test } from "@jest/globals";
import type { BackendServer } from "../model/backend_server.ts";
import { ServerDirectory } from "./server_directory.ts";

const ENTRY: BackendServer = {
  id: "s",
  born: 1_000,
  service: "models",
  address: "127.0.0.1:9000",
  dataHall: "a",
  slots: 8,
  state: "ready",
  reclaimable: false,
};

describe("a server whose entry can't be read", () => {
  test("is no server of its service, and is no reason to move runs", () => {
    const directory = new ServerDirectory();
    const left: string[] = [];
    directory.onLeaving(({ entry }) => left.push(entry.id));
    directory.put(ENTRY, 0);
    const record = directory.get("s");
    record?.started(100);
    directory.unreadable("s");
    expect(directory.of("models")).toEqual([]);
    expect(record?.isReady).toBe(false);
    expect(record?.answersFor(0)).toBe(false);
    // What runs there is still to be carried by someone.
    expect(directory.load("models", 0)).toBe(1);
    expect(left).toEqual([]);
    directory.remove("s", 0);
    expect(left).toEqual(["s"]);
  });

  test("is what it was once the entry is good again", () => {
    const directory = new ServerDirectory();
    directory.put(ENTRY, 0);
    const record = directory.get("s");
    record?.failed(0, { surelyDown: false });
    const share = record?.failureShare;
    directory.unreadable("s");
    directory.put(ENTRY, 10);
    expect(directory.of("models")).toEqual([record]);
    expect(record?.isReady).toBe(true);
    expect(record?.failureShare).toBe(share);
  });

  test("that nobody knew is nothing to know", () => {
    const directory = new ServerDirectory();
    directory.unreadable("s");
    expect(directory.size).toBe(0);
    directory.put(ENTRY, 0);
    expect(directory.of("models").length).toBe(1);
  });
});

describe("a server whose entry names another service", () => {
  test("leaves the former one", () => {
    const directory = new ServerDirectory();
    directory.put(ENTRY, 0);
    directory.put({ ...ENTRY, service: "others" }, 0);
    expect(directory.of("models")).toEqual([]);
    expect(directory.of("others").length).toBe(1);
  });
});
