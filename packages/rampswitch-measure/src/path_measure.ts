// Copyright 2026 the rampswitch authors. Apache-2.0 license.

import { Pool } from "undici";
import type { MeasureOptions } from "./measure_options.ts";
import { Caller, expectedText } from "./caller.ts";
import type { EntryChild } from "./child.ts";
import { SERVICES } from "./deployment_plan.ts";
import { MeasuredDeployment } from "./measured_deployment.ts";
import { administration } from "./operator.ts";
import { durations, type Durations, rounded } from "./statistics.ts";

const WORKSPACE = "landlords";
const STREAM_TOKENS = 8;
const LOAD_CONCURRENCY = 32;
const IDLE_STREAMS = 1_000;
const IDLE_TOKENS = 100_000;
const LONG_DEADLINE_MILLISECONDS = 10_000_000;
const WARM_UP = 200;
const MEBIBYTE = 1024 * 1024;

interface Tally {
  requests: number;
  answeredOnce: number;
  lost: number;
  duplicated: number;
  cut: number;
}

/** Runs the measurement. */
export async function measurePath(options: MeasureOptions): Promise<unknown> {
  await using deployment = await MeasuredDeployment.start({
    entries: 2,
    dataHalls: ["hall-a", "hall-b"],
    platform: {
      engines: 1,
      plainServices: 1,
      engine: { timeScale: 4 },
      seed: options.seed,
    },
  });
  const [entry] = deployment.entries;
  if (entry === undefined) throw new Error("no entry host started");
  await using through = new Caller(entry.addresses.callers);
  const server = (service: string) =>
    deployment.standins.listening.servers.find(
      (started) => started.service === service,
    )?.address ?? "";
  await using plainDirect = new Direct(server(SERVICES.plain));
  await using engineDirect = new Direct(server(SERVICES.model));
  const tally: Tally = {
    requests: 0,
    answeredOnce: 0,
    lost: 0,
    duplicated: 0,
    cut: 0,
  };
  const share = (options.seconds * 1000) / 6;
  await pairs(
    share / 4,
    () => plainDirect.plain(),
    () => plain(through, tally),
  );
  const whole = await pairs(
    share,
    () => plainDirect.plain(),
    () => plain(through, tally),
  );
  await pairs(
    share / 2,
    () => engineDirect.stream(),
    () => streamCall(through, tally),
  );
  const streamed = await pairs(
    share,
    () => engineDirect.stream(),
    () => streamCall(through, tally),
  );
  const throughput = await load(entry, through, { tally, milliseconds: share });
  return {
    ...tally,
    whole: compared(whole),
    streamed: compared(streamed),
    ...throughput,
    memoryMebibytesPerThousandIdleStreams: await idleStreams(options.seed),
  };
}

interface Pairs {
  readonly direct: readonly number[];
  readonly through: readonly number[];
}

/** Takes turns, so that both see the same machine. */
async function pairs(
  milliseconds: number,
  direct: () => Promise<number>,
  through: () => Promise<number>,
): Promise<Pairs> {
  const samples: Pairs & { direct: number[]; through: number[] } = {
    direct: [],
    through: [],
  };
  const until = performance.now() + milliseconds;
  while (performance.now() < until) {
    samples.direct.push(await direct());
    samples.through.push(await through());
  }
  return samples;
}

function compared(pairs: Pairs): unknown {
  const direct = durations(pairs.direct);
  const through = durations(pairs.through);
  const added = (at: keyof Durations) => rounded(through[at] - direct[at], 3);
  return {
    calls: direct.count,
    directMillisecondsP50: rounded(direct.p50, 3),
    directMillisecondsP99: rounded(direct.p99, 3),
    addedMillisecondsP50: added("p50"),
    addedMillisecondsP99: added("p99"),
    ratioP50: rounded(through.p50 / direct.p50),
    ratioP99: rounded(through.p99 / direct.p99),
  };
}

async function plain(through: Caller, tally: Tally): Promise<number> {
  const result = await through.plain("/status?milliseconds=0", {
    method: "GET",
    workspace: WORKSPACE,
  });
  const own = result.text.includes('"path":"/status"');
  count(tally, result.whole && result.status === 200 && own, result.whole);
  return result.milliseconds;
}

