// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Exhaustive exploration of the slot protocol, as in model checking: drives the
 * replicas of one slot through every order of messages, losses, crashes and lost store
 * answers within bounds, and checks in every state that no guarded key ran twice.
 *
 * A lost message, store change or store answer is one that is never delivered, and a
 * paused host is one that other steps overtake, so neither needs a step of its own.
 * Visited states are stored as 53-bit hashes.
 *
 * @module
 */
import type { HostId } from "rampswitch-types";
import { hash32 } from "rampswitch-utils";
import { SLOT_RULES, type SlotRules } from "./slot_rules.ts";
import { SlotReplica } from "./slot_replica.ts";
import type {
  Proposal,
  SlotEffect,
  SlotEntry,
  SlotMessage,
} from "./slot_types.ts";

/** Bounds of an exploration. */
export interface ExplorationBounds {
  readonly hosts: number;
  readonly keys: number;
  /** Number of requests that callers send for each key, to any hosts. */
  readonly submissionsPerKey: number;
  /** Number of hosts that crash. */
  readonly deaths: number;
  readonly promotions: number;
  /** Number of times that a primary asks its backup to take over. */
  readonly handovers: number;
  /** Number of times that a primary starts to copy to a new backup, or drops one. */
  readonly replacements: number;
  readonly takeovers: number;
  readonly withdrawals: number;
  /** Maximum number of states to explore. */
  readonly states: number;
}

/** Result of an exploration. */
export interface ExplorationReport {
  readonly statesExplored: number;
  /** Whether every state within the bounds was reached. */
  readonly complete: boolean;
  /** Maximum number of steps from the initial state. */
  readonly longestPath: number;
  /** Steps to the first state that violates the invariant; absent if there is none. */
  readonly violation: readonly string[] | undefined;
}

/** Bounds of the default exploration. */
export const DEFAULT_BOUNDS: ExplorationBounds = {
  hosts: 3,
  keys: 2,
  submissionsPerKey: 2,
  deaths: 2,
  promotions: 2,
  handovers: 1,
  replacements: 1,
  takeovers: 1,
  withdrawals: 1,
  states: 200_000,
};

/** A message that was sent and not delivered yet. */
interface MessageInFlight {
  readonly from: HostId;
  readonly to: HostId;
  readonly message: SlotMessage;
}

/** How often each bounded kind of step was taken so far. */
interface UsedBounds {
  readonly deaths: number;
  readonly promotions: number;
  readonly handovers: number;
  readonly replacements: number;
  readonly takeovers: number;
  readonly withdrawals: number;
}

/** What happened to one key so far. */
interface KeyHistory {
  readonly mintedAt: number | undefined;
  readonly submissions: number;
  readonly withdrawn: number;
  readonly executions: number;
}

/** State of all hosts, the store and the network. */
interface ExplorationState {
  readonly replicas: readonly SlotReplica[];
  readonly dead: readonly HostId[];
  readonly store: SlotEntry;
  readonly messagesInFlight: readonly MessageInFlight[];
  readonly proposals: readonly Proposal[];
  readonly keys: readonly KeyHistory[];
  readonly used: UsedBounds;
  readonly time: number;
  readonly path: Path | undefined;
}

/** Steps from the initial state to a state, as a linked list. */
interface Path {
  readonly step: string;
  readonly previous: Path | undefined;
  readonly length: number;
}

/** A transition: its name, the host that acts (empty for none) and its action. */
interface Step {
  readonly name: string;
  readonly host: HostId;
  readonly act: (replica: SlotReplica) => readonly SlotEffect[];
  readonly change?: Partial<ExplorationState>;
}

const SLOT = 0;
const TIMES = { retention: 1_000_000, clockSkew: 0 };
const HASH_SEED = 97;
const HIGH_BITS = 2 ** 21;

