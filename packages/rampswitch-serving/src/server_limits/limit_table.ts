// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * The limits that backend servers name, as one host knows them: read in answers, and
 * told by other hosts. Pure; all times are on the steady clock of this host.
 *
 * @module
 */
import type { Logger } from "rampswitch-utils";
import { nameOfLife, type ServerLife } from "../model/backend_server.ts";
import type { ServingMetrics } from "../observation/mod.ts";

/** What a server said of its limit, for hosts without a common clock. */
export interface LimitNews extends ServerLife {
  /** Requests a second from all hosts; `undefined`: it named none. */
  readonly perSecond: number | undefined;
  /** Milliseconds since a host read it. */
  readonly age: number;
}

/** Where a statement came from. */
type Origin = "answer" | "peer";

interface Statement {
  readonly perSecond: number | undefined;
  readonly at: number;
  readonly origin: Origin;
}

interface KnownLimit extends ServerLife {
  readonly newest: Statement;
  /** Lower limits that were said before, each with the time of its successor. */
  readonly former: readonly {
    readonly perSecond: number;
    readonly until: number;
  }[];
}

/**
 * Time for which a lower limit holds on after a higher one was said, in
 * milliseconds. Answers overtake one another, and news of both may cross.
 */
const LOWER_HOLDS_MILLISECONDS = 700;

/**
 * Time for which the end of a limit is remembered, in milliseconds, so that late
 * news of it changes nothing.
 */
const ENDED_MILLISECONDS = 30_000;

/** Limits in one message, the newest first. */
const MOST_TOLD = 256;

/** Servers whose limits are remembered. */
const MOST_KNOWN = 8_192;

/** What a book works with. */
export interface LimitBookParts {
  readonly logger: Logger;
  readonly metrics: ServingMetrics;
  /** A server's answer named a limit that is new, or lower than it was. */
  onLower(): void;
}

/** Limits of backend servers. */
export class LimitBook {
  readonly #parts: LimitBookParts;
  readonly #known = new Map<string, KnownLimit>();

  constructor(parts: LimitBookParts) {
    this.#parts = parts;
  }

  /** Lives of servers that have, or had lately, a limit. */
  get lives(): readonly ServerLife[] {
    return [...this.#known.values()];
  }

  /** Whether any server is known to have, or to have had, a limit. */
  get isEmpty(): boolean {
    return this.#known.size === 0;
  }

  /**
   * Requests a second that a server takes from all hosts; `undefined`: it names no
   * limit. The lower of two that were said shortly after one another holds.
   */
  of(life: ServerLife, now: number): number | undefined {
    const known = this.#known.get(nameOfLife(life));
    if (known === undefined) return undefined;
    const lowest = Math.min(
      known.newest.perSecond ?? Infinity,
      ...known.former
        .filter(({ until }) => now - until < LOWER_HOLDS_MILLISECONDS)
        .map(({ perSecond }) => perSecond),
    );
    return Number.isFinite(lowest) ? lowest : undefined;
  }

  /** Age of what a server said last of its limit, in milliseconds. */
  ageOf(life: ServerLife, now: number): number {
    return now - (this.#known.get(nameOfLife(life))?.newest.at ?? -Infinity);
  }

  /** Takes in what an answer of a server said. */
  read(life: ServerLife, perSecond: number | undefined, now: number): void {
    const isNews = perSecond !== undefined || this.#known.has(nameOfLife(life));
    if (isNews) this.#take(life, { perSecond, at: now, origin: "answer" });
  }

  /** Takes in what another host told. */
  heard(news: readonly LimitNews[], now: number): void {
    news.forEach(({ perSecond, age, ...life }) =>
      this.#take(life, {
        perSecond,
        at: now - Math.max(0, age),
        origin: "peer",
      }),
    );
  }

