// Copyright 2026 the rampswitch authors. Apache-2.0 license.

import { describe, expect, test } from "@jest/globals";
import { rendezvousOrder, seededRandom } from "rampswitch-utils";
import { homeServer } from "./home_server.ts";
import { ServerRecord } from "./server_record.ts";
import { backendServerStandin } from "../model/backend_server_standin.ts";

function server(id: string): ServerRecord {
  return new ServerRecord(backendServerStandin({ id }));
}

describe("the home server of a prompt", () => {
  // Hosts of both versions must prefer the same server, whichever servers they
  // compared for the same part before.
  test("has the highest score among any servers, for more parts than are retained", () => {
    const random = seededRandom(3);
    const servers = Array.from({ length: 40 }, (_, at) => server(`s${at}`));
    Array.from({ length: 500 }).forEach(() => {
      const shared = `part-${random.below(150)}`;
      const some = servers.filter(() => random.next() < 0.3);
      const ids = some.map(({ entry }) => entry.id);
      expect(homeServer(some, shared)).toBe(rendezvousOrder(shared, ids)[0]);
    });
  });

  test("is none for a prompt that shares no part", () => {
    expect(homeServer([server("s1")], undefined)).toBeUndefined();
  });
});
