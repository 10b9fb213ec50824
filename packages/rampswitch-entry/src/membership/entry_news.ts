// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * News that reaches an entry process, and what it does with it.
 *
 * @module
 */
import type { Delta, HostDigest, LeavingMark } from "rampswitch-configuration";
import type { EntryParts } from "../entry_parts.ts";
import { recoverRequests } from "../replication/request_recovery.ts";
import { announce, catchUp } from "../replication/peer_handlers.ts";

/** A higher revision is in force here: forget what is gone, tell peers. */
export function takeConfiguration(
  parts: EntryParts,
  deltas: readonly Delta[],
): void {
  const { configuration, directory, client, logger } = parts;
  const { candidates } = configuration.routing;
  directory.keepOnly(new Set(candidates.keys()));
  client.closePoolsExcept(
    new Set([...candidates.values()].map(({ server }) => server.address)),
  );
  const { revision } = configuration.state;
  logger.info("configuration in force", { revision });
  void tellPeers(parts, { deltas, leaving: [] });
}

/** Hosts are leaving: move their work, tell peers. */
export function takeLeaving(
  parts: EntryParts,
  news: readonly LeavingMark[],
): void {
  parts.chat.leaving(news);
  void tellPeers(parts, { deltas: [], leaving: news });
}

/** Digests of peers: confirmations of the revision, or a higher one. */
export function takeDigests(
  parts: EntryParts,
  digests: readonly HostDigest[],
): void {
  const { configuration } = parts;
  digests.forEach(({ revision, confirmedAge }) =>
    configuration.confirmedByPeer(revision, confirmedAge),
  );
  const ahead = digests.reduce<HostDigest | undefined>(
    (most, digest) =>
      digest.revision > (most?.revision ?? configuration.state.revision)
        ? digest
        : most,
    undefined,
  );
  if (ahead !== undefined) void catchUp(parts, ahead.host.peerAddress);
}

/** Goes on with requests whose host is lost. */
export function recoverLostRequests(parts: EntryParts): void {
  recoverRequests({
    ...parts,
    self: parts.self.id,
    routing: () => parts.configuration.routing,
    trusts: (host) => parts.membership.trusts(host),
  });
}

function tellPeers(
  parts: EntryParts,
  news: {
    readonly deltas: readonly Delta[];
    readonly leaving: readonly LeavingMark[];
  },
): Promise<void> {
  const { configuration } = parts;
  const { confirmedAge, revision } = configuration.forPeer(
    configuration.state.revision,
  );
  const { deltas, leaving } = news;
  return announce(
    { ...parts, self: parts.self.id },
    {
      configuration: { revision, deltas, stateParts: [], confirmedAge },
      leaving,
    },
  );
}