  /** What to tell other hosts; of what they told themselves, only if asked. */
  news(
    now: number,
    { ownOnly }: { readonly ownOnly: boolean },
  ): readonly LimitNews[] {
    this.#forgetEnded(now);
    return [...this.#known.values()]
      .filter(({ newest }) => !ownOnly || newest.origin === "answer")
      .toSorted((left, right) => right.newest.at - left.newest.at)
      .slice(0, MOST_TOLD)
      .map(({ id, born, newest }) => ({
        id,
        born,
        perSecond: newest.perSecond,
        age: now - newest.at,
      }));
  }

  /** A server's life is over, and its limit with it. */
  forget(life: ServerLife): void {
    this.#known.delete(nameOfLife(life));
  }

  #take(life: ServerLife, said: Statement): void {
    const key = nameOfLife(life);
    const before = this.#known.get(key);
    if (before !== undefined && said.at <= before.newest.at) {
      this.#takeLate(before, said);
      return;
    }
    // Nothing is known of the server, so the end of its limit is no news.
    if (before === undefined && said.perSecond === undefined) return;
    this.#known.delete(key);
    this.#known.set(key, {
      ...life,
      newest: said,
      former: formerOf(before, said),
    });
    this.#forgetOldest();
    if (before?.newest.perSecond === said.perSecond) return;
    this.#tell(life, before?.newest, said);
    const lower =
      (said.perSecond ?? Infinity) < (before?.newest.perSecond ?? Infinity);
    if (lower && said.origin === "answer") this.#parts.onLower();
  }

  /** A limit that was said before the newest one, and heard after it. */
  #takeLate(known: KnownLimit, { perSecond, at }: Statement): void {
    if (perSecond === undefined) return;
    if (known.newest.at - at >= LOWER_HOLDS_MILLISECONDS) return;
    if (perSecond >= (known.newest.perSecond ?? Infinity)) return;
    const isKnown = known.former.some((one) => one.perSecond === perSecond);
    if (isKnown) return;
    this.#known.set(nameOfLife(known), {
      ...known,
      former: [...known.former, { perSecond, until: known.newest.at }],
    });
  }

  #forgetEnded(now: number): void {
    [...this.#known]
      .filter(
        ([, { newest }]) =>
          newest.perSecond === undefined &&
          now - newest.at >= ENDED_MILLISECONDS,
      )
      .forEach(([key]) => this.#known.delete(key));
    const limited = [...this.#known.values()].filter(
      ({ newest }) => newest.perSecond !== undefined,
    );
    this.#parts.metrics.gauge("limited_servers", limited.length);
  }

  #forgetOldest(): void {
    const [oldest] = this.#known.keys();
    if (this.#known.size <= MOST_KNOWN || oldest === undefined) return;
    this.#known.delete(oldest);
    this.#parts.metrics.event("server_limit_forgotten");
  }

  #tell(
    { id, born }: ServerLife,
    before: Statement | undefined,
    said: Statement,
  ): void {
    const change = changeOf(before?.perSecond, said.perSecond);
    this.#parts.metrics.event(`server_limit_${change}`);
    this.#parts.logger.info(`server limit ${change}`, {
      server: id,
      born,
      perSecond: said.perSecond,
      before: before?.perSecond,
      from: said.origin,
    });
  }
}

type Change = "learnt" | "raised" | "lowered" | "ended";

function changeOf(before: number | undefined, now: number | undefined): Change {
  if (now === undefined) return "ended";
  if (before === undefined) return "learnt";
  return now < before ? "lowered" : "raised";
}

/** The lower limits that a new statement takes the place of. */
function formerOf(
  before: KnownLimit | undefined,
  said: Statement,
): KnownLimit["former"] {
  if (before === undefined) return [];
  const { perSecond } = before.newest;
  const recent = before.former.filter(
    ({ until }) => said.at - until < LOWER_HOLDS_MILLISECONDS,
  );
  return perSecond === undefined || perSecond === said.perSecond
    ? recent
    : [...recent, { perSecond, until: said.at }];
}
