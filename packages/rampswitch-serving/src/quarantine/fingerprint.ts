// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * What makes two requests the same one, whatever their ids and whichever host
 * they come to: method, host name, path with query, workspace and body.
 *
 * @module
 */
import { createHash } from "node:crypto";
import { hash32 } from "rampswitch-utils";

/** The parts of a request that its fingerprint is taken of. */
export interface FingerprintedRequest {
  readonly method: string;
  readonly hostName: string;
  /** Path with the query. */
  readonly target: string;
  /** Name of the workspace, where the request has a key. */
  readonly workspace: string | undefined;
  readonly body: Buffer | undefined;
}

/** Hexadecimal digits of a fingerprint's first part, a hash without the body. */
const OUTLINE_DIGITS = 8;

/**
 * Hexadecimal digits of its second part, a hash of the body and the rest; 64 bits
 * keep two of some millions of requests apart.
 */
const WHOLE_DIGITS = 16;

/** Form of a fingerprint. */
export const FINGERPRINT_PATTERN = /^[0-9a-f]{24}$/;

/**
 * A request's fingerprint. Its parts are computed when they are first asked for:
 * the outline costs some hundred nanoseconds, the whole reads the body.
 */
export class Fingerprint {
  readonly #request: FingerprintedRequest;
  #outline: string | undefined;
  #text: string | undefined;

  constructor(request: FingerprintedRequest) {
    this.#request = request;
  }

  /** First part, by which most requests are told apart. */
  get outline(): string {
    this.#outline ??= hash32(this.#head())
      .toString(16)
      .padStart(OUTLINE_DIGITS, "0");
    return this.#outline;
  }

  /** The whole, in hexadecimal. */
  get text(): string {
    this.#text ??= `${this.outline}${this.#whole()}`;
    return this.#text;
  }

  #head(): string {
    const { method, hostName, target, workspace, body } = this.#request;
    const length = body?.length ?? 0;
    return JSON.stringify([method, hostName, target, workspace, length]);
  }

  #whole(): string {
    const hash = createHash("sha256").update(this.#head());
    const { body } = this.#request;
    const whole = body === undefined ? hash : hash.update(body);
    return whole.digest("hex").slice(0, WHOLE_DIGITS);
  }
}

/** The outline within a fingerprint's text. */
export function outlineOf(fingerprint: string): string {
  return fingerprint.slice(0, OUTLINE_DIGITS);
}
