// Copyright 2026 the rampswitch authors. Apache-2.0 license.
/**
 * Links to the peers that hold replicas: entries queue up while one call is on
 * its way and then travel together, in order. A failed call is sent again;
 * every entry can be taken in twice.
 *
 * @module
 */
import { create, toBinary } from "@bufbuild/protobuf";
import type { HostId } from "rampswitch-types";
import { type Clock, type Metrics, sleep } from "rampswitch-utils";
import {
  type PeerClients,
  type ReplicaEntry,
  ReplicateRequestSchema,
  type SlotMessage as WireSlotMessage,
} from "rampswitch-peer";

const CALL_MILLISECONDS = 1_000;
const RETRY_MILLISECONDS = 100;
const MAXIMUM_ENTRIES_PER_CALL = 512;
const MAXIMUM_QUEUE = 20_000;

/** What links tell their owner. */
export interface LinkListener {
  /** A peer answered to entries. */
  answered(from: HostId, answers: readonly WireSlotMessage[]): void;
  /** A call to a peer failed. */
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

interface Waiting {
  readonly entry: ReplicaEntry;
  readonly delivered: (() => void) | undefined;
}

/** The link to one peer. */
class Link {
  readonly #to: HostId;
  readonly #options: LinkOptions;
  #queue: Waiting[] = [];
  #busy = false;

  constructor(to: HostId, options: LinkOptions) {
    this.#to = to;
    this.#options = options;
  }

  push(waiting: Waiting): void {
    if (this.#queue.length >= MAXIMUM_QUEUE) {
      this.#options.metrics.count("link_overflow");
      waiting.delivered?.();
      return;
    }
    this.#queue.push(waiting);
    if (this.#busy) return;
    this.#busy = true;
    queueMicrotask(() => void this.#run());
  }

  async #run(): Promise<void> {
    const { listener, clock } = this.#options;
    while (this.#queue.length > 0) {
      const address = listener.addressOf(this.#to);
      if (address === undefined) {
        this.#queue.forEach(({ delivered }) => delivered?.());
        this.#queue = [];
        break;
      }
      if (!(await this.#send(address))) await sleep(clock, RETRY_MILLISECONDS);
    }
    this.#busy = false;
  }

  async #send(address: string): Promise<boolean> {
    const { clients, self, listener, metrics } = this.#options;
    const batch = this.#queue.slice(0, MAXIMUM_ENTRIES_PER_CALL);
    const request = create(ReplicateRequestSchema, {
      sender: self,
      entries: batch.map(({ entry }) => entry),
    });
    const answer = await clients.call(address, (client) =>
      client.replicate(request, { timeoutMs: CALL_MILLISECONDS }),
    );
    metrics.count("replicate_call");
    metrics.count(
      "replicate_bytes",
      undefined,
      toBinary(ReplicateRequestSchema, request).length,
    );
    if (answer.isErr) {
      metrics.count("replicate_failed");
      listener.failed(this.#to);
      return false;
    }
    this.#queue = this.#queue.slice(batch.length);
    batch.forEach(({ delivered }) => delivered?.());
    listener.answered(this.#to, answer.value.answers);
    return true;
  }
}

/** Links to all peers. */
export class ReplicaLinks {
  readonly #links = new Map<HostId, Link>();
  readonly #options: LinkOptions;

  constructor(options: LinkOptions) {
    this.#options = options;
  }

  /** Sends an entry; `delivered` runs once the peer has taken it in. */
  push(to: HostId, entry: ReplicaEntry, delivered?: () => void): void {
    const known = this.#links.get(to);
    const link = known ?? new Link(to, this.#options);
    if (known === undefined) this.#links.set(to, link);
    link.push({ entry, delivered });
  }

  /** Forgets a peer that is gone. */
  forget(host: HostId): void {
    this.#links.delete(host);
  }
}
