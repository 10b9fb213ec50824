// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Plans the capacity of a service in all data halls: which hosts to start and
 * to end so that the service meets its latency target at the lowest cost, also
 * after the loss of a data hall.
 *
 * @module
 */

/** A host of the service, as input of the plan. */
export interface PlannedHost {
  readonly name: string;
  readonly hostClass: string;
  readonly dataHall: string;
  readonly state: "starting" | "serving" | "leaving";
  /** Number of requests in progress. */
  readonly load: number;
  /** Whether the plan may end the host; `false` for hosts that operators run. */
  readonly managed: boolean;
}

/** A host class in which hosts can be started. */
export interface PlannedClass {
  readonly name: string;
  readonly dataHall: string;
  readonly dollarsPerHour: number;
  readonly reclaimable: boolean;
  /** Tokens a second that one host generates within the latency target. */
  readonly tokensPerSecond: number;
  /**
   * Time until which the cloud is expected to refuse starts, in milliseconds
   * since the epoch; 0 if it does not.
   */
  readonly refusedUntil: number;
}

/** Inputs of one round of planning. */
export interface CapacityInputs {
  readonly now: number;
  /** Demand in tokens a second; `undefined` if unknown. */
  readonly demand: number | undefined;
  readonly hosts: readonly PlannedHost[];
  readonly classes: readonly PlannedClass[];
  /** Number of downloads of model weights that may start now. */
  readonly downloadsFree: number;
}

/** State of the planner between rounds. */
export interface CapacityPlanState {
  /** Consecutive rounds in which there was a spare host. */
  readonly spareRounds: number;
  /**
   * When a host was last leaving, in milliseconds since the epoch. No host is
   * ended soon after.
   */
  readonly lastLossAt: number;
}

/** A start or an end of one host. */
export type CapacityAction =
  | {
      readonly kind: "start";
      readonly hostClass: string;
      readonly dataHall: string;
    }
  | { readonly kind: "end"; readonly host: string };

/** Result of one round of planning. */
export interface CapacityPlan {
  readonly actions: readonly CapacityAction[];
  readonly state: CapacityPlanState;
  /** Tokens a second that are still missing after the actions. */
  readonly missing: number;
}

/** State of the planner before the first round. */
export const INITIAL_CAPACITY_PLAN_STATE: CapacityPlanState = {
  spareRounds: 0,
  lastLossAt: Number.NEGATIVE_INFINITY,
};

/** Share of the capacity that the demand should use. */
const TARGET_UTILIZATION = 0.7;
/** Share of the demand that must still be served after the loss of a data hall. */
const HALL_LOSS_DEMAND_SHARE = 0.8;
/** Consecutive rounds with a spare host after which it is ended. */
const SPARE_ROUNDS_BEFORE_END = 5;
/** Time after the last loss of a host in which no host is ended. */
const SCALE_IN_PAUSE_MILLISECONDS = 120_000;

/** Plans the starts and ends of one round. */
export function planCapacity(
  inputs: CapacityInputs,
  previous: CapacityPlanState,
): CapacityPlan {
  const leaving = inputs.hosts.some(({ state }) => state === "leaving");
  const lastLossAt = leaving ? inputs.now : previous.lastLossAt;
  if (inputs.demand === undefined) {
    return { actions: [], state: { spareRounds: 0, lastLossAt }, missing: 0 };
  }
  const requiredTokensPerSecond = inputs.demand / TARGET_UTILIZATION;
  const remainingHosts = inputs.hosts.filter(
    ({ state }) => state !== "leaving",
  );
  const starts = planStarts(inputs, remainingHosts, requiredTokensPerSecond);
  if (starts.actions.length > 0 || starts.missing > 0) {
    return { ...starts, state: { spareRounds: 0, lastLossAt } };
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
    state: { spareRounds: endsSpareHost ? 0 : spareRounds, lastLossAt },
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
    const shortfall = findShortfall(
      hosts,
      inputs.classes,
      requiredTokensPerSecond,
    );
    const next =
      shortfall === undefined
        ? undefined
        : classes.find(
            ({ dataHall }) => dataHall !== shortfall.excludedDataHall,
          );
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
  const shortfall = findShortfall(
    hosts,
    inputs.classes,
    requiredTokensPerSecond,
  );
  return { actions, missing: shortfall?.tokensPerSecond ?? 0 };
}

/** Classes that can be started now, in order of their price for a token. */
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
  /**
   * Data hall whose loss would leave too little capacity; hosts must be started
   * in another one.
   */
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
      remainingTokensPerSecond: totalTokensPerSecond(
        hosts.filter(({ dataHall }) => dataHall !== hall),
        classes,
      ),
    }))
    .toSorted(
      (left, right) =>
        left.remainingTokensPerSecond - right.remainingTokensPerSecond,
    )[0];
  const minimumTokensPerSecond =
    requiredTokensPerSecond * TARGET_UTILIZATION * HALL_LOSS_DEMAND_SHARE;
  return worstLoss !== undefined &&
    worstLoss.remainingTokensPerSecond < minimumTokensPerSecond
    ? {
        tokensPerSecond:
          minimumTokensPerSecond - worstLoss.remainingTokensPerSecond,
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
