// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Decides which prompt parts crash the servers that begin to answer them. A crash breaks
 * off all requests that begin at the server, so sound parts are lost beside the one that
 * causes it. Two observations tell them apart: a part that crashes each server has no
 * answer, and it explains the ends under which the others were lost as well. Pure.
 *
 * @module
 */
import type { QuarantineEntry } from "./quarantine_entry.ts";
import { type EndKind, endOfName } from "./server_end.ts";

/** When and how the end of a server was noticed. */
export interface NoticedEnd {
  readonly at: number;
  readonly kind: EndKind;
}

/** Losses and the newest answer of one part. */
export interface PartEvidence {
  readonly key: string;
  /** Ends of servers since the newest answer, by incarnation. */
  readonly ends: ReadonlyMap<string, NoticedEnd>;
  /** When the newest answer with the part began; `-Infinity` if none is known. */
  readonly answeredAt: number;
}

/** Parts that crash servers. */
export interface CrashVerdict {
  /**
   * Groups of parts under which the same servers ended. A request that has all parts of
   * a group is held; what tells them apart is a request with some of them.
   */
  readonly held: readonly ReadonlySet<string>[];
  /** Parts that need no more losses to end further sends within an attempt. */
  readonly suspected: ReadonlySet<string>;
}

/** Numbers of separate ends from which a part is suspected and held. */
interface Thresholds {
  readonly suspected: number;
  readonly held: number;
}

/** Thresholds of a part without any answer. */
const UNANSWERED: Thresholds = { suspected: 2, held: 3 };

/** Thresholds of a part that servers answered before they began to end. */
const ANSWERED: Thresholds = { suspected: 4, held: 5 };

/**
 * Time within which ends count as one, in milliseconds: servers that a platform ends
 * together end under every part that is in use. Silence is noticed by requests that
 * wait, one after the other.
 */
const SAME_END_MILLISECONDS: Readonly<Record<EndKind, number>> = {
  broken: 100,
  silent: 1_500,
};

/** Returns the evidence on a part. */
export function evidenceOf(
  key: string,
  { lostIncarnations, completedAt }: QuarantineEntry,
): PartEvidence {
  const ends = new Map<string, NoticedEnd>();
  lostIncarnations.forEach((at, name) => {
    const { incarnation, kind } = endOfName(name);
    // Some hosts may notice a broken connection, and others silence.
    if (kind === "broken" || !ends.has(incarnation)) {
      ends.set(incarnation, { at, kind });
    }
  });
  return { key, ends, answeredAt: completedAt };
}

/**
 * Decides on all parts together. Those without an answer come first, and among them
 * those with most ends; ends that a held part explains don't count against the others.
 * Ends under a whole request that is held by itself are no evidence alone.
 */
export function crashVerdict(
  parts: readonly PartEvidence[],
  isExplainedByRequest: (incarnation: string) => boolean,
): CrashVerdict {
  const candidates = parts
    .filter((part) => isCandidate(part))
    .toSorted(bySuspicion);
  const explained = new Set<string>();
  const held: ReadonlySet<string>[] = [];
  candidates.forEach((part) => {
    const unexplained = unexplainedEnds(part, explained);
    if (!reaches(unexplained, thresholdsOf(part).held)) return;
    if (unexplained.every(([end]) => isExplainedByRequest(end))) return;
    held.push(new Set(twinsOf(part, candidates).map(({ key }) => key)));
    [...part.ends.keys()].forEach((end) => explained.add(end));
  });
  const suspected = candidates.filter((part) =>
    reaches(unexplainedEnds(part, explained), thresholdsOf(part).suspected),
  );
  return { held, suspected: new Set(suspected.map(({ key }) => key)) };
}

/** Whether a part has so many ends that it may be suspected. */
export function isCandidate({
  ends,
}: {
  readonly ends: { readonly size: number };
}): boolean {
  return ends.size >= UNANSWERED.suspected;
}

/** Parts under which the same servers ended, the given one included. */
function twinsOf(
  part: PartEvidence,
  candidates: readonly PartEvidence[],
): readonly PartEvidence[] {
  return candidates.filter(
    (other) =>
      isAnswered(other) === isAnswered(part) &&
      other.ends.size === part.ends.size &&
      [...other.ends.keys()].every((end) => part.ends.has(end)),
  );
}

function unexplainedEnds(
  { ends }: PartEvidence,
  explained: ReadonlySet<string>,
): readonly (readonly [string, NoticedEnd])[] {
  return [...ends].filter(([end]) => !explained.has(end));
}

/** Whether so many ends are separate. */
function reaches(
  ends: readonly (readonly [string, NoticedEnd])[],
  threshold: number,
): boolean {
  if (ends.length < threshold) return false;
  const noticed = ends
    .map(([, end]) => end)
    .toSorted((one, other) => one.at - other.at);
  let separate = 0;
  let last = -Infinity;
  noticed.forEach(({ at, kind }) => {
    if (at - last < SAME_END_MILLISECONDS[kind]) return;
    separate += 1;
    last = at;
  });
  return separate >= threshold;
}

function thresholdsOf(part: PartEvidence): Thresholds {
  return isAnswered(part) ? ANSWERED : UNANSWERED;
}

function isAnswered({ answeredAt }: PartEvidence): boolean {
  return Number.isFinite(answeredAt);
}

function bySuspicion(left: PartEvidence, right: PartEvidence): number {
  return (
    Number(isAnswered(left)) - Number(isAnswered(right)) ||
    right.ends.size - left.ends.size ||
    (left.key < right.key ? -1 : 1)
  );
}
