// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * A caller's request and a backend server's answer, independent of their names on
 * the wire.
 *
 * @module
 */

/** Header names and values alternately, as received. */
export type RawHeaders = readonly string[];

/** One part of a prompt; parts with equal ids have equal tokens. */
export interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}

/** Head of a caller's request. */
export interface RequestHead {
  /** Id that the caller chose for this attempt; answers return it. */
  readonly attemptId: string | undefined;
  readonly method: string;
  /** Path with the query, as the caller sent it. */
  readonly target: string;
  readonly hostName: string;
  readonly key: string | undefined;
  /** Time that the caller waits, in milliseconds. */
  readonly deadlineMilliseconds: number | undefined;
  readonly promptTokens: number | undefined;
  readonly maximumAnswerTokens: number | undefined;
  /** The caller's estimate of the length of the answer, in tokens. */
  readonly expectedAnswerTokens: number | undefined;
  /** Parts of the prompt in order; only the last one is specific to this request. */
  readonly promptParts: readonly PromptPart[];
  /** Id of the last event that the caller received of a broken stream. */
  readonly lastEventId: string | undefined;
  /**
   * Attempt that brought the first event of a stream that the caller takes up again;
   * absent where the caller names none.
   */
  readonly resumes?: string | undefined;
  /** Headers that are forwarded to the backend server. */
  readonly forwarded: RawHeaders;
}

/** Location of the memory from which a request continues a run. */
export interface MemorySource {
  readonly address: string;
  readonly handle: string;
}

/** Data that a host adds to a request that it sends to a backend server. */
export interface SendInstructions {
  readonly serverId: string;
  readonly workspace: string | undefined;
  readonly remainingMilliseconds: number | undefined;
  /** Priority at the engine from 0 to 9; 0 is admitted first. */
  readonly enginePriority: number | undefined;
  readonly lastEventId: string | undefined;
  readonly memorySource: MemorySource | undefined;
  /** Address of an engine from which cached parts of the prompt are copied. */
  readonly copyCachedPartsFrom: string | undefined;
}

/** Load that a backend server reports with an answer. */
export interface ReportedLoad {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
  /**
   * How long work currently takes there, in percent of its usual time, as received;
   * `undefined` if the server reports none.
   */
  readonly workTimePercent?: number | undefined;
}

/** One value that a server advertises in an answer. */
export type Advertised<Value> =
  | { readonly kind: "nothing" }
  | { readonly kind: "said"; readonly value: Value }
  /** `text` is the beginning of the unreadable value. */
  | { readonly kind: "unreadable"; readonly text: string };

/** State that a server advertises in an answer. */
export interface ServerAdvertisements {
  /** Requests per second that it accepts from all hosts together. */
  readonly limit: Advertised<number>;
  /** Whether its incarnation is about to end. */
  readonly leaving: Advertised<true>;
  /** Back-off in milliseconds that it asks of the host that it turned away. */
  readonly rest: Advertised<number>;
  /** Requests that it can turn away within a second; with more it ends. */
  readonly brittle: Advertised<number>;
}

/** Head of a backend server's answer. */
export interface AnswerHead {
  readonly status: number;
  /** Id of the attempt that the answer belongs to, if it has one. */
  readonly attemptId: string | undefined;
  /** Whether the server reports that it did not run the request. */
  readonly notExecuted: boolean;
  /** Whether the server signed the answer as its own. */
  readonly signed: boolean;
  readonly load: ReportedLoad | undefined;
  readonly advertised: ServerAdvertisements;
  readonly encoded: boolean;
  /** Headers that are forwarded to the caller. */
  readonly forwarded: RawHeaders;
}

/** Translates requests and answers between the wire and the pipeline. */
export interface WireCodec {
  /** Decodes a request's head. */
  decodeRequest(head: {
    readonly method: string;
    readonly target: string;
    readonly rawHeaders: RawHeaders;
  }): RequestHead;
  /** Encodes the headers of a request to a backend server. */
  encodeSend(request: RequestHead, send: SendInstructions): RawHeaders;
  /** Decodes the head of a backend server's answer. */
  decodeAnswer(status: number, rawHeaders: RawHeaders): AnswerHead;
  /** Encodes the headers of an answer of this host's own. */
  encodeOwnAnswer(options: {
    readonly attemptId: string | undefined;
    readonly retryAfterSeconds: number | undefined;
  }): RawHeaders;
}

/** Returns the value of a header; the first of several equal names counts. */
export function headerValue(
  headers: RawHeaders,
  name: string,
): string | undefined {
  const at = headers.findIndex(
    (text, index) => index % 2 === 0 && text.toLowerCase() === name,
  );
  return at < 0 ? undefined : headers[at + 1];
}
