// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Finds the version that began a stream. A host that serves a stream of a service with
 * several versions sends the version to a few other hosts before the caller gets the
 * first event. A host that is asked for the rest of a stream knows it from its own
 * table or queries these hosts. A version that nobody knows is never guessed.
 *
 * @module
 */
import type { Clock, Logger } from "rampswitch-utils";
import {
  type BegunStream,
  BegunStreams,
  type StreamKey,
} from "./begun_streams.ts";
import type { StreamRecord, StreamReply } from "./stream_reply.ts";
import { type VersionedServer, VersionHistory } from "./version_history.ts";

/** What finding the version depends on. */
export interface StreamOriginsParts {
  /** A monotonic clock. */
  readonly clock: Clock;
  readonly logger: Logger;
  /** Whether this host's list of servers is as new as that of its peers. */
  isListCurrent(): boolean;
  /** Sends the version of a stream to the hosts that keep it. */
  tell(record: StreamRecord): void;
  /** Queries the hosts that may keep it; ends early once one of them knows it. */
  query(key: StreamKey): Promise<readonly StreamReply[]>;
}

/** How the version of a stream was found. */
export type StreamOriginSource = "table" | "queried" | "single";

/** The version that began a stream, if it is known. */
export type StreamOrigin =
  | {
      readonly kind: "known";
      readonly version: string;
      readonly source: StreamOriginSource;
    }
  | { readonly kind: "unknown" };

/**
 * Time for which a version counts after its last server was removed, in milliseconds;
 * longer than any stream lasts.
 */
const VERSION_RETENTION_MILLISECONDS = 60_000;

/**
 * Time for which a server may run as another version before its new incarnation is
 * listed, in milliseconds.
 */
const LISTING_LAG_MILLISECONDS = 2_000;

/** Time beyond its deadline for which a stream is kept, in milliseconds. */
const LIFETIME_MARGIN_MILLISECONDS = 1_000;

/** The versions that began streams, as one host knows or finds them. */
export class StreamOrigins {
  readonly #parts: StreamOriginsParts;
  readonly #streams = new BegunStreams();
  readonly #history = new VersionHistory(VERSION_RETENTION_MILLISECONDS);
  readonly #startedAt: number;

  constructor(parts: StreamOriginsParts) {
    this.#parts = parts;
    this.#startedAt = parts.clock.now();
  }

  /** Notes a listed server. The streams that run when a second version appears are told. */
  listed(server: VersionedServer): void {
    const now = this.#parts.clock.now();
    const { service } = server;
    const before = this.#history.versionsOf(service, now).length;
    this.#history.listed(server, now);
    const becameMixed = before === 1 && this.isMixed(service);
    if (!becameMixed) return;
    this.#streams
      .servedHere(service, now)
      .forEach((stream) => this.#tell(stream, now));
  }

  /**
   * Notes that a server's later incarnation has another version. It can't be told which
   * of the two gave the events that came shortly before it was listed.
   */
  becameOtherVersion(server: string): void {
    const now = this.#parts.clock.now();
    this.#streams
      .begunAt(server, now - LISTING_LAG_MILLISECONDS)
      .map((stream) => ({ ...stream, version: undefined }))
      .forEach((stream) => {
        this.#streams.add(stream, now);
        this.#tell(stream, now);
      });
  }

  /** Whether a stream began here, and it can't be told at which version. */
  isUncertain(key: StreamKey): boolean {
    const stream = this.#streams.get(key, this.#parts.clock.now());
    return stream !== undefined && stream.version === undefined;
  }

  /** Whether a stream of a service may have begun at one of several versions. */
  isMixed(service: string): boolean {
    const now = this.#parts.clock.now();
    return this.#history.versionsOf(service, now).length > 1;
  }

  /** Notes that a server is listed no more. */
  removed(id: string): void {
    this.#history.removed(id, this.#parts.clock.now());
  }

  /** Notes that the caller is about to get the first event of a stream. */
  began(record: StreamRecord, server: string): void {
    this.#add(record, { server, isServedHere: true });
    if (this.isMixed(record.service)) this.#parts.tell(record);
  }

  /** Notes that a stream was given whole. */
  completed(key: StreamKey): void {
    this.#streams.completed(key);
  }

  /** Keeps the version of a stream that another host serves. */
  receive(record: StreamRecord): void {
    this.#add(record, { server: undefined, isServedHere: false });
  }

  /** Replies to another host's query. */
  replyTo(key: StreamKey): StreamReply {
    const now = this.#parts.clock.now();
    const stream = this.#streams.get(key, now);
    if (stream !== undefined) {
      return stream.version === undefined
        ? { kind: "unknown" }
        : { kind: "known", version: stream.version };
    }
    const [version, ...others] = this.#history.versionsOf(key.service, now);
    if (version === undefined || others.length > 0) return { kind: "unknown" };
    const isOld = now - this.#startedAt >= VERSION_RETENTION_MILLISECONDS;
    return { kind: isOld ? "single" : "single_recently", version };
  }

  /** Finds the version that began a stream. */
  async find(key: StreamKey): Promise<StreamOrigin> {
    if (this.isUncertain(key)) return { kind: "unknown" };
    const own = this.replyTo(key);
    if (own.kind === "known") return { ...own, source: "table" };
    if (own.kind === "single" && this.#parts.isListCurrent()) {
      return { ...own, kind: "known", source: "single" };
    }
    const replies = await this.#parts.query(key);
    this.#logEvidence(key, own, replies);
    return originFrom(own, replies);
  }

  /** Logs what this host and others know of a stream, and since when this one runs. */
  #logEvidence(
    { service, attempt }: StreamKey,
    own: StreamReply,
    replies: readonly StreamReply[],
  ): void {
    const now = this.#parts.clock.now();
    this.#parts.logger.info("version of a stream queried", {
      service,
      resumes: attempt,
      own: own.kind,
      replies: replies.map(({ kind }) => kind).join(","),
      versions: this.#history.versionsOf(service, now).join(","),
      runningMilliseconds: Math.round(now - this.#startedAt),
    });
  }

  #tell(
    { service, attempt, version, expiresAt }: BegunStream,
    now: number,
  ): void {
    const lifetimeMilliseconds = Math.max(0, expiresAt - now);
    this.#parts.tell({ service, attempt, version, lifetimeMilliseconds });
  }

  #add(
    { lifetimeMilliseconds, ...stream }: StreamRecord,
    source: Pick<BegunStream, "server" | "isServedHere">,
  ): void {
    const now = this.#parts.clock.now();
    const expiresAt = now + lifetimeMilliseconds + LIFETIME_MARGIN_MILLISECONDS;
    this.#streams.add({ ...stream, ...source, addedAt: now, expiresAt }, now);
  }
}

/** Decides from this host's own reply and those of others. */
function originFrom(
  own: StreamReply,
  replies: readonly StreamReply[],
): StreamOrigin {
  const known = replies.find(({ kind }) => kind === "known");
  if (known?.kind === "known") {
    return { kind: "known", version: known.version, source: "queried" };
  }
  const versions = [own, ...replies].map((reply) =>
    reply.kind === "unknown" ? undefined : reply.version,
  );
  const [version, ...others] = new Set(versions);
  return version === undefined || others.length > 0
    ? { kind: "unknown" }
    : { kind: "known", version, source: "single" };
}
