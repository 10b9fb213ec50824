// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * When the memory of buffers that nobody uses any more is freed.
 *
 * Each read of a connection takes a buffer of 64 KiB. V8 collects those that are not
 * used any more once they are many, but leaves it to a thread of its own to free them.
 * On a busy machine that thread gets no turn while the main thread reads on, so that a
 * bounded number of collected buffers takes memory without a bound.
 *
 * @module
 */
import { setFlagsFromString } from "node:v8";

/** Has the main thread free the buffers that it collects, before it reads on. */
export function freeBuffersWhenCollected(): void {
  setFlagsFromString("--no-concurrent-array-buffer-sweeping");
}
