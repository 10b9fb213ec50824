// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Queries backend servers for their load before a send. What a host knows of other
 * hosts' work may be a second old, and servers change their speed several times per
 * second, so long work is sent by fresh figures.
 *
 * @module
 */
import type { Clock } from "rampswitch-utils";
import type { ReportedLoad } from "../model/request.ts";
import type { ServerRecord } from "./server_record.ts";

/**
 * Time that a send waits for answers, in milliseconds. Servers answer at once, so this
 * covers two round trips between data halls, one of them to connect.
 */
export const LOAD_QUERY_MILLISECONDS = 30;

/**
 * Time after which a query without an answer is aborted, in milliseconds. Until then a
 * late answer still updates the server's figures, and its connection stays open.
 */
const ABORT_MILLISECONDS = 1_000;

/** How a query ended, or that it had no answer in time. */
export type LoadQueryOutcome = "answered" | "unreadable" | "failed" | "late";

/** A query in progress. */
export interface SentLoadQuery {
  abort(): void;
}

/** Called once with the answer of a server. */
export type LoadQueryListener = (
  answer:
    | { readonly kind: "answered"; readonly load: ReportedLoad }
    | { readonly kind: "unreadable" | "failed" },
) => void;

/** What queries use. */
export interface LoadQueryParts {
  readonly clock: Clock;
  /** Sends a query to a server through the connections that its requests use. */
  send(
    record: ServerRecord,
    path: string,
    listener: LoadQueryListener,
  ): SentLoadQuery;
  /** Applies the load that a server reported to a query that was sent at `sentAt`. */
  applyLoad(record: ServerRecord, load: ReportedLoad, sentAt: number): void;
  /** Counts the outcome of a query. */
  count(outcome: LoadQueryOutcome): void;
}

/** A query that has no answer yet, and who waits for it. */
interface PendingQuery {
  readonly waiting: Set<() => void>;
  isLate: boolean;
}

/** Queries servers for their load; each server has at most one query at a time. */
export class LoadQueries {
  readonly #parts: LoadQueryParts;
  readonly #pending = new Map<string, PendingQuery>();

  constructor(parts: LoadQueryParts) {
    this.#parts = parts;
  }

  /**
   * Queries servers for their load. Resolves when all have answered or failed, or after
   * {@link LOAD_QUERY_MILLISECONDS}; the servers' records then have their figures.
   */
  ask(records: readonly ServerRecord[], path: string): Promise<void> {
    return new Promise((resolve) => {
      const pending = records.map((record) => this.#query(record, path));
      let unanswered = 0;
      const end = () => {
        cancelTimer();
        pending.forEach((query) => query?.waiting.delete(answered));
        resolve();
      };
      const answered = () => {
        unanswered -= 1;
        if (unanswered === 0) end();
      };
      const cancelTimer = this.#parts.clock.after(
        LOAD_QUERY_MILLISECONDS,
        () => {
          pending.forEach((query) => this.#noteLate(query, answered));
          end();
        },
      );
      pending.forEach((query) => {
        if (query === undefined) return;
        unanswered += 1;
        query.waiting.add(answered);
      });
      if (unanswered === 0) end();
    });
  }

  /** Starts a query; returns it if it has no answer yet. */
  #query(record: ServerRecord, path: string): PendingQuery | undefined {
    const { clock } = this.#parts;
    const { incarnation } = record;
    const known = this.#pending.get(incarnation);
    // A server that has not answered in time must not delay further requests.
    if (known !== undefined) return known.isLate ? undefined : known;
    const query: PendingQuery = { waiting: new Set(), isLate: false };
    this.#pending.set(incarnation, query);
    const sentAt = clock.now();
    let cancelAbort: () => void = () => undefined;
    const finish = (outcome: LoadQueryOutcome) => {
      if (this.#pending.get(incarnation) !== query) return false;
      cancelAbort();
      this.#pending.delete(incarnation);
      if (!query.isLate) this.#parts.count(outcome);
      return true;
    };
    const sent = this.#parts.send(record, path, (answer) => {
      if (!finish(answer.kind)) return;
      if (answer.kind === "answered") {
        this.#parts.applyLoad(record, answer.load, sentAt);
      }
      [...query.waiting].forEach((notify) => notify());
    });
    if (!this.#pending.has(incarnation)) return undefined;
    cancelAbort = clock.after(ABORT_MILLISECONDS, () => {
      if (finish("late")) sent.abort();
    });
    return query;
  }

  #noteLate(query: PendingQuery | undefined, answered: () => void): void {
    if (query === undefined || query.isLate) return;
    if (!query.waiting.has(answered)) return;
    query.isLate = true;
    this.#parts.count("late");
  }
}
