// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * What log lines tell of requests that were refused because capacity was short: their
 * rank, the share of their class that was admitted, and when room was expected.
 *
 * @module
 */
import type { LogLine } from "./log_line.ts";

/** Refusals for one reason at one rank. */
export interface RefusedRank {
  readonly outcome: string;
  readonly rank: string;
  readonly requests: number;
  /** Mean of the shares that were admitted; absent if no line has one. */
  readonly share?: number;
  /** Mean time until room was expected, in milliseconds. */
  readonly expectedMilliseconds?: number;
}

/** The outcome of a request, with what is known of its refusal. */
export function refusalText({
  outcome,
  rank,
  share,
  expectedMilliseconds,
  retryAfterSeconds,
}: LogLine["fields"]): string {
  return [
    String(outcome),
    ...(typeof rank === "string" ? [`rank ${rank}`] : []),
    ...(typeof share === "number"
      ? [`${Math.round(100 * share)}% of its class admitted`]
      : []),
    ...(typeof expectedMilliseconds === "number"
      ? [`room expected in ${expectedMilliseconds} ms`]
      : []),
    ...(typeof retryAfterSeconds === "number"
      ? [`told to return after ${retryAfterSeconds} s`]
      : []),
  ].join(", ");
}

/** Refusals of a workspace's requests to a service by reason and rank. */
export function refusalsByRank(
  lines: readonly LogLine[],
  asked: { readonly service: string; readonly workspace: string },
): readonly RefusedRank[] {
  const refused = lines.filter(
    ({ message, fields }) =>
      message === "request ended" &&
      fields["rank"] !== undefined &&
      fields["service"] === asked.service &&
      fields["workspace"] === asked.workspace,
  );
  const groups = new Map<string, LogLine["fields"][]>();
  refused.forEach(({ fields }) => {
    const key = `${String(fields["outcome"])} ${String(fields["rank"])}`;
    groups.set(key, [...(groups.get(key) ?? []), fields]);
  });
  return [...groups.values()].map((fields) => {
    const share = meanOf(fields, "share");
    const expectedMilliseconds = meanOf(fields, "expectedMilliseconds");
    return {
      outcome: String(fields[0]?.["outcome"]),
      rank: String(fields[0]?.["rank"]),
      requests: fields.length,
      ...(share === undefined ? {} : { share }),
      ...(expectedMilliseconds === undefined ? {} : { expectedMilliseconds }),
    };
  });
}

/** Rows of a table of refusals. */
export function refusalRows(
  refusals: readonly RefusedRank[],
): readonly (readonly (string | number)[])[] {
  return refusals.map(
    ({ outcome, rank, requests, share, expectedMilliseconds }) => [
      outcome,
      rank,
      requests,
      share === undefined ? "-" : `${Math.round(100 * share)}%`,
      expectedMilliseconds === undefined
        ? "-"
        : `${Math.round(expectedMilliseconds)} ms`,
    ],
  );
}

function meanOf(
  lines: readonly LogLine["fields"][],
  name: string,
): number | undefined {
  const values = lines
    .map((fields) => fields[name])
    .filter((value) => typeof value === "number");
  return values.length === 0
    ? undefined
    : values.reduce((sum, value) => sum + value, 0) / values.length;
}
