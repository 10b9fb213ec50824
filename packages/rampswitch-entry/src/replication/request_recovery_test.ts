// Copyright 2026 the rampswitch authors. Apache-2.0 license.

// A caller read the rest of a stream at a host that held it as a backup. The host
// that ran the stream was lost, and the slot's primary, a third host, settled it.
// Nobody told the backup: it followed the lost host's stream for as long as the
// caller stayed. Two of eight plays on a busy machine waited 30 s twice, with
// lostRequest.in_doubt 1 at the primary and answer_again 2 at the host that was
// asked. Its readers are sent away now, and passed on to the primary next time.

import { describe, expect, test } from "@jest/globals";
import { createMetrics, ManualClock } from "rampswitch-utils";
import {
  AnswerCache,
  type AnswerReader,
  type RequestEnvelope,
} from "../outcome/answer_cache.ts";
import { type AdoptionOptions, recoverRequests } from "./request_recovery.ts";

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

function readByBackup(options: {
  readonly trusted: boolean;
}): readonly string[] {
  const metrics = createMetrics("test", undefined);
  const book = new AnswerCache(new ManualClock(), metrics, {
    answerBytes: 1_024,
    answersBytes: 1_024,
    retentionMilliseconds: 1_000,
  });
  const answer = book.open(ENVELOPE, "runner");
  const seen: string[] = [];
  const reader: AnswerReader = {
    event: (index) => seen.push(`event ${index}`),
    ended: ({ kind }) => seen.push(kind),
    lost: () => seen.push("lost"),
  };
  answer.append(0, ["x"]);
  answer.read(-1, reader);
  const adoption: Pick<
    AdoptionOptions,
    "self" | "book" | "slots" | "metrics" | "trusts"
  > = {
    self: "backup",
    book,
    slots: {
      primarySlots: [],
      recordOf: () => undefined,
      finish: () => undefined,
    },
    metrics,
    trusts: () => options.trusted,
  };
  recoverRequests(adoption as AdoptionOptions);
  answer.append(1, ["y"]);
  return seen;
}

describe("an answer that a lost host ran, at a host that is not primary", () => {
  test("sends its readers away", () => {
    expect(readByBackup({ trusted: false })).toEqual(["event 0", "lost"]);
  });

  test("keeps its readers while its host is trusted", () => {
    expect(readByBackup({ trusted: true })).toEqual(["event 0", "event 1"]);
  });
});
