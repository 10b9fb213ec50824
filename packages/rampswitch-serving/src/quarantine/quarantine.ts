// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * The requests under which backend servers ended, as one host knows them: asked
 * before a send, told after a loss. A request that has lost three servers runs only
 * as a trial, at one host at a time, and the more rarely the more it has lost; one
 * whole answer frees it.
 *
 * @module
 */
import type { Clock, Logger } from "rampswitch-utils";
import type { ServingMetrics } from "../observation/mod.ts";
import { type Fingerprint, outlineOf } from "./fingerprint.ts";
import {
  EMPTY_ENTRY,
  forgottenAt,
  isHeld,
  isStored,
  lastLossAt,
  merged,
  type QuarantineEntry,
  tellsMore,
  tried,
  trialDueAt,
} from "./quarantine_entry.ts";
import { SilentLosses } from "./unconfirmed_losses.ts";

/** Whether a request may be sent to a server. */
export type QuarantineDecision =
  | { readonly kind: "free" }
  /** It may run here as a trial, once. */
  | { readonly kind: "trial" }
  | { readonly kind: "held"; readonly waitMilliseconds: number };

/** A time before now, in milliseconds, for hosts without a common clock. */
export type Age = number;

/** What hosts tell each other of one request. */
export interface QuarantineNews {
  readonly fingerprint: string;
  readonly lostLives: Readonly<Record<string, Age>>;
  readonly tried: Age | undefined;
  readonly trials: number;
  readonly ranWhole: Age | undefined;
}

/** This host's place among those that may try a request. */
export interface TrialTurn {
  /** Hosts that come before this one. */
  readonly rank: number;
  /** Time after which a host knows what another one began, in milliseconds. */
  readonly lagMilliseconds: number;
}

/** What a quarantine works with. */
export interface QuarantineParts {
  /** A steady clock. */
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: ServingMetrics;
  /** This host's turn to try a request; all hosts agree on the order. */
  turn(fingerprint: string): TrialTurn;
  /** What the store keeps of a request has changed here. */
  onStoredChange(): void;
}

/** A life of a server that ended. */
export interface LostLife {
  /** Names the life among all lives of all servers. */
  readonly life: string;
  /** When its end was announced, if it was. */
  readonly leavingSince: number | undefined;
}

/** Requests that are kept; one takes some 300 bytes. */
const MOST_ENTRIES = 2_000;

/** Entries that are given up together, so that a flood seldom sorts. */
const GIVEN_UP_TOGETHER = 200;

/** A change is told for this time, in milliseconds: some lost messages. */
const TOLD_MILLISECONDS = 3_000;

/** Requests in one message and in the store; those with most losses come first. */
const MOST_TOLD = 32;

/** The order of hosts is taken anew after this time, in milliseconds. */
const TURN_MILLISECONDS = 2_000;

const FREE: QuarantineDecision = { kind: "free" };
const TRIAL: QuarantineDecision = { kind: "trial" };

interface KnownRequest {
  readonly entry: QuarantineEntry;
  /** When the entry last told something new. */
  readonly changedAt: number;
}

interface KnownTurn {
  readonly turn: TrialTurn;
  readonly at: number;
}

/** Requests under which servers ended. */
export class Quarantine {
  readonly #parts: QuarantineParts;
  readonly #requests = new Map<string, KnownRequest>();
  /** Number of requests with each outline. */
  readonly #outlines = new Map<string, number>();
  readonly #turns = new Map<string, KnownTurn>();
  readonly #silent = new SilentLosses();

  constructor(parts: QuarantineParts) {
    this.#parts = parts;
  }

  /** Whether a request may be sent now; changes nothing. */
  decide(request: Fingerprint): QuarantineDecision {
    const entry = this.#heldEntryOf(request);
    if (entry === undefined) return FREE;
    const now = this.#parts.clock.now();
    const { rank, lagMilliseconds } = this.#turn(request.text, now);
    // Hosts take their turns one lag apart: who comes later has heard of a trial.
    const dueAt = trialDueAt(entry) + rank * lagMilliseconds;
    return now >= dueAt
      ? TRIAL
      : { kind: "held", waitMilliseconds: dueAt - now };
  }

