// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Capacity of a service in all data halls: which hosts to start and to end so
 * that the latency target holds at the lowest cost, also after the loss of a
 * data hall.
 *
 * @module
 */

/** A host that serves, as the plan sees it. */
export interface PlannedHost {
  readonly name: string;
  readonly hostClass: string;
  readonly dataHall: string;
  readonly state: "starting" | "serving" | "leaving";
  /** Requests in progress. */
  readonly load: number;
  /** Whether the plan may end it. */
  readonly managed: boolean;
}

/** A class that hosts can be started in. */
export interface PlannedClass {
  readonly name: string;
  readonly dataHall: string;
  readonly dollarsPerHour: number;
  readonly reclaimable: boolean;
  /** Tokens a second of one host within the latency target. */
  readonly tokensPerSecond: number;
  /** Until when starts are thought to be refused; 0 for not at all. */
  readonly refusedUntil: number;
}

/** What the plan knows. */
export interface CapacityInputs {
  readonly now: number;
  /** Tokens a second asked for; absent where it is not known. */
  readonly demand: number | undefined;
  readonly hosts: readonly PlannedHost[];
  readonly classes: readonly PlannedClass[];
  /** Downloads of weights that may start now. */
  readonly downloadsFree: number;
}

/** What the plan remembers between rounds. */
export interface CapacityMemory {
  /** Rounds in a row in which a host could have been spared. */
  readonly spareRounds: number;
  /** When hosts last left; nothing ends soon after. */
  readonly lastLossAt: number;
}

/** One step of a plan. */
export type CapacityAction =
  | {
      readonly kind: "start";
      readonly hostClass: string;
      readonly dataHall: string;
    }
  | { readonly kind: "end"; readonly host: string };

/** A plan for one round. */
export interface CapacityPlan {
  readonly actions: readonly CapacityAction[];
  readonly memory: CapacityMemory;
  /** Tokens a second that are missing even after the actions. */
  readonly missing: number;
}

/** Memory before the first round. */
export const NO_CAPACITY_MEMORY: CapacityMemory = {
  spareRounds: 0,
  lastLossAt: Number.NEGATIVE_INFINITY,
};

const TARGET_UTILIZATION = 0.7;
/** Share of the demand that must survive the loss of any data hall. */
const HALL_LOSS_DEMAND_SHARE = 0.8;
const SPARE_ROUNDS_BEFORE_END = 5;
const SCALE_IN_PAUSE_MILLISECONDS = 120_000;

/** Plans one round. */
export function planCapacity(
  inputs: CapacityInputs,
  previous: CapacityMemory,
): CapacityPlan {
  const leaving = inputs.hosts.some(({ state }) => state === "leaving");
  const lastLossAt = leaving ? inputs.now : previous.lastLossAt;
  if (inputs.demand === undefined) {
    return { actions: [], memory: { spareRounds: 0, lastLossAt }, missing: 0 };
  }
  const requiredTokensPerSecond = inputs.demand / TARGET_UTILIZATION;
  const remainingHosts = inputs.hosts.filter(
    ({ state }) => state !== "leaving",
  );
  const starts = planStarts(inputs, remainingHosts, requiredTokensPerSecond);
  if (starts.actions.length > 0 || starts.missing > 0) {
    return { ...starts, memory: { spareRounds: 0, lastLossAt } };
  }
  const spareHost = findSpareHost(
    inputs,
    remainingHosts,
    requiredTokensPerSecond,
  );
  const spareRounds = spareHost === undefined ? 0 : previous.spareRounds + 1;
  const pauseOver = inputs.now - lastLossAt >= SCALE_IN_PAUSE_MILLISECONDS;
  const endsSpareHost =
    spareHost !== undefined &&
    pauseOver &&
    spareRounds >= SPARE_ROUNDS_BEFORE_END;
  return {
    actions: endsSpareHost ? [{ kind: "end", host: spareHost.name }] : [],
    memory: { spareRounds: endsSpareHost ? 0 : spareRounds, lastLossAt },
    missing: 0,
  };
}

interface PlannedStarts {
  readonly actions: readonly CapacityAction[];
  readonly missing: number;
}

