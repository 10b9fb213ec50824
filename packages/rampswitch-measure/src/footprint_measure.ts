// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * `measure footprint`: slopes of processor time, memory, bytes and store calls,
 * from which docs/CAPACITY.md works out the cost at full size.
 *
 * @module
 */
import { sleep, SYSTEM_CLOCK } from "rampswitch-utils";
import { Caller } from "./caller.ts";
import { partSlopes } from "./footprint_parts.ts";
import { MeasuredDeployment } from "./measured_deployment.ts";
import type { MeasureOptions } from "./measure_options.ts";
import { fitSlope, type SlopePoint } from "./slopes.ts";
import { summedCounters } from "./summed_counters.ts";

const ENTRY_COUNTS = [2, 4, 8, 12] as const;
const STREAMS_PER_ENGINE = 256;
const STREAM_COUNTS = [40, 80, 160, 320] as const;
const STREAM_TOKENS = 100_000;
const LONG_DEADLINE_MILLISECONDS = 10_000_000;
const SETTLE_MILLISECONDS = 1_500;
const STREAM_SETTLE_MILLISECONDS = 900;
const FAILURE_MILLISECONDS = 2_500;
const DATA_HALLS = ["hall-a", "hall-b", "hall-c", "hall-d"] as const;

interface FleetPoint {
  readonly entries: number;
  readonly processorPercent: number;
  readonly memoryBytes: number;
  readonly controlBytesPerSecond: number;
  readonly storeCallsPerSecond: number;
  readonly storeCallsPerFailure: number;
}

/** Runs the measurement. */
export async function measureFootprint(
  options: MeasureOptions,
): Promise<unknown> {
  const idleMilliseconds = (options.seconds * 1000) / 12;
  const fleets: FleetPoint[] = [];
  for (const entries of ENTRY_COUNTS) {
    fleets.push(await fleetPoint(entries, options.seed, idleMilliseconds));
  }
  const against = (key: Exclude<keyof FleetPoint, "entries">, unit: string) =>
    fitSlope(
      fleets.map((fleet) => ({ size: fleet.entries, value: fleet[key] })),
      { unit, per: "entry hosts" },
    );
  return {
    fleet: {
      processorPercent: against(
        "processorPercent",
        "percent of a core, a host",
      ),
      memory: against("memoryBytes", "bytes resident, a host"),
      controlBytes: against("controlBytesPerSecond", "bytes a second, a host"),
      storeCalls: against("storeCallsPerSecond", "calls a second, all hosts"),
      storeCallsPerFailure: against("storeCallsPerFailure", "calls, all hosts"),
    },
    streams: await streamSlopes(options.seed),
    parts: partSlopes(),
  };
}

async function fleetPoint(
  entries: number,
  seed: number,
  idleMilliseconds: number,
): Promise<FleetPoint> {
  await using deployment = await MeasuredDeployment.start({
    entries,
    dataHalls: DATA_HALLS,
    platform: { engines: 2, plainServices: 1, seed },
    slots: entries * 4,
  });
  await sleep(SYSTEM_CLOCK, SETTLE_MILLISECONDS);
  const before = await readings(deployment);
  await sleep(SYSTEM_CLOCK, idleMilliseconds);
  const after = await readings(deployment);
  const seconds = idleMilliseconds / 1000;
  const [victim] = deployment.entries;
  victim?.signal("SIGKILL");
  await victim?.ended();
  await sleep(SYSTEM_CLOCK, FAILURE_MILLISECONDS);
  const failed = await storeCalls(deployment);
  const idleCalls = (after.calls - before.calls) / seconds;
  return {
    entries,
    processorPercent:
      (after.processor - before.processor) / entries / seconds / 10,
    memoryBytes: after.memory / entries,
    controlBytesPerSecond: (after.bytes - before.bytes) / entries / seconds,
    storeCallsPerSecond: idleCalls,
    storeCallsPerFailure: Math.max(
      0,
      failed - after.calls - (idleCalls * FAILURE_MILLISECONDS) / 1000,
    ),
  };
}

interface Readings {
  readonly processor: number;
  readonly memory: number;
  readonly bytes: number;
  readonly calls: number;
}

async function readings(deployment: MeasuredDeployment): Promise<Readings> {
  const counters = await summedCounters(deployment.entries);
  const bytes = counters["control_bytes"] ?? 0;
  const figures = deployment.entries.map((entry) => entry.figures());
  return {
    processor: figures.reduce(
      (sum, { processorMilliseconds }) => sum + processorMilliseconds,
      0,
    ),
    memory: figures.reduce((sum, { memoryBytes }) => sum + memoryBytes, 0),
    bytes,
    calls: await storeCalls(deployment),
  };
}

async function storeCalls(deployment: MeasuredDeployment): Promise<number> {
  const { objects } = deployment.standins.listening.platform;
  const calls = (await deployment.read(objects, "calls")) as {
    readonly reads: number;
    readonly writes: number;
    readonly watches: number;
  };
  return calls.reads + calls.writes + calls.watches;
}

/** Processor time and memory of one host against its running streams. */
async function streamSlopes(seed: number): Promise<unknown> {
  await using deployment = await MeasuredDeployment.start({
    entries: 2,
    dataHalls: DATA_HALLS,
    platform: {
      engines: 4,
      plainServices: 1,
      seed,
      concurrency: STREAMS_PER_ENGINE,
    },
  });
  const [entry] = deployment.entries;
  await using caller = new Caller(entry?.addresses.callers ?? "");
  const processor: SlopePoint[] = [];
  const memory: SlopePoint[] = [];
  const running: Promise<unknown>[] = [];
  for (const size of STREAM_COUNTS) {
    running.push(
      ...Array.from({ length: size - running.length }, (_, index) =>
        caller.chat({
          prompt: `stream ${running.length + index}`,
          tokens: STREAM_TOKENS,
          streamed: true,
          workspace: "landlords",
          deadlineMilliseconds: LONG_DEADLINE_MILLISECONDS,
        }),
      ),
    );
    await sleep(SYSTEM_CLOCK, STREAM_SETTLE_MILLISECONDS);
    const before = await tokensAndTime(deployment);
    await sleep(SYSTEM_CLOCK, STREAM_SETTLE_MILLISECONDS);
    const after = await tokensAndTime(deployment);
    processor.push({
      size:
        (after.tokens - before.tokens) / (STREAM_SETTLE_MILLISECONDS / 1000),
      value:
        (after.processor - before.processor) /
        (STREAM_SETTLE_MILLISECONDS / 100),
    });
    memory.push({ size, value: after.memory });
  }
  await caller[Symbol.asyncDispose]();
  await Promise.allSettled(running);
  return {
    processorPercent: fitSlope(processor, {
      unit: "percent of a core, both holders",
      per: "tokens a second",
    }),
    memory: fitSlope(memory, {
      unit: "bytes resident, first host",
      per: "streams",
    }),
  };
}

async function tokensAndTime(deployment: MeasuredDeployment) {
  const counters = await summedCounters(deployment.entries);
  const tokens = counters["tokens"] ?? 0;
  const figures = deployment.entries.map((entry) => entry.figures());
  return {
    tokens,
    processor: figures.reduce(
      (sum, { processorMilliseconds }) => sum + processorMilliseconds,
      0,
    ),
    memory: figures[0]?.memoryBytes ?? 0,
  };
}
