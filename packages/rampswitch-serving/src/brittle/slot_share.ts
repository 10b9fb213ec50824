// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Divides the slots of one server among all hosts, so that all together never send more
 * than it has slots. Pure: hosts with the same lists of hosts and weights get the same
 * shares.
 *
 * @module
 */
import { rendezvousOrder } from "rampswitch-utils";

/** Requests per second of one service, by host. */
export type RatesByHost = ReadonlyMap<string, number>;

/** Weight of a host; those that are not named have 1. */
export type WeightsByHost = ReadonlyMap<string, number>;

/** Smallest rate that counts as usual, as a share of the mean rate. */
const MINIMUM_USUAL_SHARE = 1 / 8;

/** Share of the hosts whose rates must be known; with fewer, shares are even. */
const MINIMUM_KNOWN_SHARE = 0.9;

const EVEN: WeightsByHost = new Map();

/**
 * Weights of hosts that get far more requests than most, in powers of two, so that
 * usual variation changes nothing. The largest one is the number of hosts: about half
 * of the slots, and the rest stays with the others.
 */
export function weightsOf(
  rates: RatesByHost,
  hosts: readonly string[],
): WeightsByHost {
  const known = hosts.flatMap((host) => rates.get(host) ?? []);
  // Hosts that know little of each other would each take itself for the busiest.
  if (known.length < MINIMUM_KNOWN_SHARE * hosts.length) return EVEN;
  const mean = known.reduce((sum, rate) => sum + rate, 0) / known.length;
  if (known.length < 2 || mean <= 0) return EVEN;
  const sorted = known.toSorted((left, right) => left - right);
  const median = sorted[Math.floor((sorted.length - 1) / 2)] ?? 0;
  const usual = Math.max(median, MINIMUM_USUAL_SHARE * mean);
  const weights = hosts.map((host) => {
    const ratio = Math.max(1, (rates.get(host) ?? 0) / usual);
    const weight = 2 ** Math.floor(Math.log2(ratio));
    return [host, Math.min(weight, hosts.length)] as const;
  });
  return new Map(weights.filter(([, weight]) => weight > 1));
}

/** Slots of a server that one host may use. */
export function slotShare(
  server: { readonly id: string; readonly slots: number },
  host: string,
  {
    hosts,
    weights = EVEN,
  }: { readonly hosts: readonly string[]; readonly weights?: WeightsByHost },
): number {
  const order = rendezvousOrder(server.id, hosts);
  if (!order.includes(host)) {
    return Math.floor(server.slots / Math.max(1, hosts.length));
  }
  if (weights.size === 0) return evenShare(server.slots, order, host);
  const weightOf = (name: string) => weights.get(name) ?? 1;
  const total = order.reduce((sum, name) => sum + weightOf(name), 0);
  const exact = order.map((name) => ({
    name,
    slots: (server.slots * weightOf(name)) / total,
  }));
  const left =
    server.slots - exact.reduce((sum, { slots }) => sum + Math.floor(slots), 0);
  // The largest remainders get the slots that are left; equal ones by the order.
  const first = exact
    .toSorted((one, other) => (other.slots % 1) - (one.slots % 1))
    .slice(0, left);
  const own = exact.find(({ name }) => name === host)?.slots ?? 0;
  const isFirst = first.some(({ name }) => name === host);
  return Math.floor(own) + (isFirst ? 1 : 0);
}

function evenShare(
  slots: number,
  order: readonly string[],
  host: string,
): number {
  const whole = Math.floor(slots / order.length);
  const left = slots - whole * order.length;
  return order.indexOf(host) < left ? whole + 1 : whole;
}
