// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Choice of a backend server for one send: least predicted time to the first
 * part of the answer, with prices for other data halls and for failures. Pure.
 *
 * @module
 */
import { hash32 } from "rampswitch-utils";
import type { EngineLimits } from "../model/configuration.ts";
import type { PromptPart } from "../model/request.ts";
import { copiedParts, type Keeper, keeperOf } from "./prefix_copy.ts";
import type { PrefixKnowledge } from "./prefix_cache_estimate.ts";
import type { ServerRecord } from "./server_record.ts";

/** What a choice depends on beside the servers themselves. */
export interface ChoiceInputs {
  readonly now: number;
  readonly dataHall: string;
  readonly engine: EngineLimits | undefined;
  readonly parts: readonly PromptPart[];
  readonly promptTokens: number;
  /** Tokens that an engine reads in a millisecond. */
  readonly readingRate: number;
  /** Lives of servers not to choose, such as those already tried. */
  readonly excluded: ReadonlySet<string>;
  /** Requests that this host may have at one server at once. */
  readonly ownConnections: number;
  /**
   * Whether this host hears which prompts all others sent where. In a large
   * fleet it does not, and trusts that they use the same homes.
   */
  readonly hearsDispatches: boolean;
  /**
   * Time after the announcement of a server's end in which it takes requests
   * that no other server can take, in milliseconds.
   */
  readonly leavingMilliseconds: number;
  /** Draws a number in [0, 1). */
  draw(): number;
}

/** A server and the figures that chose it. */
export interface Choice {
  readonly record: ServerRecord;
  readonly predictedMilliseconds: number;
  /** Tokens that the server keeps or copies, and need not read. */
  readonly keptTokens: number;
  /** Another engine that keeps more of the prompt, to copy that from. */
  readonly copyFrom: ServerRecord | undefined;
  readonly load: number;
}

/** Outcome of a choice. */
export type ChoiceOutcome =
  | { readonly kind: "chosen"; readonly choice: Choice }
  /** No server of the service takes work. */
  | { readonly kind: "none" }
  /** Servers take work, but their places and queues are full. */
  | { readonly kind: "full" }
  /** All servers that take work rest. */
  | { readonly kind: "resting" };

/** Price of sending to another data hall, as milliseconds of waiting. */
const OTHER_DATA_HALL_MILLISECONDS = 6;

/** Price of a server that fails all requests, as milliseconds of waiting. */
const FAILURE_MILLISECONDS = 600;

/** Time that one more running request adds, in milliseconds. */
const RUNNING_MILLISECONDS = 1.5;

/** Wait for a place of an engine, per request above its slots. */
const ENGINE_WAIT_MILLISECONDS = 60;

/** Work of one request of a plain service, in milliseconds. */
const PLAIN_WORK_MILLISECONDS = 20;

/** Requests that may wait at a server, as a share of its slots. */
const WAITING_SHARE = 0.75;

/**
 * Preference for the servers that keep a prompt's shared parts, as milliseconds of
 * waiting. Loads are known late, kept parts are not; and each prompt that is read
 * elsewhere delays all that run beside it.
 */
const PREFERENCE_MILLISECONDS = 200;

/**
 * Share of a prompt's shared parts that its home is expected to keep, where the
 * prompts of others are not heard of.
 */
const HOME_KEPT_SHARE = 0.6;

/**
 * Servers that are compared beside the home where loads are known late. Two
 * choices are the least that spread load; one more keeps the tail short.
 */
const DRAWN_SERVERS = 3;

/** Chooses among the servers of a service. */
export function chooseServer(
  records: readonly ServerRecord[],
  prefixes: PrefixKnowledge,
  inputs: ChoiceInputs,
): ChoiceOutcome {
  const untried = records.filter((record) => !inputs.excluded.has(record.life));
  const ready = untried.filter((record) => record.isReady);
  const keeper = keeperOf(records, prefixes, inputs);
  const outcome = chooseAmong(ready, prefixes, { ...inputs, keeper });
  if (outcome.kind === "chosen") return outcome;
  const leaving = untried.filter((record) => takesLast(record, inputs));
  const last = chooseAmong(leaving, prefixes, { ...inputs, keeper });
  return last.kind === "chosen" ? last : outcome;
}

