// Copyright 2026 the rampswitch authors. Apache-2.0 license.

// Guards against a gap that is taken as filled by an object which another host wrote
// before the gap, when nobody who saw the version in between had written since.

import { afterEach, describe, expect, test } from "@jest/globals";
import {
  ManualClock,
  Ownership,
  seededRandom,
  SILENT_LOGGER,
} from "rampswitch-utils";
import type { ObjectStore } from "rampswitch-store";
import { ServingMetrics } from "../observation/mod.ts";
import { createStreams } from "../host_streams.ts";
import { NO_STREAM_REPLIES } from "./stream_reply.ts";
import { ObjectStoreStandin } from "./object_store_standin.ts";

const SERVICE = "models";
const STREAM = { service: SERVICE, attempt: "a1" };

let ownership = new Ownership();

afterEach(async () => {
  await ownership[Symbol.asyncDispose]();
  ownership = new Ownership();
});

async function startHost(
  store: ObjectStoreStandin,
  host: string,
  holdsDuties: boolean,
) {
  const clock = new ManualClock(0);
  const { origins } = createStreams(
    {
      clock,
      host,
      store: store as unknown as ObjectStore,
      streamsPrefix: "streams/",
      random: seededRandom(1),
      logger: SILENT_LOGGER,
      metrics: new ServingMetrics(),
      confirmList: () => Promise.resolve(true),
      isStoreAway: () => false,
      serverList: () => ({
        version: 21,
        newestHeard: 4,
        currentAt: clock.now(),
        confirmedAt: 0,
      }),
      areHostsListed: () => true,
      tell: () => undefined,
      query: () => Promise.resolve(NO_STREAM_REPLIES),
      holdsDuties: () => holdsDuties,
      hostCount: () => 2,
      storeWritesPerSecond: () => 400,
    },
    ownership,
  );
  origins.listed({ id: "s-v1", service: SERVICE, version: "v1" });
  await pass(clock, 400);
  return { clock, origins };
}

async function pass(clock: ManualClock, milliseconds: number): Promise<void> {
  const end = clock.now() + milliseconds;
  while (clock.now() < end) {
    clock.advance(Math.min(50, end - clock.now()));
    await new Promise((resolve) => setImmediate(resolve));
  }
}

describe("a host that missed changes of the list", () => {
  test("takes no version from an object written before they were missed", async () => {
    const store = new ObjectStoreStandin();
    const writer = await startHost(store, "h1", true);
    const reader = await startHost(store, "h2", false);
    await pass(reader.clock, 5_000);
    // v2 comes, serves and goes, unseen by both; nothing is written meanwhile.
    [writer, reader].forEach(({ origins }) => origins.missedChanges());
    expect(reader.origins.replyTo(STREAM).kind).toBe("single_since_gap");
    expect((await reader.origins.find(STREAM)).kind).toBe("unknown");
    expect(reader.origins.replyTo(STREAM).kind).toBe("single_since_gap");
  });
});
