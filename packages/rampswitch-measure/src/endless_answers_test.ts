// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Backend servers whose answers never end, at an entry host as a process of its own.
 * Guards against a host that reads them for as long as they come, or that keeps what
 * came of them until it has no memory left.
 *
 * @module
 */
import { describe, expect, test } from "@jest/globals";
import { request } from "undici";
import {
  ENDLESS_BESIDE_BODY,
  ENDLESS_BODIES,
  EndlessServer,
  processUse,
} from "rampswitch-standins";
import { Ownership, sleep, SYSTEM_CLOCK } from "rampswitch-utils";
import type { EntryChild } from "./child.ts";
import { SERVICES, workspaceKey } from "./deployment_plan.ts";
import { MeasuredDeployment } from "./measured_deployment.ts";
import { until } from "./test_deployment.ts";

/** Memory of the host's machine, in MB; its resident memory stays below. */
const MEMORY_MEGABYTES = 240;

/** Bound of the host's heap, in MB. */
const HEAP_MEGABYTES = 64;

/** Memory for answers that are kept, in bytes. */
const ANSWERS_BYTES = 16 * 1024 * 1024;

/** Calls of each kind at once. */
const CALLS = 8;

const DEADLINE_MILLISECONDS = 3_000;

/** Time after which a caller closes its connection, in milliseconds. */
const PATIENCE_MILLISECONDS = 5_000;

const RETRY_MILLISECONDS = 100;

const TEST_TIMEOUT_MILLISECONDS = 60_000;

const ENDLESS = { ...ENDLESS_BESIDE_BODY, ...ENDLESS_BODIES };
const NAMES = Object.keys(ENDLESS) as (keyof typeof ENDLESS)[];

/** A request of a caller. */
interface Asked {
  readonly method: "GET" | "POST";
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string;
}

const CHAT: Asked = {
  method: "POST",
  path: "/v1/chat/completions",
  body: JSON.stringify({
    model: SERVICES.model,
    max_tokens: 1,
    messages: [{ role: "user", content: "x" }],
  }),
};

const PLAIN = { path: `/services/${SERVICES.plain}/x` };

/** Requests of each kind; the answers to some are kept. */
const KINDS: Readonly<Record<string, (call: number) => Asked>> = {
  chats: () => CHAT,
  "plain calls": () => ({ ...PLAIN, method: "GET" }),
  "kept plain calls": (call) => ({
    ...PLAIN,
    method: "POST",
    headers: { "idempotency-key": `key-${call}` },
    body: "x",
  }),
};

/** Plain calls use the same connections as chats; what differs is their bodies. */
const CASES = Object.keys(KINDS).flatMap((kind) =>
  NAMES.filter((name) => kind === "chats" || name in ENDLESS_BODIES).map(
    (name) => [kind, name] as const,
  ),
);

/** Asks, and reads the answer without keeping it; resolves to its status. */
async function ask(entry: EntryChild, asked: Asked): Promise<number> {
  try {
    const { statusCode, body } = await request(
      `http://${entry.addresses.callers}${asked.path}`,
      {
        method: asked.method,
        headers: {
          authorization: `Bearer ${workspaceKey("landlords")}`,
          "content-type": "application/json",
          "x-deadline-milliseconds": String(DEADLINE_MILLISECONDS),
          ...asked.headers,
        },
        body: asked.body ?? null,
        signal: AbortSignal.timeout(PATIENCE_MILLISECONDS),
      },
    );
    await body.dump({ limit: Number.MAX_SAFE_INTEGER });
    return statusCode;
  } catch {
    return 0;
  }
}

/** Asks until a chat is answered. */
async function untilAnswered(entry: EntryChild): Promise<void> {
  while (entry.running && (await ask(entry, CHAT)) !== 200) {
    await sleep(SYSTEM_CLOCK, RETRY_MILLISECONDS);
  }
}

describe("an entry host lives, closes, and answers others", () => {
  test.each(CASES)(
    "%s: %s",
    async (kind, name) => {
      await using ownership = new Ownership();
      const endless = ownership.own(await EndlessServer.start(ENDLESS[name]));
      const service = kind === "chats" ? SERVICES.model : SERVICES.plain;
      const deployment = ownership.own(
        await MeasuredDeployment.start({
          entries: 1,
          dataHalls: ["hall-a"],
          platform: { engines: 1, plainServices: 1, engine: { timeScale: 4 } },
          furtherServers: [1, 2, 3].map((number) => ({
            name: `endless-${number}`,
            address: endless.address,
            dataHall: "hall-a",
            service,
          })),
          workspaces: ["landlords"],
          limits: { answersBytes: ANSWERS_BYTES },
          machine: { memoryBytes: MEMORY_MEGABYTES * 1_000_000 },
          flags: [`--max-old-space-size=${HEAP_MEGABYTES}`],
        }),
      );
      const [entry] = deployment.entries as [EntryChild];
      const kindOf = KINDS[kind] as (typeof KINDS)[string];
      await Promise.all(
        Array.from({ length: CALLS }, (_, call) => ask(entry, kindOf(call))),
      );
      await until(() => endless.open === 0);
      await untilAnswered(entry);
      const use = processUse(entry.processId);
      expect(endless.answers).toBeGreaterThan(0);
      expect(entry.running).toBe(true);
      expect(use?.peakMegabytes).toBeLessThan(MEMORY_MEGABYTES);
    },
    TEST_TIMEOUT_MILLISECONDS,
  );
});
