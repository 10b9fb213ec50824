// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Fingerprints of requests. Two requests have the same fingerprint if their method,
 * host name, path with query, workspace and body are equal, whatever their ids and
 * whichever host receives them.
 *
 * @module
 */
import type { PromptPart } from "../model/request.ts";
import { contentHash, headHash } from "./hashed_key.ts";
import { SharedParts } from "./shared_parts.ts";

/** The parts of a request that its fingerprint covers. */
export interface FingerprintedRequest {
  readonly method: string;
  readonly hostName: string;
  /** Path with the query. */
  readonly target: string;
  /** Name of the workspace, if the request has an API key. */
  readonly workspace: string | undefined;
  readonly body: Buffer | undefined;
  /** Name of the service, if it is known; the fingerprint does not cover it. */
  readonly service?: string;
  /** Parts of the prompt; the fingerprint does not cover them. */
  readonly promptParts?: readonly PromptPart[];
}

/** Pattern that all fingerprints match. */
export const FINGERPRINT_PATTERN = /^[0-9a-f]{24}$/;

/**
 * The fingerprint of a request. Both parts are computed when they are first read:
 * the head hash takes some hundred nanoseconds, the content hash reads the whole
 * body.
 */
export class Fingerprint {
  /** The parts of the prompt that other requests share. */
  readonly sharedParts: SharedParts;
  readonly #request: FingerprintedRequest;
  #headHash: string | undefined;
  #text: string | undefined;

  constructor(request: FingerprintedRequest) {
    this.#request = request;
    const { service = "", promptParts = [] } = request;
    this.sharedParts = new SharedParts(service, promptParts);
  }

  /** First part, which differs between most requests. */
  get headHash(): string {
    this.#headHash ??= headHash(this.#headText());
    return this.#headHash;
  }

  /** The whole fingerprint, in hexadecimal. */
  get text(): string {
    this.#text ??= `${this.headHash}${contentHash(this.#headText(), this.#request.body)}`;
    return this.#text;
  }

  #headText(): string {
    const { method, hostName, target, workspace, body } = this.#request;
    const length = body?.length ?? 0;
    return JSON.stringify([method, hostName, target, workspace, length]);
  }
}