async function streamCall(through: Caller, tally: Tally): Promise<number> {
  const call = { prompt: "is the report ready", tokens: STREAM_TOKENS };
  const result = await through.chat({
    ...call,
    streamed: true,
    workspace: WORKSPACE,
  });
  const expected = expectedText(call);
  if (result.text.length > expected.length) tally.duplicated += 1;
  count(tally, result.whole && result.text === expected, result.whole);
  return result.firstByteMilliseconds;
}

function count(tally: Tally, right: boolean, whole: boolean): void {
  tally.requests += 1;
  if (right) tally.answeredOnce += 1;
  else if (whole) tally.lost += 1;
  else tally.cut += 1;
}

async function load(
  entry: EntryChild,
  through: Caller,
  options: { readonly tally: Tally; readonly milliseconds: number },
): Promise<{
  readonly loadRequestsPerSecond: number;
  readonly requestsPerSecondPerCore: number;
}> {
  const before = entry.figures();
  const started = performance.now();
  const until = started + options.milliseconds;
  const done = options.tally.requests;
  await Promise.all(
    Array.from({ length: LOAD_CONCURRENCY }, async () => {
      while (performance.now() < until) await plain(through, options.tally);
    }),
  );
  const seconds = (performance.now() - started) / 1000;
  const requests = options.tally.requests - done;
  const processorSeconds =
    (entry.figures().processorMilliseconds - before.processorMilliseconds) /
    1000;
  return {
    loadRequestsPerSecond: Math.round(requests / seconds),
    requestsPerSecondPerCore: Math.round(requests / processorSeconds),
  };
}

/** Memory of streams that bring a token now and then, on fresh hosts. */
async function idleStreams(seed: number): Promise<number> {
  await using deployment = await MeasuredDeployment.start({
    entries: 2,
    dataHalls: ["hall-a", "hall-b"],
    platform: {
      engines: 1,
      plainServices: 1,
      engine: { timeScale: 4 },
      concurrency: IDLE_STREAMS + WARM_UP,
      seed,
    },
  });
  const [entry] = deployment.entries;
  if (entry === undefined) throw new Error("no entry host started");
  await using through = new Caller(entry.addresses.callers);
  await Promise.all(
    Array.from({ length: WARM_UP }, () =>
      through.chat({
        prompt: "warm up",
        tokens: 1,
        streamed: true,
        workspace: WORKSPACE,
      }),
    ),
  );
  const before = entry.figures().memoryBytes;
  const callers = Array.from(
    { length: 2 },
    () => new Caller(entry.addresses.callers),
  );
  const streams = callers.flatMap((caller, half) =>
    Array.from({ length: IDLE_STREAMS / 2 }, (_, index) =>
      caller.chat({
        prompt: `idle ${half} ${index}`,
        tokens: IDLE_TOKENS,
        streamed: true,
        workspace: WORKSPACE,
        deadlineMilliseconds: LONG_DEADLINE_MILLISECONDS,
      }),
    ),
  );
  await new Promise((resolve) => setTimeout(resolve, 3_000));
  const grown = entry.figures().memoryBytes - before;
  const status = (await administration(
    entry.addresses.administration,
    "/v1/status",
  )) as { readonly answers?: { readonly answers?: number } };
  const held = status.answers?.answers ?? 0;
  await Promise.all(callers.map((caller) => caller[Symbol.asyncDispose]()));
  await Promise.all(streams);
  return rounded(((grown / MEBIBYTE) * 1000) / Math.max(1, held));
}

/** Calls a stand-in directly. */
class Direct implements AsyncDisposable {
  readonly #pool: Pool;

  constructor(address: string) {
    this.#pool = new Pool(`http://${address}`);
  }

  /** A small call; returns its milliseconds. */
  async plain(): Promise<number> {
    const started = performance.now();
    const reply = await this.#pool.request({
      method: "GET",
      path: "/status?milliseconds=0",
    });
    await reply.body.text();
    return performance.now() - started;
  }

  /** A stream; returns the milliseconds to its first byte. */
  async stream(): Promise<number> {
    const started = performance.now();
    const reply = await this.#pool.request({
      method: "POST",
      path: "/v1/chat/completions",
      body: JSON.stringify({
        model: SERVICES.model,
        stream: true,
        max_tokens: STREAM_TOKENS,
        messages: [{ role: "user", content: "is the report ready" }],
      }),
    });
    let first = 0;
    for await (const chunk of reply.body) {
      if (first === 0 && (chunk as Buffer).length > 0)
        first = performance.now();
    }
    return first - started;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.#pool.destroy();
  }
}