/**
 * Whether a leaving server takes a last request: its end was announced just now,
 * and what it runs can end or be moved in time. Where all data halls are
 * reclaimed within seconds, others start only as the last of these end.
 */
function takesLast(record: ServerRecord, inputs: ChoiceInputs): boolean {
  const { leavingSince } = record;
  return (
    !record.isReady &&
    leavingSince !== undefined &&
    inputs.now - leavingSince < inputs.leavingMilliseconds
  );
}

function chooseAmong(
  ready: readonly ServerRecord[],
  prefixes: PrefixKnowledge,
  inputs: ChoiceInputs & { readonly keeper: Keeper | undefined },
): ChoiceOutcome {
  if (ready.length === 0) return { kind: "none" };
  const awake = ready.filter(({ rest }) => !rest.holds(inputs.now));
  if (awake.length === 0) return { kind: "resting" };
  const healthy = awake.filter((record) => !record.isEjected(inputs.now));
  // Where all failed lately, trying one is better than refusing.
  const working = healthy.length > 0 ? healthy : awake;
  const open = working.filter((record) => hasRoom(record, inputs));
  if (open.length === 0) return { kind: "full" };
  const common = { ...inputs, preferred: preferredOf(open, prefixes, inputs) };
  const choices = candidates(open, common).map((record) =>
    predict(record, prefixes, common),
  );
  return { kind: "chosen", choice: leastOf(choices, inputs) };
}

/** The choice with the least time; of equal ones, any. */
function leastOf(
  choices: readonly Choice[],
  inputs: Pick<ChoiceInputs, "draw">,
): Choice {
  const best = choices.reduce((least, choice) =>
    choice.predictedMilliseconds < least.predictedMilliseconds ? choice : least,
  );
  const equal = choices.filter(
    ({ predictedMilliseconds }) =>
      predictedMilliseconds === best.predictedMilliseconds,
  );
  if (equal.length === 1) return best;
  return equal[Math.floor(inputs.draw() * equal.length)] ?? best;
}

/**
 * The servers to compare: all in a small fleet. In a large one the loads that
 * hosts know are as old as a request takes, so that all would choose the one
 * server that was idle a second ago; there, the home and a few drawn ones.
 */
function candidates(
  open: readonly ServerRecord[],
  inputs: ChoiceInputs & Preferred,
): readonly ServerRecord[] {
  if (inputs.hearsDispatches || open.length <= DRAWN_SERVERS) return open;
  const preferred = open.filter(({ entry }) => inputs.preferred.has(entry.id));
  return [...new Set([...preferred, ...drawn(open, DRAWN_SERVERS, inputs)])];
}

/** Some different servers at random. */
function drawn(
  open: readonly ServerRecord[],
  count: number,
  inputs: ChoiceInputs,
): readonly ServerRecord[] {
  return Array.from({ length: count }).reduce<readonly ServerRecord[]>(
    (chosen) => {
      const left = open.filter((record) => !chosen.includes(record));
      const next = left[Math.floor(inputs.draw() * left.length)];
      return next === undefined ? chosen : [...chosen, next];
    },
    [],
  );
}

function hasRoom(record: ServerRecord, inputs: ChoiceInputs): boolean {
  const places = record.entry.slots * (1 + WAITING_SHARE);
  return (
    record.rest.takes(inputs.now) &&
    record.load(inputs.now) < places &&
    record.ownRunning < inputs.ownConnections
  );
}

