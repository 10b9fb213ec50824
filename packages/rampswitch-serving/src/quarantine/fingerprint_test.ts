// Copyright 2026 the rampswitch authors. Apache-2.0 license.

import { describe, expect, test } from "@jest/globals";
import {
  Fingerprint,
  FINGERPRINT_PATTERN,
  type FingerprintedRequest,
  outlineOf,
} from "./fingerprint.ts";

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

  test("has an outline that leaves the body's content out", () => {
    const fingerprint = new Fingerprint(REQUEST);
    const other = new Fingerprint({ ...REQUEST, body: Buffer.from("asker") });
    expect(fingerprint.outline).toBe(other.outline);
    expect(outlineOf(fingerprint.text)).toBe(fingerprint.outline);
  });
});
