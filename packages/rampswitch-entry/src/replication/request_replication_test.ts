// Copyright 2026 the rampswitch authors. Apache-2.0 license.

// Guards against a part of an answer that ends as complete: a holder of its slot lacks
// events, since they were not replicated or their link was full, and learns the outcome.

import { expect, test } from "@jest/globals";
import type { ReplicaEntry } from "rampswitch-peer";
import { createMetrics, ManualClock } from "rampswitch-utils";
import { AnswerCache, type RequestEnvelope } from "../outcome/answer_cache.ts";
import type { ReplicaLinks } from "./replica_link.ts";
import {
  type ProgressMode,
  RequestReplication,
} from "./request_replication.ts";

const ENVELOPE: RequestEnvelope = {
  id: "r1.a",
  slot: 1,
  key: "r1.a",
  workspace: "workspace",
  service: "assistant",
  body: Buffer.from("{}"),
  deadline: 1_000,
  streamed: true,
  fingerprint: "f",
};

/** How events get to the holder. */
interface Way {
  readonly mode: ProgressMode;
  /** Whether the link has room for an entry. */
  readonly hasRoom: (entry: ReplicaEntry) => boolean;
}

/** One host's answers and their replication; `push` takes the entries for the holder. */
function newHost(mode: ProgressMode, push: ReplicaLinks["push"]) {
  const metrics = createMetrics("test", undefined);
  const clock = new ManualClock();
  const answerCache = new AnswerCache(clock, metrics, {
    answerBytes: 1_024,
    answersBytes: 1_024,
    retentionMilliseconds: 1_000,
  });
  const replication = new RequestReplication({
    self: "runner",
    mode,
    links: { push } as ReplicaLinks,
    answerCache,
    clock,
    metrics,
    holders: () => ["holder"],
    epochOf: () => 1,
  });
  return { answerCache, replication };
}

/** Completes an answer of two events; returns what a reader at the holder gets of it. */
async function readAtHolder({ mode, hasRoom }: Way) {
  const holder = newHost(mode, () => undefined);
  const runner = newHost(mode, (_host, entry, { delivered }) => {
    if (hasRoom(entry)) holder.replication.receive("runner", entry);
    delivered?.();
  });
  const answer = runner.answerCache.open(ENVELOPE, "runner");
  runner.replication.opened(answer);
  const seen: string[] = [];
  holder.answerCache.byId(ENVELOPE.id)?.read(-1, {
    event: (index) => seen.push(`event ${index}`),
    ended: ({ kind }) => seen.push(kind),
    lost: () => seen.push("lost"),
  });
  await runner.replication.progressed(answer, 0, ["x"]);
  await runner.replication.progressed(answer, 1, ["y"]);
  runner.replication.ended(answer, { kind: "completed" });
  const isKept = holder.answerCache.byId(ENVELOPE.id) !== undefined;
  return { seen, isKept };
}

test.each<readonly [string, Way]>([
  ["events are not replicated", { mode: "none", hasRoom: () => true }],
  [
    "the link was full for its events",
    { mode: "batch", hasRoom: ({ entry }) => entry.case !== "progress" },
  ],
  [
    "the link was full for its last event",
    {
      mode: "each",
      hasRoom: ({ entry }) =>
        entry.case !== "progress" || entry.value.first < 1,
    },
  ],
])(
  "a holder passes the reader of an answer on where %s",
  async (_name, way) => {
    const { seen, isKept } = await readAtHolder(way);
    expect(seen).not.toContain("completed");
    expect(seen.at(-1)).toBe("lost");
    expect(isKept).toBe(false);
  },
);

test.each(["each", "batch"] as const)(
  "a holder with all events ends the answer as complete (%s)",
  async (mode) => {
    const { seen, isKept } = await readAtHolder({ mode, hasRoom: () => true });
    expect(seen).toEqual(["event 0", "event 1", "completed"]);
    expect(isKept).toBe(true);
  },
);
