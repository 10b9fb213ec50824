// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * `measure configuration`: nine entry processes, changes of several operators
 * at once, with outages, lost answers, kills and pauses.
 *
 * @module
 */
import { randomUUID } from "node:crypto";
import type { ChangeOutcome } from "rampswitch-configuration";
import type { Resource } from "rampswitch-types";
import {
  jitter,
  type Random,
  seededRandom,
  sleep,
  SYSTEM_CLOCK,
} from "rampswitch-utils";
import type { EntryChild } from "./child.ts";
import { SERVICES } from "./deployment_plan.ts";
import { FaultInjector } from "./fault_injector.ts";
import { countFaults, planFaults } from "./fault_plan.ts";
import { leavingMilliseconds } from "./leaving_measure.ts";
import { MeasuredDeployment } from "./measured_deployment.ts";
import type { MeasureOptions } from "./measure_options.ts";
import { administration, change } from "./operator.ts";
import { durations, rounded } from "./statistics.ts";
import { summedCounters } from "./summed_counters.ts";
import { RevisionWatch } from "./revision_watch.ts";

const ENTRIES = 9;
const DATA_HALLS = ["hall-a", "hall-b", "hall-c", "hall-d"] as const;
const OPERATORS = 4;
const ENGINES = 8;
/** Shorter than a pause, so that holders pause past their leases. */
const LEASE_MILLISECONDS = 2_000;
const CLOCK_SKEW_MILLISECONDS = 200;
const FAULTS = 8;
const IDLE_SECONDS = 4;
const PAUSE_MILLISECONDS = 250;
const CHANGE_ATTEMPTS = 30;
const SETTLE_MILLISECONDS = 6_000;

const FAULT_KINDS = [
  "store_outage",
  "lost_store_answers",
  "entry_kill",
  "entry_pause",
  "severed_links",
] as const;

/** One change of an operator with its end. */
interface EndedChange {
  readonly changeId: string;
  readonly outcome: ChangeOutcome;
  readonly endedAt: number;
}

interface StoreCalls {
  readonly reads: number;
  readonly writes: number;
  readonly watches: number;
}

/** Runs the measurement. */
export async function measureConfiguration(
  options: MeasureOptions,
): Promise<unknown> {
  await using deployment = await MeasuredDeployment.start({
    entries: ENTRIES,
    dataHalls: DATA_HALLS,
    platform: {
      engines: ENGINES,
      plainServices: 2,
      seed: options.seed,
      halfUnchecked: true,
    },
    relays: true,
    membership: { leaseMilliseconds: LEASE_MILLISECONDS },
    limits: { clockSkewMilliseconds: CLOCK_SKEW_MILLISECONDS },
  });
  const random = seededRandom(options.seed);
  const idle = await idleFigures(deployment);
  const leaving = await leavingMilliseconds(deployment);
  const milliseconds = options.seconds * 600;
  const watch = new RevisionWatch(deployment);
  const callsBefore = await storeCalls(deployment);
  const plan = planFaults(FAULT_KINDS, random, { milliseconds, count: FAULTS });
  const injector = new FaultInjector(deployment, () => undefined);
  const until = SYSTEM_CLOCK.now() + milliseconds;
  const [changes] = await Promise.all([
    Promise.all(
      Array.from({ length: OPERATORS }, (_, operator) =>
        operate(deployment, { operator, random, until }),
      ),
    ),
    injector.run(plan),
  ]);
  const ended = changes.flat();
  await sleep(SYSTEM_CLOCK, SETTLE_MILLISECONDS / 2);
  const callsAfter = await storeCalls(deployment);
  const accepted = ended.flatMap(({ outcome, endedAt }) =>
    outcome.kind === "accepted" ? [{ ...outcome, endedAt }] : [],
  );
  const log = await watch.stop();
  const inForce = accepted.map(({ revision, endedAt }) =>
    watch.inForceMilliseconds(revision, endedAt),
  );
  const delays = inForce.flatMap((delay) =>
    delay === undefined ? [] : [delay],
  );
  const figures = durations(delays);
  return {
    accepted: accepted.length,
    conflicts: countKind(ended, "conflict"),
    unknown: countKind(ended, "unknown"),
    reverted: log.reverted,
    appliedTwice: await appliedTwice(deployment, ended),
    neverInForce: inForce.length - delays.length,
    inForceMillisecondsP50: rounded(figures.p50),
    inForceMillisecondsMax: rounded(figures.max),
    staleServedMilliseconds: log.staleServedMilliseconds,
    newWorkAfterLeavingMillisecondsMax: leaving,
    ...idle,
    storeCallsPerChange: rounded(
      (total(callsAfter) - total(callsBefore)) / Math.max(1, accepted.length),
    ),
    ...(await orderFigures(deployment)),
    faults: countFaults(plan),
  };
}

/** One operator: changes labels of services and workspaces, one at a time. */
async function operate(
  deployment: MeasuredDeployment,
  options: {
    readonly operator: number;
    readonly random: Random;
    readonly until: number;
  },
): Promise<readonly EndedChange[]> {
  const { random, until } = options;
  const ended: EndedChange[] = [];
  while (SYSTEM_CLOCK.now() < until) {
    const value = `${options.operator}-${ended.length}`;
    ended.push(await changeLabel(deployment, value, random));
    await sleep(SYSTEM_CLOCK, jitter(random, PAUSE_MILLISECONDS));
  }
  return ended;
}

