// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Health of a backend server: ejection after failures, half-open probes and a
 * slow start, as a state machine without timers.
 *
 * @module
 */
import {
  assign,
  initialTransition,
  type SnapshotFrom,
  setup,
  transition,
} from "xstate";

interface HealthContext {
  readonly consecutiveFailures: number;
  readonly ejections: number;
  /** When the state was entered, in milliseconds since the epoch. */
  readonly since: number;
}

/** What happens to a backend server. */
export type HealthEvent =
  | { readonly type: "succeeded"; readonly now: number }
  | { readonly type: "failed"; readonly now: number }
  | { readonly type: "time_passed"; readonly now: number };

const FAILURES_TO_EJECT = 5;
const FIRST_EJECTION_MILLISECONDS = 2_000;
const MAXIMUM_EJECTION_MILLISECONDS = 60_000;
const SLOW_START_MILLISECONDS = 10_000;
const MINIMUM_SLOW_START_SHARE = 0.1;

/** The machine of one backend server's health. */
export const HEALTH_MACHINE = setup({
  types: {
    context: {} as HealthContext,
    events: {} as HealthEvent,
  },
  guards: {
    lastFailure: ({ context }) =>
      context.consecutiveFailures + 1 >= FAILURES_TO_EJECT,
    ejectionOver: ({ context, event }) =>
      event.now - context.since >= ejectionMilliseconds(context.ejections),
    slowStartOver: ({ context, event }) =>
      event.now - context.since >= SLOW_START_MILLISECONDS,
  },
  actions: {
    countFailure: assign({
      consecutiveFailures: ({ context }) => context.consecutiveFailures + 1,
    }),
    clearFailures: assign({ consecutiveFailures: 0 }),
    clearEjections: assign({ ejections: 0 }),
    eject: assign({
      consecutiveFailures: 0,
      ejections: ({ context }) => context.ejections + 1,
      since: ({ event }) => event.now,
    }),
    enter: assign({ since: ({ event }) => event.now }),
  },
}).createMachine({
  id: "serverHealth",
  initial: "healthy",
  context: { failuresInRow: 0, ejections: 0, since: 0 },
  states: {
    healthy: {
      on: {
        succeeded: { actions: "clearFailures" },
        failed: [
          { guard: "lastFailure", target: "ejected", actions: "eject" },
          { actions: "countFailure" },
        ],
      },
    },
    ejected: {
      on: {
        time_passed: { guard: "ejectionOver", target: "probing" },
      },
    },
    probing: {
      on: {
        succeeded: {
          target: "slowStart",
          actions: ["clearFailures", "enter"],
        },
        failed: { target: "ejected", actions: "eject" },
      },
    },
    slowStart: {
      on: {
        succeeded: { actions: "clearFailures" },
        failed: [
          { guard: "lastFailure", target: "ejected", actions: "eject" },
          { actions: "countFailure" },
        ],
        time_passed: {
          guard: "slowStartOver",
          target: "healthy",
          actions: "clearEjections",
        },
      },
    },
  },
});

type HealthSnapshot = SnapshotFrom<typeof HEALTH_MACHINE>;

/** States of {@link HEALTH_MACHINE}. */
export type HealthState = "healthy" | "ejected" | "probing" | "slowStart";

function ejectionMilliseconds(ejections: number): number {
  return Math.min(
    MAXIMUM_EJECTION_MILLISECONDS,
    FIRST_EJECTION_MILLISECONDS * 2 ** Math.max(0, ejections - 1),
  );
}

/** Health of one backend server. */
export class ServerHealth {
  #snapshot: HealthSnapshot;
  #probeStarted = false;

  constructor() {
    [this.#snapshot] = initialTransition(HEALTH_MACHINE);
  }

  /** The state at the last event. */
  get state(): HealthState {
    return this.#snapshot.value;
  }

  /** Whether events can change anything; a healthy server's successes can't. */
  get steady(): boolean {
    return (
      this.state === "healthy" &&
      this.#snapshot.context.consecutiveFailures === 0
    );
  }

  /** Takes in an event. */
  handle(event: HealthEvent): void {
    if (this.steady && event.type !== "failed") return;
    [this.#snapshot] = transition(HEALTH_MACHINE, this.#snapshot, event);
    if (event.type !== "time_passed") this.#probeStarted = false;
  }

  /** Whether a request may be sent now; a probing server takes one. */
  admits(now: number): boolean {
    this.handle({ type: "time_passed", now });
    return this.state === "probing"
      ? !this.#probeStarted
      : this.state !== "ejected";
  }

  /** Notes that a request was sent; it is the probe of a probing server. */
  sent(): void {
    this.#probeStarted = this.state === "probing";
  }

  /** Share of its load that a server should get, above 0 and at most 1. */
  share(now: number): number {
    if (this.state !== "slowStart") return 1;
    const elapsedShare =
      (now - this.#snapshot.context.since) / SLOW_START_MILLISECONDS;
    return Math.max(MINIMUM_SLOW_START_SHARE, Math.min(1, elapsedShare));
  }
}

/** Share of a group that may be ejected at once. */
const MAXIMUM_EJECTED_SHARE = 0.5;

/**
 * Whether so many servers of a group may be out at once. Where too many failed,
 * all are asked again, since the others could not carry the load.
 */
export function mayEject(ejected: number, groupSize: number): boolean {
  return ejected <= groupSize * MAXIMUM_EJECTED_SHARE;
}
