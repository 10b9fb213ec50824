// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Which lines are missing from the logs of hosts, by the numbers that hosts give
 * their lines, from 1 in each life of a process.
 *
 * @module
 */
import type { LogLine } from "./log_line.ts";

/** Lines of one host that are missing between two that are there. */
export interface MissingLines {
  readonly host: string;
  /** Time of the line before. */
  readonly from: string;
  /** Time of the line after. */
  readonly until: string;
  /** How many; unknown, perhaps none, at the end of a life. */
  readonly lines: number | undefined;
}

/** Message of the last lines of a planned stop. */
const STOPPED = "stopped";

/** A line with its number. */
interface NumberedLine {
  readonly line: LogLine;
  readonly number: number;
}

/** Lines that are missing, host by host; each host's lines in their order. */
export function missingLines(
  lines: readonly LogLine[],
): readonly MissingLines[] {
  const hosts = new Set(lines.map(({ host }) => host));
  return [...hosts].flatMap((host) =>
    missingOf(lines.filter((line) => line.host === host).flatMap(numbered)),
  );
}

/**
 * Gaps that were counted, as one for each host: a host that drops refusals in a
 * flood leaves one between any two lines.
 */
export function summed(gaps: readonly MissingLines[]): readonly MissingLines[] {
  const hosts = new Set(gaps.map(({ host }) => host));
  return [...hosts].flatMap((host) => {
    const own = gaps.filter((gap) => gap.host === host);
    const open = own.filter(({ lines }) => lines === undefined);
    const closed = own.filter(({ lines }) => lines !== undefined);
    const [first, last] = [closed[0], closed.at(-1)];
    if (first === undefined || last === undefined) return open;
    const lines = closed.reduce((sum, gap) => sum + (gap.lines ?? 0), 0);
    return [...open, { host, from: first.from, until: last.until, lines }];
  });
}

function numbered(line: LogLine): readonly NumberedLine[] {
  const number = line.fields.line;
  return typeof number === "number" ? [{ line, number }] : [];
}

function missingOf(lines: readonly NumberedLine[]): readonly MissingLines[] {
  return lines.slice(1).flatMap((after, index) => {
    const before = lines[index];
    if (before === undefined) return [];
    const gap = {
      host: after.line.host,
      from: before.line.timestamp,
      until: after.line.timestamp,
    };
    if (after.number > before.number) {
      return counted(gap, after.number - before.number - 1);
    }
    const stopped = lifeOf(lines, index).some(
      ({ line }) => line.message === STOPPED,
    );
    return [
      ...(stopped ? [] : [{ ...gap, lines: undefined }]),
      ...counted(gap, after.number - 1),
    ];
  });
}

function counted(
  gap: Omit<MissingLines, "lines">,
  lines: number,
): readonly MissingLines[] {
  return lines === 0 ? [] : [{ ...gap, lines }];
}

/** Lines of the life of which a line is the last. */
function lifeOf(
  lines: readonly NumberedLine[],
  last: number,
): readonly NumberedLine[] {
  const first = lines.findLastIndex(
    ({ number }, index) =>
      index < last && number >= (lines[index + 1]?.number ?? 0),
  );
  return lines.slice(first + 1, last + 1);
}
