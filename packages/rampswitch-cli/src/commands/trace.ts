// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * `rampswitch trace`: one request's log lines from several hosts, in order.
 *
 * @module
 */
import type { Command } from "commander";
import { readFileSync } from "node:fs";
import { Result } from "true-myth";
import { type CommandResult, failure, type Finish } from "../command_result.ts";
import { outputOption } from "../connection.ts";
import { EXIT } from "../exit_codes.ts";
import { type LogLine, logLines } from "./log_line.ts";
import { refusalText } from "./refusals.ts";
import { type MissingLines, missingLines, summed } from "./missing_lines.ts";

/** Lines about servers that a request met, at most, each side of it. */
const MAXIMUM_CONTEXT = 20;

/** Fields of a request's lines that name one server or several. */
const SERVER_FIELDS = ["servers", "server", "from", "to", "target"];

/** What each cause of a send that was not repeated means. */
const NOT_REPEATED: Readonly<Record<string, string>> = {
  may_not_run_again: "it may have run and must not run again",
  too_late: "no time left",
  stopping: "its host ends before it could",
  too_many_sends: "sent as often as a request may be",
  no_server: "no other server takes it",
  budget_spent: "the budget of repeats is spent",
  version_unknown: "it can't be told which version began the stream",
};

/** How the end of an answer was known, where it needs saying. */
const ANSWER_ENDS: Readonly<Record<string, string>> = {
  unframed: "ended by the end of its connection alone",
};

/** What a line about a request means, by its message. */
const MEANINGS: Readonly<
  Record<string, (fields: LogLine["fields"]) => string | undefined>
> = {
  "request sent again": ({ continues }) =>
    continues === true ? "goes on from kept memory" : "without kept memory",
  "send rejected": ({ continues }) =>
    continues === true ? "not run, kept memory not taken" : "not run",
  "send lost": ({ relayed }) =>
    relayed === true
      ? "the caller has a part of the answer"
      : "the caller has nothing of the answer",
  "request sent through host": () =>
    "another host sends it, as this one does not reach the server",
  "forwarded request not sent": () => "not run, another host may be asked",
  "forwarded request ended": ({ whole }) =>
    whole === true ? "its answer was passed on" : "its answer was broken off",
  "memory move": ({ outcome }) =>
    outcome === "moved"
      ? "the run stopped and its memory was kept"
      : `not moved, ${String(outcome)}`,
  "stream taken up": ({ version }) =>
    typeof version === "string"
      ? `goes on at version ${version} alone`
      : "nobody knows which version began it",
  "send not repeated": ({ why }) => NOT_REPEATED[String(why)],
  "request ended": endText,
  "request refused": refusalText,
  "lines missing": ({ lines, until }) =>
    typeof lines === "number"
      ? `${lines} of this host up to ${String(until)}`
      : `perhaps the last of a life that ended, up to ${String(until)}`,
};

function endText(fields: LogLine["fields"]): string {
  const end = ANSWER_ENDS[String(fields.answerEnd)];
  return [refusalText(fields), ...(end === undefined ? [] : [end])].join(", ");
}

/** Lines that tell the end of a request. */
const ENDS: ReadonlySet<string> = new Set(["request ended", "request refused"]);

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
    ? Result.err(failure(EXIT.failed, noLineText(request, lines)))
    : Result.ok({ text: storyText(found), value: found });
}

/**
 * Lines about a request, and lines about the servers that it met on the host
 * that served it, up to the time at which it ended.
 */
