// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * The lifecycle of a serving process, as a state machine.
 *
 * @module
 */
import {
  initialTransition,
  type SnapshotFrom,
  setup,
  transition,
} from "xstate";
import type { PlannedStop } from "./planned_stop.ts";

/** Events in the lifecycle of a serving process. */
export type ServingEvent =
  /** The first configuration was applied. */
  | { readonly type: "prepared" }
  /** A planned stop was requested. */
  | { readonly type: "stop" }
  /** All work has ended, or the grace period is over. */
  | { readonly type: "finished" };

/** The state machine of a serving process. */
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

/** Tracks the lifecycle of this process. */
export class ServingLifecycle {
  /** The planned stop, once it has begun. */
  plannedStop: PlannedStop | undefined;
  #snapshot: SnapshotFrom<typeof SERVING_MACHINE>;

  constructor() {
    [this.#snapshot] = initialTransition(SERVING_MACHINE);
  }

  /** The state after the last event. */
  get state(): ServingState {
    return this.#snapshot.value;
  }

  /** Whether a planned stop has begun, up to the end of the process. */
  get isStopping(): boolean {
    return this.plannedStop !== undefined;
  }

  /** Handles an event; returns whether the state changed. */
  handle(event: ServingEvent): boolean {
    const before = this.state;
    [this.#snapshot] = transition(SERVING_MACHINE, this.#snapshot, event);
    return this.state !== before;
  }
}
