// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Marks of hosts that are leaving. A mark only grows: it is never taken back
 * while the host lives, and it ends when the host's life ends.
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
export interface MarkedNews {
  readonly marks: LeavingMarks;
  readonly news: readonly LeavingMark[];
}

const NO_DEADLINE = Number.POSITIVE_INFINITY;

/** Adds marks; a known one keeps its earliest time and deadline. */
export function addMarks(
  marks: LeavingMarks,
  added: readonly LeavingMark[],
): MarkedNews {
  const news = added.filter((mark) => isNews(marks.get(mark.host), mark));
  if (news.length === 0) return { marks, news };
  const next = new Map(marks);
  news.forEach((mark) =>
    next.set(mark.host, joined(next.get(mark.host), mark)),
  );
  return { marks: next, news };
}

/** Ends marks of hosts whose life is over for longer than a time. */
export function endMarks(
  marks: LeavingMarks,
  options: {
    readonly present: ReadonlySet<string>;
    readonly now: number;
    readonly keepMilliseconds: number;
  },
): LeavingMarks {
  const { present, now, keepMilliseconds } = options;
  return new Map(
    [...marks].filter(
      ([host, mark]) =>
        present.has(host) ||
        now - (mark.deadline ?? mark.since) < keepMilliseconds,
    ),
  );
}

function isNews(known: LeavingMark | undefined, mark: LeavingMark): boolean {
  return (
    known === undefined ||
    (mark.deadline ?? NO_DEADLINE) < (known.deadline ?? NO_DEADLINE)
  );
}

function joined(
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
