// Copyright 2026 the rampswitch authors. Apache-2.0 license.

import { describe, expect, test } from "@jest/globals";
import { BoundedOutput, type WriteBytes } from "./bounded_output.ts";

type Done = Parameters<WriteBytes>[1];

/** Resolves once a number of writes was asked for. */
function recorder(count: number): {
  readonly write: WriteBytes;
  readonly writes: Promise<readonly { bytes: Buffer; done: Done }[]>;
} {
  const seen: { bytes: Buffer; done: Done }[] = [];
  let write: WriteBytes = () => undefined;
  const writes = new Promise<typeof seen>((resolve) => {
    write = (bytes, done) => {
      seen.push({ bytes, done });
      if (seen.length === count) resolve(seen);
      else done(null, bytes.length);
    };
  });
  return { write, writes };
}

describe("bounded output", () => {
  test("writes lines that come together at once, in order", async () => {
    const { write, writes } = recorder(1);
    const output = new BoundedOutput(write);
    ["a\n", "b\n", "c\n"].forEach((line) => output.write(line));
    const [first] = await writes;
    expect(first?.bytes.toString("utf8")).toBe("a\nb\nc\n");
    expect(output.droppedLines).toBe(0);
  });

  test("writes the rest of what was taken in part, then what came since", async () => {
    const { write, writes } = recorder(3);
    let calls = 0;
    const output = new BoundedOutput((bytes, done) => {
      calls += 1;
      if (calls === 1) {
        write(bytes, () => {
          output.write("later\n");
          done(null, 2);
        });
      } else write(bytes, done);
    });
    output.write("first\n");
    const texts = (await writes).map(({ bytes }) => bytes.toString("utf8"));
    expect(texts).toEqual(["first\n", "rst\n", "later\n"]);
  });

  test("drops and counts lines beyond its bound while a write is stuck", async () => {
    const { write, writes } = recorder(1);
    const output = new BoundedOutput(write);
    output.write("stuck\n");
    await writes;
    const line = Buffer.alloc(100 * 1024, "x");
    Array.from({ length: 4 }).forEach(() => output.write(line));
    expect(output.droppedLines).toBe(2);
  });
});
