// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Links to the peers that hold replicas. Each link sends its entries in order
 * over one stream. Entries that are not urgent are sent with the next urgent
 * one, or after a few milliseconds. After a failure, unanswered entries are sent
 * again, so a peer must be able to apply every entry twice.
 *
 * @module
 */
import { create, toBinary } from "@bufbuild/protobuf";
import type { HostId } from "rampswitch-types";
import {
  type Clock,
  type Logger,
  type Metrics,
  runInBackground,
  sleep,
} from "rampswitch-utils";
import {
  type PeerClients,
  type ReplicaEntry,
  type ReplicateRequest,
  ReplicateRequestSchema,
  type ReplicateResponse,
  type SlotMessage as WireSlotMessage,
} from "rampswitch-peer";
import { MessageQueue } from "./message_queue.ts";

const ANSWER_TIMEOUT_MILLISECONDS = 1_000;
const RETRY_DELAY_MILLISECONDS = 100;
const BATCH_DELAY_MILLISECONDS = 10;
/** One in this many messages is encoded a second time to count its bytes. */
const BYTES_SAMPLING_INTERVAL = 8;
const MAXIMUM_ENTRIES_PER_MESSAGE = 512;
const MAXIMUM_WAITING_ENTRIES = 20_000;
/**
 * Number of messages that may be unanswered at once. Further entries wait, and
 * are sent together in one message.
 */
const MAXIMUM_UNANSWERED_MESSAGES = 2;

/** Callbacks from the links to their owner. */
export interface LinkListener {
  /** A peer answered a message of entries. */
  answered(from: HostId, answers: readonly WireSlotMessage[]): void;
  /** The stream to a peer failed or was aborted for lack of answers. */
  failed(to: HostId): void;
  /** Address of a peer; `undefined` once it is no longer a member. */
  addressOf(host: HostId): string | undefined;
}

/** Options of {@link ReplicaLinks}. */
export interface LinkOptions {
  readonly self: HostId;
  readonly clients: PeerClients;
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly logger: Logger;
  readonly listener: LinkListener;
}

/** How an entry is sent. */
export interface PushOptions {
  /** Whether to send the entry at once instead of batching it. */
  readonly urgent: boolean;
  /**
   * Called once the peer has applied the entry. Also called if the entry is
   * dropped because the link is full or closed, so that its waiter resumes.
   */
  readonly delivered?: (() => void) | undefined;
}

interface WaitingEntry {
  readonly entry: ReplicaEntry;
  readonly delivered: (() => void) | undefined;
}

interface SentMessage {
  readonly sequence: number;
  readonly waiting: readonly WaitingEntry[];
}

/** The link to one peer. */
class Link {
  readonly #to: HostId;
  readonly #options: LinkOptions;
  #waiting: WaitingEntry[] = [];
  #sent: readonly SentMessage[] = [];
  #sequence = 0;
  #stream: MessageQueue<ReplicateRequest> | undefined;
  #abort = new AbortController();
  #flushing = false;
  #cancelFlush: (() => void) | undefined;
  #closed = false;

  constructor(to: HostId, options: LinkOptions) {
    this.#to = to;
    this.#options = options;
  }

