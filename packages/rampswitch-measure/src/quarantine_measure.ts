// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * What the quarantine of a serving host costs each request: nothing known, which is
 * every calm day, and a full quarantine with requests that are like the known ones
 * and with others.
 *
 * @module
 */
import { Fingerprint, Quarantine, ServingMetrics } from "rampswitch-serving";
import { ManualClock, SILENT_LOGGER } from "rampswitch-utils";
import type { MeasureOptions } from "./measure_options.ts";
import { rounded } from "./statistics.ts";

/** Requests of each figure. */
const REQUESTS = 100_000;

/** Requests that a full quarantine knows. */
const KNOWN_REQUESTS = 2_000;

/** Bytes of a body; a prompt of some thousand tokens. */
const BODY_BYTES = 16_384;

const NANOSECONDS_IN_MILLISECOND = 1_000_000;

/** Measures the time of one decision, in nanoseconds. */
export function measureQuarantine(_options: MeasureOptions): Promise<unknown> {
  const full = quarantineWith(KNOWN_REQUESTS);
  return Promise.resolve({
    calmNanoseconds: nanosecondsOf(quarantineWith(0), "/other"),
    fullOtherPathNanoseconds: nanosecondsOf(full, "/other"),
    fullSamePathNanoseconds: nanosecondsOf(full, "/known"),
  });
}

function quarantineWith(requests: number): Quarantine {
  const quarantine = new Quarantine({
    clock: new ManualClock(),
    logger: SILENT_LOGGER,
    metrics: new ServingMetrics(),
    trialRank: () => ({ rank: 0, lagMilliseconds: 0 }),
    onStoredChange: () => undefined,
  });
  Array.from({ length: requests }, (_, index) =>
    quarantine.recordLoss(fingerprintOf("/known", index), {
      incarnation: `life-${index}`,
      leavingSince: undefined,
    }),
  );
  return quarantine;
}

/** Mean time of a request's fingerprint and decision. */
function nanosecondsOf(quarantine: Quarantine, target: string): number {
  const bodies = KNOWN_REQUESTS;
  const decide = (_: unknown, index: number) =>
    quarantine.decide(fingerprintOf(target, bodies + (index % bodies)));
  Array.from({ length: REQUESTS / 10 }, decide);
  const started = performance.now();
  Array.from({ length: REQUESTS }, decide);
  const milliseconds = performance.now() - started;
  return rounded((milliseconds * NANOSECONDS_IN_MILLISECOND) / REQUESTS);
}

const BODIES = new Map<number, Buffer>();

function fingerprintOf(target: string, index: number): Fingerprint {
  const body =
    BODIES.get(index) ?? Buffer.from(String(index).padEnd(BODY_BYTES));
  BODIES.set(index, body);
  return new Fingerprint({
    method: "POST",
    hostName: "models.example",
    target,
    workspace: "workspace-1",
    body,
  });
}
