// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Links to the peers that hold replicas: one stream to each, over which entries
 * travel in order. Entries that nobody waits for travel with the next urgent
 * one, or after a few milliseconds. After a failure, entries without an answer
 * are sent again; every entry can be taken in twice.
 *
 * @module
 */
import { create, toBinary } from "@bufbuild/protobuf";
import type { HostId } from "rampswitch-types";
import { type Clock, type Metrics, sleep } from "rampswitch-utils";
import {
  type PeerClients,
  type ReplicaEntry,
  type ReplicateRequest,
  ReplicateRequestSchema,
  type ReplicateResponse,
  type SlotMessage as WireSlotMessage,
} from "rampswitch-peer";
import { MessageQueue } from "./message_queue.ts";

const ANSWER_MILLISECONDS = 1_000;
const RETRY_MILLISECONDS = 100;
const PATIENT_MILLISECONDS = 10;
/** One message of so many is encoded once more to count its bytes. */
const BYTES_SAMPLE = 8;
const MAXIMUM_ENTRIES = 512;
const MAXIMUM_WAITING = 20_000;
/** Messages without an answer; more entries wait and travel together. */
const WINDOW = 2;

/** What links tell their owner. */
export interface LinkListener {
  /** A peer answered to entries. */
  answered(from: HostId, answers: readonly WireSlotMessage[]): void;
  /** A peer did not answer. */
  failed(to: HostId): void;
  /** Address of a peer; `undefined` once it is no member. */
  addressOf(host: HostId): string | undefined;
}

/** How links are made. */
export interface LinkOptions {
  readonly self: HostId;
  readonly clients: PeerClients;
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly listener: LinkListener;
}

/** How an entry travels. */
export interface PushOptions {
  /** Whether somebody waits for it. */
  readonly urgent: boolean;
  /** Runs once the peer has taken it in, or will never do so. */
  readonly delivered?: (() => void) | undefined;
}

interface Waiting {
  readonly entry: ReplicaEntry;
  readonly delivered: (() => void) | undefined;
}

interface Sent {
  readonly sequence: number;
  readonly waiting: readonly Waiting[];
}

/** The link to one peer. */
class Link {
  readonly #to: HostId;
  readonly #options: LinkOptions;
  #waiting: Waiting[] = [];
  #sent: readonly Sent[] = [];
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
    if (this.#closed || this.#waiting.length >= MAXIMUM_WAITING) {
      this.#options.metrics.count("link_overflow");
      delivered?.();
      return;
    }
    this.#waiting.push({ entry, delivered });
    if (urgent) this.#flushSoon();
    else {
      this.#cancelFlush ??= this.#options.clock.after(
        PATIENT_MILLISECONDS,
        () => this.#flush(),
      );
    }
  }

  /** Ends the link; whoever waits for an entry waits no longer. */
  close(): void {
    this.#closed = true;
    this.#cancelFlush?.();
    this.#abort.abort();
    this.#stream?.close();
    const left = [...this.#sent.flatMap(({ waiting }) => waiting)];
    [...left, ...this.#waiting].forEach(({ delivered }) => delivered?.());
    this.#sent = [];
    this.#waiting = [];
  }

  /** Sends at the end of this turn of the loop, so that more can join. */
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
      void this.#run(this.#stream);
      this.#sent.forEach((sent) => this.#send(sent));
    }
    while (this.#waiting.length > 0 && this.#sent.length < WINDOW) {
      this.#sequence += 1;
      const waiting = this.#waiting.splice(0, MAXIMUM_ENTRIES);
      const sent = { sequence: this.#sequence, waiting };
      this.#sent = [...this.#sent, sent];
      this.#send(sent);
    }
  }

  #send({ sequence, waiting }: Sent): void {
    const { self, metrics } = this.#options;
    const request = create(ReplicateRequestSchema, {
      sender: self,
      sequence: BigInt(sequence),
      entries: waiting.map(({ entry }) => entry),
    });
    metrics.count("replicate_call");
    if (sequence % BYTES_SAMPLE === 0) {
      const bytes = toBinary(ReplicateRequestSchema, request).length;
      metrics.count("replicate_bytes", undefined, bytes * BYTES_SAMPLE);
    }
    this.#stream?.push(request);
  }

  /** Keeps one stream until it breaks, then prepares the next. */
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
      const watch = this.#watch(abort);
      try {
        for await (const answer of client.replicate(stream, { signal })) {
          this.#answered(answer);
        }
      } finally {
        watch();
      }
    });
    stream.close();
    if (this.#closed) return;
    metrics.count("replicate_failed");
    listener.failed(this.#to);
    await sleep(clock, RETRY_MILLISECONDS);
    this.#stream = undefined;
    if (this.#sent.length > 0 || this.#waiting.length > 0) this.#flush();
  }

  /** Breaks a stream off that has not answered for too long. */
  #watch(abort: AbortController): () => void {
    const { clock } = this.#options;
    let oldest: number | undefined;
    let cancel: () => void = () => undefined;
    const check = () => {
      const first = this.#sent[0]?.sequence;
      if (first !== undefined && first === oldest) abort.abort();
      oldest = first;
      cancel = clock.after(ANSWER_MILLISECONDS, check);
    };
    check();
    return () => cancel();
  }

  #answered({ sequence, answers }: ReplicateResponse): void {
    const done = this.#sent.filter((sent) => sent.sequence <= Number(sequence));
    this.#sent = this.#sent.filter((sent) => !done.includes(sent));
    done
      .flatMap(({ waiting }) => waiting)
      .forEach(({ delivered }) => delivered?.());
    this.#options.listener.answered(this.#to, answers);
    if (this.#waiting.length > 0) this.#flush();
  }
}

/** Links to all peers. */
export class ReplicaLinks implements AsyncDisposable {
  readonly #links = new Map<HostId, Link>();
  readonly #options: LinkOptions;

  constructor(options: LinkOptions) {
    this.#options = options;
  }

  /** Sends an entry to a peer. */
  push(to: HostId, entry: ReplicaEntry, options: PushOptions): void {
    const known = this.#links.get(to);
    const link = known ?? new Link(to, this.#options);
    if (known === undefined) this.#links.set(to, link);
    link.push(entry, options);
  }

  /** Forgets a peer that is gone. */
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
