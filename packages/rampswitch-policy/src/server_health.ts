// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Health of a backend server: ejection after consecutive failures, half-open
 * probes and a slow start. The state machine has no timers; callers pass the
 * time with each event.
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
  /** Failures since the last success or ejection. */
  readonly consecutiveFailures: number;
  /** Ejections since the server was last healthy. */
  readonly ejections: number;
  /** Start of the current state, in milliseconds since the epoch. */
  readonly since: number;
}

/** An event that can change a backend server's health. */
export type HealthEvent =
  | { readonly type: "succeeded"; readonly now: number }
  | { readonly type: "failed"; readonly now: number }
  | { readonly type: "time_passed"; readonly now: number };

/** Consecutive failures after which a server is ejected. */
const FAILURES_TO_EJECT = 5;
/** Duration of the first ejection; each further one lasts twice as long. */
const FIRST_EJECTION_MILLISECONDS = 2_000;
const MAXIMUM_EJECTION_MILLISECONDS = 60_000;
/** Time over which a slow start raises a server's load to its full share. */
const SLOW_START_MILLISECONDS = 10_000;
/** Share of its load that a server gets at the start of a slow start. */
const MINIMUM_SLOW_START_SHARE = 0.1;

/** State machine of one backend server's health. */
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
  context: { consecutiveFailures: 0, ejections: 0, since: 0 },
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

/** Health of one backend server as one entry host sees it. */
export class ServerHealth {
  #snapshot: HealthSnapshot;
  #probeStarted = false;

  constructor() {
    [this.#snapshot] = initialTransition(HEALTH_MACHINE);
  }

  /** State after the last event. */
  get state(): HealthState {
    return this.#snapshot.value;
  }

  /**
   * Whether only a failure can change the state: the server is healthy and its
   * last request did not fail.
   */
  get steady(): boolean {
    return (
      this.state === "healthy" &&
      this.#snapshot.context.consecutiveFailures === 0
    );
  }

  /** Applies an event. */
  handle(event: HealthEvent): void {
    if (this.steady && event.type !== "failed") return;
    [this.#snapshot] = transition(HEALTH_MACHINE, this.#snapshot, event);
    if (event.type !== "time_passed") this.#probeStarted = false;
  }

  /** Whether a request may be sent now; a probing server gets one at a time. */
  admits(now: number): boolean {
    this.handle({ type: "time_passed", now });
    return this.state === "probing"
      ? !this.#probeStarted
      : this.state !== "ejected";
  }

  /** Records that a request was sent; for a probing server it is the probe. */
  sent(): void {
    this.#probeStarted = this.state === "probing";
  }

  /** Share of its normal load that the server should get, above 0 and at most 1. */
  share(now: number): number {
    if (this.state !== "slowStart") return 1;
    const elapsedShare =
      (now - this.#snapshot.context.since) / SLOW_START_MILLISECONDS;
    return Math.max(MINIMUM_SLOW_START_SHARE, Math.min(1, elapsedShare));
  }
}

/** Maximum share of a group that may be ejected at once. */
const MAXIMUM_EJECTED_SHARE = 0.5;

/**
 * Whether this number of servers of a group may be ejected at once. If more
 * fail, requests go to all of them again, because the remaining servers could
 * not carry the load.
 */
export function isEjectionAllowed(ejected: number, groupSize: number): boolean {
  return ejected <= groupSize * MAXIMUM_EJECTED_SHARE;
}