export function storyOf(
  request: string,
  lines: readonly LogLine[],
): readonly LogLine[] {
  const attempts = attemptsOf(request, lines);
  const own = lines.filter((line) => attempts.has(line.fields.request));
  const end =
    own
      .map((line) => line.timestamp)
      .toSorted()
      .at(-1) ?? "";
  const hosts = new Set(own.map((line) => line.host));
  const met = new Set(
    own.flatMap(({ fields }) =>
      SERVER_FIELDS.flatMap((name) => {
        const servers = fields[name];
        return typeof servers === "string" ? servers.split(",") : [];
      }),
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
  const told = new Set([...own, ...around]);
  return [
    ...missingFrom(own, lines),
    ...lines.filter((line) => told.has(line)),
  ].toSorted(byTime);
}

/** The tries of one stream: the one that began it, and those that took it up. */
function attemptsOf(
  request: string,
  lines: readonly LogLine[],
): ReadonlySet<unknown> {
  const resuming = lines.filter(({ fields }) => fields.resumes !== undefined);
  const own = resuming.find(({ fields }) => fields.request === request);
  const began = own?.fields.resumes ?? request;
  const others = resuming.filter(({ fields }) => fields.resumes === began);
  return new Set([
    request,
    began,
    ...others.map(({ fields }) => fields.request),
  ]);
}

/** Lines that are missing from the hosts and the time of a request's own ones. */
function missingFrom(
  own: readonly LogLine[],
  lines: readonly LogLine[],
): readonly LogLine[] {
  const times = own
    .flatMap((line) => [...arrivalOf(line), line])
    .map(({ timestamp }) => timestamp)
    .toSorted();
  const [first = ""] = times;
  const last = times.at(-1) ?? "";
  const hasEnd = own.some(({ message }) => ENDS.has(message));
  const hosts = new Set(own.map(({ host }) => host));
  const gaps = missingLines(lines)
    .filter(({ host }) => hosts.has(host))
    .filter(({ until }) => until >= first)
    .filter(({ from, until }) => !hasEnd || from < last || until <= last);
  return summed(gaps).map(({ host, from, until, lines: count }) => ({
    timestamp: from,
    host,
    message: "lines missing",
    fields: { lines: count, until },
  }));
}

/** What is said where no line names a request; its lines may be missing. */
export function noLineText(request: string, lines: readonly LogLine[]): string {
  return [
    `no line about request ${request}`,
    ...summed(missingLines(lines)).map(missingText),
  ].join("; ");
}

function missingText({ host, from, until, lines }: MissingLines): string {
  const count = lines === undefined ? "perhaps last lines" : `${lines} lines`;
  return `${host}: ${count} missing from ${from} to ${until}`;
}

/** A story as text, with what its lines mean and when the request arrived. */
export function storyText(story: readonly LogLine[]): string {
  return [...story.flatMap(arrivalOf), ...story]
    .toSorted(byTime)
    .map(lineText)
    .join("\n");
}

/**
 * The arrival of a request and its first server. Hosts write no line of these,
 * since the line of its end tells both.
 */
function arrivalOf({ message, timestamp, host, fields }: LogLine): LogLine[] {
  const { servers, milliseconds } = fields;
  const endedAt = Date.parse(timestamp);
  if (
    message !== "request ended" ||
    typeof servers !== "string" ||
    servers === "" ||
    typeof milliseconds !== "number" ||
    Number.isNaN(endedAt)
  ) {
    return [];
  }
  const first = servers.split(",")[0] ?? "";
  return [
    {
      timestamp: new Date(endedAt - milliseconds).toISOString(),
      host,
      message: `request arrived (first sent to ${first})`,
      fields: { request: fields.request },
    },
  ];
}

/** Order of lines; lines of one moment stay as they were written. */
function byTime(left: LogLine, right: LogLine): number {
  if (left.timestamp === right.timestamp) return 0;
  return left.timestamp < right.timestamp ? -1 : 1;
}

function lineText(line: LogLine): string {
  const meaning = MEANINGS[line.message]?.(line.fields);
  const message =
    meaning === undefined ? line.message : `${line.message} (${meaning})`;
  const fields = Object.entries(line.fields)
    .filter(([name]) => name !== "level")
    .map(([name, value]) => `${name}=${String(value)}`)
    .join(" ");
  return `${line.timestamp} ${line.host} ${message}: ${fields}`;
}
