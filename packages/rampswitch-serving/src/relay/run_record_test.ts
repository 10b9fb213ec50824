// Copyright 2026 the rampswitch authors. Apache-2.0 license.

import { describe, expect, test } from "@jest/globals";
import { type LogFields, ManualClock, SILENT_LOGGER } from "rampswitch-utils";
import { ServerRecord } from "../choice/mod.ts";
import { ServingMetrics } from "../observation/mod.ts";
import { singleHostRollouts } from "../rollout/rollout_standin.ts";
import { Fingerprint } from "../quarantine/mod.ts";
import type { AdmittedRequest } from "./admitted_request.ts";
import {
  NOT_REPEATED_REASONS,
  RunRecord,
  type SendState,
} from "./run_record.ts";
import { backendServerStandin } from "../model/backend_server_standin.ts";

const REQUEST: AdmittedRequest = {
  head: {
    attemptId: "r1",
    method: "POST",
    target: "/once/x",
    hostName: "models.example",
    key: undefined,
    deadlineMilliseconds: undefined,
    promptTokens: 100,
    maximumAnswerTokens: undefined,
    expectedAnswerTokens: undefined,
    promptParts: [],
    lastEventId: undefined,
    forwarded: [],
  },
  body: undefined,
  fingerprint: new Fingerprint({
    method: "POST",
    hostName: "models.example",
    target: "/once/x",
    workspace: undefined,
    body: undefined,
  }),
  route: {
    name: "once",
    hostName: "models.example",
    pathPrefix: "/once",
    streaming: true,
    repeatability: "at_most_once",
    resumable: false,
    open: true,
    targets: [{ service: "models", weight: 1 }],
    maximumRuns: 1,
    timeoutMilliseconds: 4_000,
    targetMilliseconds: 200,
    priority: 0,
  },
  service: {
    name: "models",
    maximumConnections: 10,
    engine: undefined,
    capacity: undefined,
  },
  workspace: undefined,
  chargedTokens: 0,
  arrivedAt: 0,
  configurationVersion: 1,
};

const FIRST: SendState = {
  continues: false,
  lastEventId: undefined,
  possibleRuns: 0,
};

function server(id: string, born?: number): ServerRecord {
  return new ServerRecord(backendServerStandin({ id, born }));
}

/** A send that said nothing for 1.6 s, in 1.5 s of which this host stood still. */
const SILENCE = { milliseconds: 1_600.4, stoodStillMilliseconds: 1_500.2 };

interface Line {
  readonly message: string;
  readonly fields: LogFields | undefined;
}

function observed(): {
  readonly record: RunRecord;
  readonly clock: ManualClock;
  readonly lines: readonly Line[];
  readonly counters: (name: string) => Promise<readonly string[]>;
} {
  const clock = new ManualClock();
  const metrics = new ServingMetrics();
  const lines: Line[] = [];
  const write = (message: string, fields?: LogFields): void => {
    lines.push({ message, fields });
  };
  const logger = { ...SILENT_LOGGER, info: write, warn: write };
  const began = (): void => undefined;
  return {
    record: new RunRecord(REQUEST, {
      clock,
      metrics,
      logger,
      began,
      closesConnections: () => true,
      rollouts: singleHostRollouts(),
    }),
    clock,
    lines,
    counters: async (name) =>
      (await metrics.text())
        .split("\n")
        .filter((line) => line.startsWith(`rampswitch_${name}`)),
  };
}

