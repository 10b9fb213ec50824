// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * A rolling update of a service is at its last step, and all processes of the system
 * are killed and started again. Clients take their streams up again.
 */
import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";
import { allReady, Hosts } from "../lib-2/hosts.mjs";
import { configuration, Platform, route } from "../lib-2/platform.mjs";
import { EXIT, Record } from "../lib-2/record.mjs";
import { StreamClient } from "../lib-2/streams.mjs";

const TROUBLE = process.env.TROUBLE !== "0";
const ZONES = ["a", "b", "c"];
const STREAMS = 24;
const DEADLINE_MS = 15_000;
/** Time between two events of a stream. */
const PACE_MS = 1_200;
/** `drainMs`, and the little longer that a worker serves on. */
const DRAIN_MS = 2_000;
const LINGER_MS = 100;
/** From the entry that says "draining" to the kill, and from there to the starts. */
const KILL_MS = 1_200;
const DOWN_MS = 1_300;
/** Time between a client's tries; each one goes to the next machine. */
const RETRY_MS = 400;
/** More streams than this with events of two versions break the rule. */
const ALLOWED = 2;

const record = new Record(import.meta.url);
const platform = await Platform.start();
const { store } = platform;
const service = "models";
store.write(
  "config",
  "main",
  configuration(7, {
    routes: [
      route("stream", {
        type: "streaming",
        service,
        resumable: true,
        maxAttempts: 2,
        itlTargetMs: 1_500,
      }),
    ],
    services: [
      {
        name: service,
        healthPath: "/healthz",
        maxConns: 100,
        engine: { slots: 16, kvCapacity: 500_000, moves: false },
      },
    ],
  }),
);
const old = await platform.addWorker("i-old", {
  service,
  zone: "a",
  version: "v1",
});
await platform.addWorker("i-new-1", { service, zone: "b", version: "v2" });
await platform.addWorker("i-new-2", { service, zone: "c", version: "v2" });
platform.workers.forEach(({ worker }) => {
  worker.behaviours = ["pace"];
  worker.paceMilliseconds = PACE_MS;
});

const hosts = new Hosts(platform.addresses);
const fleet = ZONES.map((zone, index) =>
  hosts.start(`edge-${zone}-${index}`, zone, ZONES),
);
await allReady(fleet);
record.note(`ready: ${fleet.map(({ name }) => name).join(" ")}`);
// The hosts have heard of each other after some rounds.
await sleep(2_000);

const streams = Array.from(
  { length: STREAMS },
  (_, id) =>
    new StreamClient({
      id,
      hosts: fleet.map((_host, turn) => fleet[(id + turn) % fleet.length]),
      retryMs: RETRY_MS,
      deadlineMs: DEADLINE_MS,
      record,
    }),
);
const runs = streams.map((stream) => stream.run());
await sleep(1_500);

record.note("the last worker of v1 says draining");
platform.list(old, "draining");
const ended = sleep(DRAIN_MS + LINGER_MS).then(async () => {
  await platform.endWorker(old);
  record.note("the last worker of v1 has ended");
});
if (TROUBLE) {
  await sleep(KILL_MS);
  record.note("all processes are killed");
  hosts.killAll();
  await Promise.all(fleet.map((host) => host.ended));
  await sleep(DOWN_MS);
  record.note("all processes start again");
  fleet.forEach((host) => host.run());
}
await ended;
await Promise.all(runs);

platform.workers.forEach(({ worker, version }) =>
  worker.runs.forEach(({ attempt, lastEventId, lastGiven }) =>
    record.note(
      `worker ${worker.id} (${version}) ran ${attempt} after event ${lastEventId ?? 0} to event ${lastGiven}`,
    ),
  ),
);
const begun = streams.filter(({ events }) => events.length > 0);
const mixed = streams.filter(({ versions }) => versions.length > 1);
record.note(
  `${begun.length} streams began, ${streams.filter(({ finished }) => finished).length} ended whole, ${mixed.length} hold events of two versions`,
);
await hosts.end();
await platform.end();
const isPlayed = begun.length === STREAMS;
if (!isPlayed) process.exit(EXIT.notRun);
process.exit(mixed.length > ALLOWED ? EXIT.broken : EXIT.held);
