// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * What the quarantine of a serving host costs each request: nothing known, which is
 * every calm day, and a full quarantine with requests that are like the known ones
 * and with others.
 *
 * @module
 */
import {
  Fingerprint,
  PartQuarantine,
  Quarantine,
  ServingMetrics,
  SharedParts,
} from "rampswitch-serving";
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
    partsCalmNanoseconds: partNanosecondsOf(partsWith(0)),
    partsFullNanoseconds: partNanosecondsOf(partsWith(KNOWN_PARTS)),
  });
}

/** Parts that a full quarantine of parts tracks. */
const KNOWN_PARTS = 2_000;

/** Shared parts of a request. */
const PARTS_OF_REQUEST = 4;

function partsWith(count: number): PartQuarantine {
  const quarantine = new PartQuarantine({
    clock: new ManualClock(),
    logger: SILENT_LOGGER,
    metrics: new ServingMetrics(),
    trialRank: () => ({ rank: 0, lagMilliseconds: 0 }),
    isExplained: () => false,
    versions: () => ["v1"],
    answering: () => [],
    onStoredChange: () => undefined,
  });
  Array.from({ length: count }, (_, index) =>
    quarantine.recordLoss(sharedPartsOf(index, 1), {
      incarnation: `life-${index % 100}`,
      version: "v1",
    }),
  );
  return quarantine;
}

function sharedPartsOf(first: number, count: number): SharedParts {
  const parts = Array.from({ length: count + 1 }, (_, index) => ({
    id: `part-${first + index}`,
    tokens: 1,
  }));
  return new SharedParts("models", parts);
}

/** Mean time of a decision by the parts of a request, in nanoseconds. */
function partNanosecondsOf(quarantine: PartQuarantine): number {
  const requests = Array.from({ length: REQUESTS }, (_, index) =>
    sharedPartsOf(10 * KNOWN_PARTS + index, PARTS_OF_REQUEST),
  );
  requests.slice(0, REQUESTS / 10).forEach((one) => quarantine.decide(one));
  const started = performance.now();
  requests.forEach((one) => quarantine.decide(one));
  const milliseconds = performance.now() - started;
  return rounded((milliseconds * NANOSECONDS_IN_MILLISECOND) / REQUESTS);
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
