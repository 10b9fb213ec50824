// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * The life of a serving process, as a state machine.
 *
 * @module
 */
import {
  initialTransition,
  type SnapshotFrom,
  setup,
  transition,
} from "xstate";

/** What happens to a serving process. */
export type ServingEvent =
  /** A configuration is known. */
  | { readonly type: "prepared" }
  /** A planned stop was asked for. */
  | { readonly type: "stop" }
  /** All work has ended, or the time for it is over. */
  | { readonly type: "finished" };

/** The machine of a serving process. */
export const SERVING_MACHINE = setup({
  types: { events: {} as ServingEvent },
}).createMachine({
  id: "serving",
  initial: "starting",
  states: {
    starting: { on: { prepared: "serving", stop: "stopping" } },
    serving: { on: { stop: "stopping" } },
    stopping: { on: { finished: "stopped" } },
    stopped: { type: "final" },
  },
});

/** States of {@link SERVING_MACHINE}. */
export type ServingState = "starting" | "serving" | "stopping" | "stopped";

/** The life of this process. */
export class ServingLife {
  /** When a planned stop began, on the steady clock. */
  stopStartedAt: number | undefined;
  #snapshot: SnapshotFrom<typeof SERVING_MACHINE>;

  constructor() {
    [this.#snapshot] = initialTransition(SERVING_MACHINE);
  }

  /** The state at the last event. */
  get state(): ServingState {
    return this.#snapshot.value;
  }

  /** Takes in an event; tells whether the state changed. */
  handle(event: ServingEvent): boolean {
    const before = this.state;
    [this.#snapshot] = transition(SERVING_MACHINE, this.#snapshot, event);
    return this.state !== before;
  }
}
