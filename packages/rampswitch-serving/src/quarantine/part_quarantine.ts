// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * The prompt parts that are suspected to crash backend servers, as one host knows them.
 * Parts are tracked from the first server that ends under one of them; before that, a
 * request costs one look-up. A request with a part that is held runs only as a trial,
 * and a part has few trials. An answer clears the parts of its prompt.
 *
 * @module
 */
import type { Clock, Logger } from "rampswitch-utils";
import type { ServingMetrics } from "../observation/mod.ts";
import { headHash, KEY_DIGITS } from "./hashed_key.ts";
import {
  type CrashVerdict,
  crashVerdict,
  evidenceOf,
  isCandidate,
} from "./part_evidence.ts";
import type { QuarantineDecision, TrialRank } from "./quarantine.ts";
import {
  EMPTY_ENTRY,
  lastLossAt,
  type QuarantineEntry,
  retainedUntil,
  withoutRefuted,
  withTrial,
} from "./quarantine_entry.ts";
import {
  entryOf,
  type QuarantineUpdate,
  updateOf,
} from "./quarantine_update.ts";
import { type AnsweredParts, RecentAnswers } from "./recent_answers.ts";
import { type EndedServer, endOf, endOfName, nameOfEnd } from "./server_end.ts";
import type { SharedParts } from "./shared_parts.ts";
import { byImportance, isNews, TrackedEntries } from "./tracked_entries.ts";
import { UnconfirmedLosses } from "./unconfirmed_losses.ts";

/** Dependencies of the quarantine of parts. */
export interface PartQuarantineParts {
  /** A monotonic clock. */
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: ServingMetrics;
  /** This host's position among the hosts that may try a part. */
  trialRank(key: string): TrialRank;
  /** Whether this host received anything from an incarnation after the given time. */
  wasHeardAfter?(incarnation: string, time: number): boolean;
  /** Whether an incarnation ended under a whole request that is held by itself. */
  isExplained(incarnation: string): boolean;
  /** Versions of the software of a service's ready servers. */
  versions(service: string): readonly string[];
  /** Answers in progress at this host. */
  answering(): readonly AnsweredParts[];
  /** Called when a part that is stored has changed on this host. */
  onStoredChange(): void;
}

/**
 * Time for which an answer comes before it clears its parts, in milliseconds: a crash
 * comes as the answer begins.
 */
const CLEARING_MILLISECONDS = 500;

/** Maximum number of parts of one lost request that are tracked. */
const MAXIMUM_PARTS_OF_REQUEST = 256;

/** The same of a request whose server fell silent. */
const MAXIMUM_UNCONFIRMED_PARTS = 32;

/** Maximum number of parts with losses, and of cleared ones, in one message. */
const MAXIMUM_REPORTED_PARTS = 32;

/** Time for which a verdict is used, in milliseconds. */
const VERDICT_LIFETIME_MILLISECONDS = 50;

/**
 * Time until the next trial, by the number of trials so far, in milliseconds. After the
 * last one the part is held until its entry expires.
 */
const TRIAL_DELAYS_MILLISECONDS: readonly number[] = [4_000, 40_000, 400_000];

/** Maximum number of characters of a caller's part id in a log line. */
const MAXIMUM_LOGGED_ID_LENGTH = 64;

const FREE: QuarantineDecision = { kind: "free" };
const TRIAL: QuarantineDecision = { kind: "trial" };
const NO_VERDICT: CrashVerdict = { held: [], suspected: new Set() };

