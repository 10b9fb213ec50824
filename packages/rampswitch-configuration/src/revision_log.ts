// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * The ordered log of revisions as it is stored in the platform's store: a head
 * object with the latest deltas, and snapshots split into parts of less than a
 * megabyte.
 *
 * @module
 */
import { Result } from "true-myth";
import {
  applyDeltas,
  type ConfigurationState,
  type Delta,
  type Edit,
  editKey,
  type RevisedResource,
} from "./configuration_state.ts";
import { referenceProblems } from "./reference_check.ts";

/** Store key of the head object. */
export const HEAD_KEY = "configuration/head";

/** Prefix of the store keys of all parts of snapshots. */
export const SNAPSHOT_PREFIX = "configuration/snapshot/";

/** Latest change ids that the head retains to recognize a repeated change. */
const RETAINED_CHANGE_IDS = 256;
/** Latest deltas that the head retains after a snapshot. */
const RETAINED_DELTAS = 16;
/** Size of the head's deltas above which a snapshot is written. */
const COMPACTION_THRESHOLD_BYTES = 16 * 1024;
/** Maximum size of a part of a snapshot, unless one resource is larger. */
const MAXIMUM_PART_BYTES = 512 * 1024;
/** Maximum size of the edits of a change. */
const MAXIMUM_CHANGE_BYTES = 256 * 1024;

/** The id of an accepted change and the revision that the change created. */
export interface SettledChange {
  readonly changeId: string;
  readonly revision: number;
}

/** The snapshot that the head refers to. */
export interface SnapshotReference {
  readonly revision: number;
  /** Number of parts. */
  readonly parts: number;
}

/** Value of the head object. */
export interface Head {
  readonly revision: number;
  readonly snapshot: SnapshotReference;
  /**
   * Deltas up to `revision`, without gaps. The first one directly follows the
   * snapshot's revision or is at or below it.
   */
  readonly deltas: readonly Delta[];
  /** The latest accepted changes. */
  readonly settled: readonly SettledChange[];
}

/** The head before the first change. */
export const EMPTY_HEAD: Head = {
  revision: 0,
  snapshot: { revision: 0, parts: 0 },
  deltas: [],
  settled: [],
};

/** A change that an operator requests. */
export interface ChangeRequest {
  readonly changeId: string;
  readonly operator: string;
  /**
   * Revision on which the operator based the change; later changes of the same
   * resources conflict with it.
   */
  readonly baseRevision: number;
  readonly edits: readonly Edit[];
}

/** A resource that was changed after the base revision. */
export interface Conflict {
  readonly key: string;
  /** Revision of the other change; `undefined` if it deleted the resource. */
  readonly revision: number | undefined;
  /** The resource now; `undefined` if it was deleted. */
  readonly current: RevisedResource["resource"] | undefined;
}

/** Outcome of a change, as reported to the operator. */
export type ChangeOutcome =
  | { readonly kind: "accepted"; readonly revision: number }
  | { readonly kind: "conflict"; readonly conflicts: readonly Conflict[] }
  | { readonly kind: "invalid"; readonly problems: readonly string[] }
  | { readonly kind: "unknown"; readonly changeId: string };

/** The head with the change appended, or the outcome if nothing is appended. */
export type ChangeDecision =
  | { readonly kind: "append"; readonly head: Head; readonly delta: Delta }
  | { readonly kind: "end"; readonly outcome: ChangeOutcome };

/**
 * Decides on a change, given the head and the state at the head's revision. A
 * change whose id is already in the head is not applied again.
 */
export function decideChange(
  head: Head,
  state: ConfigurationState,
  options: { readonly request: ChangeRequest; readonly now: number },
): ChangeDecision {
  const { request, now } = options;
  const settled = head.settled.find(
    ({ changeId }) => changeId === request.changeId,
  );
  if (settled !== undefined) {
    return ended({ kind: "accepted", revision: settled.revision });
  }
  const conflicts = conflictsOf(state, request);
  if (conflicts.length > 0) return ended({ kind: "conflict", conflicts });
  const delta: Delta = {
    revision: head.revision + 1,
    changeId: request.changeId,
    operator: request.operator,
    acceptedAt: now,
    edits: request.edits,
  };
  const problems = changeProblems(state, delta);
  if (problems.length > 0) return ended({ kind: "invalid", problems });
  return { kind: "append", head: withDelta(head, delta), delta };
}

