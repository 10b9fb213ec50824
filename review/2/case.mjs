// Model servers spoil answers to streams, in two ways in turn: a status line with
// wrong digits, and a head with bytes behind it that are no events. Other requests at
// the same hosts are timed. SPOILT=status or SPOILT=lines plays one of the ways alone.

import { Buffer } from "node:buffer";
import { randomBytes } from "node:crypto";
import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { send } from "../common/client.mjs";
import { HAS_TROUBLE, runCase, statusOf } from "../common/deployment.mjs";
import { CaseRecord } from "../common/record.mjs";
import { Server } from "../common/server.mjs";

const HOSTS = 3;
const MODEL_SERVERS = 4;
const PLAIN_SERVERS = 4;
const STREAM_DEADLINE_MILLISECONDS = 15_000;

/** Deadline of the plain requests, and the time-out of their route. */
const PLAIN_MILLISECONDS = 1_500;

/** Time beyond the time-out in which an answer has to come. */
const SLACK_MILLISECONDS = 500;

/** The rule speaks of eight requests or more. */
const MINIMUM_LATE = 8;

const PLAY_MILLISECONDS = 14_000;

/** Time between two questions whether a host is ready. */
const QUESTION_MILLISECONDS = 1_000;

const STREAM_INTERVAL_MILLISECONDS = 50;
const PLAIN_INTERVAL_MILLISECONDS = 50;

/** Half of the model servers spoil one in so many of their answers for a while. */
const SPOILT_EVERY = 20;
const SPOILING = { from: 2_000, to: 8_000 };

/** Size of a spoilt answer, in pieces, and the time between two of them. */
const SPOILT_PIECES = 256;
const PIECE_INTERVAL_MILLISECONDS = 2;

/** Lines of text; no empty line ends an event. */
const PIECE = Buffer.from(
  randomBytes(48 * 1024)
    .toString("base64")
    .replaceAll(/(.{76})/g, "$1\n"),
);

const record = new CaseRecord();
let playedFrom = Infinity;

/** Writes an answer whose status has wrong digits. */
function writeStatus(server, run, response) {
  const { socket } = response;
  const headers = Object.entries(server.answerHeaders(run.attempt));
  const lines = headers.map(([name, value]) => `${name}: ${value}\r\n`);
  socket.end(
    `HTTP/1.1 099 OK\r\n${lines.join("")}Content-Length: 4\r\n\r\nbody`,
  );
}

/** Writes a head, and then lines that are no events. */
async function writeLines(server, run, response) {
  response.writeHead(200, server.answerHeaders(run.attempt));
  for (let piece = 0; piece < SPOILT_PIECES; piece += 1) {
    if (response.destroyed) break;
    const isTaken = response.write(PIECE);
    if (!isTaken) await drained(response);
    await sleep(PIECE_INTERVAL_MILLISECONDS);
  }
  response.end();
}

const WAYS = { status: writeStatus, lines: writeLines };

/** The ways in which answers are spoilt, in turn. */
const PLAYED_WAYS =
  process.env["SPOILT"] === undefined
    ? Object.keys(WAYS)
    : [process.env["SPOILT"]];

let spoiltAnswers = 0;

async function writeSpoilt(server, run, response) {
  const way = PLAYED_WAYS[spoiltAnswers % PLAYED_WAYS.length];
  spoiltAnswers += 1;
  server.note("spoils its answer", { request: run.attempt, way });
  await WAYS[way](server, run, response);
  server.note("has spoilt its answer", { request: run.attempt, way });
}

function drained(response) {
  return new Promise((resolve) => {
    const done = () => {
      response.off("drain", done);
      response.off("close", done);
      resolve();
    };
    response.on("drain", done);
    response.on("close", done);
  });
}

