// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Replicates the progress of requests to the other holders of their slots, so
 * that one of them can continue a request. There are three modes, compared in
 * docs/design/survival.md: `each` shows an event to the caller only after every
 * holder has answered for it or its link has dropped it; `batch` sends events
 * together every few milliseconds; `none` sends no events, only the attempt, so
 * that the engine has to repeat them.
 *
 * @module
 */
import { create } from "@bufbuild/protobuf";
import {
  type ReplicaEntry,
  ReplicaEntrySchema,
  type RequestEnded,
  type RequestOpened,
} from "rampswitch-peer";
import type { HostId, Outcome } from "rampswitch-types";
import { failed, inDoubt, refused } from "rampswitch-types";
import type { Clock, Metrics } from "rampswitch-utils";
import type {
  Answer,
  AnswerCache,
  RequestEnvelope,
  RunningAttempt,
} from "../outcome/answer_cache.ts";
import type { ReplicaLinks } from "./replica_link.ts";

/** Modes of replicating the events of a stream. */
export type ProgressMode = "each" | "batch" | "none";

const BATCH_INTERVAL_MILLISECONDS = 25;

/** Options of {@link RequestReplication}. */
export interface ReplicationOptions {
  readonly self: HostId;
  readonly mode: ProgressMode;
  readonly links: ReplicaLinks;
  readonly answerCache: AnswerCache;
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly holders: (slot: number) => readonly HostId[];
  readonly epochOf: (slot: number) => number;
}

/** Sends progress to the holders of a slot and applies progress from peers. */
export class RequestReplication {
  readonly #options: ReplicationOptions;
  readonly #sentEvents = new Map<string, number>();
  readonly #answersWithUnsentEvents = new Set<Answer>();
  #cancel: (() => void) | undefined;

  constructor(options: ReplicationOptions) {
    this.#options = options;
  }

  /** Replicates a new request to the holders. */
  opened(answer: Answer): void {
    this.#toHolders(answer, openedEntry(answer.envelope, this.#options));
    this.#sentEvents.set(answer.envelope.id, 0);
  }

  /** Replicates the server at which an attempt runs to the holders. */
  attempted(answer: Answer, attempt: RunningAttempt): void {
    answer.attempt = attempt;
    if (!this.#sentEvents.has(answer.envelope.id)) return;
    this.#toHolders(
      answer,
      create(ReplicaEntrySchema, {
        entry: {
          case: "attempt",
          value: { id: answer.envelope.id, ...attempt },
        },
      }),
    );
  }

  /** Adds events to an answer and replicates them as the mode requires. */
  async progressed(
    answer: Answer,
    first: number,
    events: readonly string[],
  ): Promise<void> {
    const replicated = this.#sentEvents.has(answer.envelope.id);
    if (replicated && this.#options.mode === "each") {
      await this.#replicateToAll(answer, first, events);
    }
    answer.append(first, events);
    if (!replicated || this.#options.mode !== "batch") return;
    this.#answersWithUnsentEvents.add(answer);
    this.#cancel ??= this.#options.clock.after(
      BATCH_INTERVAL_MILLISECONDS,
      () => this.flush(),
    );
  }