/** Explores the protocol breadth first, under the given rules. */
export function explore(
  bounds: ExplorationBounds = DEFAULT_BOUNDS,
  rules: SlotRules = SLOT_RULES,
): ExplorationReport {
  const first = initialState(bounds, rules);
  const seen = new Set<number>([fingerprint(first)]);
  let frontier: readonly ExplorationState[] = [first];
  let longestPath = 0;
  while (frontier.length > 0) {
    const next: ExplorationState[] = [];
    for (const state of frontier) {
      for (const step of possibleSteps(state, bounds)) {
        const after = applyStep(state, step);
        if (violatesInvariant(after)) {
          return {
            statesExplored: seen.size,
            complete: false,
            longestPath: after.path?.length ?? 0,
            violation: pathSteps(after.path),
          };
        }
        const hash = fingerprint(after);
        if (seen.has(hash)) continue;
        seen.add(hash);
        next.push(after);
        if (seen.size >= bounds.states) {
          return {
            statesExplored: seen.size,
            complete: false,
            longestPath: after.path?.length ?? 0,
            violation: undefined,
          };
        }
      }
    }
    frontier = next;
    longestPath += 1;
  }
  return {
    statesExplored: seen.size,
    complete: true,
    longestPath,
    violation: undefined,
  };
}

function initialState(
  bounds: ExplorationBounds,
  rules: SlotRules,
): ExplorationState {
  const names = Array.from({ length: bounds.hosts }, (_, index) =>
    String.fromCharCode("A".charCodeAt(0) + index),
  );
  const store: SlotEntry = {
    epoch: 1,
    primary: names[0] ?? "A",
    backup: names[1],
    knownSince: 0,
  };
  const replicas = names.map((name) => {
    const replica = new SlotReplica(name, SLOT, { times: TIMES, rules });
    replica.observe(store);
    return replica;
  });
  return {
    replicas,
    dead: [],
    store,
    messagesInFlight: [],
    proposals: [],
    keys: Array.from({ length: bounds.keys }, () => ({
      mintedAt: undefined,
      submissions: 0,
      withdrawn: 0,
      executions: 0,
    })),
    used: {
      deaths: 0,
      promotions: 0,
      handovers: 0,
      replacements: 0,
      takeovers: 0,
      withdrawals: 0,
    },
    time: 1,
    path: undefined,
  };
}

/** Whether a key ran twice, or more often than its requests that were not withdrawn. */
function violatesInvariant(state: ExplorationState): boolean {
  return state.keys.some(
    ({ executions, submissions, withdrawn }) =>
      executions > 1 || executions > submissions - withdrawn,
  );
}

function possibleSteps(
  state: ExplorationState,
  bounds: ExplorationBounds,
): readonly Step[] {
  const alive = state.replicas.filter(({ self }) => !state.dead.includes(self));
  return [
    ...deliverySteps(state),
    ...storeSteps(state),
    ...alive.flatMap((replica) => hostSteps(state, replica, bounds)),
    ...deathSteps(state, alive, bounds),
  ];
}

function deliverySteps(state: ExplorationState): readonly Step[] {
  return state.messagesInFlight
    .filter(({ to }) => !state.dead.includes(to))
    .map((flight) => ({
      name:
        `${flight.to} receives ${flight.message.kind} from ` +
        `${flight.from} under epoch ${flight.message.epoch}`,
      host: flight.to,
      act: (replica) => replica.receive(flight.from, flight.message),
      change: {
        messagesInFlight: state.messagesInFlight.filter(
          (other) => other !== flight,
        ),
      },
    }));
}

function storeSteps(state: ExplorationState): readonly Step[] {
  return state.proposals
    .filter(({ from }) => from?.epoch === state.store.epoch)
    .map((proposal) => ({
      name: `store accepts epoch ${proposal.to.epoch} of ${proposal.to.primary}`,
      host: "",
      act: () => [],
      change: { store: proposal.to, proposals: [] },
    }));
}

function hostSteps(
  state: ExplorationState,
  replica: SlotReplica,
  bounds: ExplorationBounds,
): readonly Step[] {
  const host = replica.self;
  const known = replica.entry?.epoch ?? 0;
  const reads: readonly Step[] =
    known < state.store.epoch
      ? [
          {
            name: `${host} reads epoch ${state.store.epoch}`,
            host,
            act: (fork) => fork.observe(state.store),
          },
        ]
      : [];
  return [
    ...reads,
    ...submissionSteps(state, replica, bounds),
    ...withdrawalSteps(state, replica, bounds),
    ...roleChangeSteps(state, replica, bounds),
  ];
}

