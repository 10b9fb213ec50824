// Copyright 2026 the rampswitch authors. Apache-2.0 license.

import { describe, expect, test } from "@jest/globals";
import { Fingerprint } from "../quarantine/mod.ts";
import { ReturnTimes } from "../room/mod.ts";
import type { CallerAnswer } from "./caller_answer.ts";
import {
  prepareRefusal,
  type RefusalContext,
  type RefusedRequest,
} from "./own_refusal.ts";
import type { RoomRefusal } from "./send_choice.ts";

const SHORTAGE: RoomRefusal = {
  kind: "short",
  room: { perMillisecond: 8, available: 0, work: 200 },
  rank: "1.0",
  share: 0.4,
  request: {} as RoomRefusal["request"],
};

/** Parts of a host with four servers of eight slots and one other host. */
function partsOf(trialMilliseconds = 0) {
  const refunds: unknown[] = [];
  const ready = { isReady: true, entry: { slots: 8 } };
  const parts = {
    admission: { refund: (refund: unknown) => refunds.push(refund) },
    clock: { now: () => 1_000 },
    codec: {
      encodeOwnAnswer: ({
        retryAfterSeconds,
      }: {
        readonly retryAfterSeconds: number | undefined;
      }) => [`${retryAfterSeconds}`],
    },
    directory: { of: () => [ready, ready, ready, ready] },
    workEstimates: { of: () => ({ holdMilliseconds: 200 }) },
    ownPart: () => 1 / 2,
    quarantine: {
      decide: () =>
        trialMilliseconds > 0
          ? { kind: "held", waitMilliseconds: trialMilliseconds }
          : { kind: "free" },
    },
    random: { next: () => 0.5 },
    returns: new ReturnTimes(
      { hosts: () => 2, lagMilliseconds: () => 250, draw: () => 0 },
      {
        kept: () => undefined,
        refused: () => undefined,
        lapsed: () => undefined,
      },
    ),
  } as unknown as RefusalContext;
  return { parts, refunds };
}

function refused(
  name: string,
  shortage: RoomRefusal | undefined,
  leftMilliseconds = 6_000,
): RefusedRequest {
  const request = {
    head: { attemptId: name },
    fingerprint: new Fingerprint({
      method: "POST",
      hostName: "models.example",
      target: "/",
      workspace: "burst",
      body: Buffer.from(name),
    }),
    route: { priority: 0 },
    service: { name: "models" },
    workspace: { name: "burst", priority: 1 },
    chargedTokens: 70,
  } as unknown as RefusedRequest["request"];
  return { request, leftMilliseconds, shortage };
}

describe("a refusal for lack of capacity", () => {
  test("tells each caller a time of its own, at which room is reserved", () => {
    const { parts } = partsOf();
    const told = ["a", "b", "c"].map(
      (name) =>
        prepareRefusal("servers_full", refused(name, SHORTAGE), parts).terms,
    );
    const times = told.map(({ retryAfterSeconds }) => retryAfterSeconds ?? 0);
    expect(times).toEqual(times.toSorted((left, right) => left - right));
    expect(new Set(times).size).toBe(3);
    expect(parts.returns.reservations.size).toBe(3);
    expect(
      told.map(({ expectedMilliseconds = 0 }) => expectedMilliseconds / 1_000),
    ).toEqual(times);
  });

  test("tells a time that is too late as it is, and reserves nothing", () => {
    const { parts } = partsOf();
    const overdrawn = {
      ...SHORTAGE,
      room: { ...SHORTAGE.room, available: -8_000 },
    };
    const request = refused("a", overdrawn, 1_500);
    const { terms } = prepareRefusal("servers_full", request, parts);
    expect(terms.retryAfterSeconds).toBe(1);
    expect(parts.returns.reservations.size).toBe(0);
  });

  test("follows from the service's slots if servers turned the request away", () => {
    const { parts } = partsOf();
    const { terms } = prepareRefusal(
      "servers_full",
      refused("a", undefined),
      parts,
    );
    expect(terms.retryAfterSeconds).toBe(0.35);
  });

  test("is not before a quarantined request may run as a trial", () => {
    const { parts } = partsOf(5_000);
    const request = refused("a", SHORTAGE, 60_000);
    const { terms } = prepareRefusal("servers_full", request, parts);
    expect(terms.retryAfterSeconds).toBe(5);
  });
});

// Guards against refusals that ask callers to return soon for what will never come: 658
// tries of 24 callers were refused in their last ten seconds.
test.each(["stream_origin_lost", "stream_version_gone"] as const)(
  "a refusal of a stream that can't go on (%s) tells all the time that is left",
  (reason) => {
    const { parts } = partsOf();
    const { terms } = prepareRefusal(reason, refused("a", undefined), parts);
    expect(terms.retryAfterSeconds).toBeGreaterThanOrEqual(6);
  },
);

describe("other refusals", () => {
  test("reserve nothing, and tell no time if the request may have run", () => {
    const { parts, refunds } = partsOf();
    const sent: unknown[] = [];
    const caller = {
      sendWhole: (...inputs: unknown[]) => sent.push(inputs.slice(0, 2)),
    } as unknown as CallerAnswer;
    const unknown = prepareRefusal(
      "unknown_outcome",
      refused("a", SHORTAGE),
      parts,
    );
    unknown.answer(caller);
    expect(unknown.terms.retryAfterSeconds).toBeUndefined();
    expect(refunds).toEqual([]);
    const none = prepareRefusal("no_server", refused("b", undefined), parts);
    none.answer(caller);
    expect(none.terms.retryAfterSeconds).toBeCloseTo(0.4);
    expect(refunds).toEqual([{ workspace: "burst", tokens: 70 }]);
    expect(sent).toEqual([
      [unknown.status, ["undefined"]],
      [none.status, [`${none.terms.retryAfterSeconds}`]],
    ]);
    expect(parts.returns.reservations.size).toBe(0);
  });
});