  /** Replicates the outcome of a request, after all of its events. */
  ended(answer: Answer, outcome: Outcome): void {
    if (!this.#sentEvents.has(answer.envelope.id)) return;
    if (this.#options.mode !== "none") this.#sendUnsentEvents(answer);
    this.#answersWithUnsentEvents.delete(answer);
    this.#sentEvents.delete(answer.envelope.id);
    this.#toHolders(answer, endedEntry(answer, outcome));
  }

  /** Sends all events that wait for the next batch. */
  flush(): void {
    this.#cancel?.();
    this.#cancel = undefined;
    const due = [...this.#answersWithUnsentEvents];
    this.#answersWithUnsentEvents.clear();
    due.forEach((answer) => this.#sendUnsentEvents(answer));
  }

  /**
   * Sends the unfinished requests of a slot to a host: each request, its attempt
   * and its events so far.
   */
  teach(slot: number, host: HostId): void {
    this.#options.answerCache.all
      .filter((answer) => answer.envelope.slot === slot)
      .filter((answer) => this.#sentEvents.has(answer.envelope.id))
      .forEach((answer) => {
        const { id } = answer.envelope;
        const push = (entry: ReplicaEntry) => this.#push(host, entry);
        push(openedEntry(answer.envelope, this.#options));
        if (answer.attempt !== undefined) {
          push(
            create(ReplicaEntrySchema, {
              entry: { case: "attempt", value: { id, ...answer.attempt } },
            }),
          );
        }
        if (answer.events.length > 0) {
          push(progressEntry(id, 0, answer.events));
        }
      });
  }

  /** Applies an entry from the peer that runs the request. */
  receive(from: HostId, { entry }: ReplicaEntry): void {
    const { answerCache: book } = this.#options;
    switch (entry.case) {
      case "opened": {
        const answer = book.open(envelopeFromWire(entry.value), from);
        if (answer.outcome === undefined) answer.runner = from;
        return;
      }
      case "attempt": {
        const answer = this.#answerRunBy(from, entry.value.id);
        const { attempt, server } = entry.value;
        if (answer !== undefined) answer.attempt = { attempt, server };
        return;
      }
      case "progress":
        this.#answerRunBy(from, entry.value.id)?.append(
          entry.value.first,
          entry.value.events,
        );
        return;
      case "ended": {
        const answer = this.#answerRunBy(from, entry.value.id);
        if (answer !== undefined) this.#receiveEnd(answer, entry.value);
        return;
      }
      default:
    }
  }

  /**
   * Ends an answer. One that is complete elsewhere and lacks events here is discarded,
   * so that its readers are sent to the host that has it.
   */
  #receiveEnd(answer: Answer, ended: RequestEnded): void {
    const outcome = outcomeFromWire(ended);
    const isWhole = answer.events.length >= ended.events;
    if (isWhole || outcome.kind !== "completed") {
      answer.end(outcome);
      return;
    }
    this.#options.metrics.count("drop", "incomplete_answer");
    answer.disconnectReaders();
    this.#options.answerCache.discard(answer);
  }

  /**
   * The answer with this id if the peer runs it. Entries from a former runner
   * are counted and dropped.
   */
  #answerRunBy(from: HostId, id: string): Answer | undefined {
    const answer = this.#options.answerCache.byId(id);
    if (answer === undefined || answer.runner === from) return answer;
    this.#options.metrics.count("drop", "former_attempt");
    return undefined;
  }

  #replicateToAll(
    answer: Answer,
    first: number,
    events: readonly string[],
  ): Promise<void> {
    const holders = this.#options.holders(answer.envelope.slot);
    const entry = progressEntry(answer.envelope.id, first, events);
    this.#sentEvents.set(answer.envelope.id, first + events.length);
    return Promise.all(
      holders.map(
        (host) =>
          new Promise<void>((resolve) => this.#push(host, entry, resolve)),
      ),
    ).then(() => undefined);
  }

  #sendUnsentEvents(answer: Answer): void {
    const { id } = answer.envelope;
    const first = this.#sentEvents.get(id);
    if (first === undefined || first >= answer.events.length) return;
    this.#sentEvents.set(id, answer.events.length);
    this.#toHolders(
      answer,
      progressEntry(id, first, answer.events.slice(first)),
    );
  }

  #toHolders(answer: Answer, entry: ReplicaEntry): void {
    this.#options
      .holders(answer.envelope.slot)
      .forEach((host) => this.#push(host, entry));
  }

  #push(host: HostId, entry: ReplicaEntry, delivered?: () => void): void {
    this.#options.metrics.count("replica_entry", entry.entry.case);
    this.#options.links.push(host, entry, {
      urgent: delivered !== undefined,
      delivered,
    });
  }
}

function openedEntry(
  envelope: RequestEnvelope,
  options: Pick<ReplicationOptions, "epochOf">,
): ReplicaEntry {
  return create(ReplicaEntrySchema, {
    entry: {
      case: "opened",
      value: {
        id: envelope.id,
        slot: envelope.slot,
        epoch: BigInt(options.epochOf(envelope.slot)),
        key: envelope.key,
        workspace: envelope.workspace,
        service: envelope.service,
        body: new Uint8Array(envelope.body),
        deadline: BigInt(Math.round(envelope.deadline)),
        streamed: envelope.streamed,
        keyFingerprint: envelope.fingerprint,
      },
    },
  });
}

function envelopeFromWire(wire: RequestOpened): RequestEnvelope {
  return {
    id: wire.id,
    slot: wire.slot,
    key: wire.key,
    workspace: wire.workspace,
    service: wire.service,
    body: Buffer.from(wire.body),
    deadline: Number(wire.deadline),
    streamed: wire.streamed,
    fingerprint: wire.keyFingerprint,
  };
}

function progressEntry(
  id: string,
  first: number,
  events: readonly string[],
): ReplicaEntry {
  return create(ReplicaEntrySchema, {
    entry: { case: "progress", value: { id, first, events: [...events] } },
  });
}

function endedEntry(answer: Answer, outcome: Outcome): ReplicaEntry {
  const { id } = answer.envelope;
  const events = answer.events.length;
  const reasonAndDetail =
    outcome.kind === "completed"
      ? { reason: "", detail: "" }
      : { reason: outcome.reason, detail: outcome.detail };
  return create(ReplicaEntrySchema, {
    entry: {
      case: "ended",
      value: { id, outcome: outcome.kind, ...reasonAndDetail, events },
    },
  });
}

const OUTCOME_BUILDERS: Readonly<
  Record<Outcome["kind"], (wire: RequestEnded) => Outcome>
> = {
  completed: () => ({ kind: "completed" }),
  refused_not_run: ({ reason, detail }) => refused(reason as never, detail),
  failed_ran: ({ reason, detail }) => failed(reason as never, detail),
  in_doubt: ({ reason, detail }) => inDoubt(reason as never, detail),
};

function outcomeFromWire(wire: RequestEnded): Outcome {
  return (
    OUTCOME_BUILDERS[wire.outcome as Outcome["kind"]]?.(wire) ??
    inDoubt("taken_over", `outcome ${wire.outcome}, expected a known kind`)
  );
}
