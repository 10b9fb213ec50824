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
export interface CapacityFacts {
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
const HALL_LOSS_SHARE = 0.8;
const SPARE_ROUNDS_TO_END = 5;
const CALM_MILLISECONDS = 120_000;

/** Plans one round. */
export function planCapacity(
  facts: CapacityFacts,
  memory: CapacityMemory,
): CapacityPlan {
  const leaving = facts.hosts.some(({ state }) => state === "leaving");
  const lastLossAt = leaving ? facts.now : memory.lastLossAt;
  if (facts.demand === undefined) {
    return { actions: [], memory: { spareRounds: 0, lastLossAt }, missing: 0 };
  }
  const wanted = facts.demand / TARGET_UTILIZATION;
  const staying = facts.hosts.filter(({ state }) => state !== "leaving");
  const starts = plannedStarts(facts, staying, wanted);
  if (starts.actions.length > 0 || starts.missing > 0) {
    return { ...starts, memory: { spareRounds: 0, lastLossAt } };
  }
  const spare = sparedHost(facts, staying, wanted);
  const spareRounds = spare === undefined ? 0 : memory.spareRounds + 1;
  const calm = facts.now - lastLossAt >= CALM_MILLISECONDS;
  const ends =
    spare !== undefined && calm && spareRounds >= SPARE_ROUNDS_TO_END;
  return {
    actions: ends ? [{ kind: "end", host: spare.name }] : [],
    memory: { spareRounds: ends ? 0 : spareRounds, lastLossAt },
    missing: 0,
  };
}

interface Starts {
  readonly actions: readonly CapacityAction[];
  readonly missing: number;
}

function plannedStarts(
  facts: CapacityFacts,
  staying: readonly PlannedHost[],
  wanted: number,
): Starts {
  const actions: CapacityAction[] = [];
  let hosts = staying;
  const classes = startableClasses(facts);
  const room = facts.downloadsFree;
  while (actions.length < room) {
    const lack = shortfall(hosts, facts.classes, wanted);
    const next =
      lack === undefined
        ? undefined
        : classes.find(({ dataHall }) => dataHall !== lack.notIn);
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
  const lack = shortfall(hosts, facts.classes, wanted);
  return { actions, missing: lack?.tokensPerSecond ?? 0 };
}

/** Classes by price for the work done; refused ones are left out. */
function startableClasses(facts: CapacityFacts): readonly PlannedClass[] {
  return facts.classes
    .filter(({ refusedUntil }) => refusedUntil <= facts.now)
    .toSorted(
      (left, right) =>
        left.dollarsPerHour / left.tokensPerSecond -
        right.dollarsPerHour / right.tokensPerSecond,
    );
}

interface Shortfall {
  readonly tokensPerSecond: number;
  /** Data hall whose loss cannot be borne; starts must go elsewhere. */
  readonly notIn: string | undefined;
}

function shortfall(
  hosts: readonly PlannedHost[],
  classes: readonly PlannedClass[],
  wanted: number,
): Shortfall | undefined {
  const total = speedOf(hosts, classes);
  if (total < wanted) {
    return { tokensPerSecond: wanted - total, notIn: undefined };
  }
  const halls = [...new Set(hosts.map(({ dataHall }) => dataHall))];
  const worst = halls
    .map((hall) => ({
      hall,
      left: speedOf(
        hosts.filter(({ dataHall }) => dataHall !== hall),
        classes,
      ),
    }))
    .toSorted((left, right) => left.left - right.left)[0];
  const floor = wanted * TARGET_UTILIZATION * HALL_LOSS_SHARE;
  return worst !== undefined && worst.left < floor
    ? { tokensPerSecond: floor - worst.left, notIn: worst.hall }
    : undefined;
}

function speedOf(
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

function sparedHost(
  facts: CapacityFacts,
  staying: readonly PlannedHost[],
  wanted: number,
): PlannedHost | undefined {
  return staying
    .filter(({ state, managed }) => state === "serving" && managed)
    .filter(
      (host) =>
        shortfall(
          staying.filter((other) => other !== host),
          facts.classes,
          wanted,
        ) === undefined,
    )
    .toSorted(
      (left, right) =>
        priceOf(right, facts.classes) - priceOf(left, facts.classes) ||
        left.load - right.load,
    )[0];
}

function priceOf(host: PlannedHost, classes: readonly PlannedClass[]): number {
  return (
    classes.find(({ name }) => name === host.hostClass)?.dollarsPerHour ?? 0
  );
}
