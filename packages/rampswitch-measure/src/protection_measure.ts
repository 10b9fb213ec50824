// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * What protection costs: added latency and bytes with and without it, for each
 * way of holding a stream's progress, in one run.
 *
 * @module
 */
import { v7 } from "uuid";
import { Caller } from "./caller.ts";
import { MeasuredDeployment } from "./measured_deployment.ts";
import { durations, rounded } from "./statistics.ts";
import { summedCounters } from "./summed_counters.ts";

const MODES = ["none", "batch", "each"] as const;
const WORKSPACE = "landlords";
const STREAM_TOKENS = 48;
const CONCURRENCY = 8;

/** Runs each way in turn. */
export async function measureProtection(options: {
  readonly seed: number;
  readonly milliseconds: number;
}): Promise<unknown> {
  const results: Record<string, unknown> = {};
  for (const mode of MODES) {
    await using deployment = await MeasuredDeployment.start({
      entries: 3,
      dataHalls: ["hall-a", "hall-b"],
      platform: {
        engines: 2,
        plainServices: 1,
        engine: { timeScale: 2 },
        seed: options.seed,
      },
      progress: mode,
    });
    results[mode] = await protectionOf(deployment, options.milliseconds);
  }
  return results;
}

async function protectionOf(
  deployment: MeasuredDeployment,
  milliseconds: number,
): Promise<unknown> {
  const [entry] = deployment.entries;
  await using caller = new Caller(entry?.addresses.callers ?? "");
  const plain = (key?: string) =>
    caller.plain("/checks/1", {
      method: "POST",
      workspace: WORKSPACE,
      body: "x",
      ...(key === undefined ? {} : { key }),
    });
  await during(milliseconds / 4, () => plain(v7()));
  const unguarded = await during(milliseconds, () => plain());
  const guarded = await during(milliseconds, () => plain(v7()));
  const before = await summedCounters(deployment.entries);
  const streams = await during(milliseconds * 2, () =>
    caller.chat({
      prompt: "the dispute",
      tokens: STREAM_TOKENS,
      streamed: true,
      workspace: WORKSPACE,
    }),
  );
  const after = await summedCounters(deployment.entries);
  const tokens = streams.length * STREAM_TOKENS;
  const grown = (name: string) => (after[name] ?? 0) - (before[name] ?? 0);
  const perToken = streams.map(
    ({ milliseconds: all, firstByteMilliseconds: first }) =>
      (all - first) / (STREAM_TOKENS - 1),
  );
  const unguardedTimes = durations(times(unguarded));
  const guardedTimes = durations(times(guarded));
  return {
    unguardedMillisecondsP50: rounded(unguardedTimes.p50, 3),
    guardedMillisecondsP50: rounded(guardedTimes.p50, 3),
    claimRatioP50: rounded(guardedTimes.p50 / unguardedTimes.p50),
    firstTokenMillisecondsP50: rounded(
      durations(streams.map((stream) => stream.firstByteMilliseconds)).p50,
    ),
    betweenTokensMillisecondsP50: rounded(durations(perToken).p50),
    betweenTokensMillisecondsP99: rounded(durations(perToken).p99),
    replicaBytesPerToken: rounded(grown("replicate_bytes") / tokens, 1),
    replicaCallsPerToken: rounded(grown("replicate_call") / tokens, 3),
  };
}

async function during<Result>(
  milliseconds: number,
  call: () => Promise<Result>,
): Promise<readonly Result[]> {
  const until = performance.now() + milliseconds;
  const results: Result[] = [];
  await Promise.all(
    Array.from({ length: CONCURRENCY }, async () => {
      while (performance.now() < until) results.push(await call());
    }),
  );
  return results;
}

function times(
  results: readonly { readonly milliseconds: number }[],
): readonly number[] {
  return results.map(({ milliseconds }) => milliseconds);
}
