// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Callers that keep to no limits, at an entry host as a process of its own. Guards
 * against a host that holds whatever they send, or answers nobody else meanwhile.
 *
 * @module
 */
import { describe, expect, test } from "@jest/globals";
import {
  type ProcessUse,
  processUse,
  MisbehavingCallers,
  type Misbehaviour,
} from "rampswitch-standins";
import { sleep, SYSTEM_CLOCK } from "rampswitch-utils";
import { Caller } from "./caller.ts";
import type { EntryChild } from "./child.ts";
import { workspaceKey } from "./deployment_plan.ts";
import { MeasuredDeployment } from "./measured_deployment.ts";

/** Memory of the host's machine, in MB; its resident memory stays below. */
const MEMORY_MEGABYTES = 240;

/** Descriptors of the host's machine; it holds no more. */
const MAXIMUM_DESCRIPTORS = 300;

/** Bound of the host's heap, in MB. */
const HEAP_MEGABYTES = 64;

const HEADER_BYTES = 16 * 1024;
const BODY_BYTES = 1024 * 1024;

/** Time for which a crowd plays, in milliseconds. */
const PLAY_MILLISECONDS = 2_500;

/** Time after which an ordinary request counts as not answered, in milliseconds. */
const PATIENCE_MILLISECONDS = 20_000;

/** Time between tries of an ordinary request, in milliseconds. */
const RETRY_MILLISECONDS = 100;

const TEST_TIMEOUT_MILLISECONDS = 60_000;

const SHORT_REQUEST = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";

const HEAD = [
  "POST /v1/chat/completions HTTP/1.1",
  "Host: a",
  `Authorization: Bearer ${workspaceKey("landlords")}`,
  "Content-Type: application/json",
].join("\r\n");

const SHORT_LINES = "a:\r\n".repeat((HEADER_BYTES - 400) / 4);

const CHUNKED = `${HEAD}\r\nTransfer-Encoding: chunked\r\n\r\n`;

const PLAYS: Readonly<Record<string, Misbehaviour>> = {
  "short requests ahead, unread": { connections: 10, again: SHORT_REQUEST },
  "short requests ahead, read": {
    connections: 10,
    again: SHORT_REQUEST,
    reads: true,
  },
  "legal heads of short lines ahead": {
    connections: 10,
    again: `GET / HTTP/1.1\r\n${SHORT_LINES}Host: a\r\n\r\n`,
  },
  "heads of short lines that don't end": {
    connections: 200,
    first: `GET / HTTP/1.1\r\n${SHORT_LINES}`,
  },
  "bodies announced far over the limit, and sent": {
    connections: 100,
    first: `${HEAD}\r\nContent-Length: 1000000000\r\n\r\n`,
    again: "b".repeat(1024),
  },
  "bodies without an end": {
    connections: 100,
    first: CHUNKED,
    again: `40000\r\n${"b".repeat(0x40000)}\r\n`,
  },
  "bodies without an end in chunks of one byte": {
    connections: 20,
    first: CHUNKED,
    again: "1\r\nb\r\n",
  },
  "parts of legal bodies, then nothing": {
    connections: 200,
    first: `${HEAD}\r\nContent-Length: ${BODY_BYTES}\r\n\r\n${"b".repeat((BODY_BYTES * 15) / 16)}`,
  },
  "connections that send nothing": { connections: 400 },
};

/** What a crowd leaves of a host. */
interface Seen {
  readonly isRunning: boolean;
  /** What it took beyond the limits of its machine. */
  readonly used: readonly (ProcessUse | undefined)[];
  readonly beside: string;
  readonly afterwards: string;
}

const BORNE: Seen = {
  isRunning: true,
  used: [],
  beside: "answered",
  afterwards: "answered",
};

/** Asks until a chat is answered, each time on a new connection. */
async function ordinaryAnswer(entry: EntryChild): Promise<string> {
  const givesUpAt = performance.now() + PATIENCE_MILLISECONDS;
  while (entry.running && performance.now() < givesUpAt) {
    await using caller = new Caller(entry.addresses.callers);
    const result = await caller.chat({
      prompt: "x",
      tokens: 1,
      streamed: false,
      workspace: "landlords",
      deadlineMilliseconds: 4_000,
    });
    if (result.status === 200) return "answered";
    await sleep(SYSTEM_CLOCK, RETRY_MILLISECONDS);
  }
  return "not answered";
}

function isWithinLimits(used: ProcessUse | undefined): boolean {
  return (
    used === undefined ||
    (used.peakMegabytes < MEMORY_MEGABYTES &&
      used.descriptors <= MAXIMUM_DESCRIPTORS)
  );
}

/** Has a crowd play at an address of a new host, and asks beside it and afterwards. */
async function play(
  misbehaviour: Misbehaviour,
  addressOf: (entry: EntryChild) => string,
): Promise<Seen> {
  await using deployment = await MeasuredDeployment.start({
    entries: 1,
    dataHalls: ["hall-a"],
    platform: { engines: 1, plainServices: 1, engine: { timeScale: 4 } },
    workspaces: ["landlords"],
    limits: { headerBytes: HEADER_BYTES, bodyBytes: BODY_BYTES },
    machine: {
      memoryBytes: MEMORY_MEGABYTES * 1_000_000,
      descriptors: MAXIMUM_DESCRIPTORS,
    },
    flags: [`--max-old-space-size=${HEAP_MEGABYTES}`],
  });
  const [entry] = deployment.entries as [EntryChild];
  using crowd = new MisbehavingCallers(addressOf(entry), misbehaviour);
  await sleep(SYSTEM_CLOCK, PLAY_MILLISECONDS);
  const used = [processUse(entry.processId)];
  const beside = await ordinaryAnswer(entry);
  used.push(processUse(entry.processId));
  crowd[Symbol.dispose]();
  const afterwards = await ordinaryAnswer(entry);
  used.push(processUse(entry.processId));
  return {
    isRunning: entry.running,
    used: used.filter((each) => !isWithinLimits(each)),
    beside,
    afterwards,
  };
}

describe("an entry host lives within its limits and answers others beside", () => {
  test.each(Object.keys(PLAYS))(
    "%s",
    async (name) => {
      const seen = await play(
        PLAYS[name] as Misbehaviour,
        (entry) => entry.addresses.callers,
      );
      expect(seen).toEqual(BORNE);
    },
    TEST_TIMEOUT_MILLISECONDS,
  );

  test.each([
    "short requests ahead, unread",
    "bodies announced far over the limit, and sent",
    "bodies without an end in chunks of one byte",
    "connections that send nothing",
  ])(
    "%s, at the administration",
    async (name) => {
      const seen = await play(
        PLAYS[name] as Misbehaviour,
        (entry) => entry.addresses.administration,
      );
      expect(seen).toEqual(BORNE);
    },
    TEST_TIMEOUT_MILLISECONDS,
  );

  test.each([
    "short requests ahead, unread",
    "heads of short lines that don't end",
    "connections that send nothing",
  ])(
    "%s, at the listener of peers",
    async (name) => {
      const seen = await play(
        PLAYS[name] as Misbehaviour,
        (entry) => entry.addresses.peers,
      );
      expect(seen).toEqual(BORNE);
    },
    TEST_TIMEOUT_MILLISECONDS,
  );
});
