// Copyright 2026 the rampswitch authors. Apache-2.0 license.

import { describe, expect, test } from "@jest/globals";
import { ManualClock, SILENT_LOGGER } from "rampswitch-utils";
import { ServerRecord } from "../choice/mod.ts";
import type { CallerServer } from "../intake/caller_server.ts";
import type { BackendServer } from "../model/backend_server.ts";
import type { EngineControl, EngineReport } from "../model/engine_control.ts";
import { LeavingServers } from "./leaving_servers.ts";
import {
  SAYS_NOTHING,
  silentStatements,
} from "../statements/statements_standin.ts";

// A server's entry goes when it leaves, and also when the store could not be
// reached for some heartbeats. Runs were moved some time after an entry went,
// whatever came of it meanwhile: also from servers whose entries were back, and by
// the end that a later life of the server told.

const ENTRY: BackendServer = {
  id: "s1",
  born: 1_000,
  service: "models",
  address: "127.0.0.1:1",
  dataHall: "a",
  slots: 8,
  state: "leaving",
  version: "v1",
  reclaimable: true,
};

/** Time that a leaving server serves on, in milliseconds. */
const DRAIN_MILLISECONDS = 5_000;

/** Runs are moved this long before the end. */
const BEFORE_END_MILLISECONDS = 1_200;

/** Age that a report may have. */
const LAG_MILLISECONDS = 400;

/** Lets all that waits for an answer go on. */
async function settled(): Promise<void> {
  for (let turn = 0; turn < 10; turn += 1) await Promise.resolve();
}

/** A server that leaves with one run; tells how often that is moved. */
async function leaving(report: EngineReport) {
  const clock = new ManualClock();
  const record = new ServerRecord(ENTRY);
  let moves = 0;
  const run = {
    server: record,
    movable: true,
    moveAway: () => {
      moves += 1;
      return Promise.resolve();
    },
  };
  const servers = new LeavingServers(
    { runs: [run] } as unknown as CallerServer,
    {
      clock,
      logger: SILENT_LOGGER,
      statements: silentStatements(),
      drainMilliseconds: DRAIN_MILLISECONDS,
      engineControl: {
        report: () => Promise.resolve(report),
      } as unknown as EngineControl,
    },
  );
  void servers.left(record);
  clock.advance(LAG_MILLISECONDS);
  await settled();
  return { clock, record, moves: () => moves };
}

const TOLD: EngineReport = {
  born: 1_000,
  leavesMilliseconds: 2_000,
  says: SAYS_NOTHING,
};

describe("runs at a server that leaves", () => {
  test("are moved before the end that it tells", async () => {
    const { clock, moves } = await leaving(TOLD);
    clock.advance(2_000 - BEFORE_END_MILLISECONDS);
    expect(moves()).toBe(1);
  });

  test("are moved before the end of its drain time where a later life tells one", async () => {
    const { clock, moves } = await leaving({ ...TOLD, born: 2_000 });
    clock.advance(2_000 - BEFORE_END_MILLISECONDS);
    expect(moves()).toBe(0);
    clock.advance(DRAIN_MILLISECONDS);
    expect(moves()).toBe(1);
  });

  test("stay where its entry is back before they were moved", async () => {
    const { clock, record, moves } = await leaving(TOLD);
    record.entry = { ...ENTRY, state: "ready" };
    clock.advance(DRAIN_MILLISECONDS);
    expect(moves()).toBe(0);
  });
});