  push(entry: ReplicaEntry, { urgent, delivered }: PushOptions): void {
    if (this.#closed || this.#waiting.length >= MAXIMUM_WAITING_ENTRIES) {
      this.#options.metrics.count("link_overflow");
      delivered?.();
      return;
    }
    this.#waiting.push({ entry, delivered });
    if (urgent) this.#flushSoon();
    else {
      this.#cancelFlush ??= this.#options.clock.after(
        BATCH_DELAY_MILLISECONDS,
        () => this.#flush(),
      );
    }
  }

  /** Closes the link and calls `delivered` for all entries that remain. */
  close(): void {
    this.#closed = true;
    this.#cancelFlush?.();
    this.#abort.abort();
    this.#stream?.close();
    const unanswered = [...this.#sent.flatMap(({ waiting }) => waiting)];
    [...unanswered, ...this.#waiting].forEach(({ delivered }) => delivered?.());
    this.#sent = [];
    this.#waiting = [];
  }

  /** Flushes in a microtask, so that entries pushed until then are included. */
  #flushSoon(): void {
    if (this.#flushing) return;
    this.#flushing = true;
    queueMicrotask(() => {
      this.#flushing = false;
      this.#flush();
    });
  }

  #flush(): void {
    this.#cancelFlush?.();
    this.#cancelFlush = undefined;
    if (this.#closed) return;
    if (this.#stream === undefined) {
      this.#stream = new MessageQueue();
      const stream = this.#stream;
      const { logger } = this.#options;
      runInBackground("replication", { logger }, () => this.#run(stream));
      this.#sent.forEach((sent) => this.#send(sent));
    }
    while (
      this.#waiting.length > 0 &&
      this.#sent.length < MAXIMUM_UNANSWERED_MESSAGES
    ) {
      this.#sequence += 1;
      const waiting = this.#waiting.splice(0, MAXIMUM_ENTRIES_PER_MESSAGE);
      const sent = { sequence: this.#sequence, waiting };
      this.#sent = [...this.#sent, sent];
      this.#send(sent);
    }
  }

  #send({ sequence, waiting }: SentMessage): void {
    const { self, metrics } = this.#options;
    const request = create(ReplicateRequestSchema, {
      sender: self,
      sequence: BigInt(sequence),
      entries: waiting.map(({ entry }) => entry),
    });
    metrics.count("replicate_call");
    if (sequence % BYTES_SAMPLING_INTERVAL === 0) {
      const bytes = toBinary(ReplicateRequestSchema, request).length;
      metrics.count(
        "replicate_bytes",
        undefined,
        bytes * BYTES_SAMPLING_INTERVAL,
      );
    }
    this.#stream?.push(request);
  }

  /**
   * Runs one stream until it fails. After a delay, opens the next one if entries
   * remain to be sent.
   */
  async #run(stream: MessageQueue<ReplicateRequest>): Promise<void> {
    const { listener, clients, metrics, clock } = this.#options;
    const abort = new AbortController();
    this.#abort = abort;
    const address = listener.addressOf(this.#to);
    if (address === undefined) {
      this.close();
      return;
    }
    const { signal } = abort;
    await clients.call(address, async (client) => {
      const stopCheck = this.#abortWhenStalled(abort);
      try {
        for await (const answer of client.replicate(stream, { signal })) {
          this.#handleAnswer(answer);
        }
      } finally {
        stopCheck();
      }
    });
    stream.close();
    if (this.#closed) return;
    metrics.count("replicate_failed");
    listener.failed(this.#to);
    await sleep(clock, RETRY_DELAY_MILLISECONDS);
    this.#stream = undefined;
    if (this.#sent.length > 0 || this.#waiting.length > 0) this.#flush();
  }

  /**
   * Aborts a stream whose oldest unanswered message is the same at two checks in
   * succession, {@link ANSWER_TIMEOUT_MILLISECONDS} apart. Returns a function
   * that stops the checks.
   */
  #abortWhenStalled(abort: AbortController): () => void {
    const { clock } = this.#options;
    let oldest: number | undefined;
    let cancel: () => void = () => undefined;
    const check = () => {
      const first = this.#sent[0]?.sequence;
      if (first !== undefined && first === oldest) abort.abort();
      oldest = first;
      cancel = clock.after(ANSWER_TIMEOUT_MILLISECONDS, check);
    };
    check();
    return () => cancel();
  }

  #handleAnswer({ sequence, answers }: ReplicateResponse): void {
    const done = this.#sent.filter((sent) => sent.sequence <= Number(sequence));
    this.#sent = this.#sent.filter((sent) => !done.includes(sent));
    done
      .flatMap(({ waiting }) => waiting)
      .forEach(({ delivered }) => delivered?.());
    this.#options.listener.answered(this.#to, answers);
    if (this.#waiting.length > 0) this.#flush();
  }
}

/** The links to all peers, opened on first use. */
export class ReplicaLinks implements AsyncDisposable {
  readonly #links = new Map<HostId, Link>();
  readonly #options: LinkOptions;

  constructor(options: LinkOptions) {
    this.#options = options;
  }

  /** Queues an entry for a peer. */
  push(to: HostId, entry: ReplicaEntry, options: PushOptions): void {
    const known = this.#links.get(to);
    const link = known ?? new Link(to, this.#options);
    if (known === undefined) this.#links.set(to, link);
    link.push(entry, options);
  }

  /** Closes and removes the link to a peer that is gone. */
  forget(host: HostId): void {
    this.#links.get(host)?.close();
    this.#links.delete(host);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.#links.forEach((link) => link.close());
    this.#links.clear();
    await Promise.resolve();
  }
}