  /** The same for a request that is sent now; a trial has begun with it. */
  begin(request: Fingerprint): QuarantineDecision {
    const decision = this.decide(request);
    if (decision.kind !== "trial") return decision;
    const entry = this.#entryOf(request) ?? EMPTY_ENTRY;
    this.#take(request.text, tried(entry, this.#parts.clock.now()));
    this.#parts.metrics.event("quarantine_trial");
    this.#tell("quarantined request on trial", request.text);
    return decision;
  }

  /** Whether a request must not be sent a further time in the same attempt. */
  forbidsRepeat(request: Fingerprint): boolean {
    return this.#heldEntryOf(request) !== undefined;
  }

  /** A server's connection broke under a request that it had begun. */
  lost(request: Fingerprint, { life, leavingSince }: LostLife): void {
    // An end that was announced has another cause.
    if (leavingSince !== undefined) return;
    this.#lostLife(request.text, life, this.#parts.clock.now());
  }

  /** A server fell silent under a request; it may have ended. */
  silent(request: Fingerprint, { life, leavingSince }: LostLife): void {
    if (leavingSince !== undefined) return;
    this.#silent.add(life, request.text, this.#parts.clock.now());
  }

  /** A life of a server has ended without an announcement. */
  lifeEnded(life: string): void {
    this.#silent
      .take(life, this.#parts.clock.now())
      .forEach(({ fingerprint, at }) => this.#lostLife(fingerprint, life, at));
  }

  /** A request ran to its end, so it does not end servers. */
  ranWhole(request: Fingerprint): void {
    const before = this.#entryOf(request);
    if (before === undefined) return;
    const ranWholeAt = this.#parts.clock.now();
    this.#take(request.text, { ...EMPTY_ENTRY, ranWholeAt });
    if (!isHeld(before)) return;
    this.#parts.metrics.event("quarantine_freed");
    this.#tell("quarantined request freed", request.text);
    if (isStored(before)) this.#parts.onStoredChange();
  }

  /** What to tell the other hosts now. */
  news(): readonly QuarantineNews[] {
    const now = this.#parts.clock.now();
    this.#forgetOld(now);
    return this.#foremost(
      now,
      ({ entry, changedAt }) =>
        isHeld(entry) || now - changedAt < TOLD_MILLISECONDS,
    );
  }

  /** Takes in what another host told. */
  heard(news: readonly QuarantineNews[]): void {
    const now = this.#parts.clock.now();
    news
      .slice(0, MOST_TOLD)
      .forEach((one) => this.#take(one.fingerprint, entryOf(one, now)));
  }

  /** The requests that the store is to keep. */
  stored(): readonly QuarantineNews[] {
    const now = this.#parts.clock.now();
    return this.#foremost(now, ({ entry }) => isStored(entry));
  }

  /** Those to tell of, as many as fit into one message. */
  #foremost(
    now: number,
    isTold: (known: KnownRequest) => boolean,
  ): readonly QuarantineNews[] {
    return [...this.#requests]
      .filter(([, known]) => isTold(known))
      .toSorted(([, left], [, right]) => mostImportantFirst(left, right))
      .slice(0, MOST_TOLD)
      .map(([fingerprint, { entry }]) => newsOf(fingerprint, entry, now));
  }

  #lostLife(fingerprint: string, life: string, at: number): void {
    const before = this.#requests.get(fingerprint)?.entry ?? EMPTY_ENTRY;
    this.#take(fingerprint, {
      ...EMPTY_ENTRY,
      lostLives: new Map([[life, at]]),
    });
    const after = this.#requests.get(fingerprint)?.entry ?? EMPTY_ENTRY;
    if (!tellsMore(after, before)) return;
    this.#parts.metrics.event("quarantine_loss");
    this.#tell("server ended under a request", fingerprint, life);
    if (isStored(after)) this.#parts.onStoredChange();
  }

  #entryOf(request: Fingerprint): QuarantineEntry | undefined {
    // Requests are hashed only while some are known, and whole only if like one.
    if (this.#requests.size === 0) return undefined;
    if (!this.#outlines.has(request.outline)) return undefined;
    return this.#requests.get(request.text)?.entry;
  }

  #heldEntryOf(request: Fingerprint): QuarantineEntry | undefined {
    const entry = this.#entryOf(request);
    return entry !== undefined && isHeld(entry) ? entry : undefined;
  }

  #take(fingerprint: string, told: QuarantineEntry): void {
    const now = this.#parts.clock.now();
    const known = this.#requests.get(fingerprint);
    const before = known?.entry ?? EMPTY_ENTRY;
    const entry = merged(before, told);
    if (!tellsMore(entry, before) || forgottenAt(entry) <= now) return;
    if (known === undefined) this.#countOutline(fingerprint, 1);
    this.#requests.set(fingerprint, { entry, changedAt: now });
    this.#giveUpLeast();
  }

  /** Gives up entries when there are too many: those with fewest losses first. */
  #giveUpLeast(): void {
    if (this.#requests.size <= MOST_ENTRIES) return;
    [...this.#requests]
      .toSorted(([, left], [, right]) => mostImportantFirst(left, right))
      .slice(MOST_ENTRIES - GIVEN_UP_TOGETHER)
      .forEach(([fingerprint]) => this.#forget(fingerprint));
  }

  #forgetOld(now: number): void {
    [...this.#requests]
      .filter(([, { entry }]) => forgottenAt(entry) <= now)
      .forEach(([fingerprint]) => this.#forget(fingerprint));
    const held = [...this.#requests.values()].filter(({ entry }) =>
      isHeld(entry),
    );
    this.#parts.metrics.gauge("quarantined_requests", held.length);
  }

  #forget(fingerprint: string): void {
    this.#requests.delete(fingerprint);
    this.#turns.delete(fingerprint);
    this.#countOutline(fingerprint, -1);
  }

  #countOutline(fingerprint: string, change: number): void {
    const outline = outlineOf(fingerprint);
    const count = (this.#outlines.get(outline) ?? 0) + change;
    if (count === 0) this.#outlines.delete(outline);
    else this.#outlines.set(outline, count);
  }

  #turn(fingerprint: string, now: number): TrialTurn {
    const known = this.#turns.get(fingerprint);
    if (known !== undefined && now - known.at < TURN_MILLISECONDS) {
      return known.turn;
    }
    const turn = this.#parts.turn(fingerprint);
    this.#turns.set(fingerprint, { turn, at: now });
    return turn;
  }

  #tell(message: string, fingerprint: string, life?: string): void {
    const entry = this.#requests.get(fingerprint)?.entry ?? EMPTY_ENTRY;
    const now = this.#parts.clock.now();
    const wait = trialDueAt(entry) - now;
    this.#parts.logger.info(message, {
      fingerprint,
      life,
      lostServers: entry.lostLives.size,
      lostAge: rounded(now - lastLossAt(entry)),
      triedAge: rounded(now - entry.triedAt),
      trialInMilliseconds: rounded(wait),
    });
  }
}

