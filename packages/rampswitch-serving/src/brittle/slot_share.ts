// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Divides the slots of one server among all hosts, so that all together never send more
 * than it has slots. Pure: hosts with the same list of hosts get the same shares.
 *
 * @module
 */
import { rendezvousOrder } from "rampswitch-utils";

/** Slots of a server that one host may use. */
export function slotShare(
  server: { readonly id: string; readonly slots: number },
  host: string,
  hosts: readonly string[],
): number {
  const count = Math.max(1, hosts.length);
  const whole = Math.floor(server.slots / count);
  const left = server.slots - whole * count;
  if (left === 0) return whole;
  const place = rendezvousOrder(server.id, hosts).indexOf(host);
  return place >= 0 && place < left ? whole + 1 : whole;
}
