// Model servers run requests whose answers are lost. The host has such a stream go
// on at another server while the first one still runs it.

import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { send } from "../common/client.mjs";
import { HAS_TROUBLE, runCase } from "../common/deployment.mjs";
import { CaseRecord } from "../common/record.mjs";
import { Server } from "../common/server.mjs";

const HOSTS = 3;
const SERVERS = 4;
const STREAM_INTERVAL_MILLISECONDS = 50;
const PLAY_MILLISECONDS = 9_000;
const DEADLINE_MILLISECONDS = 12_000;

/** Half of the servers lose one in so many of their answers for a while. */
const LOST_EVERY = 10;
const LOSING = { from: 2_000, to: 6_000 };

/** Time for which two servers may work on one request. */
const OVERLAP_MILLISECONDS = 400;

const record = new CaseRecord();
let playedFrom = Infinity;

function newServer(_, index) {
  const server = new Server(`s-${index}`, {
    service: "reader",
    zone: index % 2 === 0 ? "a" : "b",
    record,
  });
  // Most servers drop a request when its connection closes; the last one doesn't.
  server.dropsOnClose = index < SERVERS - 1;
  if (HAS_TROUBLE && index >= SERVERS / 2) losingServer(server);
  return server;
}

function losingServer(server) {
  let counted = 0;
  server.losesAnswer = () => {
    const at = record.now() - playedFrom;
    if (at < LOSING.from || at >= LOSING.to) return false;
    counted += 1;
    return counted % LOST_EVERY === 1;
  };
}

/** Pairs of runs of one request that overlap for longer than is allowed. */
function overlaps(servers) {
  const runs = servers.flatMap((server) =>
    server.runs.map((run) => ({ ...run, server: server.id })),
  );
  return runs.flatMap((before) =>
    runs
      .filter(
        (next) =>
          next.attempt === before.attempt &&
          next.server !== before.server &&
          next.beganAt >= before.beganAt &&
          (before.endedAt ?? Infinity) > next.beganAt + OVERLAP_MILLISECONDS,
      )
      .map((next) => ({ before, next })),
  );
}

async function play(deployment) {
  const servers = Array.from({ length: SERVERS }, newServer);
  await deployment.start({ servers, hosts: HOSTS });
  playedFrom = record.now();
  const streams = [];
  for (
    let index = 0;
    record.now() - playedFrom < PLAY_MILLISECONDS;
    index += 1
  ) {
    const host = deployment.hosts[index % HOSTS];
    const deadline = DEADLINE_MILLISECONDS;
    streams.push(send(host, "/question/q", { deadline, record }));
    await sleep(STREAM_INTERVAL_MILLISECONDS);
  }
  const seen = await Promise.all(streams);
  // Runs that nobody waits for come to their ends too.
  await sleep(DEADLINE_MILLISECONDS / 3);
  const found = overlaps(servers);
  record.add("case", "streams", {
    sent: seen.length,
    complete: seen.filter(({ whole, status }) => whole && status === 200)
      .length,
    overlaps: found.length,
  });
  found.forEach(({ before, next }) =>
    record.add("case", "TWICE is broken", {
      request: before.attempt,
      at: next.server,
      from: next.beganAt,
      stillAt: before.server,
      until: before.endedAt ?? "the end",
    }),
  );
  return found.length === 0;
}

await runCase(record, fileURLToPath(new URL("./", import.meta.url)), play);
