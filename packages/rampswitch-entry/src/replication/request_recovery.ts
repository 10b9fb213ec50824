// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Recovery of the requests that a lost host was running, by the primaries of
 * their slots.
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

/** Options of {@link recoverRequests}. */
export interface RecoveryOptions {
  readonly self: HostId;
  readonly answerCache: Pick<AnswerCache, "all" | "discard">;
  readonly slots: Pick<SlotService, "primarySlots" | "recordOf" | "finish">;
  readonly chat: ChatRunner;
  readonly metrics: Metrics;
  readonly routing: () => RoutingTable;
  readonly trusts: (host: HostId) => boolean;
}

/**
 * What happens to a lost request. `go_on`: it may run twice, so this host
 * continues it. `run_anew`: its answer is discarded, and a retry by the caller
 * runs it again. `in_doubt`: it must not run twice, so it ends as in doubt.
 */
export type LostRequestFate = "go_on" | "run_anew" | "in_doubt";

/** Decides what happens to a request whose host is lost. */
export function lostRequestFate(
  service: Service | undefined,
  options: { readonly guarded: boolean },
): LostRequestFate {
  if (service?.type === "model" && chatRepeatable(service)) return "go_on";
  return options.guarded ? "in_doubt" : "run_anew";
}

/**
 * Recovers the requests whose runner is lost in the slots that this host is
 * primary of. For lost requests of other slots, disconnects the readers, so that
 * they can be sent to the primary.
 */
export function recoverRequests(options: RecoveryOptions): void {
  const { answerCache: book, slots, self, trusts } = options;
  const own = new Set(slots.primarySlots);
  const lost = book.all
    .filter(({ outcome, runner }) => outcome === undefined && runner !== self)
    .filter(({ runner }) => !trusts(runner));
  const isOwn = ({ envelope }: Answer) => own.has(envelope.slot);
  lost.filter(isOwn).forEach((answer) => recoverRequest(answer, options));
  // Only the primary of the slot recovers a lost request, and it does not report
  // the result to backups. A reader at this host would wait forever.
  lost
    .filter((answer) => !isOwn(answer))
    .forEach((answer) => answer.disconnectReaders());
}

function recoverRequest(answer: Answer, options: RecoveryOptions): void {
  const { envelope } = answer;
  const service = options.routing().services.get(envelope.service);
  const record = options.slots.recordOf(envelope.slot, envelope.key);
  const guarded = record?.guarded ?? GUARDED_WITHOUT_RECORD;
  const fate = lostRequestFate(service, { guarded });
  options.metrics.count("lostRequest", fate);
  FATE_HANDLERS[fate](answer, options);
}

/**
 * Whether a request without a key record counts as guarded. Only keys have
 * records, and a request without one was sent to a server too. If its answer
 * were discarded, the caller would find it unknown and could send it again while
 * the lost run is still in progress.
 */
const GUARDED_WITHOUT_RECORD = true;

const FATE_HANDLERS: Readonly<
  Record<LostRequestFate, (answer: Answer, options: RecoveryOptions) => void>
> = {
  go_on: (answer, { self, chat }) => {
    answer.runner = self;
    chat.start(answer, "taken_over");
  },
  run_anew: (answer, { answerCache: book, slots }) => {
    const { slot, key } = answer.envelope;
    slots.finish(slot, key, "withdrawn");
    answer.end(LOST_OUTCOME);
    book.discard(answer);
  },
  in_doubt: (answer, { slots }) => {
    const { slot, key } = answer.envelope;
    slots.finish(slot, key, "in_doubt");
    answer.end(LOST_OUTCOME);
  },
};

const LOST_OUTCOME = inDoubt(
  "taken_over",
  "the host that ran the request was lost",
);
