// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Tokens by which entry hosts know each other: name, time and a keyed hash of
 * both under the secret of the deployment.
 *
 * @module
 */
import { createHmac, timingSafeEqual } from "node:crypto";

/** Header that carries the token. */
export const PEER_TOKEN_HEADER = "x-rampswitch-peer";

const VALID_MILLISECONDS = 60_000;
const REUSE_MILLISECONDS = 20_000;

/** Makes tokens and checks those of others. */
export class PeerTokens {
  readonly #secret: string;
  readonly #name: string;
  #made = { at: Number.NEGATIVE_INFINITY, token: "" };

  constructor(secret: string, name: string) {
    this.#secret = secret;
    this.#name = name;
  }

  /** A token that is valid now. */
  make(now: number): string {
    if (now - this.#made.at >= REUSE_MILLISECONDS) {
      const signed = `${this.#name}.${now}`;
      this.#made = { at: now, token: `${signed}.${this.#sign(signed)}` };
    }
    return this.#made.token;
  }

  /** Name of the peer that made a token; `undefined` if it is not valid. */
  check(token: string | undefined, now: number): string | undefined {
    const [name, time, signature] = token?.split(".") ?? [];
    if (name === undefined || time === undefined || signature === undefined) {
      return undefined;
    }
    const expected = Buffer.from(this.#sign(`${name}.${time}`));
    const actual = Buffer.from(signature);
    const genuine =
      expected.length === actual.length && timingSafeEqual(expected, actual);
    const current = Math.abs(now - Number(time)) <= VALID_MILLISECONDS;
    return genuine && current ? name : undefined;
  }

  #sign(text: string): string {
    return createHmac("sha256", this.#secret).update(text).digest("base64url");
  }
}
