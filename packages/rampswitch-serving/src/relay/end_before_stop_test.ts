// Copyright 2026 the rampswitch authors. Apache-2.0 license.

import { expect, test } from "@jest/globals";
import { ManualClock } from "rampswitch-utils";
import type { AdmittedRequest } from "./admitted_request.ts";
import { canEndBeforeStop } from "./end_before_stop.ts";
import type { RequestContext } from "./request_context.ts";

const TARGET_MILLISECONDS = 300;

/** Whether a request can end at a host that ends some time from now. */
function canEnd(host: {
  readonly left: number;
  /** Time that those like it take; not known by default. */
  readonly usual?: number;
  readonly deadline?: number;
  readonly isContinued?: boolean;
}): boolean {
  const clock = new ManualClock(1_000);
  const context = {
    clock,
    endsAt: () => clock.now() + host.left,
    workEstimates: { comparableHold: () => host.usual },
  } as unknown as RequestContext;
  const request = {
    head: { deadlineMilliseconds: host.deadline },
    route: {
      targetMilliseconds: TARGET_MILLISECONDS,
      timeoutMilliseconds: 20_000,
    },
    arrivedAt: clock.now(),
  } as AdmittedRequest;
  const { isContinued = false } = host;
  return canEndBeforeStop({ request, isContinued }, context);
}

test("all requests can end at a host that does not stop", () => {
  expect(canEnd({ left: Infinity, usual: 30_000 })).toBe(true);
});

test("a far deadline keeps no request from its server that usually ends soon", () => {
  expect(canEnd({ left: 1_000, usual: 500, deadline: 15_000 })).toBe(true);
});

test("a request that usually takes longer than is left can't end", () => {
  expect(canEnd({ left: 1_000, usual: 1_500 })).toBe(false);
});

test("a request whose deadline comes before the end has an answer by then", () => {
  expect(canEnd({ left: 1_000, usual: 1_500, deadline: 900 })).toBe(true);
});

test("the target of the route counts where nothing is known of the request", () => {
  expect(canEnd({ left: 1.5 * TARGET_MILLISECONDS })).toBe(true);
  expect(canEnd({ left: TARGET_MILLISECONDS })).toBe(false);
});

test("the rest of an answer needs less than the whole", () => {
  const host = { left: 1_000, usual: 1_500, isContinued: true };
  expect(canEnd(host)).toBe(true);
});

test("nothing can end after the end of its host", () => {
  expect(canEnd({ left: -10, usual: 5 })).toBe(false);
});
