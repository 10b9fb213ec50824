// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * The lifecycle of an entry process as a state machine.
 *
 * @module
 */
import {
  initialTransition,
  type SnapshotFrom,
  setup,
  transition,
} from "xstate";

/** Events in the lifecycle of an entry process. */
export type ProcessEvent =
  /** The configuration and the slot table are known. */
  | { readonly type: "prepared" }
  /** A planned stop, or a reclaim of the host, was announced. */
  | { readonly type: "stop" }
  /** All work has ended, or its time limit has passed. */
  | { readonly type: "finished" };

/** State machine of an entry process. */
export const PROCESS_MACHINE = setup({
  types: { events: {} as ProcessEvent },
}).createMachine({
  id: "entryProcess",
  initial: "starting",
  states: {
    starting: { on: { prepared: "serving", stop: "draining" } },
    serving: { on: { stop: "draining" } },
    draining: { on: { finished: "stopped" } },
    stopped: { type: "final" },
  },
});

/** States of {@link PROCESS_MACHINE}. */
export type ProcessState = "starting" | "serving" | "draining" | "stopped";

/** Tracks the lifecycle state of one process. */
export class ProcessLifecycle {
  #snapshot: SnapshotFrom<typeof PROCESS_MACHINE>;

  constructor() {
    [this.#snapshot] = initialTransition(PROCESS_MACHINE);
  }

  /** The state after the last event. */
  get state(): ProcessState {
    return this.#snapshot.value;
  }

  /** Handles an event and returns whether the state changed. */
  handle(event: ProcessEvent): boolean {
    const before = this.state;
    [this.#snapshot] = transition(PROCESS_MACHINE, this.#snapshot, event);
    return this.state !== before;
  }
}
