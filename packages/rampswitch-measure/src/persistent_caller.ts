// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * A caller who comes back: reads the rest of broken streams by request id and
 * last event id, and retries keyed requests, at any entry host.
 *
 * @module
 */
import { type Random, sleep, SYSTEM_CLOCK } from "rampswitch-utils";
import type { Caller, CallResult, ChatCall } from "./caller.ts";
import { expectedText } from "./caller.ts";
import type { Invocation, Told } from "./history.ts";

/** The balancer's view: entry hosts that may be asked. */
export interface Balancer {
  /** One of the hosts that are ready. */
  pick(): Caller;
}

/** How a caller behaves. */
export interface PersistenceOptions {
  readonly balancer: Balancer;
  readonly random: Random;
  /** Sends of one request at most. */
  readonly sends: number;
}

const WAIT_MILLISECONDS = 120;

/** Reasons after which coming back changes nothing. */
const FINAL_REASONS: readonly string[] = [
  "taken_over",
  "slot_history_lost",
  "key_expired",
  "answer_expired",
  "progress_lost",
  "backend_timeout",
  "key_reused",
];

const TOLD_BY_RAN: Readonly<Record<"no" | "yes" | "unknown", Told>> = {
  no: "not_run",
  yes: "failed",
  unknown: "in_doubt",
};

/** Streams a chat answer and comes back until it is whole. */
export async function streamUntilWhole(
  call: Omit<ChatCall, "streamed">,
  operation: string,
  options: PersistenceOptions,
): Promise<Invocation> {
  let received = "";
  let lastEvent = -1;
  let requestId: string | undefined;
  let told: Told = "nothing";
  let reason = "";
  let sends = 0;
  while (sends < options.sends && told === "nothing") {
    const caller = options.balancer.pick();
    const result =
      requestId === undefined
        ? await caller.chat({ ...call, streamed: true })
        : await caller.again(requestId, { ...call, lastEvent });
    sends += 1;
    reason = result.reason ?? reason;
    const isStream = result.status === 200;
    if (isStream) {
      requestId ??= result.requestId;
      received += result.text;
      lastEvent = Math.max(lastEvent, result.lastEvent);
    }
    told = isStream && result.whole ? "whole" : toldFinally(result);
    if (told === "nothing") await sleep(SYSTEM_CLOCK, WAIT_MILLISECONDS);
  }
  return {
    operation,
    guarded: false,
    accepted: requestId !== undefined,
    told,
    expected: expectedText(call),
    received,
    reason,
    sends,
  };
}

/** Sends a keyed request until it is answered or its end is told. */
export async function retryUntilTold(
  send: (caller: Caller) => Promise<CallResult>,
  facts: Pick<Invocation, "operation" | "guarded" | "expected">,
  options: PersistenceOptions & {
    readonly read: (result: CallResult) => string;
  },
): Promise<Invocation> {
  let told: Told = "nothing";
  let last: Told = "nothing";
  let received = "";
  let reason = "";
  let sends = 0;
  let accepted = false;
  while (sends < options.sends && told === "nothing") {
    const result = await send(options.balancer.pick());
    sends += 1;
    reason = result.reason ?? reason;
    if (result.status === 200) {
      accepted = true;
      if (result.whole) {
        told = "whole";
        received = options.read(result);
      }
    } else {
      told = toldFinally(result);
      if (result.ran !== undefined) last = TOLD_BY_RAN[result.ran];
      accepted ||= result.ran === "unknown" || result.ran === "yes";
    }
    if (told === "nothing") await sleep(SYSTEM_CLOCK, WAIT_MILLISECONDS);
  }
  return {
    ...facts,
    accepted,
    told: told === "nothing" ? last : told,
    received,
    reason,
    sends,
  };
}

/** What a problem document ends; `nothing` where coming back can help. */
function toldFinally(result: CallResult): Told {
  return result.ran !== undefined && FINAL_REASONS.includes(result.reason ?? "")
    ? TOLD_BY_RAN[result.ran]
    : "nothing";
}
