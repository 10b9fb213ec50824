// Copyright 2026 the rampswitch authors. Apache-2.0 license.

// Guards against a call that counts as never sent though it was: a route that fails ends
// open connections with the codes of those that never came up.

import { connect } from "node:net";
import { expect, test } from "@jest/globals";
import { wasNeverConnected } from "./connect_errors.ts";

/** An error of the system, as Node.js gives it. */
function systemError(code: string, syscall: string | undefined): Error {
  return Object.assign(new Error(`${syscall} ${code}`), { code, syscall });
}

test.each([
  ["ECONNREFUSED", "connect", true],
  ["EHOSTUNREACH", "connect", true],
  ["EHOSTUNREACH", "read", false],
  ["ENETUNREACH", "write", false],
  ["ECONNREFUSED", "read", false],
  ["ETIMEDOUT", "connect", false],
  ["UND_ERR_CONNECT_TIMEOUT", undefined, true],
  ["UND_ERR_SOCKET", undefined, false],
])("%s in %s means never sent: %p", (code, syscall, expected) => {
  expect(wasNeverConnected(systemError(code, syscall))).toBe(expected);
});

test("a value that is no error tells nothing", () => {
  expect(wasNeverConnected("ECONNREFUSED")).toBe(false);
});

test("a refused connection means never sent", async () => {
  const socket = connect(1, "127.0.0.1");
  const error = await new Promise((resolve) => socket.on("error", resolve));
  expect(wasNeverConnected(error)).toBe(true);
});
