// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Encoding of the demand by class in messages between hosts.
 *
 * @module
 */
import type { ClassRates, RoomReport } from "../room/mod.ts";
import {
  isBoolean,
  isCount,
  isNonnegative,
  isString,
  listOf,
  optional,
  recordOf,
  tupleOf,
} from "./checks.ts";

/**
 * Rank of the workspace, rank of the route, workspace, offered and admitted work in
 * slots. Requests on open routes have no workspace, and so an empty name.
 */
type EncodedClass = [number, number, string, number, number];

/** Whether the sender finds capacity short, and classes by service. */
type EncodedDemand = [boolean, Record<string, EncodedClass[]>];

/**
 * Checks an encoded report. It has a message key of its own, which hosts of an earlier
 * version ignore.
 */
export const isDemand = optional(
  tupleOf<EncodedDemand>(
    isBoolean,
    recordOf(
      listOf(
        tupleOf<EncodedClass>(
          isCount,
          isCount,
          isString,
          isNonnegative,
          isNonnegative,
        ),
      ),
    ),
  ),
);

/** Encodes a report; `undefined` if there is none. */
export function encodedDemand(
  report: RoomReport | undefined,
): EncodedDemand | undefined {
  if (report === undefined) return undefined;
  const byService: Record<string, EncodedClass[]> = {};
  report.rates.forEach(({ roomClass, offered, admitted }) => {
    const classes = (byService[roomClass.service] ??= []);
    classes.push([
      roomClass.workspaceRank,
      roomClass.routeRank,
      roomClass.workspace,
      roundedRate(offered),
      roundedRate(admitted),
    ]);
  });
  return [report.isShort, byService];
}

/** Decodes a report; `undefined` if the message has none. */
export function demandOf(
  encoded: EncodedDemand | undefined,
): RoomReport | undefined {
  if (encoded === undefined) return undefined;
  const [isShort, byService] = encoded;
  const rates = Object.entries(byService).flatMap(([service, classes]) =>
    classes.map(
      ([
        workspaceRank,
        routeRank,
        workspace,
        offered,
        admitted,
      ]): ClassRates => ({
        roomClass: { service, workspaceRank, routeRank, workspace },
        offered,
        admitted,
      }),
    ),
  );
  return { isShort, rates };
}

/** A hundredth of a slot is less than one request a minute of most services. */
function roundedRate(slots: number): number {
  return Math.round(100 * slots) / 100;
}