/** The parts that are suspected to crash servers. */
export class PartQuarantine {
  readonly #parts: PartQuarantineParts;
  readonly #tracked = new TrackedEntries(() => {
    this.#verdictUntil = -Infinity;
  });
  readonly #answers = new RecentAnswers();
  readonly #unconfirmed = new UnconfirmedLosses();
  #verdict = NO_VERDICT;
  #verdictUntil = -Infinity;
  /** Whether a part is new, so that earlier answers may clear it. */
  #hasNewParts = false;

  constructor(parts: PartQuarantineParts) {
    this.#parts = parts;
  }

  /** Returns whether a request may be sent now; has no side effects. */
  decide(request: SharedParts): QuarantineDecision {
    const held = this.#heldParts(request);
    if (held.length === 0) return FREE;
    const now = this.#parts.clock.now();
    const dueAt = Math.max(...held.map((key) => this.#trialAt(key, request)));
    return now >= dueAt
      ? TRIAL
      : { kind: "held", waitMilliseconds: dueAt - now };
  }

  /** Begins a trial of the parts of a request that are held, if it has any. */
  begin(request: SharedParts): void {
    const now = this.#parts.clock.now();
    this.#heldParts(request).forEach((key) => {
      this.#merge(key, withTrial(this.#tracked.entry(key), now));
      this.#parts.metrics.event("prompt_part_trial");
      this.#log("prompt part on trial", key);
      this.#parts.onStoredChange();
    });
  }

  /** Whether a request must not be sent again within the same attempt. */
  forbidsResend(request: SharedParts): boolean {
    const keys = this.#trackedKeys(request);
    if (keys.length === 0) return false;
    const { suspected } = this.#currentVerdict();
    return (
      keys.some((key) => suspected.has(key)) ||
      this.#heldParts(request).length > 0
    );
  }

  /** Records that a server ended under a request whose answer had hardly begun. */
  recordLoss(request: SharedParts, server: EndedServer): void {
    const end = nameOfEnd(endOf(server, "broken"));
    const now = this.#parts.clock.now();
    this.#lossKeys(request).forEach((key) => {
      const isNew = this.#countLoss(key, end, now);
      // The only place where a host knows both the key and the caller's id.
      if (!isNew || !this.#isHeld(key)) return;
      const id = request.idOf(key)?.slice(0, MAXIMUM_LOGGED_ID_LENGTH);
      this.#log("prompt part held", key, { end, id });
    });
  }

  /** Records that a server became unresponsive; it may have ended. */
  recordUnresponsive(request: SharedParts, server: EndedServer): void {
    const { incarnation } = server;
    const now = this.#parts.clock.now();
    const end = nameOfEnd(endOf(server, "silent"));
    this.#lossKeys(request)
      .slice(0, MAXIMUM_UNCONFIRMED_PARTS)
      .forEach((key) =>
        this.#unconfirmed.add(incarnation, `${key}${end}`, now),
      );
  }

  /** Records that an incarnation of a server ended without an announcement. */
  incarnationEnded(incarnation: string): void {
    this.#unconfirmed
      .take(incarnation, this.#parts.clock.now())
      .forEach(({ fingerprint, at }) => {
        const key = fingerprint.slice(0, KEY_DIGITS);
        this.#countLoss(key, fingerprint.slice(KEY_DIGITS), at);
      });
  }

  /** Records a whole answer, which clears the parts of its prompt. */
  recordAnswer(answer: AnsweredParts): void {
    this.#answers.add(answer);
    if (this.#tracked.size > 0) this.#clear(answer);
  }

  /** Whether an answer that began then has come for long enough to clear its parts. */
  isClearing(beganAt: number | undefined): beganAt is number {
    const now = this.#parts.clock.now();
    return beganAt !== undefined && now - beganAt >= CLEARING_MILLISECONDS;
  }

  /** Returns what to report to the other hosts now. */
  updates(): readonly QuarantineUpdate[] {
    if (this.#tracked.size === 0) return [];
    const now = this.#parts.clock.now();
    this.#clearAnswered(now);
    this.#removeExpired(now);
    const recent = this.#tracked.all.filter(
      ([key, tracked]) => isNews(tracked, now) || this.#isHeld(key),
    );
    const lost = recent.filter(([, { entry }]) => hasLosses(entry));
    const cleared = recent.filter(([, { entry }]) => !hasLosses(entry));
    const reported = [...lost, ...cleared.slice(-MAXIMUM_REPORTED_PARTS)];
    return byImportance(reported)
      .slice(0, 2 * MAXIMUM_REPORTED_PARTS)
      .map(([key, { entry }]) => updateOf(key, entry, now));
  }

  /** Receives what another host reported. */
  receive(updates: readonly QuarantineUpdate[]): void {
    const now = this.#parts.clock.now();
    updates.slice(0, 2 * MAXIMUM_REPORTED_PARTS).forEach((update) => {
      const entry = entryOf(update, now);
      // An answer alone is of use only for a part that this host tracks.
      if (!hasLosses(entry) && !this.#tracked.has(update.fingerprint)) return;
      this.#merge(update.fingerprint, entry);
    });
  }

  /** Returns the parts to store. */
  stored(): readonly QuarantineUpdate[] {
    const now = this.#parts.clock.now();
    const stored = this.#tracked.all.filter(
      ([key, { entry }]) => this.#isHeld(key) || entry.trials > 0,
    );
    return byImportance(stored)
      .slice(0, MAXIMUM_REPORTED_PARTS)
      .map(([key, { entry }]) => updateOf(key, entry, now));
  }

  /** Counts an end; returns whether it was not known. */
  #countLoss(key: string, end: string, at: number): boolean {
    const lostIncarnations = new Map([[end, at]]);
    const isNew = this.#merge(key, { ...EMPTY_ENTRY, lostIncarnations });
    if (!isNew) return false;
    this.#parts.metrics.event("prompt_part_loss");
    if (this.#isHeld(key)) this.#parts.onStoredChange();
    return true;
  }

  #clear({ parts, beganAt }: AnsweredParts): void {
    this.#trackedKeys(parts).forEach((key) => {
      const wasHeld = this.#isHeld(key);
      const isNew = this.#merge(key, { ...EMPTY_ENTRY, completedAt: beganAt });
      if (!isNew || !wasHeld || this.#isHeld(key)) return;
      this.#parts.metrics.event("prompt_part_freed");
      this.#log("prompt part freed", key);
      this.#parts.onStoredChange();
    });
  }

  /** Clears parts by answers that have come for some time, and by earlier ones. */
  #clearAnswered(now: number): void {
    const earlier = this.#hasNewParts ? this.#answers.newest(now) : [];
    this.#hasNewParts = false;
    const coming = this.#parts
      .answering()
      .filter(({ beganAt }) => this.isClearing(beganAt));
    [...earlier, ...coming].forEach((answer) => this.#clear(answer));
  }

  #trackedKeys(request: SharedParts): readonly string[] {
    if (this.#tracked.size === 0) return [];
    return request
      .keys((headHash) => this.#tracked.hasHeadHash(headHash))
      .filter((key) => this.#tracked.has(key));
  }

  /** Keys of a lost request's parts; those that are tracked come first. */
  #lossKeys(request: SharedParts): readonly string[] {
    const tracked = this.#trackedKeys(request);
    const all = new Set([...tracked, ...request.keys(() => true)]);
    return [...all].slice(0, MAXIMUM_PARTS_OF_REQUEST);
  }

  /** Parts of a request that are held; none if it lacks a part of each group. */
  #heldParts(request: SharedParts): readonly string[] {
    const keys = this.#trackedKeys(request);
    if (keys.length === 0) return [];
    const own = new Set(keys);
    return this.#currentVerdict()
      .held.filter((group) => [...group].every((key) => own.has(key)))
      .flatMap((group) => [...group]);
  }

  #isHeld(key: string): boolean {
    return this.#currentVerdict().held.some((group) => group.has(key));
  }

  #currentVerdict(): CrashVerdict {
    const now = this.#parts.clock.now();
    if (now < this.#verdictUntil) return this.#verdict;
    if (this.#hasNewParts) this.#clearAnswered(now);
    const parts = this.#tracked.all
      .filter(([, { entry }]) => isCandidate({ ends: entry.lostIncarnations }))
      .map(([key, { entry }]) => evidenceOf(key, this.#unrefuted(entry)));
    this.#verdict = crashVerdict(parts, (incarnation) =>
      this.#parts.isExplained(incarnation),
    );
    this.#verdictUntil = now + VERDICT_LIFETIME_MILLISECONDS;
    return this.#verdict;
  }

  #unrefuted(entry: QuarantineEntry): QuarantineEntry {
    return withoutRefuted(
      entry,
      (end, time) =>
        this.#parts.wasHeardAfter?.(endOfName(end).incarnation, time) === true,
    );
  }

  /** When this host may try a part. */
  #trialAt(key: string, { service }: SharedParts): number {
    const entry = this.#tracked.entry(key);
    const delay = TRIAL_DELAYS_MILLISECONDS[entry.trials];
    if (delay === undefined) return retainedUntil(entry);
    const since = Math.max(lastLossAt(entry), entry.lastTrialAt);
    // New software may answer what crashed the former one.
    const isReplaced = !this.#parts
      .versions(service)
      .some((version) => endedAtVersion(entry, version));
    const { rank, lagMilliseconds } = this.#parts.trialRank(key);
    return since + (isReplaced ? 0 : delay) + rank * lagMilliseconds;
  }

  /** Merges an entry; returns whether it holds anything new. */
  #merge(key: string, received: QuarantineEntry): boolean {
    const wasTracked = this.#tracked.has(key);
    const now = this.#parts.clock.now();
    if (!this.#tracked.merge(key, received, now)) return false;
    this.#hasNewParts ||= !wasTracked;
    this.#verdictUntil = -Infinity;
    return true;
  }

  #removeExpired(now: number): void {
    this.#tracked.removeExpired(now);
    const { held } = this.#currentVerdict();
    this.#parts.metrics.gauge("held_prompt_parts", held.length);
  }

  #log(
    message: string,
    key: string,
    loss?: { readonly end: string; readonly id: string | undefined },
  ): void {
    const { lostIncarnations, trials, completedAt } = this.#tracked.entry(key);
    const now = this.#parts.clock.now();
    this.#parts.logger.info(message, {
      part: key,
      id: loss?.id,
      life: loss && endOfName(loss.end).incarnation,
      ends: [...lostIncarnations.keys()]
        .map((name) => endOfName(name).incarnation)
        .join(","),
      trials,
      answeredAge: Number.isFinite(completedAt)
        ? Math.round(now - completedAt)
        : undefined,
    });
  }
}

function hasLosses({ lostIncarnations }: QuarantineEntry): boolean {
  return lostIncarnations.size > 0;
}

function endedAtVersion(entry: QuarantineEntry, version: string): boolean {
  const versionHash = headHash(version);
  return [...entry.lostIncarnations.keys()].some(
    (name) => endOfName(name).versionHash === versionHash,
  );
}