function spoilingServer(server) {
  let counted = 0;
  server.spoils = (run, response) => {
    const at = record.now() - playedFrom;
    if (at < SPOILING.from || at >= SPOILING.to) return false;
    counted += 1;
    if (counted % SPOILT_EVERY !== 1) return false;
    void writeSpoilt(server, run, response);
    return true;
  };
}

function newServers() {
  const models = Array.from(
    { length: MODEL_SERVERS },
    (_, index) =>
      new Server(`s-${index}`, {
        service: "reader",
        zone: index % 2 === 0 ? "a" : "b",
        record,
      }),
  );
  models.forEach((server) => {
    server.events = 10;
  });
  const plain = Array.from(
    { length: PLAIN_SERVERS },
    (_, index) =>
      new Server(`p-${index}`, {
        service: "counter",
        zone: index % 2 === 0 ? "a" : "b",
        record,
      }),
  );
  if (HAS_TROUBLE) models.slice(0, MODEL_SERVERS / 2).forEach(spoilingServer);
  return [...models, ...plain];
}

/** Sends requests to the hosts in turn, until the time is over. */
async function sendInTurn(hosts, path, { deadline, interval }) {
  const sent = [];
  const endsAt = record.now() + PLAY_MILLISECONDS;
  for (let index = 0; record.now() < endsAt; index += 1) {
    sent.push(send(hosts[index % hosts.length], path, { deadline, record }));
    await sleep(interval);
  }
  return Promise.all(sent);
}

/** Asks a host each second whether it is ready, as the platform does; the misses. */
async function missedQuestions(host) {
  const endsAt = record.now() + PLAY_MILLISECONDS;
  let missed = 0;
  while (record.now() < endsAt) {
    const asked = record.now();
    const status = await statusOf(host.readiness, QUESTION_MILLISECONDS);
    if (status !== 200) {
      missed += 1;
      record.add(host.name, "is not said to be ready", { status, asked });
    }
    await sleep(Math.max(0, asked + QUESTION_MILLISECONDS - record.now()));
  }
  return missed;
}

/** Whether a request has no final answer some time after it was sent. */
function isUnanswered({ sentAt, endedAt, status }, milliseconds) {
  return status === undefined || endedAt - sentAt > milliseconds;
}

async function play(deployment) {
  await deployment.start({ servers: newServers(), hosts: HOSTS });
  const { hosts } = deployment;
  playedFrom = record.now();
  const [plain, streams, ...missed] = await Promise.all([
    sendInTurn(hosts, "/fetch/f", {
      deadline: PLAIN_MILLISECONDS,
      interval: PLAIN_INTERVAL_MILLISECONDS,
    }),
    sendInTurn(hosts, "/review/r", {
      deadline: STREAM_DEADLINE_MILLISECONDS,
      interval: STREAM_INTERVAL_MILLISECONDS,
    }),
    ...hosts.map(missedQuestions),
  ]);
  const atTimeout = plain.filter((one) =>
    isUnanswered(one, PLAIN_MILLISECONDS),
  );
  const later = atTimeout.filter((one) =>
    isUnanswered(one, PLAIN_MILLISECONDS + SLACK_MILLISECONDS),
  );
  record.add("case", "plain requests", {
    sent: plain.length,
    unansweredAtTimeout: atTimeout.length,
    unansweredHalfASecondLater: later.length,
    longest: Math.max(...plain.map(({ sentAt, endedAt }) => endedAt - sentAt)),
  });
  record.add("case", "streams", {
    sent: streams.length,
    complete: streams.filter(({ whole, status }) => whole && status === 200)
      .length,
  });
  record.add("case", "spoilt answers", { number: spoiltAnswers });
  record.add("case", "questions for readiness without a 200", {
    byHost: missed.join(","),
  });
  const isBroken =
    later.length >= MINIMUM_LATE && later.length > atTimeout.length / 2;
  if (isBroken) record.add("case", "CONFIG is broken");
  return !isBroken;
}

await runCase(record, fileURLToPath(new URL("./", import.meta.url)), play);
