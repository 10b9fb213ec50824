// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * What one host knows of the version that began a stream without asking anybody: by its
 * record of the stream, or by the versions that served.
 *
 * @module
 */
import type { Clock } from "rampswitch-utils";
import type { ServerListState } from "../configuration/server_list_evidence.ts";
import type { StreamKey } from "./begun_streams.ts";
import type { ServedVersions } from "./served_versions.ts";
import type { StreamRecords } from "./stream_records.ts";
import type { HostReply, StreamReply } from "./stream_reply.ts";
import type { KeeperState } from "./untold_streams.ts";

/** What the answers depend on. */
export interface StreamAnswersParts {
  /** A monotonic clock. */
  readonly clock: Clock;
  readonly records: StreamRecords;
  readonly versions: ServedVersions;
  /** How new this host's list of servers is. */
  serverList(): ServerListState;
}

/** Answers which version began a stream. */
export class StreamAnswers {
  readonly #parts: StreamAnswersParts;
  readonly #startedAt: number;

  constructor(parts: StreamAnswersParts) {
    this.#parts = parts;
    this.#startedAt = parts.clock.now();
  }

  /** Answers another host's query. */
  answerTo(key: StreamKey): HostReply {
    return { reply: this.replyTo(key), state: this.state };
  }

  /** What this host knows of a stream. */
  replyTo(key: StreamKey): StreamReply {
    const { records, versions } = this.#parts;
    return records.replyTo(key) ?? versions.replyOf(key.service);
  }

  /** What this host reports of itself. */
  get state(): KeeperState {
    const now = this.#parts.clock.now();
    return {
      runningMilliseconds: now - this.#startedAt,
      listAgeMilliseconds: now - this.#parts.serverList().confirmedAt,
    };
  }
}