function planStarts(
  inputs: CapacityInputs,
  remainingHosts: readonly PlannedHost[],
  requiredTokensPerSecond: number,
): PlannedStarts {
  const actions: CapacityAction[] = [];
  let hosts = remainingHosts;
  const classes = startableClasses(inputs);
  const maximumStarts = inputs.downloadsFree;
  while (actions.length < maximumStarts) {
    const lack = findShortfall(hosts, inputs.classes, requiredTokensPerSecond);
    const next =
      lack === undefined
        ? undefined
        : classes.find(({ dataHall }) => dataHall !== lack.excludedDataHall);
    if (next === undefined) break;
    actions.push({
      kind: "start",
      hostClass: next.name,
      dataHall: next.dataHall,
    });
    hosts = [
      ...hosts,
      {
        name: `start-${actions.length}`,
        hostClass: next.name,
        dataHall: next.dataHall,
        state: "starting",
        load: 0,
        managed: true,
      },
    ];
  }
  const lack = findShortfall(hosts, inputs.classes, requiredTokensPerSecond);
  return { actions, missing: lack?.tokensPerSecond ?? 0 };
}

/** Classes by price for the work done; refused ones are left out. */
function startableClasses(inputs: CapacityInputs): readonly PlannedClass[] {
  return inputs.classes
    .filter(({ refusedUntil }) => refusedUntil <= inputs.now)
    .toSorted(
      (left, right) =>
        left.dollarsPerHour / left.tokensPerSecond -
        right.dollarsPerHour / right.tokensPerSecond,
    );
}

interface Shortfall {
  readonly tokensPerSecond: number;
  /** Data hall whose loss cannot be borne; starts must go elsewhere. */
  readonly excludedDataHall: string | undefined;
}

function findShortfall(
  hosts: readonly PlannedHost[],
  classes: readonly PlannedClass[],
  requiredTokensPerSecond: number,
): Shortfall | undefined {
  const total = totalTokensPerSecond(hosts, classes);
  if (total < requiredTokensPerSecond) {
    return {
      tokensPerSecond: requiredTokensPerSecond - total,
      excludedDataHall: undefined,
    };
  }
  const halls = [...new Set(hosts.map(({ dataHall }) => dataHall))];
  const worstLoss = halls
    .map((hall) => ({
      hall,
      left: totalTokensPerSecond(
        hosts.filter(({ dataHall }) => dataHall !== hall),
        classes,
      ),
    }))
    .toSorted((left, right) => left.left - right.left)[0];
  const minimumTokensPerSecond =
    requiredTokensPerSecond * TARGET_UTILIZATION * HALL_LOSS_DEMAND_SHARE;
  return worstLoss !== undefined && worstLoss.left < minimumTokensPerSecond
    ? {
        tokensPerSecond: minimumTokensPerSecond - worstLoss.left,
        excludedDataHall: worstLoss.hall,
      }
    : undefined;
}

function totalTokensPerSecond(
  hosts: readonly PlannedHost[],
  classes: readonly PlannedClass[],
): number {
  return hosts.reduce((sum, host) => {
    const found = classes.find(
      ({ name, dataHall }) =>
        name === host.hostClass && dataHall === host.dataHall,
    );
    return sum + (found?.tokensPerSecond ?? 0);
  }, 0);
}

function findSpareHost(
  inputs: CapacityInputs,
  remainingHosts: readonly PlannedHost[],
  requiredTokensPerSecond: number,
): PlannedHost | undefined {
  return remainingHosts
    .filter(({ state, managed }) => state === "serving" && managed)
    .filter(
      (host) =>
        findShortfall(
          remainingHosts.filter((other) => other !== host),
          inputs.classes,
          requiredTokensPerSecond,
        ) === undefined,
    )
    .toSorted(
      (left, right) =>
        priceOf(right, inputs.classes) - priceOf(left, inputs.classes) ||
        left.load - right.load,
    )[0];
}

function priceOf(host: PlannedHost, classes: readonly PlannedClass[]): number {
  return (
    classes.find(({ name }) => name === host.hostClass)?.dollarsPerHour ?? 0
  );
}
