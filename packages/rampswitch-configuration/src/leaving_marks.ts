// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Marks of hosts that are leaving. A mark only grows: it is never taken back
 * while the host lives, and it ends some time after the host's life.
 *
 * @module
 */

/** Sources from which news of a leaving host comes. */
export const LEAVING_SOURCES = [
  "cloud_notice",
  "host_list",
  "operator",
  "backend_server",
] as const;

/** One source of {@link LEAVING_SOURCES}. */
export type LeavingSource = (typeof LEAVING_SOURCES)[number];

/** A host is leaving. */
export interface LeavingMark {
  readonly host: string;
  readonly source: LeavingSource;
  /** When it was first known, in milliseconds since the epoch. */
  readonly since: number;
  /** When the host is taken; absent where nobody said. */
  readonly deadline: number | undefined;
}

/** All marks that one entry host knows, by host. */
export type LeavingMarks = ReadonlyMap<string, LeavingMark>;

/** Marks after news, and those that were new. */
export interface MarkUpdate {
  readonly marks: LeavingMarks;
  readonly news: readonly LeavingMark[];
}

/** How long a mark without a deadline holds; sources tell it again. */
const UNDATED_MARK_MILLISECONDS = 600_000;

/** Time after the end of a host's life in which its mark still holds. */
const MARK_GRACE_MILLISECONDS = 60_000;

/** When a mark ends: its host is gone by then, the name may be used anew. */
export function markExpiresAt(mark: LeavingMark): number {
  const end = mark.deadline ?? mark.since + UNDATED_MARK_MILLISECONDS;
  return end + MARK_GRACE_MILLISECONDS;
}

/** Whether a mark speaks of a process that started at a time. */
export function markConcerns(mark: LeavingMark, startedAt: number): boolean {
  return (mark.deadline ?? mark.since) > startedAt;
}

/**
 * Adds marks; a known one keeps its earliest time and deadline. Marks that are
 * over change nothing, so that old news cannot come round again.
 */
export function addMarks(
  marks: LeavingMarks,
  added: readonly LeavingMark[],
  now: number,
): MarkUpdate {
  const news = added
    .filter((mark) => markExpiresAt(mark) > now)
    .filter((mark) => !isCovered(marks.get(mark.host), mark))
    .filter((mark) =>
      changesMark(currentMark(marks.get(mark.host), now), mark),
    );
  if (news.length === 0) return { marks, news };
  const next = new Map(marks);
  news.forEach((mark) =>
    next.set(
      mark.host,
      mergeMarks(currentMark(next.get(mark.host), now), mark),
    ),
  );
  return { marks: next, news };
}

/** Ends marks whose time is over. */
export function endMarks(marks: LeavingMarks, now: number): LeavingMarks {
  const anyExpired = [...marks.values()].some(
    (mark) => markExpiresAt(mark) <= now,
  );
  return anyExpired
    ? new Map([...marks].filter(([, mark]) => markExpiresAt(mark) > now))
    : marks;
}

/** A mark whose host still lives; one past its deadline is of another life. */
function currentMark(
  mark: LeavingMark | undefined,
  now: number,
): LeavingMark | undefined {
  return (mark?.deadline ?? NO_DEADLINE) < now ? undefined : mark;
}

const NO_DEADLINE = Number.POSITIVE_INFINITY;

/** Whether a mark says nothing that is not known, of whichever life. */
function isCovered(known: LeavingMark | undefined, mark: LeavingMark): boolean {
  return (
    known !== undefined &&
    (known.deadline ?? NO_DEADLINE) >= (mark.deadline ?? NO_DEADLINE) &&
    !changesMark(known, mark)
  );
}

function changesMark(
  known: LeavingMark | undefined,
  mark: LeavingMark,
): boolean {
  return (
    known === undefined ||
    (mark.deadline ?? NO_DEADLINE) < (known.deadline ?? NO_DEADLINE)
  );
}

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