describe("record of a run", () => {
  test("a refusal for lack of capacity tells rank and share", async () => {
    const { record, lines, counters } = observed();
    record.shortOfRoom({
      kind: "short",
      room: { perMillisecond: 1, available: 0, work: 200 },
      rank: "1.2",
      share: 0.256,
    });
    record.ended("servers_full", 503);
    expect(lines[0]?.fields).toMatchObject({
      outcome: "servers_full",
      rank: "1.2",
      share: 0.26,
    });
    expect(await counters("room_refused_total")).toEqual([
      'rampswitch_room_refused_total{rank="1.2"} 1',
    ]);
  });

  test("the first send is not logged", () => {
    const { record, lines } = observed();
    record.sentTo(server("s1"), FIRST);
    expect(lines).toEqual([]);
    expect(record.sends).toBe(1);
    expect(record.resends).toBe(0);
  });

  test("each resend is logged with its reason, servers and budget", async () => {
    const { record, clock, lines, counters } = observed();
    record.sentTo(server("s1"), FIRST);
    clock.advance(70);
    record.resent("memory_moved", { spent: 2, allowed: 2.5, hosts: 3 });
    record.sentTo(server("s2"), {
      continues: true,
      lastEventId: "17",
      possibleRuns: 0,
    });
    clock.advance(4.4);
    record.resent("rejected");
    record.sentTo(server("s3"), {
      continues: false,
      lastEventId: "17",
      possibleRuns: 1,
    });
    expect(lines).toEqual([
      {
        message: "request sent again",
        fields: {
          request: "r1",
          reason: "memory_moved",
          from: "s1",
          to: "s2",
          fromVersion: "v1",
          toVersion: "v1",
          continues: true,
          lastEventId: "17",
          possibleRuns: 0,
          sinceMilliseconds: 70,
          budgetSpent: 2,
          budgetAllowed: 2.5,
          budgetHosts: 3,
        },
      },
      {
        message: "request sent again",
        fields: {
          request: "r1",
          reason: "rejected",
          from: "s2",
          to: "s3",
          fromVersion: "v1",
          toVersion: "v1",
          continues: false,
          lastEventId: "17",
          possibleRuns: 1,
          sinceMilliseconds: 4,
        },
      },
    ]);
    expect(await counters("resends_total")).toEqual([
      'rampswitch_resends_total{service="models",reason="memory_moved"} 1',
      'rampswitch_resends_total{service="models",reason="rejected"} 1',
    ]);
  });

  test("a long event id from a caller is shortened in the log", () => {
    const { record, lines } = observed();
    record.sentTo(server("s1"), FIRST);
    record.resent("rejected");
    record.sentTo(server("s2"), { ...FIRST, lastEventId: "9".repeat(9_000) });
    expect(lines[0]?.fields?.lastEventId).toBe("9".repeat(64));
  });

  test("a rejection is logged with the send that was rejected", () => {
    const { record, clock, lines } = observed();
    record.sentTo(server("s1"), FIRST);
    record.resent("memory_moved");
    clock.advance(10);
    record.sentTo(server("s2"), { ...FIRST, continues: true });
    const send = { server: { id: "s2" }, sentAt: clock.now(), continues: true };
    clock.advance(3);
    record.rejected(send, 503);
    expect(lines.at(-1)).toEqual({
      message: "send rejected",
      fields: {
        request: "r1",
        server: "s2",
        status: 503,
        sinceMilliseconds: 3,
        continues: true,
      },
    });
  });

  test.each(NOT_REPEATED_REASONS)(
    "a resend that is not made is logged with the reason: %s",
    async (why) => {
      const { record, lines, counters } = observed();
      record.sentTo(server("s1"), FIRST);
      const budget = { spent: 4, allowed: 4.2, hosts: 2 };
      record.notRepeated("connection_lost", { why, possibleRuns: 1, budget });
      expect(lines).toEqual([
        {
          message: "send not repeated",
          fields: {
            request: "r1",
            reason: "connection_lost",
            why,
            possibleRuns: 1,
            budgetSpent: 4,
            budgetAllowed: 4.2,
            budgetHosts: 2,
          },
        },
      ]);
      expect(record.resends).toBe(0);
      expect(await counters("not_repeated_total")).toEqual([
        `rampswitch_not_repeated_total{why="${why}"} 1`,
      ]);
    },
  );

  test("a migration is logged with both servers, the times and the caller's last event", async () => {
    const { record, clock, lines, counters } = observed();
    record.sentTo(server("s1"), FIRST);
    const migration = record.migrationBegan(server("s1"), server("s2"));
    clock.advance(140);
    migration.stopChanged(true);
    clock.advance(60);
    migration.stopAnswered("no_answer");
    migration.stopAnswered("stopped");
    migration.stopChanged(false);
    migration.ended("moved", "8");
    expect(lines).toEqual([
      {
        message: "memory move",
        fields: {
          request: "r1",
          outcome: "moved",
          from: "s1",
          target: "s2",
          firstCopyMilliseconds: 140,
          secondCopyMilliseconds: 60,
          stopAnswers: "no_answer,stopped",
          lastEventId: "8",
        },
      },
    ]);
    expect(await counters("events_total")).toEqual([
      'rampswitch_events_total{event="stop_call_no_answer"} 1',
      'rampswitch_events_total{event="stop_call_stopped"} 1',
      'rampswitch_events_total{event="move_moved"} 1',
    ]);
  });

  test("a migration whose first copy fails has no second one", () => {
    const { record, clock, lines } = observed();
    const migration = record.migrationBegan(server("s1"), server("s2"));
    clock.advance(25);
    migration.ended("no_room", undefined);
    expect(lines[0]?.fields).toEqual({
      request: "r1",
      outcome: "no_room",
      from: "s1",
      target: "s2",
      firstCopyMilliseconds: 25,
      secondCopyMilliseconds: undefined,
      stopAnswers: undefined,
      lastEventId: undefined,
    });
  });

  test("the line of the end lists all sends", () => {
    const { record, clock, lines } = observed();
    record.sentTo(server("s1"), FIRST);
    record.resent("rejected");
    record.sentTo(server("s2"), FIRST);
    clock.advance(900);
    record.ended("completed", 200);
    expect(lines.at(-1)?.message).toBe("request ended");
    expect(lines.at(-1)?.fields).toMatchObject({
      status: 200,
      servers: "s1,s2",
      resends: "rejected",
      milliseconds: 900,
    });
  });

  test("log lines name the incarnation of a server where it is known", () => {
    const { record, lines } = observed();
    record.sentTo(server("s1", 1_000), FIRST);
    const sent = { server: { id: "s1", born: 1_000 }, sentAt: 0 };
    record.rejected({ ...sent, continues: false }, 503);
    record.resent("rejected");
    record.sentTo(server("s1", 2_000), FIRST);
    record
      .migrationBegan(server("s1", 2_000), server("s2", 3_000))
      .ended("no_room", undefined);
    const lost = { detail: "reset", relayed: false, silence: SILENCE };
    const former = { id: "s1", born: 2_000 };
    record.lost("connection_lost", { ...lost, server: former });
    record.ended("unknown_outcome", 502);
    expect(lines.map(({ message, fields }) => [message, fields])).toMatchObject(
      [
        ["send rejected", { server: "s1", born: 1_000 }],
        [
          "request sent again",
          { from: "s1", fromBorn: 1_000, to: "s1", toBorn: 2_000 },
        ],
        [
          "memory move",
          { from: "s1", fromBorn: 2_000, target: "s2", targetBorn: 3_000 },
        ],
        ["send lost", { server: "s1", born: 2_000 }],
        ["request ended", { servers: "s1,s1", born: "1000,2000" }],
      ],
    );
  });

  test("a loss is logged with the fingerprint, which attempts with other ids share", () => {
    const { record, lines } = observed();
    record.sentTo(server("s1"), FIRST);
    const lost = { detail: "reset", relayed: false, server: { id: "s1" } };
    record.lost("connection_lost", { ...lost, silence: SILENCE });
    expect(lines.at(-1)?.fields).toMatchObject({
      fingerprint: REQUEST.fingerprint.text,
      path: "/once/x",
    });
  });

  test("a loss tells a silent server from a host that stood still or stops", () => {
    const { record, lines } = observed();
    record.sentTo(server("s1"), FIRST);
    const lost = { detail: "silent", relayed: true, server: { id: "s1" } };
    record.lost("stalled", { ...lost, silence: SILENCE });
    expect(lines.at(-1)?.fields).toMatchObject({
      silentMilliseconds: 1_600,
      stoodStillMilliseconds: 1_500,
      stopping: true,
    });
  });

  test("an answer that this host cuts off says why no other server took it", async () => {
    const { record, lines, counters } = observed();
    record.sentTo(server("s1"), FIRST);
    const why = "budget_spent";
    record.notRepeated("stalled", { why, possibleRuns: 1 });
    record.cutOff("timed_out");
    const cutOff = { message: "answer cut off" };
    const fields = { outcome: "timed_out", why, server: "s1", stopping: true };
    expect(lines.at(-1)).toMatchObject({ ...cutOff, fields });
    expect(await counters("answers_cut_off_total")).toEqual([
      'rampswitch_answers_cut_off_total{why="budget_spent"} 1',
    ]);
  });

  test("log lines omit the incarnations of servers that do not advertise them", () => {
    const { record, lines } = observed();
    record.sentTo(server("s1"), FIRST);
    record.ended("completed", 200);
    expect(lines.at(-1)?.fields?.born).toBeUndefined();
  });
});

