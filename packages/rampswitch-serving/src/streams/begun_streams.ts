// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Table of the streams that a host knows the version of, bounded in time and size.
 *
 * @module
 */

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
  /** When this host learned of it, on the monotonic clock. */
  readonly addedAt: number;
  /** When its caller can't take it up any more, on the monotonic clock. */
  readonly expiresAt: number;
  /** Whether this host serves it; if not, another one told of it or it has ended. */
  readonly isServedHere: boolean;
}

/** Maximum number of streams in the table; the oldest give way. */
const MAXIMUM_STREAMS = 20_000;

/** The streams that a host knows the version of. */
export class BegunStreams {
  /** By name, in the order in which they were added. */
  readonly #streams = new Map<string, BegunStream>();

  /** Adds a stream, or replaces what is known of it. */
  add(stream: BegunStream, now: number): void {
    const name = streamName(stream);
    // Deleted first, so that it moves to the end of the order.
    this.#streams.delete(name);
    this.#streams.set(name, stream);
    this.#dropOldest(now);
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

  /** Returns the streams of a service that this host serves or that broke here. */
  servedHere(service: string, now: number): readonly BegunStream[] {
    return [...this.#streams.values()].filter(
      (stream) =>
        stream.isServedHere &&
        stream.service === service &&
        stream.expiresAt > now,
    );
  }

  #dropOldest(now: number): void {
    for (const [name, { expiresAt }] of this.#streams) {
      const isExpired = expiresAt <= now;
      if (!isExpired && this.#streams.size <= MAXIMUM_STREAMS) return;
      this.#streams.delete(name);
    }
  }
}
