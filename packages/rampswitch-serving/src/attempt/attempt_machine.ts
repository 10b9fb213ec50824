// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * State machine of one caller attempt: whether the request may have run, whether
 * it may be sent again, and which answers would be correct. Pure: no sockets, no
 * time.
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
import type { Repeatability } from "../model/configuration.ts";

/** An event of an attempt. */
export type AttemptEvent =
  /** The request was handed to a connection; bytes may be sent from now on. */
  | { readonly type: "written" }
  /** The send ended before any byte was sent. */
  | { readonly type: "not_written" }
  /** The backend server rejected the request and did not run it. */
  | { readonly type: "rejected" }
  /** The backend server answered, so it ran the request. */
  | { readonly type: "answered" }
  /** A part of the answer was sent to the caller. */
  | { readonly type: "relayed" }
  /** The connection ended without a complete answer. */
  | { readonly type: "lost" }
  /** Another server may have begun a further run, whose answer is not used. */
  | { readonly type: "ran_elsewhere" }
  /** The run was stopped for a migration; it can resume from its retained memory. */
  | { readonly type: "stopped" }
  /** The retained memory of a suspended run can't be used any more. */
  | { readonly type: "memory_lost" }
  /** The caller has a final answer. */
  | { readonly type: "ended" };

interface AttemptContext {
  /** Runs that started or may have started; a run that resumes is counted once. */
  readonly possibleRuns: number;
  readonly sends: number;
  readonly relayed: boolean;
}

/** The state machine of one attempt. */
export const ATTEMPT_MACHINE = setup({
  types: {
    context: {} as AttemptContext,
    events: {} as AttemptEvent,
  },
  actions: {
    countSend: assign({ sends: ({ context }) => context.sends + 1 }),
    countRun: assign({
      possibleRuns: ({ context }) => context.possibleRuns + 1,
    }),
    uncountRun: assign({
      possibleRuns: ({ context }) => context.possibleRuns - 1,
    }),
    recordRelayed: assign({ relayed: true }),
  },
}).createMachine({
  id: "attempt",
  initial: "waiting",
  context: { possibleRuns: 0, sends: 0, relayed: false },
  states: {
    waiting: {
      on: {
        written: { target: "sent", actions: ["countSend", "countRun"] },
        ended: "finished",
      },
    },
    sent: {
      on: {
        not_written: { target: "waiting", actions: "uncountRun" },
        rejected: { target: "waiting", actions: "uncountRun" },
        answered: "running",
        ran_elsewhere: { actions: "countRun" },
        lost: "waiting",
        stopped: "suspended",
        ended: "finished",
      },
    },
    running: {
      on: {
        ran_elsewhere: { actions: "countRun" },
        relayed: { actions: "recordRelayed" },
        lost: "waiting",
        stopped: "suspended",
        ended: "finished",
      },
    },
    // A suspended run still counts as a possible run. A rejection of the send that
    // carries its memory must not uncount the run itself.
    suspended: {
      on: {
        written: { target: "resuming", actions: "countSend" },
        lost: "waiting",
        memory_lost: "waiting",
        ended: "finished",
      },
    },
    resuming: {
      on: {
        not_written: "suspended",
        rejected: "suspended",
        answered: "running",
        ran_elsewhere: { actions: "countRun" },
        lost: "waiting",
        stopped: "suspended",
        ended: "finished",
      },
    },
    finished: { type: "final" },
  },
});

type AttemptSnapshot = SnapshotFrom<typeof ATTEMPT_MACHINE>;

/**
 * Caches the transitions of the machine for all attempts of the process. The
 * machine has few states, but computing a transition costs about 30 microseconds
 * and 3 KB. In a profile of a host with 22 requests per second, transitions and
 * their garbage collection took 0.3 of the processor time.
 */
class TransitionCache {
  /** The initial snapshot. */
  readonly first: AttemptSnapshot = initialTransition(ATTEMPT_MACHINE)[0];
  readonly #transitions = new Map<string, AttemptSnapshot>();

  /** The snapshot after an event. */
  after(snapshot: AttemptSnapshot, event: AttemptEvent): AttemptSnapshot {
    const { sends, possibleRuns, relayed } = snapshot.context;
    const key = `${snapshot.value}/${sends}/${possibleRuns}/${relayed}/${event.type}`;
    const known = this.#transitions.get(key);
    if (known !== undefined) return known;
    const [next] = transition(ATTEMPT_MACHINE, snapshot, event);
    this.#transitions.set(key, next);
    return next;
  }
}

const TRANSITIONS = new TransitionCache();

/** States of {@link ATTEMPT_MACHINE}. */
export type AttemptState =
  "waiting" | "sent" | "running" | "suspended" | "resuming" | "finished";

/** Tracks the state of one attempt, which decides on answers and resends. */
export class AttemptTracker {
  #snapshot = TRANSITIONS.first;
  readonly #repeatability: Repeatability;

  constructor(repeatability: Repeatability) {
    this.#repeatability = repeatability;
  }

  /** The state after the last event. */
  get state(): AttemptState {
    return this.#snapshot.value;
  }

  /** Sends so far. */
  get sends(): number {
    return this.#snapshot.context.sends;
  }

  /** Runs that started or may have started. */
  get possibleRuns(): number {
    return this.#snapshot.context.possibleRuns;
  }

  /** Whether the request certainly did not run, so that the caller may be told so. */
  get certainlyNotRun(): boolean {
    return this.possibleRuns === 0;
  }

  /** Whether a part of the answer was sent to the caller. */
  get relayed(): boolean {
    return this.#snapshot.context.relayed;
  }

  /** Whether a send can resume a suspended run from its retained memory. */
  get canResume(): boolean {
    return this.state === "suspended";
  }

  /** Whether the request may be sent to a backend server for a new run now. */
  canSend(maximumRuns: number): boolean {
    if (this.state !== "waiting") return false;
    return this.#repeatability === "repeatable"
      ? this.possibleRuns < Math.max(1, maximumRuns)
      : this.possibleRuns === 0;
  }

  /** Applies an event. */
  handle(event: AttemptEvent): void {
    this.#snapshot = TRANSITIONS.after(this.#snapshot, event);
  }
}
