// Copyright 2026 the rampswitch authors. Apache-2.0 license.

import { expect, test } from "@jest/globals";
import fc from "fast-check";
import type { BackendServer } from "../model/backend_server.ts";
import { ServerDirectory } from "./server_directory.ts";
import { workWithout } from "./work_without.ts";
import { backendServerStandin } from "../model/backend_server_standin.ts";

// A relay sends its members one digest with the work of all hosts. A member that
// subtracts too little counts its own requests twice and refuses requests that servers
// could take; one that subtracts too much overloads them.

const BORN = 1_796_169_600_123;
const IDS = ["s0", "s1", "s2"];

const entryOf = (id: string, born: number): BackendServer =>
  backendServerStandin({ id, reclaimable: false, born });

const work = fc.dictionary(
  fc.constantFrom(...IDS),
  fc.record({
    running: fc.integer({ min: 1, max: 9 }),
    pendingPrefillTokens: fc.nat(9_000),
    born: fc.constantFrom(BORN, BORN + 1),
  }),
);

test("subtracting a host's work gives the work that excludes the host", () => {
  fc.assert(
    fc.property(work, work, (own, other) => {
      const directory = new ServerDirectory();
      IDS.forEach((id) => directory.put(entryOf(id, BORN), 0));
      directory.receivePeerWork("own", own, 0);
      directory.receivePeerWork("other", other, 0);
      const all = directory.workExcept(undefined, 1);
      expect(workWithout(all, own)).toEqual(directory.workExcept("own", 1));
    }),
  );
});
