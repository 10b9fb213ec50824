// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Which hosts should hold a slot, and the next step towards it. Each host decides
 * alone, from its own view of the members. Wrong views do no harm, because each change
 * is conditional on the slot's epoch.
 *
 * @module
 */
import type { HostId } from "rampswitch-types";
import { rendezvousOrder } from "rampswitch-utils";
import type { SlotReplica } from "./slot_replica.ts";
import type { SlotEntry } from "./slot_types.ts";

/** A host that may hold slots. */
export interface PlacementHost {
  readonly id: HostId;
  readonly name: string;
  readonly dataHall: string;
  readonly leaving: boolean;
}

/** One host's view of the members. */
export interface PlacementView {
  readonly now: number;
  /** Trusted members, including this host. */
  readonly hosts: readonly PlacementHost[];
  /** Whether a process is proved to have ended. */
  readonly isGone: (host: HostId) => boolean;
  /** Whether the table can be changed now. */
  readonly reachesStore: boolean;
}

/** Hosts that should hold a slot. */
export interface DesiredHolders {
  readonly primary: HostId | undefined;
  readonly backup: HostId | undefined;
}

/**
 * The next step of one host for one slot.
 *
 * - `none`: no change is needed or possible.
 * - `promote`: as backup, become primary.
 * - `hand_over`: as primary, ask the backup to become primary.
 * - `teach`: as primary, copy all records to a host to make it the backup.
 * - `stop_teaching`: as primary, stop copying records.
 * - `drop_backup`: as primary, continue without a backup.
 * - `take`: without a role, take over the slot.
 */
export type PlacementStep =
  | { readonly kind: "none" }
  | { readonly kind: "promote" }
  | { readonly kind: "hand_over" }
  | { readonly kind: "teach"; readonly host: HostId }
  | { readonly kind: "stop_teaching" }
  | { readonly kind: "drop_backup" }
  | { readonly kind: "take" };

const NONE: PlacementStep = { kind: "none" };

/**
 * Chooses holders by rendezvous hashing, so that only the slots of a host that joins
 * or leaves move. The backup is in another data hall if there is one.
 */
export function desiredHolders(
  slot: number,
  hosts: readonly PlacementHost[],
): DesiredHolders {
  const known = HOLDERS_BY_VIEW.get(hosts) ?? new Map<number, DesiredHolders>();
  HOLDERS_BY_VIEW.set(hosts, known);
  const holders = known.get(slot) ?? computeDesiredHolders(slot, hosts);
  known.set(slot, holders);
  return holders;
}

/** Cache of the holders by view and slot; views are immutable. */
const HOLDERS_BY_VIEW = new WeakMap<
  readonly PlacementHost[],
  Map<number, DesiredHolders>
>();

function computeDesiredHolders(
  slot: number,
  hosts: readonly PlacementHost[],
): DesiredHolders {
  const staying = hosts.filter(({ leaving }) => !leaving);
  const byName = new Map(staying.map((host) => [host.name, host]));
  const ordered = rendezvousOrder(`slot-${slot}`, [...byName.keys()]).flatMap(
    (name) => byName.get(name) ?? [],
  );
  const [primary, ...others] = ordered;
  const backup =
    others.find(({ dataHall }) => dataHall !== primary?.dataHall) ?? others[0];
  return { primary: primary?.id, backup: backup?.id };
}

/** Returns the first entry of a slot that has none yet. */
export function firstEntry(
  slot: number,
  hosts: readonly PlacementHost[],
): SlotEntry | undefined {
  const { primary, backup } = desiredHolders(slot, hosts);
  return primary === undefined
    ? undefined
    : { epoch: 1, primary, backup, knownSince: 0 };
}

/** Decides the next step of a replica's host for its slot. */
export function decidePlacement(
  replica: SlotReplica,
  view: PlacementView,
): PlacementStep {
  const { entry } = replica;
  if (entry === undefined || replica.pending !== undefined) return NONE;
  return STEPS[replica.role](replica, entry, view);
}

type StepDecision = (
  replica: SlotReplica,
  entry: SlotEntry,
  view: PlacementView,
) => PlacementStep;

const STEPS: Readonly<Record<SlotReplica["role"], StepDecision>> = {
  primary: primaryStep,
  backup: backupStep,
  none: nonHolderStep,
};

function primaryStep(
  replica: SlotReplica,
  entry: SlotEntry,
  view: PlacementView,
): PlacementStep {
  const { learner, slot } = replica;
  if (learner !== undefined) {
    return isMember(learner, view) ? NONE : { kind: "stop_teaching" };
  }
  const desired = desiredHolders(slot, view.hosts);
  const wanted =
    desired.primary === replica.self ? desired.backup : desired.primary;
  if (wanted === undefined || wanted === replica.self) {
    return entry.backup === undefined || isMember(entry.backup, view)
      ? NONE
      : { kind: "drop_backup" };
  }
  if (entry.backup !== wanted) return { kind: "teach", host: wanted };
  return desired.primary === replica.self || !view.reachesStore
    ? NONE
    : { kind: "hand_over" };
}

function backupStep(
  _replica: SlotReplica,
  entry: SlotEntry,
  view: PlacementView,
): PlacementStep {
  return isMember(entry.primary, view) && !view.isGone(entry.primary)
    ? NONE
    : { kind: "promote" };
}

function nonHolderStep(
  replica: SlotReplica,
  entry: SlotEntry,
  view: PlacementView,
): PlacementStep {
  const holders = [entry.primary, entry.backup].filter(
    (host) => host !== undefined,
  );
  const hasServingHolder = holders.some(
    (host) => isMember(host, view) && !view.isGone(host),
  );
  const hasEndedHolder = holders.some((host) => view.isGone(host));
  if (hasServingHolder || !hasEndedHolder) return NONE;
  const { primary } = desiredHolders(replica.slot, view.hosts);
  return primary === replica.self ? { kind: "take" } : NONE;
}

function isMember(host: HostId, view: PlacementView): boolean {
  const known =
    IDS_BY_VIEW.get(view.hosts) ?? new Set(view.hosts.map(({ id }) => id));
  IDS_BY_VIEW.set(view.hosts, known);
  return known.has(host);
}

/** Cache of the host ids by view; views are immutable. */
const IDS_BY_VIEW = new WeakMap<
  readonly PlacementHost[],
  ReadonlySet<HostId>
>();
