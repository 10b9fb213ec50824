// Streams without a length at model servers that are taken back. The host has such
// a stream stopped so that it goes on elsewhere.

import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { send } from "../common/client.mjs";
import { HAS_TROUBLE, runCase } from "../common/deployment.mjs";
import { CaseRecord } from "../common/record.mjs";
import { Server } from "../common/server.mjs";

const HOSTS = 3;
const STREAMS = 120;
const EVENTS = 60;
const DEADLINE_MILLISECONDS = 15_000;

/** One in so many streams of a server has no length. */
const UNFRAMED_EVERY = 20;

/** Time from the notice to the end of a server that is taken back. */
const NOTICE_MILLISECONDS = 2_500;

/** Data halls of the servers; those of the last one are taken back. */
const ZONES = ["a", "a", "a", "a", "b", "b"];

const record = new CaseRecord();

function newServer(zone, index) {
  const server = new Server(`s-${index}`, { service: "reader", zone, record });
  server.events = EVENTS;
  server.isUnframed = () => server.runs.length % UNFRAMED_EVERY === 5;
  return server;
}

/** Whether a stream that looks complete ended before its last event. */
function endsEarly({ status, whole, ids }) {
  return status === 200 && whole && ids.at(-1) !== EVENTS;
}

/** Whether a stream lacks an event, or has one twice. */
function isOutOfOrder({ ids }) {
  return ids.some((id, index) => id !== index + 1);
}

async function play(deployment) {
  const servers = ZONES.map(newServer);
  await deployment.start({ servers, hosts: HOSTS });
  const streams = [];
  for (let index = 0; index < STREAMS; index += 1) {
    const host = deployment.hosts[index % HOSTS];
    const path = index % 2 === 0 ? "/question/q" : "/review/r";
    streams.push(send(host, path, { deadline: DEADLINE_MILLISECONDS, record }));
    await sleep(10);
  }
  const leaving = servers.filter(({ zone }) => zone === "b");
  const left = HAS_TROUBLE
    ? leaving.map((server) => deployment.leave(server, NOTICE_MILLISECONDS))
    : [];
  const seen = await Promise.all(streams);
  await Promise.all(left);
  const early = seen.filter(endsEarly);
  const disordered = seen.filter(isOutOfOrder);
  record.add("case", "streams", {
    sent: seen.length,
    complete: seen.filter(({ whole, ids }) => whole && ids.at(-1) === EVENTS)
      .length,
    endedEarlyAsComplete: early.length,
    outOfOrder: disordered.length,
  });
  early.forEach(({ attempt, path, ids }) =>
    record.add("case", "ORDER is broken", {
      request: attempt,
      path,
      lastEvent: ids.at(-1),
      of: EVENTS,
    }),
  );
  return early.length === 0 && disordered.length === 0;
}

await runCase(record, fileURLToPath(new URL("./", import.meta.url)), play);
