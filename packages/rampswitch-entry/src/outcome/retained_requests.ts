// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Requests whose answers are retained. Evaluates their keys, claims, admits and
 * starts them, and sends their answers again to callers that reconnect.
 *
 * @module
 */
import {
  type KeyRequest,
  type KeyDecision,
  mintRequestId,
  slotOfKey,
  slotOfRequestId,
  timeOfKey,
} from "rampswitch-protocol";
import {
  type HostId,
  inDoubt,
  type Outcome,
  refused,
  type RefusedNotRun,
  type Service,
} from "rampswitch-types";
import type { Random } from "rampswitch-utils";
import type { AdmissionGate } from "../admission/admission_gate.ts";
import {
  type Answer,
  type AnswerCache,
  evictedOutcome,
  type RequestEnvelope,
} from "./answer_cache.ts";
import { type AnswerForm, writeAnswer } from "./answer_writer.ts";
import type { ChatRunner } from "../attempt/chat_runner.ts";
import {
  admissionRequest,
  type Exchange,
  exchangeDeadline,
  type ExchangeOptions,
  refuse,
  refuseWithEarlierUnknown,
} from "../intake/exchange.ts";
import type { PrimaryForwarding } from "../replication/primary_forwarding.ts";
import type { ProblemOutcome } from "../intake/problem.ts";
import type { RequestReplication } from "../replication/request_replication.ts";
import type { ClaimOutcome, SlotService } from "../replication/slot_service.ts";

/** Options for serving requests whose answers are retained. */
export interface RetainedRequestOptions extends ExchangeOptions {
  readonly self: HostId;
  readonly random: Random;
  readonly answerCache: AnswerCache;
  readonly slots: SlotService;
  readonly gate: AdmissionGate;
  readonly chat: ChatRunner;
  readonly primaryForwarding: PrimaryForwarding;
  readonly replication: RequestReplication;
  readonly trusts: (host: HostId) => boolean;
}

/** A request whose answer is retained, and how to run it. */
export interface RetainedWork {
  readonly service: Service;
  /** The caller's body, as forwarded to the slot's primary. */
  readonly body: Buffer;
  /** Body that another host needs to continue the work. */
  readonly replicatedBody: Buffer;
  /** Whether the work must not run twice. */
  readonly guarded: boolean;
  readonly form: AnswerForm;
  /** Predicted tokens of the prompt and the answer. */
  readonly tokens: number;
  /** Predicted duration of the run. */
  readonly runMilliseconds: number;
  /** Hash of the request; reusing a key with another hash is refused. */
  readonly fingerprint: string;
  /** Starts the work once it is claimed and admitted. */
  readonly start: (answer: Answer) => void;
}

/** A key and the slot of the slot protocol that holds it. */
interface SlotKey {
  readonly slot: number;
  /** The key within its workspace; absent if the caller sent none. */
  readonly key: string | undefined;
}

/** Time after which an unanswered claim is withdrawn. */
const CLAIM_TIMEOUT_MILLISECONDS = 2_000;
/**
 * Time for which a stream without callers continues, so that one can
 * reconnect.
 */
const RESUME_GRACE_MILLISECONDS = 15_000;
const RETRY_AFTER = { retryAfterMilliseconds: 500 };
/** Event number that makes a reader receive the outcome only. */
const AFTER_ALL_EVENTS = Number.MAX_SAFE_INTEGER;

/** Serves requests whose answers are retained on one host. */
export class RetainedRequests {
  readonly #options: RetainedRequestOptions;

  constructor(options: RetainedRequestOptions) {
    this.#options = options;
  }

  /** Serves a request on this host, or forwards it to its slot's primary. */
  async serve(exchange: Exchange, work: RetainedWork): Promise<void> {
    const { caller } = exchange;
    const { slots, primaryForwarding: hop, random } = this.#options;
    const { body } = work;
    if (caller.key !== undefined) {
      const key = `${caller.workspace.name}/${caller.key}`;
      const slot = slotOfKey(key, slots.count);
      const here = () => this.#serveKeyed(exchange, work, { slot, key });
      await hop.run(exchange, { slot, body, runHere: here });
      return;
    }
    const refusal = this.#refusalBeforeStop(exchange, work);
    if (refusal !== undefined) {
      this.#refuse(exchange, refusal);
      return;
    }
    const ownSlots = slots.primarySlots;
    const ownSlot = ownSlots[random.below(Math.max(1, ownSlots.length))];
    const slot = ownSlot ?? random.below(slots.count);
    const here = () => this.#start(exchange, work, { slot, key: undefined });
    if (ownSlot === undefined)
      await hop.run(exchange, { slot, body, runHere: here });
    else await here();
  }

