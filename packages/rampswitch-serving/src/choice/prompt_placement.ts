// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Placement of long prompts. An engine prefills a prompt in chunks, one in each step,
 * and each step emits one token of every running stream, so the prefill of a long
 * prompt delays the events of all streams that run there. Pure.
 *
 * @module
 */
import type { EngineLimits } from "../model/configuration.ts";
import type { ServerRecord } from "./server_record.ts";

/**
 * Prefill time from which a prompt is long, in milliseconds. It delays an event of a
 * running stream by a quarter of a second on an engine that is 2.5 times as slow as
 * usual, half of the pause that makes a response late.
 */
const LONG_PREFILL_MILLISECONDS = 100;

/**
 * Weight of the delay of other requests' streams; 1 counts it like a delay of the own
 * first part. Targets leave a first part more time than a pause may take. With 1, 0.015
 * of long streams were delayed too long on a replayed calm day; with 2, 0.009; higher
 * weights change nothing.
 */
const STREAM_DELAY_WEIGHT = 2;

/** Number of servers whose times are predicted for a long prompt, beside its homes. */
const COMPARED_SERVERS = 8;

/** Maximum number of candidates, which are asked for their load. */
export const MAXIMUM_CANDIDATES = 3;

/**
 * Difference of predicted times within which servers count as equal, as a share of the
 * prefill time. One more running stream makes a greater difference.
 */
const EQUAL_TIME_SHARE = 0.5;

/** Share of an engine's memory above which it gets a request only as a last resort. */
const MAXIMUM_MEMORY_SHARE = 0.9;

/** Reported slowdown from which the prefill of a prompt avoids a server. */
const SLOW_FACTOR = 1.5;

/**
 * How requests are placed at a service whose servers report their speed.
 */
export interface Placement {
  /** Number of home servers of the prompt's longest shared part. */
  readonly homes: number;
  /** Mean time for which the requests of the service occupy a slot. */
  readonly meanHoldMilliseconds: number;
  /** Tokens of memory that the request holds at its end. */
  readonly memoryTokens: number;
}

/** What decides how a prompt is placed. */
export interface PlacementInputs {
  /** Milliseconds on the monotonic clock. */
  readonly now: number;
  /** Data hall of this host. */
  readonly dataHall: string;
  readonly engine: EngineLimits | undefined;
  readonly promptTokens: number;
  /** Prefill rate of an engine, in tokens per millisecond. */
  readonly readingRate: number;
  readonly placement?: Placement | undefined;
  /** Returns a random number in [0, 1). */
  draw(): number;
}

/** Whether a prompt is placed where its prefill delays the fewest streams. */
export function isLongPrompt(inputs: PlacementInputs): boolean {
  return (
    inputs.placement !== undefined &&
    inputs.engine !== undefined &&
    inputs.promptTokens >= LONG_PREFILL_MILLISECONDS * inputs.readingRate
  );
}

/**
 * Whether an engine has memory for a request beside those that run there. Requests often
 * hold more than expected, so a tenth is left free.
 */
export function hasFreeMemory(
  { memory }: ServerRecord,
  { engine, now, placement }: PlacementInputs,
): boolean {
  if (placement === undefined || engine === undefined) return true;
  const tokens = memory.tokens(now) + placement.memoryTokens;
  return tokens <= MAXIMUM_MEMORY_SHARE * engine.memoryTokens;
}

/** Whether a server reports that work there takes much longer than usual. */
export function isSlowNow(
  { speed }: ServerRecord,
  { now, placement }: PlacementInputs,
): boolean {
  return placement !== undefined && speed.reportedFactor(now) >= SLOW_FACTOR;
}

/** Delay of the streams at a server by a prefill, in milliseconds of predicted time. */
export function streamDelay(
  record: ServerRecord,
  prefillMilliseconds: number,
  now: number,
): number {
  const streams = Math.min(record.entry.slots, record.currentLoad(now));
  return prefillMilliseconds * streams * STREAM_DELAY_WEIGHT;
}

/**
 * Returns the servers where the prefill of a long prompt probably costs least, without
 * regard to cached parts. Equal ones are taken from a random position on.
 */
export function leastDelayed(
  records: readonly ServerRecord[],
  inputs: PlacementInputs,
): readonly ServerRecord[] {
  if (records.length <= COMPARED_SERVERS) return records;
  const { now, readingRate } = inputs;
  const prefill = inputs.promptTokens / readingRate;
  const first = Math.floor(inputs.draw() * records.length);
  const least: ServerRecord[] = [];
  const costs: number[] = [];
  for (let index = 0; index < records.length; index += 1) {
    const record = records[(first + index) % records.length];
    if (record === undefined) continue;
    const queued = record.currentPrefillTokens(now) / readingRate;
    const cost =
      record.speed.slowdown(now) *
      (prefill + queued + streamDelay(record, prefill, now));
    if (least.length === COMPARED_SERVERS && cost >= (costs.at(-1) ?? 0)) {
      continue;
    }
    let at = least.length;
    while (at > 0 && cost < (costs[at - 1] ?? -Infinity)) at -= 1;
    least.splice(at, 0, record);
    costs.splice(at, 0, cost);
    if (least.length > COMPARED_SERVERS) {
      least.pop();
      costs.pop();
    }
  }
  return least;
}

/**
 * Draws up to {@link MAXIMUM_CANDIDATES} of the choices that are predicted best. All
 * hosts would otherwise choose the same idle engine, since what a host knows of the
 * others' work may be a second old. A home server that is among the best is drawn, so
 * that it has the shared parts of its prompts.
 */
export function drawCandidates<
  Item extends { readonly predictedMilliseconds: number },
>(
  choices: readonly Item[],
  inputs: PlacementInputs & { isHome(choice: Item): boolean },
): readonly Item[] {
  if (choices.length <= MAXIMUM_CANDIDATES) return choices;
  const sorted = choices.toSorted(
    (left, right) => left.predictedMilliseconds - right.predictedMilliseconds,
  );
  const prefill = inputs.promptTokens / inputs.readingRate;
  const limit =
    (sorted[0]?.predictedMilliseconds ?? 0) + EQUAL_TIME_SHARE * prefill;
  const best = sorted.filter(
    ({ predictedMilliseconds }, index) =>
      index < MAXIMUM_CANDIDATES || predictedMilliseconds <= limit,
  );
  const drawn = best.filter(
    (choice) => choice.predictedMilliseconds <= limit && inputs.isHome(choice),
  );
  const others = best.filter((choice) => !drawn.includes(choice));
  while (drawn.length < MAXIMUM_CANDIDATES && others.length > 0) {
    const index = Math.floor(inputs.draw() * others.length);
    drawn.push(...others.splice(index, 1));
  }
  return drawn.slice(0, MAXIMUM_CANDIDATES);
}
