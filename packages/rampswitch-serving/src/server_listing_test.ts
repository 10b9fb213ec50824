// Copyright 2026 the rampswitch authors. Apache-2.0 license.

// Guards against an entry of a former incarnation, as of a store that came back from a
// copy, which makes the version of a stream certain that can't be told.

import { expect, test } from "@jest/globals";
import { ManualClock, SILENT_LOGGER } from "rampswitch-utils";
import { ServerListing, type ServerListingParts } from "./server_listing.ts";
import type { EntryOutcome } from "./choice/mod.ts";
import type { BackendServer } from "./model/backend_server.ts";
import { ServingMetrics } from "./observation/mod.ts";

test.each([
  ["listed", true],
  ["former_life", false],
  ["without_life", false],
] as const)(
  "an entry that is %s counts for the versions of streams: %s",
  (kind, counts) => {
    const versions: string[] = [];
    const entry = { id: "s1", version: "v1", born: 1 } as BackendServer;
    const listing = new ServerListing({
      clock: new ManualClock(0),
      logger: SILENT_LOGGER,
      metrics: new ServingMetrics(),
      directory: { put: () => ({ kind, known: { entry } }) as EntryOutcome },
      rollouts: { listed: () => undefined },
      streams: {
        listed: ({ version }: BackendServer) => versions.push(version),
      },
    } as unknown as ServerListingParts);
    listing.changed(entry);
    expect(versions).toEqual(counts ? ["v1"] : []);
  },
);