function mostImportantFirst(left: KnownRequest, right: KnownRequest): number {
  return (
    right.entry.lostLives.size - left.entry.lostLives.size ||
    right.changedAt - left.changedAt
  );
}

function newsOf(
  fingerprint: string,
  entry: QuarantineEntry,
  now: number,
): QuarantineNews {
  return {
    fingerprint,
    lostLives: Object.fromEntries(
      [...entry.lostLives].map(([life, at]) => [life, now - at]),
    ),
    tried: ageOf(entry.triedAt, now),
    trials: entry.trials,
    ranWhole: ageOf(entry.ranWholeAt, now),
  };
}

function entryOf(news: QuarantineNews, now: number): QuarantineEntry {
  return {
    lostLives: new Map(
      Object.entries(news.lostLives).map(([life, age]) => [
        life,
        timeOf(age, now),
      ]),
    ),
    triedAt: timeOf(news.tried, now),
    trials: news.trials,
    ranWholeAt: timeOf(news.ranWhole, now),
  };
}

/** Clocks that went wrong must not tell of times to come. */
function timeOf(age: Age | undefined, now: number): number {
  return now - Math.max(0, age ?? Infinity);
}

function ageOf(at: number, now: number): Age | undefined {
  return Number.isFinite(at) ? now - at : undefined;
}

function rounded(milliseconds: number): number | undefined {
  return Number.isFinite(milliseconds) ? Math.round(milliseconds) : undefined;
}
