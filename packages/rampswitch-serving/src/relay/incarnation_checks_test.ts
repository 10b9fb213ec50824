// Copyright 2026 the rampswitch authors. Apache-2.0 license.

import { setImmediate } from "node:timers/promises";
import { expect, test } from "@jest/globals";
import { ManualClock, SILENT_LOGGER } from "rampswitch-utils";
import {
  ignoringAdvertisementReader,
  NOTHING_ADVERTISED,
} from "../advertisements/advertisements_standin.ts";
import { ServerRecord } from "../choice/mod.ts";
import type { ServerIncarnation } from "../model/backend_server.ts";
import { backendServerStandin } from "../model/backend_server_standin.ts";
import type { Service } from "../model/configuration.ts";
import type { EngineControl } from "../model/engine_control.ts";
import { IncarnationChecks } from "./incarnation_checks.ts";

const SERVICE = { engine: {} } as Service;

/** A listed incarnation, by its start and version. */
const listed = (born: number, version = "v1") =>
  new ServerRecord(backendServerStandin({ born, version }));

// Guards against a lost server whose streams count as begun by the listed version, although
// it was back as another one, and against refusals where nothing tells of another one.
test.each([
  { name: "the listed one answers", starts: [1], calls: 1, is: true },
  { name: "another one answers", starts: [2], calls: 1, is: false },
  {
    name: "another one answers, listed later with the same version",
    starts: [2],
    now: listed(2),
    calls: 1,
    is: true,
  },
  {
    name: "another one answers, listed later with another version",
    starts: [2],
    now: listed(2, "v2"),
    calls: 1,
    is: false,
  },
  { name: "nobody answers", starts: [], calls: 2, is: false },
  {
    name: "the listed one answers late",
    starts: [undefined, 1],
    calls: 2,
    is: true,
  },
  {
    name: "another one answers after the contact",
    isUnbroken: false,
    starts: [2],
    calls: 2,
    is: false,
  },
  {
    name: "it is not asked where it wasn't lost",
    lostAt: -Infinity,
    starts: [2],
    calls: 0,
    is: true,
  },
  {
    name: "it is not asked where the loss ended the contact",
    lostAt: 1,
    starts: [2],
    calls: 0,
    is: true,
  },
  {
    name: "another one answers after other hosts told of the loss late",
    lostAt: -Infinity,
    toldOf: 0,
    starts: [2],
    calls: 1,
    is: false,
  },
  {
    name: "another one answers, whose former end others noticed late",
    lostAt: -Infinity,
    toldOf: 1,
    starts: [2],
    calls: 1,
    is: false,
  },
])(
  "a stream that began at a server that had been lost: $name",
  async ({
    starts,
    now = listed(1),
    calls,
    is,
    lostAt = 0,
    toldOf,
    isUnbroken = true,
  }) => {
    const answers: (number | undefined)[] = [...starts];
    let asked = 0;
    const report = () => {
      asked += 1;
      const born = answers.shift();
      const advertised = NOTHING_ADVERTISED;
      const told = { born, endsInMilliseconds: undefined, advertised };
      return Promise.resolve(born === undefined ? undefined : told);
    };
    const clock = new ManualClock();
    const marked: unknown[] = [];
    const lost = {
      at: lostAt,
      told: (_: ServerIncarnation) => undefined as void,
    };
    const checks = new IncarnationChecks({
      clock,
      logger: SILENT_LOGGER,
      engineControl: { report } as unknown as EngineControl,
      advertisements: ignoringAdvertisementReader(),
      lostServers: {
        lostAt: () => lost.at,
        onReported: (listener) => {
          lost.told = listener;
        },
      },
      streams: {
        begunByStart: (server, begun) => marked.push({ server, ...begun }),
      },
    });
    const stream = { service: SERVICE, contact: { isUnbroken } };
    const record = listed(1);
    const begins = [0, 1].map(() => checks.began(record, stream));
    clock.advance(1);
    if (toldOf !== undefined) {
      lost.at = toldOf;
      lost.told(record.entry);
      await setImmediate();
    }
    const verdicts = begins.map(
      async (begin) =>
        begin &&
        ((checks.isConfirmed(begin) &&
          checks.otherStart(begin) === undefined) ||
          (await checks.isOfListedVersion(begin, () => now))),
    );
    expect(await Promise.all(verdicts)).toEqual([is, is]);
    expect(asked).toBe(calls);
    // Streams of another incarnation are told and stored so at once.
    const isOther = isUnbroken && calls === 1 && starts[0] === 2;
    const noted = [{ server: record.incarnation, start: 2, since: 0 }];
    expect(marked).toEqual(isOther ? noted : []);
  },
);

// Guards against a call for each stream that begins at a server which serves, but whose
// report isn't answered, for as long as the host has a connection to it.
test("a server that doesn't tell its start is asked once in a contact, whatever begins there", async () => {
  let asked = 0;
  const checks = new IncarnationChecks({
    clock: new ManualClock(),
    logger: SILENT_LOGGER,
    engineControl: {
      report: () => {
        asked += 1;
        return Promise.resolve(undefined);
      },
    } as unknown as EngineControl,
    advertisements: ignoringAdvertisementReader(),
    lostServers: { lostAt: () => 0, onReported: () => undefined },
    streams: { begunByStart: () => undefined },
  });
  const contact = { isUnbroken: true };
  const record = listed(1);
  for (let stream = 0; stream < 20; stream += 1) {
    checks.began(record, { service: SERVICE, contact });
    await setImmediate();
  }
  expect(asked).toBe(1);
});
