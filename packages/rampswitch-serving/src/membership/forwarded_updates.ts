// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Selects the updates that a host forwards for others, each update once, and divides
 * them into messages.
 *
 * @module
 */
import type { KnownHost } from "./fleet_hosts.ts";
import type { AgedUpdate, PeerUpdate } from "./peer_messages.ts";

/** Maximum number of updates in one message; more are split into further messages. */
const UPDATES_EACH_MESSAGE = 16;

/** The updates that one host forwards. */
export class ForwardedUpdates {
  /** Newest forwarded update of each sender, as `incarnation/sequence`. */
  #forwarded: ReadonlyMap<string, string> = new Map();

  /** New updates of the hosts that send to this one. */
  take(senders: readonly KnownHost[], now: number): readonly AgedUpdate[] {
    const before = this.#forwarded;
    const updates = senders.flatMap(({ update, receivedAt }) =>
      update === undefined ? [] : [{ update, receivedAt }],
    );
    this.#forwarded = new Map(
      updates.map(({ update }) => [update.host, markOf(update)]),
    );
    return updates
      .filter(({ update }) => before.get(update.host) !== markOf(update))
      .map(({ update, receivedAt }) => ({
        update: withoutLevels(update),
        age: now - receivedAt,
      }));
  }
}

/** Divides a host's own update and forwarded ones into messages. */
export function messagesOf(
  own: AgedUpdate,
  forwarded: readonly AgedUpdate[],
): readonly (readonly AgedUpdate[])[] {
  const updates = [own, ...forwarded];
  return Array.from(
    { length: Math.ceil(updates.length / UPDATES_EACH_MESSAGE) },
    (_, index) =>
      updates.slice(
        index * UPDATES_EACH_MESSAGE,
        (index + 1) * UPDATES_EACH_MESSAGE,
      ),
  );
}

function markOf({ incarnation, sequence }: PeerUpdate): string {
  return `${incarnation}/${sequence}`;
}

/** Removes the levels of limits; relays track these themselves. */
function withoutLevels(update: PeerUpdate): PeerUpdate {
  return { ...update, levels: {} };
}