  /** Sends an answer again, found by the id of its request. */
  async readAnswer(exchange: Exchange, id: string): Promise<void> {
    const slot = slotOfRequestId(id);
    const here = () => Promise.resolve(this.#readCached(exchange, id));
    const answer = this.#options.answerCache.byId(id);
    const isHere = answer !== undefined && this.#canFollow(answer);
    if (slot === undefined || isHere) {
      await here();
    } else {
      await this.#options.primaryForwarding.run(exchange, {
        slot,
        body: undefined,
        runHere: here,
      });
    }
  }

  /** Whether this host has the outcome of an answer or will receive it. */
  #canFollow({ outcome, runner }: Answer): boolean {
    return outcome !== undefined || this.#options.trusts(runner);
  }

  async #serveKeyed(
    exchange: Exchange,
    work: RetainedWork,
    slotKey: { readonly slot: number; readonly key: string },
  ): Promise<void> {
    const verdict = this.#options.slots.evaluate(
      slotKey.slot,
      keyRequest(exchange, work, slotKey.key),
    );
    const answer = this.#options.answerCache.byKey(slotKey.key);
    const mayRun =
      verdict.kind === "new" ||
      (!work.guarded && UNKNOWN_HISTORY_VERDICTS.includes(verdict.kind));
    if (mayRun) await this.#start(exchange, work, slotKey);
    else if (verdict.kind === "known" && answer !== undefined) {
      this.#attachCaller(exchange, work, { answer, verdict });
    } else this.#refuse(exchange, VERDICT_OUTCOMES[verdict.kind](verdict));
  }

  /** Sends the answer again to a caller that repeats its request. */
  #attachCaller(
    exchange: Exchange,
    work: RetainedWork,
    found: {
      readonly answer: Answer;
      readonly verdict: Extract<KeyDecision, { readonly kind: "known" }>;
    },
  ): void {
    const { answer, verdict } = found;
    const { metrics } = this.#options;
    if (answer.envelope.fingerprint !== work.fingerprint) {
      this.#refuse(exchange, KEY_REUSED);
    } else if (
      verdict.record.status === "in_doubt" &&
      !this.#canFollow(answer)
    ) {
      this.#refuse(exchange, TAKEN_OVER, answer.envelope.id);
    } else {
      metrics.count("answer_again");
      this.#write(exchange, answer, work.form);
    }
  }

  /** Claims, admits and starts new work, or refuses it. */
  async #start(
    exchange: Exchange,
    work: RetainedWork,
    slotKey: SlotKey,
  ): Promise<void> {
    const { answerCache: book, replication, self } = this.#options;
    const envelope = this.#envelope(exchange, work, slotKey);
    const answer = book.open(envelope, self);
    const refusal = await this.#claimAndAdmit(exchange, work, answer);
    if (refusal !== undefined) {
      answer.end(refusal);
      book.discard(answer);
      this.#refuse(exchange, refusal, envelope.id);
      return;
    }
    const canReconnect = envelope.key !== envelope.id || envelope.streamed;
    if (canReconnect) replication.opened(answer);
    answer.read(AFTER_ALL_EVENTS, {
      event: () => undefined,
      ended: (outcome) => this.#ended(answer, outcome),
    });
    this.#write(exchange, answer, work.form);
    work.start(answer);
  }

  #envelope(
    exchange: Exchange,
    work: RetainedWork,
    { slot, key }: SlotKey,
  ): RequestEnvelope {
    const now = this.#options.clock.now();
    const id = mintRequestId(slot, now);
    return {
      id,
      slot,
      key: key ?? id,
      workspace: exchange.caller.workspace.name,
      service: work.service.name,
      body: work.replicatedBody,
      deadline: exchangeDeadline(exchange, work.service, now),
      streamed: work.form === "stream",
      fingerprint: work.fingerprint,
    };
  }

  /** Claims and admits work; returns the refusal if it must not run. */
  async #claimAndAdmit(
    exchange: Exchange,
    work: RetainedWork,
    { envelope }: Answer,
  ): Promise<ProblemOutcome | undefined> {
    const { gate, slots, clock } = this.#options;
    const { id, key, slot, deadline } = envelope;
    const keyed = key !== id;
    if (keyed) {
      const end = await this.#claim(slot, keyRequest(exchange, work, key));
      if (end !== "execute") return CLAIM_OUTCOMES[end];
    }
    const refusal = await gate.admit(
      work.service.name,
      admissionRequest(exchange, { ...work, id, deadline }, clock.now()),
    );
    if (refusal !== undefined && keyed) slots.finish(slot, key, "withdrawn");
    if (refusal !== undefined || keyed) return refusal;
    const late = this.#refusalBeforeStop(exchange, work);
    if (late !== undefined) gate.end(work.service.name, id);
    return late;
  }

  /**
   * Refuses work without a key that can't end before this host does, since its caller
   * can't read the answer elsewhere; that of a stream can.
   */
  #refusalBeforeStop(
    exchange: Exchange,
    { service, form, runMilliseconds }: RetainedWork,
  ): RefusedNotRun | undefined {
    if (form === "stream") return undefined;
    const { gate, clock } = this.#options;
    const deadline = exchangeDeadline(exchange, service, clock.now());
    return gate.refusalBeforeStop(service.name, { deadline, runMilliseconds });
  }

  async #claim(slot: number, request: KeyRequest): Promise<ClaimOutcome> {
    const { clock, slots, metrics } = this.#options;
    const started = clock.now();
    const cancel = clock.after(CLAIM_TIMEOUT_MILLISECONDS, () =>
      slots.withdraw(slot, request.key),
    );
    const end = await slots.open(slot, request);
    cancel();
    metrics.count("claim", end);
    metrics.time("claim_milliseconds", clock.now() - started);
    return end;
  }

  #ended({ envelope }: Answer, outcome: Outcome): void {
    const { gate, slots, answerCache: book } = this.#options;
    const { id, key, slot, service } = envelope;
    gate.end(service, id);
    if (key === id) return;
    const notRun = outcome.kind === "refused_not_run";
    slots.finish(slot, key, notRun ? "withdrawn" : "done");
    const answer = book.byId(id);
    if (notRun && answer !== undefined) book.discard(answer);
  }

  #readCached(exchange: Exchange, id: string): void {
    const { answerCache: book, metrics } = this.#options;
    const answer = book.byId(id);
    const evicted = book.evicted(id);
    const own = exchange.caller.workspace.name;
    if (answer?.envelope.workspace === own) {
      metrics.count("answer_again");
      const form = answer.envelope.streamed ? "stream" : "whole";
      this.#write(exchange, answer, form);
    } else if (evicted?.workspace === own) {
      this.#refuse(exchange, evictedOutcome(evicted.reason), id);
    } else {
      const detail = `request id ${id}, expected a known one`;
      const unknown = refused("unknown_request", detail);
      refuseWithEarlierUnknown(exchange, unknown, metrics);
    }
  }

  #write(exchange: Exchange, answer: Answer, form: AnswerForm): void {
    const { caller, response } = exchange;
    const { certainEvents } = answer;
    if (certainEvents !== undefined && caller.lastEvent >= certainEvents) {
      this.#refuse(exchange, PROGRESS_LOST, answer.envelope.id);
      return;
    }
    writeAnswer(answer, response, {
      form,
      after: form === "stream" ? caller.lastEvent : -1,
      onCallerGone: () => this.#handleCallerGone(answer),
    });
  }

  /**
   * Cancels work without a key if no caller reads its answer any more. A stream
   * continues for a while, so that the caller can reconnect.
   */
  #handleCallerGone(answer: Answer): void {
    const { metrics, clock, chat } = this.#options;
    metrics.count("drop", "caller_gone");
    const { id, key, streamed } = answer.envelope;
    if (key !== id) return;
    clock.after(streamed ? RESUME_GRACE_MILLISECONDS : 0, () => {
      if (answer.callers === 0) chat.cancel(id);
    });
  }

  #refuse(
    { response }: Exchange,
    outcome: ProblemOutcome,
    requestId?: string,
  ): void {
    const { metrics } = this.#options;
    refuse(response, outcome, { metrics, requestId });
  }
}

