// Copyright 2026 the rampswitch authors. Apache-2.0 license.

import { describe, expect, test } from "@jest/globals";
import {
  Fingerprint,
  FINGERPRINT_PATTERN,
  type FingerprintedRequest,
} from "./fingerprint.ts";
import { headHashOf } from "./hashed_key.ts";

const REQUEST: FingerprintedRequest = {
  method: "POST",
  hostName: "api.example",
  target: "/stream/a?page=1",
  workspace: "w",
  body: Buffer.from("asked"),
};

function textOf(changes: Partial<FingerprintedRequest> = {}): string {
  return new Fingerprint({ ...REQUEST, ...changes }).text;
}

describe("a fingerprint", () => {
  test("is the same for equal requests", () => {
    expect(textOf({ body: Buffer.from("asked") })).toBe(textOf());
    expect(textOf()).toMatch(FINGERPRINT_PATTERN);
  });

  test.each([
    { method: "PUT" },
    { hostName: "other.example" },
    { target: "/stream/a?page=2" },
    { workspace: "other" },
    { workspace: undefined },
    { body: Buffer.from("asker") },
    { body: undefined },
  ])("differs where a request has %j", (changes) => {
    expect(textOf(changes)).not.toBe(textOf());
  });

  test("has a head hash that leaves the content of the body out", () => {
    const fingerprint = new Fingerprint(REQUEST);
    const other = new Fingerprint({ ...REQUEST, body: Buffer.from("asker") });
    expect(fingerprint.headHash).toBe(other.headHash);
    expect(headHashOf(fingerprint.text)).toBe(fingerprint.headHash);
  });
});
