// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Marks of hosts that are leaving. A mark is never withdrawn while the host
 * runs, its deadline can only become earlier, and it expires some time after the
 * host has ended.
 *
 * @module
 */

/** Sources that report that a host is leaving. */
export const LEAVING_SOURCES = [
  "cloud_notice",
  "host_list",
  "operator",
  "backend_server",
] as const;

/** One source of {@link LEAVING_SOURCES}. */
export type LeavingSource = (typeof LEAVING_SOURCES)[number];

/** A mark that a host is leaving. */
export interface LeavingMark {
  readonly host: string;
  readonly source: LeavingSource;
  /** When it was first reported, in milliseconds since the epoch. */
  readonly since: number;
  /**
   * When the host is reclaimed, in milliseconds since the epoch; `undefined` if
   * no source reported it.
   */
  readonly deadline: number | undefined;
}

/** All marks that one entry host has, by the name of the marked host. */
export type LeavingMarks = ReadonlyMap<string, LeavingMark>;

/** All marks after an update, and the marks that changed them. */
export interface MarkUpdate {
  readonly marks: LeavingMarks;
  readonly newMarks: readonly LeavingMark[];
}

/** Validity of a mark without a deadline; sources report it again in this time. */
const UNDATED_MARK_MILLISECONDS = 600_000;

/** Time after the end of a host during which its mark is still valid. */
const MARK_GRACE_MILLISECONDS = 60_000;

/** When a mark expires: its host has ended, and its name can be used again. */
export function markExpiresAt(mark: LeavingMark): number {
  const end = mark.deadline ?? mark.since + UNDATED_MARK_MILLISECONDS;
  return end + MARK_GRACE_MILLISECONDS;
}

/** Whether a mark applies to a process that started at a given time. */
export function markAppliesTo(mark: LeavingMark, startedAt: number): boolean {
  return (mark.deadline ?? mark.since) > startedAt;
}

/**
 * Adds marks; each host keeps its earliest time and its earliest deadline.
 * Expired marks are ignored, so that they cannot spread again.
 */
export function addMarks(
  marks: LeavingMarks,
  added: readonly LeavingMark[],
  now: number,
): MarkUpdate {
  const changes = added
    .filter((mark) => markExpiresAt(mark) > now)
    .filter((mark) => !isCovered(marks.get(mark.host), mark))
    .filter((mark) =>
      changesMark(currentMark(marks.get(mark.host), now), mark),
    );
  if (changes.length === 0) return { marks, newMarks: changes };
  const next = new Map(marks);
  changes.forEach((mark) =>
    next.set(
      mark.host,
      mergeMarks(currentMark(next.get(mark.host), now), mark),
    ),
  );
  return { marks: next, newMarks: changes };
}

/** Removes expired marks. */
export function removeExpiredMarks(
  marks: LeavingMarks,
  now: number,
): LeavingMarks {
  const anyExpired = [...marks.values()].some(
    (mark) => markExpiresAt(mark) <= now,
  );
  return anyExpired
    ? new Map([...marks].filter(([, mark]) => markExpiresAt(mark) > now))
    : marks;
}

/** The mark, unless its deadline has passed: then its incarnation has ended. */
function currentMark(
  mark: LeavingMark | undefined,
  now: number,
): LeavingMark | undefined {
  return (mark?.deadline ?? NO_DEADLINE) < now ? undefined : mark;
}

const NO_DEADLINE = Number.POSITIVE_INFINITY;

/** Whether a known mark, of any incarnation of the host, makes a mark redundant. */
function isCovered(known: LeavingMark | undefined, mark: LeavingMark): boolean {
  return (
    known !== undefined &&
    (known.deadline ?? NO_DEADLINE) >= (mark.deadline ?? NO_DEADLINE) &&
    !changesMark(known, mark)
  );
}

/** Whether a mark is the first for its host or has an earlier deadline. */
function changesMark(
  known: LeavingMark | undefined,
  mark: LeavingMark,
): boolean {
  return (
    known === undefined ||
    (mark.deadline ?? NO_DEADLINE) < (known.deadline ?? NO_DEADLINE)
  );
}

/** Merges two marks of one host, with the earliest time and deadline. */
function mergeMarks(
  known: LeavingMark | undefined,
  mark: LeavingMark,
): LeavingMark {
  if (known === undefined) return mark;
  const deadline = Math.min(
    known.deadline ?? NO_DEADLINE,
    mark.deadline ?? NO_DEADLINE,
  );
  return {
    ...known,
    since: Math.min(known.since, mark.since),
    deadline: deadline === NO_DEADLINE ? undefined : deadline,
  };
}
