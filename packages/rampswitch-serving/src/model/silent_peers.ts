// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Which peers have been silent for so long that nothing of them is retained.
 *
 * @module
 */

/** Silence after which a peer is forgotten, in milliseconds. */
const FORGOTTEN_PEER_MILLISECONDS = 300_000;

/** What a host retains of a peer. */
interface ReceivedFromPeer {
  /** When it was received, in milliseconds on the monotonic clock. */
  readonly receivedAt: number;
}

/** Returns the names of the peers that are to be forgotten. */
export function silentPeers(
  peers: ReadonlyMap<string, ReceivedFromPeer>,
  now: number,
): readonly string[] {
  const oldest = now - FORGOTTEN_PEER_MILLISECONDS;
  return [...peers]
    .filter(([, { receivedAt }]) => receivedAt <= oldest)
    .map(([name]) => name);
}
