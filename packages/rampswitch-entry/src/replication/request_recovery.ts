// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * What the primary of a slot does with requests that a lost host was running.
 *
 * @module
 */
import type { RoutingTable } from "rampswitch-policy";
import { type HostId, inDoubt, type Service } from "rampswitch-types";
import type { Metrics } from "rampswitch-utils";
import type { Answer, AnswerCache } from "../outcome/answer_cache.ts";
import { chatRepeatable } from "../attempt/chat_run.ts";
import type { ChatRunner } from "../attempt/chat_runner.ts";
import type { SlotService } from "./slot_service.ts";

/** How adoption is made. */
export interface AdoptionOptions {
  readonly self: HostId;
  readonly book: Pick<AnswerCache, "all" | "discard">;
  readonly slots: Pick<SlotService, "primarySlots" | "recordOf" | "finish">;
  readonly chat: ChatRunner;
  readonly metrics: Metrics;
  readonly routing: () => RoutingTable;
  readonly trusts: (host: HostId) => boolean;
}

/**
 * What becomes of a lost request. `go_on`: it may run twice, so it goes on here.
 * `run_anew`: nothing of it is kept; a retry runs it. `in_doubt`: it must not
 * run twice.
 */
export type LostRequestFate = "go_on" | "run_anew" | "in_doubt";

/** Decides what becomes of a request whose host is lost. */
export function lostRequestFate(
  service: Service | undefined,
  options: { readonly guarded: boolean },
): LostRequestFate {
  if (service?.type === "model" && chatRepeatable(service)) return "go_on";
  return options.guarded ? "in_doubt" : "run_anew";
}

/**
 * Takes over all requests of this host's slots whose runner is lost, and sends
 * readers of others away.
 */
export function recoverRequests(options: AdoptionOptions): void {
  const { book, slots, self, trusts } = options;
  const own = new Set(slots.primarySlots);
  const lost = book.all
    .filter(({ outcome, runner }) => outcome === undefined && runner !== self)
    .filter(({ runner }) => !trusts(runner));
  const isOwn = ({ envelope }: Answer) => own.has(envelope.slot);
  lost.filter(isOwn).forEach((answer) => adopt(answer, options));
  // Only the slot's primary settles a lost request, and it tells no backup: a
  // reader would wait here for an end that never comes.
  lost
    .filter((answer) => !isOwn(answer))
    .forEach((answer) => answer.disconnectReaders());
}

function adopt(answer: Answer, options: AdoptionOptions): void {
  const { envelope } = answer;
  const service = options.routing().services.get(envelope.service);
  const record = options.slots.recordOf(envelope.slot, envelope.key);
  const guarded = record?.guarded ?? GUARDED_WITHOUT_RECORD;
  const fate = lostRequestFate(service, { guarded });
  options.metrics.count("lostRequest", fate);
  FATES[fate](answer, options);
}

/**
 * Only keys are recorded. What has no record was sent all the same: discarded,
 * it would be unknown to its caller, who may ask anew beside the lost run.
 */
const GUARDED_WITHOUT_RECORD = true;

const FATES: Readonly<
  Record<LostRequestFate, (answer: Answer, options: AdoptionOptions) => void>
> = {
  go_on: (answer, { self, chat }) => {
    answer.runner = self;
    void chat.run(answer, "taken_over");
  },
  run_anew: (answer, { book, slots }) => {
    const { slot, key } = answer.envelope;
    slots.finish(slot, key, "withdrawn");
    answer.end(LOST);
    book.discard(answer);
  },
  in_doubt: (answer, { slots }) => {
    const { slot, key } = answer.envelope;
    slots.finish(slot, key, "in_doubt");
    answer.end(LOST);
  },
};

const LOST = inDoubt("taken_over", "the host that ran the request was lost");
