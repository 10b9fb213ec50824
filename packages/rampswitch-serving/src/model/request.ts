// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * A caller's request and a backend server's answer, freed of the names that
 * they have on the wire.
 *
 * @module
 */

/** Header names and values in turn, as they came. */
export type RawHeaders = readonly string[];

/** One part of a prompt; equal ids are equal tokens. */
export interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}

/** Head of a caller's request. */
export interface RequestHead {
  /** Chosen by the caller for this try; answers carry it back. */
  readonly attemptId: string | undefined;
  readonly method: string;
  /** Path with the query, as the caller sent it. */
  readonly target: string;
  readonly hostName: string;
  readonly key: string | undefined;
  /** Milliseconds that the caller waits. */
  readonly deadlineMilliseconds: number | undefined;
  readonly promptTokens: number | undefined;
  readonly maximumAnswerTokens: number | undefined;
  /** The caller's guess at the length of the answer, in tokens. */
  readonly expectedAnswerTokens: number | undefined;
  /** Parts of the prompt in order; the last one belongs to this request. */
  readonly promptParts: readonly PromptPart[];
  /** Last event that the caller has of a broken stream. */
  readonly lastEventId: string | undefined;
  /** Headers that go on to the backend server. */
  readonly forwarded: RawHeaders;
}

/** Where a run's memory lies that a request goes on from. */
export interface MemorySource {
  readonly address: string;
  readonly handle: string;
}

/** What a host adds to a request that it sends to a backend server. */
export interface SendInstructions {
  readonly serverId: string;
  readonly workspace: string | undefined;
  readonly remainingMilliseconds: number | undefined;
  /** 0 to 9; 0 is admitted first. */
  readonly enginePriority: number | undefined;
  readonly lastEventId: string | undefined;
  readonly memorySource: MemorySource | undefined;
  /** Address of an engine from which kept parts of the prompt are copied. */
  readonly copyPartsFrom: string | undefined;
}

/** Load that a backend server tells with an answer. */
export interface ReportedLoad {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
}

/** What an answer says of one thing about its server. */
export type Statement<Value> =
  | { readonly kind: "nothing" }
  | { readonly kind: "said"; readonly value: Value }
  /** The beginning of what stands in its place. */
  | { readonly kind: "unreadable"; readonly text: string };

/** What an answer says of its server. */
export interface ServerStatements {
  /** Requests a second that it takes, from all hosts together. */
  readonly limit: Statement<number>;
  /** Whether its life is about to end. */
  readonly leaving: Statement<true>;
  /** Milliseconds for which it wants nothing from the host that it turned away. */
  readonly rest: Statement<number>;
}

/** Head of a backend server's answer. */
export interface AnswerHead {
  readonly status: number;
  /** The attempt that the answer belongs to, if it says so. */
  readonly attemptId: string | undefined;
  /** Whether the server says that it did not run the request. */
  readonly notExecuted: boolean;
  /** Whether the server vouches for the answer as its own. */
  readonly signed: boolean;
  readonly load: ReportedLoad | undefined;
  readonly says: ServerStatements;
  readonly encoded: boolean;
  /** Headers that go on to the caller. */
  readonly forwarded: RawHeaders;
}

/** Translates requests and answers between the wire and the pipeline. */
export interface WireCodec {
  /** Decodes a request's head; an error says what is wrong with it. */
  decodeRequest(head: {
    readonly method: string;
    readonly target: string;
    readonly rawHeaders: RawHeaders;
  }): RequestHead;
  /** Headers of a request on its way to a backend server. */
  encodeSend(request: RequestHead, send: SendInstructions): RawHeaders;
  /** Decodes the head of a backend server's answer. */
  decodeAnswer(status: number, rawHeaders: RawHeaders): AnswerHead;
  /** Headers of an answer that this host gives by itself. */
  encodeOwnAnswer(options: {
    readonly attemptId: string | undefined;
    readonly retryAfterSeconds: number | undefined;
  }): RawHeaders;
}