describe("speed of the server in the line that ends a request", () => {
  const FIELDS = ["slowdown", "predictedMilliseconds", "measuredMilliseconds"];

  function endedAt(record: ServerRecord) {
    const all = observed();
    all.record.sentTo(record, FIRST);
    all.record.compared({ expected: 41.6, measured: 104.2 });
    all.record.ended("completed", 200);
    return all.lines.at(-1)?.fields ?? {};
  }

  test("is left out if nothing is known of it", () => {
    const fields = endedAt(server("s1"));
    FIELDS.forEach((name) => expect(fields[name]).toBeUndefined());
  });

  test("is there with the expected time if the server reports it", () => {
    const record = server("s1");
    record.speed.reported(250, 0);
    expect(endedAt(record)).toMatchObject({
      slowdown: 2.5,
      predictedMilliseconds: 42,
      measuredMilliseconds: 104,
    });
  });

  test("is there without a time if no answer was measured", () => {
    const all = observed();
    const record = server("s1");
    record.speed.reported(250, 0);
    all.record.sentTo(record, FIRST);
    all.record.ended("timed_out", 504);
    const fields = all.lines.at(-1)?.fields;
    expect(fields).toMatchObject({ slowdown: 2.5 });
    expect(fields?.["predictedMilliseconds"]).toBeUndefined();
  });
});
