// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Guards against a process that reads faster than the threads of its garbage collector
 * get turns, and that runs out of memory by buffers which nobody uses any more.
 *
 * @module
 */
import { execFile } from "node:child_process";
import { promisify } from "node:util";
import { expect, test } from "@jest/globals";

/** Bound of the old heap, in MiB. V8 collects when half of it lies beside the heap. */
const HEAP_MEBIBYTES = 64;

const KIBIBYTES_PER_MEBIBYTE = 1024;

/** Memory that the runtime itself takes meanwhile, in MiB. */
const RUNTIME_MEBIBYTES = 12;

/** Reads 2.4 GiB as connections do, and prints the growth of the memory in KiB. */
const PROGRAM = `
const { readFileSync } = require("node:fs");
const memory = (name) =>
  Number(readFileSync("/proc/self/status", "utf8").split(name + ":")[1].split("kB")[0]);
import("rampswitch-utils").then(({ freeBuffersWhenCollected }) => {
  freeBuffersWhenCollected();
  const before = memory("VmRSS");
  let left = 40_000;
  const read = () => {
    for (let count = 0; count < 100; count += 1, left -= 1)
      Buffer.allocUnsafeSlow(65_536).fill(1);
    if (left > 0) setImmediate(read);
    else console.log(memory("VmHWM") - before);
  };
  read();
});
`;

test("buffers that are not used any more take no more than half a heap beside it", async () => {
  const flags = [`--max-old-space-size=${HEAP_MEBIBYTES}`, "-e", PROGRAM];
  const { stdout } = await promisify(execFile)(process.execPath, flags, {
    cwd: __dirname,
  });
  const grownMebibytes = Number(stdout) / KIBIBYTES_PER_MEBIBYTE;
  expect(grownMebibytes).toBeLessThan(HEAP_MEBIBYTES / 2 + RUNTIME_MEBIBYTES);
});