function predict(
  record: ServerRecord,
  prefixes: PrefixKnowledge,
  inputs: ChoiceInputs &
    Preferred & {
      readonly keeper: Keeper | undefined;
    },
): Choice {
  const load = record.load(inputs.now);
  const isPreferred = inputs.preferred.has(record.entry.id);
  const keptTokens = Math.max(
    prefixes.keptTokens(record.entry.id, inputs.parts),
    isPreferred && !inputs.hearsDispatches
      ? HOME_KEPT_SHARE * sharedTokens(inputs.parts)
      : 0,
  );
  const copied = copiedParts(record, keptTokens, inputs);
  const distance =
    record.entry.dataHall === inputs.dataHall
      ? 0
      : OTHER_DATA_HALL_MILLISECONDS;
  const failures = record.failureShare * FAILURE_MILLISECONDS;
  const work =
    inputs.engine === undefined
      ? plainMilliseconds(load, record.entry.slots)
      : engineMilliseconds(record, {
          ...inputs,
          load,
          keptTokens,
        });
  const preference = isPreferred ? PREFERENCE_MILLISECONDS : 0;
  return {
    record,
    keptTokens: keptTokens + copied.tokens,
    copyFrom: copied.from,
    load,
    predictedMilliseconds: work + distance + failures - preference,
  };
}

function plainMilliseconds(load: number, slots: number): number {
  const waiting = Math.max(0, load + 1 - slots);
  return (
    (load / slots) * PLAIN_WORK_MILLISECONDS * 0.5 +
    (waiting / slots) * PLAIN_WORK_MILLISECONDS * 2
  );
}

function engineMilliseconds(
  record: ServerRecord,
  inputs: ChoiceInputs & {
    readonly load: number;
    readonly keptTokens: number;
  },
): number {
  const unread = record.unreadTokens(inputs.now);
  const own = Math.max(0, inputs.promptTokens - inputs.keptTokens);
  const waiting = Math.max(0, inputs.load + 1 - record.entry.slots);
  return (
    (unread + own) / inputs.readingRate +
    inputs.load * RUNNING_MILLISECONDS +
    waiting * ENGINE_WAIT_MILLISECONDS
  );
}

/** Servers that are preferred for what they keep. */
interface Preferred {
  readonly preferred: ReadonlySet<string>;
}

/**
 * The servers that keep most of a prompt's shared parts, where this host hears
 * of all prompts and any does; the home of the prompt otherwise.
 */
function preferredOf(
  records: readonly ServerRecord[],
  prefixes: PrefixKnowledge,
  inputs: ChoiceInputs,
): ReadonlySet<string> {
  const keepers = inputs.hearsDispatches
    ? keepersOf(records, prefixes, inputs.parts.slice(0, -1))
    : [];
  // Only without keepers: the home takes a hash of each server.
  if (keepers.length > 0) return new Set(keepers);
  const home = homeOf(records, inputs.parts);
  return new Set(home === undefined ? [] : [home]);
}

function keepersOf(
  records: readonly ServerRecord[],
  prefixes: PrefixKnowledge,
  shared: readonly PromptPart[],
): readonly string[] {
  const kept = records.map(({ entry: { id } }) => ({
    id,
    tokens: prefixes.keptTokens(id, shared),
  }));
  const most = Math.max(0, ...kept.map(({ tokens }) => tokens));
  return most === 0
    ? []
    : kept.filter(({ tokens }) => tokens === most).map(({ id }) => id);
}

/**
 * The server that all hosts prefer for a prompt that no server is known to
 * keep: the highest hash with the longest part that requests share.
 */
function homeOf(
  records: readonly ServerRecord[],
  parts: readonly PromptPart[],
): string | undefined {
  const shared = parts.at(-2)?.id;
  if (shared === undefined) return undefined;
  return records
    .map(({ entry }) => ({
      id: entry.id,
      score: hash32(`${shared}|${entry.id}`),
    }))
    .reduce((best, next) => (next.score > best.score ? next : best)).id;
}

/** Tokens of the parts that other prompts may share: all but the last. */
function sharedTokens(parts: readonly PromptPart[]): number {
  return parts.slice(0, -1).reduce((sum, part) => sum + part.tokens, 0);
}
