// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * What answers tell: the speed of the server, how fast engines read prompts, what
 * requests take, and that a server rejects requests.
 *
 * @module
 */
import type { Choice, ServerRecord } from "../choice/mod.ts";
import {
  promptTokensOf,
  type ServerSpeed,
  type WorkEstimates,
} from "../estimates/mod.ts";
import type { ReportedLoad } from "../model/request.ts";
import type { AdmittedRequest } from "./admitted_request.ts";
import type { RequestContext } from "./request_context.ts";
import type { ComparedTime } from "./run_record.ts";

/** One send whose answer is measured. */
export interface TimedSend {
  readonly choice: Choice;
  readonly sentAt: number;
  /** Prompt tokens that the server had still to read before this request's. */
  readonly unreadBefore: number;
}

/** One send whose answer has ended. */
export interface AnsweredSend extends TimedSend {
  /** When a stream's first part arrived. */
  readonly firstPartAt?: number | undefined;
  /** Events of a streamed answer. */
  readonly events: number;
  /** Whether the request was sent to no other server. */
  readonly isOnlySend: boolean;
}

/** The parts of the request context that observations use. */
export type ObservationContext = Pick<
  RequestContext,
  "clock" | "metrics" | "readingRates" | "workEstimates"
>;

/**
 * Shortest time that is compared, in milliseconds; shorter ones count as it. They depend
 * on delays of this process: at 10 ms, some pauses of a busy machine made a server with
 * answers of 3 ms seem slow for seconds.
 */
const MINIMUM_COMPARED_MILLISECONDS = 30;

/**
 * Longest time that the speed at its end applies to, in milliseconds. Servers change
 * their speed about every 600 ms, so that longer answers see several speeds.
 */
const MAXIMUM_SCALED_MILLISECONDS = 600;

/** Applies the load that a server reported with an answer to a send. */
export function observeReportedLoad(
  load: ReportedLoad,
  { choice: { record }, sentAt }: TimedSend,
  { clock, metrics }: ObservationContext,
): void {
  const now = clock.now();
  record.reported(load, now);
  const { workTimePercent: figure } = load;
  if (figure === undefined || record.speed.reported(figure, now, { sentAt }))
    return;
  metrics.event("load_figure_ignored");
}

/**
 * Measures the time to the first part of an engine's stream, which arrived just now and
 * whose request was sent only once. Returns it with the expected one.
 */
export function observeFirstPart(
  request: AdmittedRequest,
  send: TimedSend,
  { clock, readingRates, workEstimates }: ObservationContext,
): ComparedTime | undefined {
  const { choice, sentAt, unreadBefore } = send;
  const { name, engine } = request.service;
  if (engine === undefined) return undefined;
  const now = clock.now();
  const { speed } = choice.record;
  const measured = now - sentAt;
  const expected = workEstimates.expectedFirstPart(
    name,
    choice.workMilliseconds,
  );
  if (unreadBefore <= 0) {
    const tokens = promptTokensOf(request.head) - choice.cachedTokens;
    readingRates.addMeasurement(name, tokens, measured);
    workEstimates.addPrefill(name, {
      tokens,
      milliseconds: atUsualSpeed(measured, speed, now),
    });
  }
  const times = { kind: "first_part" as const, expected, measured };
  observeSpeed(request, { ...times, speed, sentAt, now }, workEstimates);
  return { expected: expected * choice.slowdown, measured };
}

/**
 * Measures a successful answer that ended just now. Returns the time of a whole answer
 * to the only send of its request, with the expected one.
 */
export function observeAnswer(
  request: AdmittedRequest,
  send: AnsweredSend,
  { clock, workEstimates }: ObservationContext,
): ComparedTime | undefined {
  const { choice, sentAt, isOnlySend } = send;
  const now = clock.now();
  const { speed } = choice.record;
  const isEngineStream =
    request.route.streaming && request.service.engine !== undefined;
  // Of a resumed stream only a part is known.
  if (isEngineStream && send.firstPartAt === undefined) return undefined;
  const expectedHold =
    isEngineStream || !isOnlySend
      ? undefined
      : workEstimates.comparableHold(request);
  const prefillTokens =
    request.service.engine === undefined
      ? undefined
      : Math.max(0, promptTokensOf(request.head) - choice.cachedTokens);
  const hold = holdMilliseconds(request, send, { now, workEstimates });
  workEstimates.addMeasurement(request, {
    holdMilliseconds: atUsualSpeed(hold, speed, now),
    prefillTokens,
    events: isEngineStream ? send.events : undefined,
  });
  if (expectedHold === undefined) return undefined;
  const measured = now - sentAt;
  const expected = expectedHold * waitFactor(choice);
  const times = { kind: "answer" as const, expected, measured };
  observeSpeed(request, { ...times, speed, sentAt, now }, workEstimates);
  return { expected: expected * choice.slowdown, measured };
}

/**
 * Time for which a request occupied its slot. If it waited for a slot, the time before
 * the first part of a stream is that of its own prefill alone.
 */
function holdMilliseconds(
  request: AdmittedRequest,
  { choice, sentAt, firstPartAt }: AnsweredSend,
  {
    now,
    workEstimates,
  }: Pick<ObservationContext, "workEstimates"> & { readonly now: number },
): number {
  const total = now - sentAt;
  const factor = waitFactor(choice);
  if (factor === 1) return total;
  if (firstPartAt === undefined) return total / factor;
  const prefill =
    Math.max(0, promptTokensOf(request.head) - choice.cachedTokens) /
    workEstimates.prefillRate(request.service.name);
  return Math.min(total, now - firstPartAt + prefill);
}

/** Factor by which the wait for a slot prolongs a request at the load it met. */
function waitFactor({ load, record: { entry } }: Choice): number {
  const waiting = Math.max(0, load + 1 - entry.slots);
  return 1 + waiting / Math.max(1, entry.slots);
}

/**
 * The time that work would have taken at usual speed. Reports of a high speed don't
 * lengthen it: a false one would raise the hold times of all servers.
 */
function atUsualSpeed(
  milliseconds: number,
  speed: ServerSpeed,
  now: number,
): number {
  return milliseconds > MAXIMUM_SCALED_MILLISECONDS
    ? milliseconds
    : milliseconds / Math.max(1, speed.slowdown(now));
}

function observeSpeed(
  { service }: AdmittedRequest,
  {
    kind,
    expected,
    measured,
    speed,
    sentAt,
    now,
  }: ComparedTime & {
    readonly kind: "first_part" | "answer";
    readonly speed: ServerSpeed;
    readonly sentAt: number;
    readonly now: number;
  },
  workEstimates: WorkEstimates,
): void {
  const reported = speed.reportedFactor(now);
  // What the reports explain is not usual or unusual for the service.
  const ratio = compared(measured) / compared(expected * reported);
  const unusual = workEstimates.comparedRatio(service.name, { kind, ratio });
  speed.observed(unusual * reported, now, { sentAt });
}

function compared(milliseconds: number): number {
  return Math.max(MINIMUM_COMPARED_MILLISECONDS, milliseconds);
}

/**
 * Counts a rejection against its server. A server that asked for a back-off or
 * advertises a limit already gets fewer requests, and is not also left out.
 */
export function observeRejection(
  record: ServerRecord,
  {
    brittle,
    clock,
    permits,
  }: Pick<RequestContext, "brittle" | "clock" | "permits">,
): void {
  const now = clock.now();
  brittle.recordRejection(record);
  if (record.backOff.isActive(now)) return;
  if (permits.limitOf(record) !== undefined) return;
  record.rejected(now);
}
