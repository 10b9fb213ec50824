// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Encodes and decodes the lease object in the store. Hosts of an earlier
 * version read it too, so new fields have keys that they ignore.
 *
 * @module
 */
import { parseJson } from "rampswitch-utils";
import * as z from "zod";
import type { DutyLease } from "./duty_lease.ts";
import { finalUsageFromReports } from "./final_usage.ts";

const counts = z.record(z.string(), z.number());
const window = z.number().int();

const LEASE_SCHEMA = z.object({
  holder: z.string(),
  incarnation: z.string(),
  fence: z.number(),
  era: z.number().optional(),
  renewals: z.number(),
  released: z.boolean(),
  counts: z.record(z.string(), z.record(z.string(), counts)),
  reports: z.record(z.string(), counts),
  finalWindows: z.array(z.tuple([window, window])).optional(),
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
  const parsed = parseJson(value);
  if (parsed.isErr) return undefined;
  const checked = LEASE_SCHEMA.safeParse(parsed.value);
  if (!checked.success) return undefined;
  const { reports, finalWindows, incomplete, era, ...lease } = checked.data;
  const final =
    finalWindows === undefined
      ? finalUsageFromReports(reports)
      : { reports, windows: finalWindows, incomplete: incomplete ?? false };
  return { ...lease, era: era ?? UNKNOWN_ERA, final };
}