function submissionSteps(
  state: ExplorationState,
  replica: SlotReplica,
  bounds: ExplorationBounds,
): readonly Step[] {
  return state.keys.flatMap((history, index) => {
    if (history.submissions >= bounds.submissionsPerKey) return [];
    const keyTime = history.mintedAt ?? state.time;
    const request = { key: `k${index}`, keyTime, guarded: true };
    if (replica.evaluate(request, state.time).kind !== "new") return [];
    const keys = state.keys.with(index, {
      ...history,
      mintedAt: keyTime,
      submissions: history.submissions + 1,
    });
    return [
      {
        name: `caller asks ${replica.self} for ${request.key}`,
        host: replica.self,
        act: (fork: SlotReplica) => fork.open(request, state.time),
        change: { keys },
      },
    ];
  });
}

function withdrawalSteps(
  state: ExplorationState,
  replica: SlotReplica,
  bounds: ExplorationBounds,
): readonly Step[] {
  if (state.used.withdrawals >= bounds.withdrawals) return [];
  return replica
    .keysWith(["claiming"])
    .filter((key) => replica.record(key)?.claimant === replica.self)
    .filter(() => replica.role === "primary")
    .map((key) => {
      const index = Number(key.slice(1));
      const history = state.keys[index];
      return {
        name: `${replica.self} refuses ${key} as not run`,
        host: replica.self,
        act: (fork: SlotReplica) => {
          fork.withdraw(key);
          return [];
        },
        change: {
          used: { ...state.used, withdrawals: state.used.withdrawals + 1 },
          ...(history === undefined
            ? {}
            : {
                keys: state.keys.with(index, {
                  ...history,
                  withdrawn: history.withdrawn + 1,
                }),
              }),
        },
      };
    });
}

function roleChangeSteps(
  state: ExplorationState,
  replica: SlotReplica,
  bounds: ExplorationBounds,
): readonly Step[] {
  const host = replica.self;
  const { used } = state;
  const isGone = (other: HostId) => state.dead.includes(other);
  const idle = replica.pending === undefined;
  const others = state.replicas
    .map(({ self }) => self)
    .filter((other) => other !== host && other !== replica.entry?.backup);
  const promote: readonly Step[] =
    idle && replica.role === "backup" && used.promotions < bounds.promotions
      ? [
          {
            name: `${host} promotes itself`,
            host,
            act: (fork) => fork.promote(),
            change: { used: { ...used, promotions: used.promotions + 1 } },
          },
        ]
      : [];
  const addLearner: readonly Step[] =
    idle &&
    replica.role === "primary" &&
    replica.learner === undefined &&
    used.replacements < bounds.replacements
      ? others.map((other) => ({
          name: `${host} copies its records to ${other}`,
          host,
          act: (fork) => fork.addLearner(other),
          change: { used: { ...used, replacements: used.replacements + 1 } },
        }))
      : [];
  const removeLearner: readonly Step[] =
    idle && replica.learner !== undefined
      ? [
          {
            name: `${host} stops copying to ${replica.learner}`,
            host,
            act: (fork) => fork.removeLearner(),
          },
        ]
      : [];
  const takeOver: readonly Step[] =
    idle &&
    replica.role === "none" &&
    used.takeovers < bounds.takeovers &&
    replica.fork().takeOver(isGone, state.time).length > 0
      ? [
          {
            name: `${host} takes over the slot`,
            host,
            act: (fork) => fork.takeOver(isGone, state.time),
            change: { used: { ...used, takeovers: used.takeovers + 1 } },
          },
        ]
      : [];
  const handOver: readonly Step[] =
    idle &&
    replica.role === "primary" &&
    replica.entry?.backup !== undefined &&
    used.handovers < bounds.handovers
      ? [
          {
            name: `${host} hands over`,
            host,
            act: (fork) => fork.handOver(),
            change: { used: { ...used, handovers: used.handovers + 1 } },
          },
        ]
      : [];
  const dropBackup: readonly Step[] =
    idle &&
    replica.role === "primary" &&
    replica.learner === undefined &&
    replica.entry?.backup !== undefined &&
    used.replacements < bounds.replacements
      ? [
          {
            name: `${host} drops its backup`,
            host,
            act: (fork) => fork.dropBackup(),
            change: { used: { ...used, replacements: used.replacements + 1 } },
          },
        ]
      : [];
  return [
    ...promote,
    ...handOver,
    ...addLearner,
    ...removeLearner,
    ...dropBackup,
    ...takeOver,
  ];
}