function keyRequest(
  { caller }: Exchange,
  { guarded }: RetainedWork,
  key: string,
): KeyRequest {
  return { key, keyTime: timeOfKey(caller.key ?? ""), guarded };
}

/**
 * Verdicts on keys whose request may have run before. Work that is not guarded
 * runs all the same, since it may be repeated.
 */
const UNKNOWN_HISTORY_VERDICTS: readonly KeyDecision["kind"][] = [
  "history_lost",
  "key_expired",
];

const TAKEN_OVER = inDoubt(
  "taken_over",
  "another host had the request and its end is not known",
);

const PROGRESS_LOST = inDoubt(
  "progress_lost",
  "the caller has more of the answer than was kept",
);

const KEY_REUSED = refused(
  "key_reused",
  "key, expected a new one for another request",
);

const VERDICT_OUTCOMES: Readonly<
  Record<KeyDecision["kind"], (verdict: KeyDecision) => ProblemOutcome>
> = {
  new: () => TAKEN_OVER,
  known: (verdict) =>
    verdict.kind === "known" && verdict.record.status === "done"
      ? evictedOutcome("answer_expired")
      : TAKEN_OVER,
  not_primary: () =>
    inDoubt("taken_over", "the slot has moved; ask again with the same key"),
  history_lost: () =>
    inDoubt("slot_history_lost", "both holders of the key were lost"),
  key_expired: () =>
    inDoubt("key_expired", "the key is older than keys are remembered"),
  key_time_ahead: () =>
    refused("key_time_ahead", "time of the key, expected not the future"),
};

const CLAIM_OUTCOMES: Readonly<
  Record<Exclude<ClaimOutcome, "execute">, ProblemOutcome>
> = {
  in_doubt: TAKEN_OVER,
  withdrawn: refused(
    "backup_unreachable",
    "the claim could not be recorded at a second host",
    RETRY_AFTER,
  ),
};
