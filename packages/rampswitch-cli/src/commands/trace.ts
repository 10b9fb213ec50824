// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * `rampswitch trace`: one request's log lines from several hosts, in order.
 *
 * @module
 */
import type { Command } from "commander";
import { readFileSync } from "node:fs";
import { Result } from "true-myth";
import { parseJson } from "rampswitch-utils";
import { type CommandResult, failure, type Finish } from "../command_result.ts";
import { outputOption } from "../connection.ts";
import { EXIT } from "../exit_codes.ts";

/** One line of a host's log. */
export interface LogLine {
  readonly timestamp: string;
  readonly host: string;
  readonly message: string;
  readonly fields: Readonly<Record<string, unknown>>;
}

/** Lines about servers that a request met, at most, each side of it. */
const MAXIMUM_CONTEXT = 20;

/** Adds the command. */
export function addTrace(program: Command, finish: Finish): void {
  program
    .command("trace")
    .description("print what the logs of hosts say about one request")
    .argument("<request>", "id of the caller's attempt")
    .argument("<files...>", "logs of hosts, as they wrote them")
    .addOption(outputOption())
    .action(
      (
        request: string,
        files: readonly string[],
        { output }: { readonly output: "table" | "json" },
      ) => finish(trace(request, files), output),
    );
}

function trace(request: string, files: readonly string[]): CommandResult {
  const lines = files.flatMap((file) => logLines(readFileSync(file, "utf8")));
  const found = storyOf(request, lines);
  return found.length === 0
    ? Result.err(failure(EXIT.failed, `no line about request ${request}`))
    : Result.ok({ text: found.map(lineText).join("\n"), value: found });
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

/**
 * Lines about a request, and lines about the servers that it met on the host
 * that served it, up to the time at which it ended.
 */
export function storyOf(
  request: string,
  lines: readonly LogLine[],
): readonly LogLine[] {
  const own = lines.filter((line) => line.fields.request === request);
  const end =
    own
      .map((line) => line.timestamp)
      .toSorted()
      .at(-1) ?? "";
  const hosts = new Set(own.map((line) => line.host));
  const met = new Set(
    own.flatMap(({ fields: { servers } }) =>
      typeof servers === "string" ? servers.split(",") : [],
    ),
  );
  const around = lines
    .filter(
      (line) =>
        hosts.has(line.host) &&
        line.fields.request === undefined &&
        met.has(String(line.fields.server)) &&
        line.timestamp <= end,
    )
    .slice(-MAXIMUM_CONTEXT);
  return [...own, ...around].toSorted((left, right) =>
    left.timestamp < right.timestamp ? -1 : 1,
  );
}

function lineText(line: LogLine): string {
  const fields = Object.entries(line.fields)
    .filter(([name]) => name !== "level")
    .map(([name, value]) => `${name}=${String(value)}`)
    .join(" ");
  return `${line.timestamp} ${line.host} ${line.message}: ${fields}`;
}