function deathSteps(
  state: ExplorationState,
  alive: readonly SlotReplica[],
  bounds: ExplorationBounds,
): readonly Step[] {
  if (state.used.deaths >= bounds.deaths) return [];
  return alive.map(({ self }) => ({
    name: `${self} crashes`,
    host: "",
    act: () => [],
    change: {
      dead: [...state.dead, self],
      messagesInFlight: state.messagesInFlight.filter(({ to }) => to !== self),
      used: { ...state.used, deaths: state.used.deaths + 1 },
      time: state.time + 1,
    },
  }));
}

function applyStep(state: ExplorationState, step: Step): ExplorationState {
  const at = state.replicas.findIndex(({ self }) => self === step.host);
  const fork = state.replicas[at]?.fork();
  const effects = fork === undefined ? [] : step.act(fork);
  const changed: ExplorationState = {
    ...state,
    ...step.change,
    replicas:
      fork === undefined ? state.replicas : state.replicas.with(at, fork),
    path: {
      step: step.name,
      previous: state.path,
      length: (state.path?.length ?? 0) + 1,
    },
  };
  return effects.reduce(
    (current, effect) => applyEffect(current, effect, step.host),
    changed,
  );
}

function applyEffect(
  state: ExplorationState,
  effect: SlotEffect,
  host: HostId,
): ExplorationState {
  const apply = EFFECTS[effect.kind] as (
    state: ExplorationState,
    effect: SlotEffect,
    host: HostId,
  ) => ExplorationState;
  return apply(state, effect, host);
}

const EFFECTS: {
  readonly [Kind in SlotEffect["kind"]]: (
    state: ExplorationState,
    effect: Extract<SlotEffect, { readonly kind: Kind }>,
    host: HostId,
  ) => ExplorationState;
} = {
  send: (state, { to, message }, from) =>
    state.dead.includes(to)
      ? state
      : {
          ...state,
          messagesInFlight: [...state.messagesInFlight, { from, to, message }],
        },
  execute: (state, { key }) => {
    const index = Number(key.slice(1));
    const history = state.keys[index];
    return history === undefined
      ? state
      : {
          ...state,
          keys: state.keys.with(index, {
            ...history,
            executions: history.executions + 1,
          }),
        };
  },
  propose: (state, { proposal }) => ({
    ...state,
    proposals: [...state.proposals, proposal],
  }),
  read_table: (state) => state,
  in_doubt: (state) => state,
  taken_over: (state) => state,
};

const SHORT_HASHES = new WeakMap<object, string>();
const RADIX = 36;

/** Returns a short hash of a value; cached per object. */
function shortHash<Marked extends object>(
  value: Marked,
  describe: (value: Marked) => string,
): string {
  const known = SHORT_HASHES.get(value);
  if (known !== undefined) return known;
  const text = hash53(describe(value)).toString(RADIX);
  SHORT_HASHES.set(value, text);
  return text;
}

function hash53(text: string): number {
  return hash32(text) + (hash32(text, HASH_SEED) % HIGH_BITS) * 2 ** 32;
}

function fingerprint(state: ExplorationState): number {
  const text = [
    ...state.replicas.map((replica) =>
      shortHash(replica, (value) => value.fingerprint()),
    ),
    state.dead.toSorted().join(),
    shortHash(state.store, JSON.stringify),
    ...state.keys.map((key) => shortHash(key, JSON.stringify)),
    shortHash(state.used, JSON.stringify),
    String(state.time),
    ...state.messagesInFlight
      .map((flight) => shortHash(flight, JSON.stringify))
      .toSorted(),
    "proposals",
    ...state.proposals
      .map((proposal) => shortHash(proposal, JSON.stringify))
      .toSorted(),
  ].join();
  return hash53(text);
}

function pathSteps(path: Path | undefined): readonly string[] {
  const result: string[] = [];
  for (let at = path; at !== undefined; at = at.previous)
    result.unshift(at.step);
  return result;
}
