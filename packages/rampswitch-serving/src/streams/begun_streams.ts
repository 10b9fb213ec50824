// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Table of the streams that a host knows the version of, bounded in time and size.
 *
 * @module
 */
import { incarnationId } from "../model/backend_server.ts";
import type { VersionedServer } from "./version_history.ts";

/** Identifies a stream on all hosts. */
export interface StreamKey {
  readonly service: string;
  /** Attempt that brought the stream's first event. */
  readonly attempt: string;
}

/** Name of a stream; two streams never have the same one. */
export function streamName({ service, attempt }: StreamKey): string {
  return `${service}/${attempt}`;
}

/** A stream and the version that began it. */
export interface BegunStream extends StreamKey {
  /** `undefined` if it can't be told which version its server had. */
  readonly version: string | undefined;
  /** Incarnation of the server that began it; `undefined` if another host serves it. */
  readonly server: string | undefined;
  /** Id of the server that began it, whichever host serves it, if it is known. */
  readonly serverId: string | undefined;
  /**
   * Start of the incarnation that began it, while no entry has named that one: the entry
   * will tell the version.
   */
  readonly start?: number | undefined;
  /** When it began, or a host learned of it, on the monotonic clock. */
  readonly addedAt: number;
  /** When its caller can't take it up any more, on the monotonic clock. */
  readonly expiresAt: number;
  /**
   * Whether this host serves it, or a former process of this host did; if not, another
   * one told of it or it has ended.
   */
  readonly isServedHere: boolean;
}

/** The streams that a host knows the version of. */
export class BegunStreams {
  readonly #maximumStreams: number;
  /** By name, in the order in which they were added. */
  readonly #streams = new Map<string, BegunStream>();
  /** Names of the streams whose versions are uncertain. */
  readonly #uncertain = new Set<string>();
  /** Names of the streams whose versions are known once an entry names their start. */
  readonly #unlisted = new Set<string>();

  /** The oldest streams give way to more than the given number. */
  constructor(maximumStreams: number) {
    this.#maximumStreams = maximumStreams;
  }

  /** Adds a stream, or replaces what is known of it; the versions are combined. */
  add(stream: BegunStream, now: number): void {
    const name = streamName(stream);
    const combined = combinedStream(this.get(stream, now), stream);
    // Deleted first, so that it moves to the end of the order.
    this.#streams.delete(name);
    this.#set(combined ?? stream);
    this.#dropOldest(now);
  }

  /** Whether the version of any stream is uncertain. */
  get hasUncertain(): boolean {
    return this.#uncertain.size > 0;
  }

  /** Notes the version of an incarnation that is listed now. */
  listed({ id, service, version, born }: VersionedServer): void {
    if (born === undefined) return;
    [...this.#unlisted]
      .flatMap((name) => this.#streams.get(name) ?? [])
      .filter(
        (stream) =>
          stream.serverId === id &&
          stream.service === service &&
          stream.start === born,
      )
      .forEach((stream) =>
        this.#set({
          ...stream,
          version,
          start: undefined,
          server: stream.server && incarnationId({ id, born }),
        }),
      );
  }

  /** Returns a stream, if it is known and its caller may take it up. */
  get(key: StreamKey, now: number): BegunStream | undefined {
    const stream = this.#streams.get(streamName(key));
    return stream !== undefined && stream.expiresAt > now ? stream : undefined;
  }

  /** Notes that a stream was given whole; its caller may still have lost the end. */
  completed(key: StreamKey): void {
    const name = streamName(key);
    const stream = this.#streams.get(name);
    if (stream === undefined) return;
    this.#streams.set(name, { ...stream, isServedHere: false });
  }

  /** Returns the streams that a server began for this host since a time. */
  begunAt(server: string, since: number): readonly BegunStream[] {
    return [...this.#streams.values()].filter(
      (stream) => stream.server === server && stream.addedAt >= since,
    );
  }

  /** Returns the streams that this host serves or that broke here, the oldest first. */
  servedHere(now: number): readonly BegunStream[] {
    return [...this.#streams.values()].filter(
      ({ isServedHere, expiresAt }) => isServedHere && expiresAt > now,
    );
  }

  #set(stream: BegunStream): void {
    const name = streamName(stream);
    this.#streams.set(name, stream);
    if (stream.version === undefined) this.#uncertain.add(name);
    else this.#uncertain.delete(name);
    if (stream.start === undefined) this.#unlisted.delete(name);
    else this.#unlisted.add(name);
  }

  #dropOldest(now: number): void {
    for (const [name, { expiresAt }] of this.#streams) {
      const isExpired = expiresAt <= now;
      if (!isExpired && this.#streams.size <= this.#maximumStreams) return;
      this.#streams.delete(name);
      this.#uncertain.delete(name);
      this.#unlisted.delete(name);
    }
  }
}

/**
 * What two sources together know of a stream: the later one, without a version if they
 * differ in it. A stream has one version, so one of the two is wrong; a start that one of
 * them names outranks it. The same record is dated by the first time that it was learned.
 */
export function combinedStream(
  earlier: BegunStream | undefined,
  later: BegunStream | undefined,
): BegunStream | undefined {
  if (earlier === undefined || later === undefined) return later ?? earlier;
  const expiresAt = Math.max(earlier.expiresAt, later.expiresAt);
  const isSameVersion = earlier.version === later.version;
  const version = isSameVersion ? later.version : undefined;
  const isSameServer = earlier.serverId === later.serverId;
  // A record that comes again is as old as it was, unless a server gave events here.
  const isSame = isSameVersion && isSameServer && later.server === undefined;
  const addedAt = isSame
    ? Math.min(earlier.addedAt, later.addedAt)
    : later.addedAt;
  const start = agreedStart(earlier.start, later.start);
  return { ...later, version, start, addedAt, expiresAt };
}

/** The start that one of two sources names, or both; `undefined` if they differ in it. */
function agreedStart(
  earlier: number | undefined,
  later: number | undefined,
): number | undefined {
  if (earlier === undefined || later === undefined) return later ?? earlier;
  return earlier === later ? later : undefined;
}
