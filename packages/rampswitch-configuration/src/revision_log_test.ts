// Copyright 2026 the rampswitch authors. Apache-2.0 license.

import { describe, expect, test } from "@jest/globals";
import fc from "fast-check";
import type { Service } from "rampswitch-types";
import {
  applyDeltas,
  type ConfigurationState,
  type Delta,
  EMPTY_CONFIGURATION,
} from "./configuration_state.ts";
import {
  advance,
  type ChangeRequest,
  compacted,
  decideChange,
  EMPTY_HEAD,
  type Head,
  needsCompaction,
  obsoleteSnapshots,
  readSnapshot,
  snapshotParts,
} from "./revision_log.ts";

function service(name: string, tier = "a"): Service {
  return {
    kind: "Service",
    name,
    labels: { tier },
    type: "plain",
    calls: [],
    targetMilliseconds: 1,
    timeoutMilliseconds: 1,
    weights: { cost: 1, recomputedTokens: 1 },
  };
}

function put(
  name: string,
  options: Partial<ChangeRequest> & { readonly tier?: string } = {},
): ChangeRequest {
  const { tier, ...request } = options;
  return {
    changeId: `change-${name}-${tier ?? ""}`,
    operator: "operator",
    baseRevision: 0,
    edits: [{ kind: "put", resource: service(name, tier) }],
    ...request,
  };
}

function decide(head: Head, state: ConfigurationState, request: ChangeRequest) {
  return decideChange(head, state, { request, now: 1 });
}

/** Applies a change that must be accepted. */
function accept(head: Head, state: ConfigurationState, request: ChangeRequest) {
  const decision = decide(head, state, request);
  if (decision.kind !== "append") throw new Error(JSON.stringify(decision));
  return { head: decision.head, state: applyDeltas(state, [decision.delta]) };
}

function acceptMany(count: number) {
  return Array.from({ length: count }, (_, index) => `s${index}`).reduce(
    ({ head, state }, name) =>
      accept(head, state, put(name, { baseRevision: head.revision })),
    { head: EMPTY_HEAD, state: EMPTY_CONFIGURATION },
  );
}

describe("configuration-in-force: the log", () => {
  test("applies a change id once, whatever was accepted in between", () => {
    const first = accept(EMPTY_HEAD, EMPTY_CONFIGURATION, put("x"));
    const second = accept(
      first.head,
      first.state,
      put("y", { baseRevision: 1 }),
    );
    expect(decide(second.head, second.state, put("x"))).toEqual({
      kind: "end",
      outcome: { kind: "accepted", revision: 1 },
    });
  });

  test("accepts one of two operators' changes and reports the conflict", () => {
    const { head, state } = accept(
      EMPTY_HEAD,
      EMPTY_CONFIGURATION,
      put("x", { tier: "a" }),
    );
    const decision = decide(head, state, put("x", { tier: "b" }));
    expect(decision).toMatchObject({
      outcome: {
        kind: "conflict",
        conflicts: [{ key: "Service/x", revision: 1 }],
      },
    });
  });

  test("never applies a change twice, even if its id is not retained", () => {
    const { head, state } = acceptMany(1);
    const headWithoutIds = { ...head, settled: [] };
    expect(decide(headWithoutIds, state, put("s0"))).toMatchObject({
      outcome: { kind: "conflict" },
    });
  });

  test("rejects a backend server of an unknown service", () => {
    const decision = decide(
      EMPTY_HEAD,
      EMPTY_CONFIGURATION,
      put("x", {
        edits: [
          {
            kind: "put",
            resource: {
              kind: "BackendServer",
              name: "b",
              labels: {},
              service: "none",
              host: "h",
              address: "127.0.0.1:1",
              dataHall: "hall",
              hostClass: "spot",
              concurrency: 1,
              contract: {
                checksOrderEpoch: false,
                resumesStreams: false,
                movesKeyValueCache: false,
                tellsNotRun: false,
              },
              draining: false,
            },
          },
        ],
      }),
    );
    expect(decision).toMatchObject({ outcome: { kind: "invalid" } });
  });

  test("only advances, with deltas in any order and repeated", () => {
    const { head, state } = acceptMany(12);
    fc.assert(
      fc.property(
        fc.array(fc.shuffledSubarray([...head.deltas]), { maxLength: 8 }),
        (batches) => {
          const reached = batches.reduce<{
            readonly state: ConfigurationState;
            readonly wentBack: boolean;
          }>(
            (now, batch) => {
              const next = applyDeltas(now.state, batch);
              return {
                state: next,
                wentBack: now.wentBack || next.revision < now.state.revision,
              };
            },
            { state: EMPTY_CONFIGURATION, wentBack: false },
          );
          const whole = applyDeltas(reached.state, head.deltas);
          expect(reached.wentBack).toBe(false);
          expect([...whole.resources]).toEqual([...state.resources]);
        },
      ),
      { seed: 7, numRuns: 200 },
    );
  });

  test("reads the same state from a snapshot and the deltas after it", () => {
    const { head, state } = acceptMany(60);
    const early = applyDeltas(EMPTY_CONFIGURATION, head.deltas.slice(0, 40));
    const cut = compacted(head, { revision: 40, parts: 1 });
    const snapshot = readSnapshot(40, snapshotParts(early));
    const reached = advance(snapshot, cut);
    expect(reached.isOk && [...reached.value.resources]).toEqual([
      ...state.resources,
    ]);
    expect(advance(EMPTY_CONFIGURATION, cut).isErr).toBe(true);
  });

  test("splits a state into parts of less than a megabyte and joins them", () => {
    const largeDeltas: readonly Delta[] = Array.from(
      { length: 60 },
      (_, index) => ({
        revision: index + 1,
        changeId: `c${index}`,
        operator: "o",
        acceptedAt: 0,
        edits: [
          {
            kind: "put",
            resource: service(`s${index}`, "x".repeat(20_000)),
          },
        ],
      }),
    );
    const state = applyDeltas(EMPTY_CONFIGURATION, largeDeltas);
    const parts = snapshotParts(state);
    expect(parts.length).toBeGreaterThan(1);
    expect(Math.max(...parts.map(({ length }) => length))).toBeLessThan(
      2 ** 20,
    );
    expect(readSnapshot(60, parts)).toEqual(state);
  });

  test("keeps the older snapshot that a slow reader may be reading", () => {
    const head = { ...EMPTY_HEAD, snapshot: { revision: 30, parts: 1 } };
    expect(obsoleteSnapshots(head, [10, 20, 30, 40])).toEqual([10]);
    expect(needsCompaction(head)).toBe(false);
  });
});
