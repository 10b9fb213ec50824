// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Encodes and decodes the lease object in the store. Hosts of an earlier
 * version read it too, so new fields have keys that they ignore.
 *
 * @module
 */
import { decodeJson, listOf, recordOf } from "rampswitch-validation";
import * as z from "zod";
import type { DutyLease } from "./duty_lease.ts";
import { finalUsageFromReports } from "./final_usage.ts";

const counts = recordOf(z.number());
const window = z.number().int();

const LEASE_SCHEMA = z.object({
  holder: z.string(),
  incarnation: z.string(),
  fence: z.number(),
  era: z.number().optional(),
  renewals: z.number(),
  released: z.boolean(),
  counts: recordOf(recordOf(counts)),
  reports: recordOf(counts),
  finalWindows: listOf(z.tuple([window, window])).optional(),
  incomplete: z.boolean().optional(),
});

/**
 * Era of a lease without one, as an earlier version of the program wrote it.
 */
const UNKNOWN_ERA = 0;

/** Encodes the value of the lease object. */
export function encodeLease({ final, ...lease }: DutyLease): string {
  const { reports, windows, incomplete } = final;
  return JSON.stringify({
    ...lease,
    reports,
    finalWindows: windows,
    ...(incomplete ? { incomplete } : {}),
  });
}

/** Decodes a lease; `undefined` if the value is not a valid one. */
export function decodeLease(value: string | undefined): DutyLease | undefined {
  if (value === undefined) return undefined;
  const decoded = decodeJson(LEASE_SCHEMA, value, "lease");
  if (decoded.isErr) return undefined;
  const { reports, finalWindows, incomplete, era, ...lease } = decoded.value;
  const final =
    finalWindows === undefined
      ? finalUsageFromReports(reports)
      : { reports, windows: finalWindows, incomplete: incomplete ?? false };
  return { ...lease, era: era ?? UNKNOWN_ERA, final };
}
