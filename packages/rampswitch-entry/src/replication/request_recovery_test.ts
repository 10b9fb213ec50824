// Copyright 2026 the rampswitch authors. Apache-2.0 license.

// Guards against a reader that waits forever at a backup. A caller resumes a
// stream at a backup of its slot. The host that runs the stream is lost, and the
// primary of the slot, a third host, ends the request without a report to the
// backup. The backup must disconnect its readers; a reader that comes back is
// forwarded to the primary. With the fault, 2 of 8 runs on a busy machine waited
// 30 s twice, with lostRequest.in_doubt 1 at the primary and answer_again 2 at the
// backup.

import { describe, expect, test } from "@jest/globals";
import { createMetrics, ManualClock } from "rampswitch-utils";
import {
  AnswerCache,
  type AnswerReader,
  type RequestEnvelope,
} from "../outcome/answer_cache.ts";
import { type RecoveryOptions, recoverRequests } from "./request_recovery.ts";

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

function readAtBackup(options: {
  readonly trusted: boolean;
}): readonly string[] {
  const metrics = createMetrics("test", undefined);
  const answerCache = new AnswerCache(new ManualClock(), metrics, {
    answerBytes: 1_024,
    answersBytes: 1_024,
    retentionMilliseconds: 1_000,
  });
  const answer = answerCache.open(ENVELOPE, "runner");
  const seen: string[] = [];
  const reader: AnswerReader = {
    event: (index) => seen.push(`event ${index}`),
    ended: ({ kind }) => seen.push(kind),
    lost: () => seen.push("lost"),
  };
  answer.append(0, ["x"]);
  answer.read(-1, reader);
  const recovery: Pick<
    RecoveryOptions,
    "self" | "answerCache" | "slots" | "metrics" | "trusts"
  > = {
    self: "backup",
    answerCache,
    slots: {
      primarySlots: [],
      recordOf: () => undefined,
      finish: () => undefined,
    },
    metrics,
    trusts: () => options.trusted,
  };
  recoverRequests(recovery as RecoveryOptions);
  answer.append(1, ["y"]);
  return seen;
}

describe("an answer run by another host, at a host that is not the primary", () => {
  test("disconnects its readers when the running host is lost", () => {
    expect(readAtBackup({ trusted: false })).toEqual(["event 0", "lost"]);
  });

  test("keeps its readers while the running host is trusted", () => {
    expect(readAtBackup({ trusted: true })).toEqual(["event 0", "event 1"]);
  });
});
