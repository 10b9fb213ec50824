// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * State of most hosts of the fleet, as one host receives it. A host that is cut off from
 * the others can't distinguish its own silence from theirs. Pure.
 *
 * @module
 */
import type { FleetDigest } from "./peer_messages.ts";

/** Silence after which a host is not heard, in milliseconds: a few lost messages. */
const MAXIMUM_SILENCE_MILLISECONDS = 1_500;

/** The same for hosts that relays report. */
const MAXIMUM_RELAYED_SILENCE_MILLISECONDS = 3_000;

/**
 * Silence of a host below which other hosts still count it as present if they receive as
 * little from it, in milliseconds; they drop it two seconds later.
 */
const MAXIMUM_PRESENT_SILENCE_MILLISECONDS = 8_000;

/** What one host receives from another one. */
export interface ReportingHost {
  /** When its newest update was received, on the monotonic clock, in milliseconds. */
  readonly receivedAt: number;
  /** Its newest update: the age of the newest confirmation of the store, if any. */
  readonly update:
    { readonly configurationAge: number | undefined } | undefined;
}

/** What one host knows of the fleet. */
export interface FleetView {
  /** Number of hosts in the store's list; 0 before it was read. */
  readonly listed: number;
  /** The other hosts. */
  readonly hosts: readonly ReportingHost[];
  /** The newest digest of a relay, if this host gets digests and it is recent. */
  readonly digest: Pick<FleetDigest, "hosts" | "configurationAge"> | undefined;
  /** Whether relays report hosts to this one. */
  readonly isRelayed: boolean;
  /** Now, on the monotonic clock, in milliseconds. */
  readonly now: number;
}

/** Whether this host hears from most of the listed hosts. */
export function receivesFromMost(view: FleetView): boolean {
  const heard = view.digest?.hosts ?? reportingHosts(view).length + 1;
  return view.listed > 0 && 2 * heard > view.listed;
}

/**
 * Whether each other host has sent this one an update so recently that no host can have
 * dropped it from those that are present.
 */
export function receivesFromAll({
  listed,
  hosts,
  isRelayed,
  now,
}: FleetView): boolean {
  const silence = MAXIMUM_PRESENT_SILENCE_MILLISECONDS;
  const isHeard = hosts.every(({ receivedAt }) => now - receivedAt < silence);
  return listed > 0 && !isRelayed && isHeard;
}

/** Whether most of the listed hosts tell that the store doesn't answer them for a time. */
export function lackStore(view: FleetView, milliseconds: number): boolean {
  const ages =
    view.digest === undefined
      ? reportingHosts(view).map((host) => confirmationAge(host, view.now))
      : [view.digest.configurationAge ?? Infinity];
  return receivesFromMost(view) && ages.every((age) => age >= milliseconds);
}

function reportingHosts({
  hosts,
  isRelayed,
  now,
}: FleetView): readonly ReportingHost[] {
  const silence = isRelayed
    ? MAXIMUM_RELAYED_SILENCE_MILLISECONDS
    : MAXIMUM_SILENCE_MILLISECONDS;
  return hosts.filter(({ receivedAt }) => now - receivedAt < silence);
}

function confirmationAge(
  { receivedAt, update }: ReportingHost,
  now: number,
): number {
  return (update?.configurationAge ?? Infinity) + now - receivedAt;
}