function ended(outcome: ChangeOutcome): ChangeDecision {
  return { kind: "end", outcome };
}

function conflictsOf(
  state: ConfigurationState,
  request: ChangeRequest,
): readonly Conflict[] {
  return request.edits.flatMap((edit) => {
    const key = editKey(edit);
    const current = state.resources.get(key);
    const changed = (current?.revision ?? 0) > request.baseRevision;
    const deleted = current === undefined && edit.kind === "delete";
    return changed || deleted
      ? [{ key, revision: current?.revision, current: current?.resource }]
      : [];
  });
}

function changeProblems(
  state: ConfigurationState,
  delta: Delta,
): readonly string[] {
  const bytes = JSON.stringify(delta.edits).length;
  return [
    ...(delta.edits.length === 0 ? ["no edits, expected at least one"] : []),
    ...(bytes > MAXIMUM_CHANGE_BYTES
      ? [`${bytes} bytes, expected at most ${MAXIMUM_CHANGE_BYTES}`]
      : []),
    ...referenceProblems(applyDeltas(state, [delta]), delta.edits),
  ];
}

function withDelta(head: Head, delta: Delta): Head {
  const { changeId, revision } = delta;
  return {
    revision,
    snapshot: head.snapshot,
    deltas: [...head.deltas, delta],
    settled: [...head.settled, { changeId, revision }].slice(
      -RETAINED_CHANGE_IDS,
    ),
  };
}

/** Whether a head has enough deltas, in number and size, to write a snapshot. */
export function needsCompaction(head: Head): boolean {
  return (
    head.deltas.length > RETAINED_DELTAS &&
    JSON.stringify(head.deltas).length > COMPACTION_THRESHOLD_BYTES
  );
}

/** Store key of one part of a snapshot. */
export function snapshotKey(revision: number, part: number): string {
  return `${SNAPSHOT_PREFIX}${revision}/${part}`;
}

/** Splits a state into the values of a snapshot's parts. */
export function snapshotParts(state: ConfigurationState): readonly string[] {
  const rows = [...state.resources].map((row) => JSON.stringify(row));
  const parts = rows.reduce<readonly (readonly string[])[]>((cut, row) => {
    const last = cut.at(-1) ?? [];
    const bytes = last.reduce((sum, other) => sum + other.length, row.length);
    return bytes > MAXIMUM_PART_BYTES && last.length > 0
      ? [...cut, [row]]
      : [...cut.slice(0, -1), [...last, row]];
  }, []);
  return parts.map((part) => `[${part.join(",")}]`);
}

/** Reads a state from the values of a snapshot's parts. */
export function readSnapshot(
  revision: number,
  parts: readonly string[],
): ConfigurationState {
  const rows = parts.flatMap(
    (part) =>
      JSON.parse(part) as readonly (readonly [string, RevisedResource])[],
  );
  return { revision, resources: new Map(rows) };
}

/** The head after a snapshot was written; older deltas are removed. */
export function compacted(head: Head, snapshot: SnapshotReference): Head {
  return {
    ...head,
    snapshot,
    deltas: head.deltas.filter(
      ({ revision }) => revision > snapshot.revision - RETAINED_DELTAS,
    ),
  };
}

/**
 * Revisions of the snapshots that no reader needs any more: all that are older
 * than the head's snapshot, except the newest of them, which a slow reader may
 * still be reading.
 */
export function obsoleteSnapshots(
  head: Head,
  present: readonly number[],
): readonly number[] {
  const newest = present
    .filter((revision) => revision < head.snapshot.revision)
    .toSorted((left, right) => right - left)
    .slice(0, 1);
  return present.filter(
    (revision) =>
      revision < head.snapshot.revision && !newest.includes(revision),
  );
}

/**
 * Advances a state to the head's revision by the head's deltas. Fails with
 * `snapshot_needed` if they start too late and the snapshot must be read.
 */
export function advance(
  state: ConfigurationState,
  head: Pick<Head, "revision" | "deltas">,
): Result<ConfigurationState, "snapshot_needed"> {
  if (head.revision <= state.revision) return Result.ok(state);
  const next = applyDeltas(state, head.deltas);
  return next.revision >= head.revision
    ? Result.ok(next)
    : Result.err("snapshot_needed");
}

/** Parses the value of a head object; without a value the head is empty. */
export function parseHead(value: string | undefined): Head {
  return value === undefined ? EMPTY_HEAD : (JSON.parse(value) as Head);
}
