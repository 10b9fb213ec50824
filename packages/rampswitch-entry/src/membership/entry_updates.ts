// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Handlers for updates of the configuration and the membership that reach an
 * entry process.
 *
 * @module
 */
import { runInBackground } from "rampswitch-utils";
import type { Delta, HostDigest, LeavingMark } from "rampswitch-configuration";
import type { EntryParts } from "../entry_parts.ts";
import { recoverRequests } from "../replication/request_recovery.ts";
import { announce, startToCatchUp } from "../replication/peer_handlers.ts";

/**
 * Handles a higher revision in force on this host: drops the state of backend
 * servers that are no longer configured and announces the revision to peers.
 */
export function handleConfigurationChange(
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
  startToAnnounce(parts, { deltas, leaving: [] });
}

/**
 * Handles hosts that are leaving: reports them to the chat runner and announces
 * them to peers.
 */
export function handleLeavingHosts(
  parts: EntryParts,
  marks: readonly LeavingMark[],
): void {
  parts.chat.leaving(marks);
  startToAnnounce(parts, { deltas: [], leaving: marks });
}

/**
 * Handles digests of peers. A digest either confirms the revision in force here
 * or names a higher one. The configuration is then requested from the peer with
 * the highest revision.
 */
export function handleDigests(
  parts: EntryParts,
  digests: readonly HostDigest[],
): void {
  const { configuration } = parts;
  digests.forEach(({ revision, confirmedAge }) =>
    configuration.confirmedByPeer(revision, confirmedAge),
  );
  const ahead = digests.reduce<HostDigest | undefined>(
    (highest, digest) =>
      digest.revision > (highest?.revision ?? configuration.state.revision)
        ? digest
        : highest,
    undefined,
  );
  if (ahead !== undefined) startToCatchUp(parts, ahead.host.peerAddress);
}

function startToAnnounce(
  parts: EntryParts,
  news: Parameters<typeof announceToPeers>[1],
): void {
  runInBackground("announcement to peers", { logger: parts.logger }, () =>
    announceToPeers(parts, news),
  );
}

/** Continues requests whose host is lost. */
export function recoverLostRequests(parts: EntryParts): void {
  recoverRequests({
    ...parts,
    self: parts.self.id,
    routing: () => parts.configuration.routing,
    trusts: (host) => parts.membership.trusts(host),
  });
}

function announceToPeers(
  parts: EntryParts,
  update: {
    readonly deltas: readonly Delta[];
    readonly leaving: readonly LeavingMark[];
  },
): Promise<void> {
  const { configuration } = parts;
  const { confirmedAge, revision } = configuration.updateForPeer(
    configuration.state.revision,
  );
  const { deltas, leaving } = update;
  return announce(
    { ...parts, self: parts.self.id },
    {
      configuration: { revision, deltas, stateParts: [], confirmedAge },
      leaving,
    },
  );
}