/** Changes a label; an unknown end is settled by asking with the same id. */
async function changeLabel(
  deployment: MeasuredDeployment,
  value: string,
  random: Random,
): Promise<EndedChange> {
  const changeId = randomUUID();
  let outcome: ChangeOutcome = { kind: "unknown", changeId };
  let request:
    { readonly resource: Resource; readonly base: number } | undefined;
  for (
    let attempt = 0;
    attempt < CHANGE_ATTEMPTS && outcome.kind === "unknown";
    attempt += 1
  ) {
    const { entries } = deployment;
    const entry = entries[random.below(entries.length)];
    const address = entry?.addresses.administration ?? "";
    request ??= await readService(address, value);
    if (request !== undefined) {
      outcome = await change(
        address,
        [{ kind: "put", resource: request.resource }],
        { baseRevision: request.base, changeId },
      );
    }
    if (outcome.kind === "unknown") await sleep(SYSTEM_CLOCK, 100);
  }
  return { changeId, outcome, endedAt: SYSTEM_CLOCK.now() };
}

async function readService(address: string, value: string) {
  const list = (await administration(
    address,
    `/v1/resources?kind=Service&name=${SERVICES.model}`,
  )) as
    | {
        readonly revision: number;
        readonly resources: readonly { readonly resource: Resource }[];
      }
    | undefined;
  const found = list?.resources?.[0]?.resource;
  return found === undefined || list === undefined
    ? undefined
    : {
        resource: {
          ...found,
          labels: {
            ...found.labels,
            "order/adapter": `adapter-${value}`,
            "order/version": `version-${value}`,
          },
        },
        base: list.revision,
      };
}

function countKind(
  ended: readonly EndedChange[],
  kind: ChangeOutcome["kind"],
): number {
  return ended.filter(({ outcome }) => outcome.kind === kind).length;
}

/** Change ids that stand more than once in the log of the store. */
async function appliedTwice(
  deployment: MeasuredDeployment,
  ended: readonly EndedChange[],
): Promise<number> {
  const { objects } = deployment.standins.listening.platform;
  const answer = await fetch(`http://${objects}/objects/configuration/head`);
  const { value } = (await answer.json()) as { readonly value: string };
  const head = JSON.parse(value) as {
    readonly settled: readonly { readonly changeId: string }[];
  };
  const ids = head.settled.map(({ changeId }) => changeId);
  return ended.filter(
    ({ changeId }) => ids.filter((id) => id === changeId).length > 1,
  ).length;
}

async function storeCalls(deployment: MeasuredDeployment): Promise<StoreCalls> {
  const { objects } = deployment.standins.listening.platform;
  return (await deployment.read(objects, "calls")) as StoreCalls;
}

function total({ reads, writes, watches }: StoreCalls): number {
  return reads + writes + watches;
}

async function idleFigures(deployment: MeasuredDeployment) {
  await sleep(SYSTEM_CLOCK, SETTLE_MILLISECONDS / 2);
  const before = await storeCalls(deployment);
  const sentBefore = await controlBytes(deployment);
  const figures = deployment.entries.map((entry) => entry.figures());
  await sleep(SYSTEM_CLOCK, IDLE_SECONDS * 1000);
  const after = await storeCalls(deployment);
  const sent = (await controlBytes(deployment)) - sentBefore;
  return {
    storeCallsPerSecondIdle: rounded(
      (total(after) - total(before)) / IDLE_SECONDS,
    ),
    controlBytesPerSecondPerHost: Math.round(sent / IDLE_SECONDS / ENTRIES),
    controlProcessorPercent: rounded(
      processorPercent(deployment.entries, figures),
    ),
  };
}

function processorPercent(
  entries: readonly EntryChild[],
  before: readonly { readonly processorMilliseconds: number }[],
): number {
  const spent = entries.reduce(
    (sum, entry, index) =>
      sum +
      entry.figures().processorMilliseconds -
      (before[index]?.processorMilliseconds ?? 0),
    0,
  );
  return spent / entries.length / (IDLE_SECONDS * 10);
}

/** Bytes of control messages that all hosts have sent. */
async function controlBytes(deployment: MeasuredDeployment): Promise<number> {
  const counters = await summedCounters(deployment.entries);
  return (counters["control_bytes"] ?? 0) + (counters["replicate_bytes"] ?? 0);
}

interface OrderFigures {
  readonly ordersTaken: number;
  readonly leaseEpochs: number;
  /** Orders taken by an engine after one of a higher epoch. */
  readonly orderFromStaleHolder: number;
}

/** Orders that engines took, those that check epochs and those that do not. */
async function orderFigures(
  deployment: MeasuredDeployment,
): Promise<OrderFigures> {
  const engines = deployment.standins.listening.servers.filter(
    ({ service }) => service === SERVICES.model,
  );
  const books = (await Promise.all(
    engines.map(({ address }) => deployment.read(address, "orders")),
  )) as readonly (readonly TakenOrder[])[];
  const all = books.flat();
  return {
    ordersTaken: all.length,
    leaseEpochs: all.reduce((most, { epoch }) => Math.max(most, epoch), 0),
    orderFromStaleHolder: books.reduce(
      (sum, orders) =>
        sum +
        orders.filter(
          ({ epoch, kind }, index) =>
            kind !== HARMLESS_ORDER &&
            orders.slice(0, index).some((earlier) => earlier.epoch > epoch),
        ).length,
      0,
    ),
  };
}

interface TakenOrder {
  readonly epoch: number;
  readonly kind: string;
}

/** Loading an adapter late does no harm, so it goes to unchecked engines. */
const HARMLESS_ORDER = "load_adapter";
