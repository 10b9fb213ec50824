// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * The life of an entry process, as a state machine.
 *
 * @module
 */
import {
  initialTransition,
  type SnapshotFrom,
  setup,
  transition,
} from "xstate";

/** What happens to an entry process. */
export type ProcessEvent =
  /** Configuration and slot table are known. */
  | { readonly type: "prepared" }
  /** A planned stop, or a reclaim of the host, was announced. */
  | { readonly type: "stop" }
  /** All work has ended, or the time for it is over. */
  | { readonly type: "finished" };

/** The machine of an entry process. */
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

/** The life of this process. */
export class ProcessLifecycle {
  #snapshot: SnapshotFrom<typeof PROCESS_MACHINE>;

  constructor() {
    [this.#snapshot] = initialTransition(PROCESS_MACHINE);
  }

  /** The state at the last event. */
  get state(): ProcessState {
    return this.#snapshot.value;
  }

  /** Takes in an event; tells whether the state changed. */
  handle(event: ProcessEvent): boolean {
    const before = this.state;
    [this.#snapshot] = transition(PROCESS_MACHINE, this.#snapshot, event);
    return this.state !== before;
  }
}
