// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * The version that one request's stream has to continue at, within its answer and over
 * its caller's tries.
 *
 * @module
 */
import { runInBackground } from "rampswitch-utils";
import type { ServerRecord } from "../choice/mod.ts";
import type { RefusalReason } from "../model/outcome.ts";
import type { StreamKey, StreamOrigin } from "../streams/mod.ts";
import {
  type AdmittedRequest,
  timeLimitMilliseconds,
} from "./admitted_request.ts";
import type { StreamBegin } from "./incarnation_checks.ts";
import type { RequestContext } from "./request_context.ts";

/** Maximum number of characters of an attempt id that is kept or sent to other hosts. */
const MAXIMUM_ATTEMPT_CHARACTERS = 256;

/** The parts of the context that are used here. */
export type StreamVersionParts = Pick<
  RequestContext,
  | "client"
  | "clock"
  | "directory"
  | "incarnations"
  | "logger"
  | "metrics"
  | "streams"
>;

/** Reason to refuse a stream, by what was found of the version that began it. */
const REFUSAL_BY_ORIGIN: Readonly<
  Record<StreamOrigin["kind"], RefusalReason | undefined>
> = {
  known: undefined,
  unknown: "stream_origin_unknown",
  lost: "stream_origin_lost",
};

/** Whether the caller of a request has events of its stream from a former try. */
export function isTakeUp({
  head,
  route,
}: Pick<AdmittedRequest, "head" | "route">): boolean {
  const hasEvents = [head.resumes, head.lastEventId].some(isNamed);
  return route.streaming && route.resumable && hasEvents;
}

/** The version that a request's stream has to continue at. */
export class StreamVersion {
  readonly #request: AdmittedRequest;
  readonly #parts: StreamVersionParts;
  #required: string | undefined;
  /** Its begin at a server, if the server tells which incarnation it is. */
  #begin: StreamBegin | undefined;
  #settled: Promise<void> = Promise.resolve();

  constructor(request: AdmittedRequest, parts: StreamVersionParts) {
    this.#request = request;
    this.#parts = parts;
  }

  /** The version that the stream has to continue at; `undefined`: any. */
  get required(): string | undefined {
    return this.#required;
  }

  /** Whether the caller has events of the stream from a former try. */
  get isTakenUp(): boolean {
    return isTakeUp(this.#request);
  }

  /**
   * Finds the version of a stream that is taken up; resolves to the reason to refuse the
   * stream if it is not found.
   */
  async find(): Promise<RefusalReason | undefined> {
    const { head, arrivedAt } = this.#request;
    const { clock, logger, metrics, streams } = this.#parts;
    const origin = await streams.find(this.#key);
    const known = origin.kind === "known" ? origin : undefined;
    this.#required = known?.version;
    metrics.event(`stream_taken_up_${known?.source ?? origin.kind}`);
    logger.info("stream taken up", {
      request: head.attemptId,
      resumes: this.#key.attempt,
      version: known?.version,
      source: known?.source,
      server: known?.serverId,
      sinceMilliseconds: Math.round(clock.now() - arrivedAt),
    });
    return REFUSAL_BY_ORIGIN[origin.kind];
  }

  /** Whether it can't be told which version began the stream, or it was another one. */
  get isUncertain(): boolean {
    return !this.#parts.streams.mayBeOf(this.#key, this.#required);
  }

  /** Resolves once everything is known that can tell whether the version is certain. */
  get settled(): Promise<void> {
    return this.#settled;
  }

  /** Notes that the caller is about to get the first event from a version. */
  began(version: string, record: ServerRecord): void {
    const isFirst = this.#required === undefined;
    this.#required ??= version;
    // A caller that took events up without naming their attempt can't be told apart.
    if (!this.#request.route.resumable || this.#key.attempt === "") return;
    const { client, incarnations, streams } = this.#parts;
    if (isFirst) {
      const { service } = this.#request;
      const contact = client.contact(record.entry.id);
      this.#begin = incarnations.began(record, { service, contact });
    }
    const lifetimeMilliseconds = timeLimitMilliseconds(this.#request);
    const start = this.#begin && incarnations.otherStart(this.#begin);
    const known =
      start === undefined ? { version } : { version: undefined, start };
    streams.began(
      { ...this.#key, ...known, lifetimeMilliseconds },
      record.incarnation,
    );
  }

  /**
   * Notes that the answer broke; returns whether it is known already that it can't be
   * told which version began the stream. The rest shows once it is {@link settled}.
   */
  broke(): boolean {
    const { incarnations } = this.#parts;
    const begin = this.#begin;
    if (begin !== undefined && !incarnations.isConfirmed(begin)) {
      const settled = this.#settle(begin);
      this.#settled = settled;
      runInBackground("version of a stream", this.#parts, () => settled);
    }
    return this.isUncertain;
  }

  async #settle(begin: StreamBegin): Promise<void> {
    const { directory, incarnations, streams } = this.#parts;
    const isCertain = await incarnations.isOfListedVersion(begin, () =>
      directory.get(begin.record.entry.id),
    );
    // An entry may have told another version of it meanwhile.
    if (!isCertain && streams.mayBeOf(this.#key, this.#required)) {
      streams.becameUncertain(this.#key);
    }
  }

  /** Notes that the stream was given whole. */
  completed(): void {
    this.#parts.streams.completed(this.#key);
  }

  /** The stream, identified by the attempt that brought its first event. */
  get #key(): StreamKey {
    const { head, service } = this.#request;
    const attempt = this.isTakenUp ? head.resumes : head.attemptId;
    return {
      service: service.name,
      attempt: (attempt ?? "").slice(0, MAXIMUM_ATTEMPT_CHARACTERS),
    };
  }
}

/** Whether a caller gave a name; an empty header names nothing. */
function isNamed(name: string | undefined): boolean {
  return name !== undefined && name !== "";
}
