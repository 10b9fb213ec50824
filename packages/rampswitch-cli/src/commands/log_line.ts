// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Lines of hosts' logs.
 *
 * @module
 */
import { parseJson } from "rampswitch-utils";

/** One line of a host's log. */
export interface LogLine {
  readonly timestamp: string;
  readonly host: string;
  readonly message: string;
  readonly fields: Readonly<Record<string, unknown>>;
}

/** Reads the lines that are JSON objects, whatever stands before them. */
export function logLines(text: string): readonly LogLine[] {
  return text.split("\n").flatMap((line) => {
    const start = line.indexOf("{");
    if (start < 0) return [];
    const parsed = parseJson(line.slice(start));
    return parsed.isOk ? lineOf(parsed.value) : [];
  });
}

function lineOf(value: unknown): readonly LogLine[] {
  if (typeof value !== "object" || value === null) return [];
  const { timestamp, host, message, ...fields } = value as Readonly<
    Record<string, unknown>
  >;
  return typeof timestamp === "string" && typeof message === "string"
    ? [{ timestamp, host: String(host), message, fields }]
    : [];
}
