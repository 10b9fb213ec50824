// Another writer leaves an entry among those of the servers whose content is of
// another type: lists within lists.

import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { keptConnection, send } from "../common/client.mjs";
import { HAS_TROUBLE, runCase } from "../common/deployment.mjs";
import { CaseRecord } from "../common/record.mjs";
import { Server } from "../common/server.mjs";

const HOSTS = 3;
const SERVERS = 4;
const CLIENTS = 24;

/** Deadline of the requests, and the time-out of their route. */
const DEADLINE_MILLISECONDS = 1_500;
const WORK_MILLISECONDS = 100;

/** Pause of a client after an answer, and after a connection that failed. */
const PAUSE_MILLISECONDS = { answered: 20, failed: 200 };

/** Time before the entry, and from its removal to the end. */
const CALM_MILLISECONDS = { before: 2_000, after: 6_000 };

/** An entry that nobody renews goes after three heartbeats. */
const ENTRY_MILLISECONDS = 3 * 1_200;

/** Lists within each other; the entry has 20,000 bytes. */
const DEPTH = 10_000;

/** The rule allows three connections that are closed so. */
const ALLOWED_CLOSES = 3;

const record = new CaseRecord();

function newServer(_, index) {
  const zone = index % 2 === 0 ? "a" : "b";
  const server = new Server(`p-${index}`, { service: "counter", zone, record });
  server.workMilliseconds = WORK_MILLISECONDS;
  return server;
}

/** Sends one request after the other on a kept connection, until told to end. */
async function sendRepeatedly(host, state) {
  const seen = [];
  const agent = keptConnection();
  while (!state.ended) {
    const deadline = DEADLINE_MILLISECONDS;
    const one = await send(host, "/fetch/f", { deadline, record, agent });
    seen.push(one);
    const { answered, failed } = PAUSE_MILLISECONDS;
    await sleep(one.status === undefined ? failed : answered);
  }
  agent.destroy();
  return seen;
}

async function leaveEntry({ store }) {
  const bytes = "[".repeat(DEPTH) + "]".repeat(DEPTH);
  store.writeBytes("servers", "other", { bytes, part: "spec" });
  record.add("another writer", "writes an entry", { bytes: bytes.length });
  await sleep(ENTRY_MILLISECONDS);
  store.remove("servers", "other");
  record.add("store", "the entry goes");
}

async function play(deployment) {
  const servers = Array.from({ length: SERVERS }, newServer);
  await deployment.start({ servers, hosts: HOSTS });
  const { hosts } = deployment;
  const state = { ended: false };
  const clients = Array.from({ length: CLIENTS }, (_, index) =>
    sendRepeatedly(hosts[index % HOSTS], state),
  );
  await sleep(CALM_MILLISECONDS.before);
  const from = record.now();
  if (HAS_TROUBLE) await leaveEntry(deployment);
  else await sleep(ENTRY_MILLISECONDS);
  const until = record.now();
  await sleep(CALM_MILLISECONDS.after);
  state.ended = true;
  const seen = (await Promise.all(clients)).flat();
  const passedOn = new Set(
    servers.flatMap(({ runs }) => runs.map(({ attempt }) => attempt)),
  );
  const closed = seen.filter(
    ({ status, attempt }) => status === undefined && passedOn.has(attempt),
  );
  const servedBetween = (start, end) =>
    seen.filter(
      ({ status, endedAt }) =>
        status === 200 && endedAt >= start && endedAt < end,
    ).length;
  record.add("case", "requests", {
    sent: seen.length,
    servedBefore: servedBetween(0, from),
    servedWhileTheEntryStands: servedBetween(from, until),
    servedAfter: servedBetween(until, Infinity),
    closedWithoutAnswerThoughPassedOn: closed.length,
  });
  record.add("case", "processes that ended by themselves", {
    byHost: hosts.map(({ ends }) => ends).join(","),
  });
  const isBroken = closed.length > ALLOWED_CLOSES;
  if (isBroken) record.add("case", "LOST is broken");
  return !isBroken;
}

await runCase(record, fileURLToPath(new URL("./", import.meta.url)), play);
