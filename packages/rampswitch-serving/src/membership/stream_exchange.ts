// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Exchanges the versions that began streams with the few hosts that keep them.
 *
 * @module
 */
import { type Clock, sleep } from "rampswitch-utils";
import {
  type HostReply,
  KeeperRings,
  type KeeperStates,
  type StreamKey,
  streamName,
  type StreamRecord,
  type StreamReplies,
} from "../streams/mod.ts";
import type { KnownHost } from "./fleet_hosts.ts";
import {
  type FleetView,
  receivesFromAll,
  receivesFromMost,
  lackStore,
} from "./fleet_majority.ts";
import type {
  PeerMessage,
  StreamAnswer,
  StreamQuery,
} from "./peer_messages.ts";
import { PendingQueries } from "./pending_queries.ts";

/** Hosts that keep the version of a stream beside the one that serves it. */
const KEEPERS = 4;

/**
 * Hosts that are queried. They are more than those that keep it, since hosts that join
 * or end in between change the order.
 */
const QUERIED_HOSTS = 8;

/**
 * Timeout of an answer, in milliseconds: a few event-loop iterations of a busy host,
 * and well below the pause that callers notice.
 */
const ANSWER_TIMEOUT_MILLISECONDS = 60;

/**
 * Time for which the others may still answer once a host has named the version, in
 * milliseconds: a round trip. One of them may know that its list is old.
 */
const FURTHER_ANSWERS_MILLISECONDS = 10;

/** Time for which the order of the hosts is used before it is made anew, in milliseconds. */
const RING_LIFETIME_MILLISECONDS = 250;

/** Age of confirmations from which on the store counts as away, in milliseconds. */
const STORE_AWAY_MILLISECONDS = 3_000;

/** What the exchange works with. */
export interface StreamExchangeParts {
  readonly clock: Clock;
  /** Address at which this host receives answers. */
  readonly address: string;
  /** The other hosts that are present. */
  hosts(): readonly KnownHost[];
  /** Whether a host has not been silent for so long that it won't answer. */
  mayAnswer(host: KnownHost): boolean;
  /** What this host knows of the fleet. */
  fleet(): FleetView;
  send(addresses: readonly string[], message: PeerMessage): void;
  /** Handles the version of a stream that another host serves. */
  onStream(record: StreamRecord): void;
  /** Answers another host's query. */
  answerTo(key: StreamKey): HostReply;
}

/** Exchanges the versions of streams with other hosts. */
export class StreamExchange {
  readonly #parts: StreamExchangeParts;
  #rings = new KeeperRings<KnownHost>([]);
  /** When the rings were made, on the monotonic clock. */
  #ringsAt = -Infinity;
  readonly #queries: PendingQueries<StreamKey, HostReply>;

