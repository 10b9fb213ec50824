// Copyright 2026 the rampswitch authors. Apache-2.0 license.

import { describe, expect, test } from "@jest/globals";
import { rendezvousOrder, seededRandom } from "rampswitch-utils";
import { homeServers } from "./home_server.ts";
import { ServerRecord } from "./server_record.ts";

function server(id: string): ServerRecord {
  return new ServerRecord({
    id,
    service: "models",
    address: "127.0.0.1:1",
    dataHall: "a",
    slots: 8,
    state: "ready",
    version: "v1",
    reclaimable: true,
    born: undefined,
  });
}

describe("the home servers of a prompt", () => {
  // Hosts of both versions must prefer the same server, whichever servers they
  // compared for the same part before.
  test("have the highest scores among any servers, for more parts than are retained", () => {
    const random = seededRandom(3);
    const servers = Array.from({ length: 40 }, (_, at) => server(`s${at}`));
    Array.from({ length: 500 }).forEach(() => {
      const shared = `part-${random.below(150)}`;
      const some = servers.filter(() => random.next() < 0.3);
      const ids = some.map(({ entry }) => entry.id);
      const order = rendezvousOrder(shared, ids);
      const homes = homeServers(some, shared, 3).map(({ entry }) => entry.id);
      expect(homes).toEqual(order.slice(0, 3));
      const [home] = homeServers(some, shared, 1);
      expect(home?.entry.id).toBe(order[0]);
    });
  });

  test("are none for a prompt that shares no part", () => {
    expect(homeServers([server("s1")], undefined, 1)).toEqual([]);
  });
});
