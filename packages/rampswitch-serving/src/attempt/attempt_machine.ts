// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * What is known about one caller attempt: whether it can have run, whether it
 * may be sent again, and which answer would be true. Pure; no sockets, no time.
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

/** What happens to an attempt. */
export type AttemptEvent =
  /** The request is handed to a connection; bytes may leave from now on. */
  | { readonly type: "written" }
  /** The send ended before any byte left. */
  | { readonly type: "not_written" }
  /** The backend server says that it did not run the request. */
  | { readonly type: "rejected" }
  /** The backend server answered, so it ran the request. */
  | { readonly type: "answered" }
  /** A part of the answer went to the caller. */
  | { readonly type: "relayed" }
  /** The connection ended without a whole answer. */
  | { readonly type: "lost" }
  /** The run stopped on order; it can go on from its kept memory. */
  | { readonly type: "stopped" }
  /** The kept memory of a stopped run can't be used any more. */
  | { readonly type: "memory_lost" }
  /** The caller has a final answer. */
  | { readonly type: "ended" };

interface AttemptContext {
  /** Runs that began or may have begun; a stopped run that goes on is one. */
  readonly possibleRuns: number;
  readonly sends: number;
  readonly relayed: boolean;
}

/** The machine of one attempt. */
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
    takeBackRun: assign({
      possibleRuns: ({ context }) => context.possibleRuns - 1,
    }),
    noteRelayed: assign({ relayed: true }),
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
        not_written: { target: "waiting", actions: "takeBackRun" },
        rejected: { target: "waiting", actions: "takeBackRun" },
        answered: "running",
        lost: "waiting",
        stopped: "suspended",
        ended: "finished",
      },
    },
    running: {
      on: {
        relayed: { actions: "noteRelayed" },
        lost: "waiting",
        stopped: "suspended",
        ended: "finished",
      },
    },
    // The stopped run still counts: a rejection takes back the send that
    // carries its memory, never the run itself.
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
 * Steps of the machine that were taken before, for all attempts of the process.
 * The machine has few states, and a step by it costs some 30 microseconds and 3
 * KB; in a profile of a host with 22 requests a second, steps and the collection
 * of their garbage were 0.3 of its processor time.
 */
class KnownSteps {
  readonly first: AttemptSnapshot = initialTransition(ATTEMPT_MACHINE)[0];
  readonly #next = new Map<string, AttemptSnapshot>();

  /** The snapshot after an event. */
  after(snapshot: AttemptSnapshot, event: AttemptEvent): AttemptSnapshot {
    const { sends, possibleRuns, relayed } = snapshot.context;
    const key = `${snapshot.value}/${sends}/${possibleRuns}/${relayed}/${event.type}`;
    const known = this.#next.get(key);
    if (known !== undefined) return known;
    const [next] = transition(ATTEMPT_MACHINE, snapshot, event);
    this.#next.set(key, next);
    return next;
  }
}

const STEPS = new KnownSteps();

/** States of {@link ATTEMPT_MACHINE}. */
export type AttemptState =
  "waiting" | "sent" | "running" | "suspended" | "resuming" | "finished";

/** The truth about one attempt, from which answers and resends follow. */
export class AttemptTruth {
  #snapshot = STEPS.first;
  readonly #repeatability: Repeatability;

  constructor(repeatability: Repeatability) {
    this.#repeatability = repeatability;
  }

  /** The state at the last event. */
  get state(): AttemptState {
    return this.#snapshot.value;
  }

  /** Sends so far. */
  get sends(): number {
    return this.#snapshot.context.sends;
  }

  /** Runs that began or may have begun. */
  get possibleRuns(): number {
    return this.#snapshot.context.possibleRuns;
  }

  /** Whether the caller may be told that the request did not run. */
  get surelyNotRun(): boolean {
    return this.possibleRuns === 0;
  }

  /** Whether the caller holds a part of the answer. */
  get relayed(): boolean {
    return this.#snapshot.context.relayed;
  }

  /** Whether a send may carry on a run that stopped and whose memory is kept. */
  get mayGoOn(): boolean {
    return this.state === "suspended";
  }

  /** Whether the request may begin to run at a backend server now. */
  maySend(maximumRuns: number): boolean {
    if (this.state !== "waiting") return false;
    return this.#repeatability === "repeatable"
      ? this.possibleRuns < Math.max(1, maximumRuns)
      : this.possibleRuns === 0;
  }

  /** Takes in an event. */
  handle(event: AttemptEvent): void {
    this.#snapshot = STEPS.after(this.#snapshot, event);
  }
}