  constructor(parts: StreamExchangeParts) {
    this.#parts = parts;
    this.#queries = new PendingQueries(parts.clock, {
      answerTimeoutMilliseconds: ANSWER_TIMEOUT_MILLISECONDS,
      // The request has been refused by then.
      onLate: () => undefined,
    });
  }

  /** Sends the version of a stream to the hosts that keep it. */
  tell(record: StreamRecord): void {
    const keepers = this.#keepersOf(record, KEEPERS);
    const addresses = keepers.map(({ address }) => address);
    this.#parts.send(addresses, { kind: "stream_begun", record });
  }

  /** Queries the hosts that may keep a stream's version; soon ends once one knows it. */
  async query(key: StreamKey): Promise<StreamReplies> {
    const hosts = this.#keepersOf(key, QUERIED_HOSTS);
    const missing = new Set(
      hosts.filter((host) => this.#parts.mayAnswer(host)),
    );
    const queries = hosts.map(async (host) => {
      const answer = await this.#queryHost(host, key);
      if (answer !== undefined) missing.delete(host);
      return answer && { ...answer, host };
    });
    const answers = await this.#untilKnown(queries);
    const fleet = this.#parts.fleet();
    return {
      replies: answers.map(({ reply }) => reply),
      isComplete: missing.size === 0,
      isMajority: receivesFromMost(fleet),
      keepers: {
        ...statesOf(answers, hosts),
        isWholeFleetHeard: receivesFromAll(fleet),
      },
    };
  }

  /**
   * Whether the store answers neither this host nor most others for a while, by the age of
   * this host's newest confirmation in milliseconds.
   */
  isStoreAway(ownAge: number): boolean {
    return (
      ownAge >= STORE_AWAY_MILLISECONDS &&
      lackStore(this.#parts.fleet(), STORE_AWAY_MILLISECONDS)
    );
  }

  /** Keeps the version of a stream that another host serves. */
  receive(record: StreamRecord): void {
    this.#parts.onStream(record);
  }

  /** Answers another host's query. */
  answer({ id, address, ...key }: StreamQuery): void {
    const answer = { id, ...this.#parts.answerTo(key) };
    this.#parts.send([address], { kind: "stream_answer", answer });
  }

  /** Resolves the query that an answer belongs to. */
  receiveAnswer({ id, ...answer }: StreamAnswer): void {
    this.#queries.receiveReply(id, answer);
  }

  #keepersOf(key: StreamKey, count: number): readonly KnownHost[] {
    return this.#currentRings().keepersOf(streamName(key), count);
  }

  /** The hosts that are present, ordered anew from time to time. */
  #currentRings(): KeeperRings<KnownHost> {
    const now = this.#parts.clock.now();
    const isOld = now - this.#ringsAt >= RING_LIFETIME_MILLISECONDS;
    // A host that has just started hears of the others within milliseconds.
    if (isOld || this.#rings.isEmpty) {
      this.#rings = new KeeperRings(this.#parts.hosts());
      this.#ringsAt = now;
    }
    return this.#rings;
  }

  /** Collects replies until all have come or timed out, or soon after one knows it. */
  async #untilKnown<Answer extends HostReply>(
    queries: readonly Promise<Answer | undefined>[],
  ): Promise<readonly Answer[]> {
    const answers: Answer[] = [];
    const collected = queries.map(async (query) => {
      const answer = await query;
      if (answer !== undefined) answers.push(answer);
      return answer?.reply.kind === "known";
    });
    const known = collected.map(async (isKnown) =>
      (await isKnown)
        ? sleep(this.#parts.clock, FURTHER_ANSWERS_MILLISECONDS)
        : NEVER,
    );
    await Promise.race([Promise.all(collected), ...known]);
    return [...answers];
  }

  #queryHost(
    { address: to }: KnownHost,
    key: StreamKey,
  ): Promise<HostReply | undefined> {
    const { address } = this.#parts;
    return this.#queries.query(key, (id) => {
      const query = { ...key, id, address };
      this.#parts.send([to], { kind: "stream_query", query });
    });
  }
}

/**
 * The states of the hosts that answered: those that vouch for the only version, and those
 * that get the record of the stream whichever host began it. A host leaves itself out of
 * the order, so that those behind it move up by one place.
 */
function statesOf(
  answers: readonly (HostReply & { readonly host: KnownHost })[],
  hosts: readonly KnownHost[],
): Pick<KeeperStates, "isOwnKeeper" | "keepers" | "vouchers"> {
  const isOwnKeeper = hosts.length <= KEEPERS;
  const certain = isOwnKeeper ? hosts : hosts.slice(0, KEEPERS - 1);
  const kept = answers.filter(({ host }) => certain.includes(host));
  const vouching = answers.filter(({ reply }) => reply.kind === "single");
  return {
    isOwnKeeper,
    keepers: kept.flatMap(({ state }) => state ?? []),
    vouchers: vouching.flatMap(({ state }) => state ?? []),
  };
}

/** Never settles, so that it never wins a race. */
const NEVER = new Promise<undefined>(() => undefined);
