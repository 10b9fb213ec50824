// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Keeping the progress of requests at the other holders of their slots, so
 * that one of them can go on. Three ways, compared in docs/design/survival.md:
 * `each` lets the caller see an event only once a holder has it; `batch` sends
 * events together every few milliseconds; `none` sends no events, only the
 * attempt, so that the engine has to repeat them.
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

/** Ways of holding a stream's progress. */
export type ProgressMode = "each" | "batch" | "none";

const BATCH_MILLISECONDS = 25;

/** How replication is made. */
export interface ReplicationOptions {
  readonly self: HostId;
  readonly mode: ProgressMode;
  readonly links: ReplicaLinks;
  readonly book: AnswerCache;
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly holders: (slot: number) => readonly HostId[];
  readonly epochOf: (slot: number) => number;
}

/** Sends progress to the holders and takes in theirs. */
export class RequestReplication {
  readonly #options: ReplicationOptions;
  readonly #sentEvents = new Map<string, number>();
  readonly #due = new Set<Answer>();
  #cancel: (() => void) | undefined;

  constructor(options: ReplicationOptions) {
    this.#options = options;
  }

  /** Tells the holders about a new request. */
  opened(answer: Answer): void {
    this.#toHolders(answer, openedEntry(answer.envelope, this.#options));
    this.#sentEvents.set(answer.envelope.id, 0);
  }

  /** Tells the holders where an attempt runs. */
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

  /** Adds events to an answer, in the way that the mode asks for. */
  async progressed(
    answer: Answer,
    first: number,
    events: readonly string[],
  ): Promise<void> {
    const kept = this.#sentEvents.has(answer.envelope.id);
    if (kept && this.#options.mode === "each") {
      await this.#heldByAll(answer, first, events);
    }
    answer.append(first, events);
    if (!kept || this.#options.mode !== "batch") return;
    this.#due.add(answer);
    this.#cancel ??= this.#options.clock.after(BATCH_MILLISECONDS, () =>
      this.flush(),
    );
  }

  /** Tells the holders how a request ended, after all of its events. */
  ended(answer: Answer, outcome: Outcome): void {
    if (!this.#sentEvents.has(answer.envelope.id)) return;
    if (this.#options.mode !== "none") this.#sendDue(answer);
    this.#due.delete(answer);
    this.#sentEvents.delete(answer.envelope.id);
    this.#toHolders(answer, endedEntry(answer.envelope.id, outcome));
  }

  /** Sends all events that are due now. */
  flush(): void {
    this.#cancel?.();
    this.#cancel = undefined;
    const due = [...this.#due];
    this.#due.clear();
    due.forEach((answer) => this.#sendDue(answer));
  }

  /** Sends everything about the unfinished requests of a slot to a host. */
  teach(slot: number, host: HostId): void {
    this.#options.book.all
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

  /** Takes in an entry of a peer that runs the request. */
  receive(from: HostId, { entry }: ReplicaEntry): void {
    const { book } = this.#options;
    switch (entry.case) {
      case "opened": {
        const answer = book.open(envelopeFromWire(entry.value), from);
        if (answer.outcome === undefined) answer.runner = from;
        return;
      }
      case "attempt": {
        const answer = this.#ranBy(from, entry.value.id);
        const { attempt, server } = entry.value;
        if (answer !== undefined) answer.attempt = { attempt, server };
        return;
      }
      case "progress":
        this.#ranBy(from, entry.value.id)?.append(
          entry.value.first,
          entry.value.events,
        );
        return;
      case "ended":
        this.#ranBy(from, entry.value.id)?.end(outcomeFromWire(entry.value));
        return;
      default:
    }
  }

  /** An answer that a peer runs; entries of a former runner are dropped. */
  #ranBy(from: HostId, id: string): Answer | undefined {
    const answer = this.#options.book.byId(id);
    if (answer === undefined || answer.runner === from) return answer;
    this.#options.metrics.count("drop", "former_attempt");
    return undefined;
  }

  #heldByAll(
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

  #sendDue(answer: Answer): void {
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

function endedEntry(id: string, outcome: Outcome): ReplicaEntry {
  const told =
    outcome.kind === "completed"
      ? { reason: "", detail: "" }
      : { reason: outcome.reason, detail: outcome.detail };
  return create(ReplicaEntrySchema, {
    entry: { case: "ended", value: { id, outcome: outcome.kind, ...told } },
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
