// Copyright 2026 the rampswitch authors. Apache-2.0 license.

import { describe, expect, test } from "@jest/globals";
import { ManualClock, SILENT_LOGGER } from "rampswitch-utils";
import { ServerRecord } from "../choice/mod.ts";
import type { CallerServer } from "../intake/caller_server.ts";
import type { BackendServer } from "../model/backend_server.ts";
import type { EngineControl, EngineReport } from "../model/engine_control.ts";
import { LeavingServers } from "./leaving_servers.ts";
import {
  NOTHING_ADVERTISED,
  ignoringAdvertisementReader,
} from "../advertisements/advertisements_standin.ts";
import { backendServerStandin } from "../model/backend_server_standin.ts";

// A server's entry is removed when it leaves, and also when the store could not be
// reached for some heartbeats. These tests guard against migrations that ignore what
// happens in the meantime: from servers whose entries are back, and at a time that
// was computed from the report of a later incarnation of the server.

const ENTRY: BackendServer = backendServerStandin({
  born: 1_000,
  state: "leaving",
});

/** Time for which a leaving server still serves, in milliseconds. */
const DRAIN_MILLISECONDS = 5_000;

/** Runs are migrated this long before the end, in milliseconds. */
const BEFORE_END_MILLISECONDS = 1_200;

/** Maximum age of a report, in milliseconds. */
const LAG_MILLISECONDS = 400;

/** Resolves once all pending answers were handled. */
async function settled(): Promise<void> {
  for (let turn = 0; turn < 10; turn += 1) await Promise.resolve();
}

/** A leaving server with one run; `migrations` counts how often that is migrated. */
async function leaving(report: EngineReport) {
  const clock = new ManualClock();
  const record = new ServerRecord(ENTRY);
  let migrations = 0;
  const run = {
    server: record,
    migratable: true,
    startMigration: () => {
      migrations += 1;
      return Promise.resolve();
    },
  };
  const servers = new LeavingServers(
    { runs: [run] } as unknown as CallerServer,
    {
      clock,
      logger: SILENT_LOGGER,
      advertisements: ignoringAdvertisementReader(),
      drainMilliseconds: DRAIN_MILLISECONDS,
      engineControl: {
        report: () => Promise.resolve(report),
      } as unknown as EngineControl,
    },
  );
  void servers.scheduleMigration(record);
  clock.advance(LAG_MILLISECONDS);
  await settled();
  return { clock, record, migrations: () => migrations };
}

const REPORT: EngineReport = {
  born: 1_000,
  endsInMilliseconds: 2_000,
  advertised: NOTHING_ADVERTISED,
};

describe("runs at a server that leaves", () => {
  test("are migrated before the end that it reports", async () => {
    const { clock, migrations } = await leaving(REPORT);
    clock.advance(2_000 - BEFORE_END_MILLISECONDS);
    expect(migrations()).toBe(1);
  });

  test("are migrated before the end of its drain time if a later incarnation reports one", async () => {
    const { clock, migrations } = await leaving({ ...REPORT, born: 2_000 });
    clock.advance(2_000 - BEFORE_END_MILLISECONDS);
    expect(migrations()).toBe(0);
    clock.advance(DRAIN_MILLISECONDS);
    expect(migrations()).toBe(1);
  });

  test("stay if its entry is back before they are migrated", async () => {
    const { clock, record, migrations } = await leaving(REPORT);
    record.entry = { ...ENTRY, state: "ready" };
    clock.advance(DRAIN_MILLISECONDS);
    expect(migrations()).toBe(0);
  });
});
