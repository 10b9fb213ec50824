// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * The memory of buffers that are in use in this process; those that can be collected do
 * not count, whenever the garbage collector gets to them.
 *
 * @module
 */
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";

/** Time between two looks, in milliseconds. */
const LOOK_MILLISECONDS = 10;

/** Most memory of buffers in use while some work lasts, in bytes beyond that of before. */
export async function mostLiveBuffers(
  work: () => Promise<unknown>,
): Promise<number> {
  const before = liveBuffers();
  const seen: number[] = [];
  const timer = setInterval(
    () => seen.push(liveBuffers() - before),
    LOOK_MILLISECONDS,
  );
  await work();
  clearInterval(timer);
  return Math.max(0, ...seen);
}

function liveBuffers(): number {
  setFlagsFromString("--expose-gc");
  const collect = runInNewContext("gc") as () => void;
  collect();
  return process.memoryUsage().arrayBuffers;
}
