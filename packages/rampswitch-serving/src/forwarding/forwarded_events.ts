// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Handing the events of a send on.
 *
 * @module
 */
import type { SendListener } from "../attempt/mod.ts";

/** The events of a listener that are handed on as they are. */
export function forwardedEvents(listener: SendListener): SendListener {
  return {
    written: () => listener.written(),
    head: (status, rawHeaders) => listener.head(status, rawHeaders),
    data: (chunk) => listener.data(chunk),
    ended: (framing) => listener.ended(framing),
    failed: (failure, detail) => listener.failed(failure, detail),
  };
}
