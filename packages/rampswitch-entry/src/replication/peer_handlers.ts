// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Handlers for calls from peers, and the calls that exchange configuration
 * and leaving marks with them.
 *
 * @module
 */
import { create } from "@bufbuild/protobuf";
import type { Delta, LeavingMark } from "rampswitch-configuration";
import {
  AnnounceRequestSchema,
  type AnnounceRequest,
  AnnounceResponseSchema,
  FetchConfigurationResponseSchema,
  type PeerClients,
  type PeerHandlers,
  type ReplicateRequest,
  ReplicateResponseSchema,
  type SlotMessage as WireSlotMessage,
} from "rampswitch-peer";
import type { HostId } from "rampswitch-types";
import { type Logger, type Metrics, runInBackground } from "rampswitch-utils";
import type {
  ConfigurationService,
  PeerConfiguration,
} from "../configuration/configuration_service.ts";
import type { MembershipService } from "../membership/membership_service.ts";
import {
  marksFromWire,
  markToWire,
  slotMessageFromWire,
  slotMessageToWire,
} from "./peer_messages.ts";
import type { RequestReplication } from "./request_replication.ts";
import type { SlotService } from "./slot_service.ts";

const CALL_TIMEOUT_MILLISECONDS = 1_000;

/** Parts of the process that the peer handlers use. */
export interface PeerParts {
  readonly self: HostId;
  readonly configuration: ConfigurationService;
  readonly membership: MembershipService;
  readonly slots: SlotService;
  readonly replication: RequestReplication;
  readonly clients: PeerClients;
  readonly metrics: Metrics;
  readonly logger: Logger;
}

/** Builds the handlers for calls from peers. */
export function peerHandlers(parts: PeerParts): PeerHandlers {
  const { configuration, membership } = parts;
  return {
    heartbeat: (request) => membership.answerHeartbeat(request),
    replicate: async function* (requests) {
      for await (const request of requests) {
        yield create(ReplicateResponseSchema, {
          answers: applyEntries(request, parts),
          sequence: request.sequence,
        });
      }
    },
    announce: (request) => {
      membership.addLeavingMarks(marksFromWire(request.leaving));
      const gap = configuration.adoptFromPeer({
        revision: Number(request.revision),
        deltas: request.deltas.map((delta) => JSON.parse(delta) as Delta),
        stateParts: [],
        confirmedAge: Number(request.confirmedAge),
      });
      const sender = membership.find(request.sender)?.digest.host.peerAddress;
      if (gap && sender !== undefined) startToCatchUp(parts, sender);
      return create(AnnounceResponseSchema, {
        revision: BigInt(configuration.state.revision),
      });
    },
    fetchConfiguration: (request) => {
      const sent = configuration.updateForPeer(Number(request.afterRevision));
      return create(FetchConfigurationResponseSchema, {
        revision: BigInt(sent.revision),
        deltas: sent.deltas.map((delta) => JSON.stringify(delta)),
        stateParts: [...sent.stateParts],
        confirmedAge: BigInt(Math.round(sent.confirmedAge)),
      });
    },
  };
}

/** Applies entries in order; returns the answers for their sender. */
function applyEntries(
  request: ReplicateRequest,
  { replication, slots }: Pick<PeerParts, "replication" | "slots">,
): WireSlotMessage[] {
  return request.entries.flatMap((entry) => {
    if (entry.entry.case !== "slotMessage") {
      replication.receive(request.sender, entry);
      return [];
    }
    const message = slotMessageFromWire(entry.entry.value);
    return message === undefined
      ? []
      : slots.receive(request.sender, message).map(slotMessageToWire);
  });
}

/** Starts to request the configuration from a peer that has a later one. */
export function startToCatchUp(
  parts: Pick<PeerParts, "clients" | "configuration" | "logger">,
  address: string,
): void {
  const { logger } = parts;
  runInBackground("configuration of a peer", { logger }, () =>
    catchUp(parts, address),
  );
}

/**
 * Fetches the configuration revisions that this host lacks from a peer. Does
 * nothing if the call fails.
 */
async function catchUp(
  parts: Pick<PeerParts, "clients" | "configuration">,
  address: string,
): Promise<void> {
  const { clients, configuration } = parts;
  const afterRevision = BigInt(configuration.state.revision);
  const answer = await clients.call(address, (client) =>
    client.fetchConfiguration(
      { afterRevision },
      { timeoutMs: CALL_TIMEOUT_MILLISECONDS },
    ),
  );
  if (answer.isErr) return;
  configuration.adoptFromPeer({
    revision: Number(answer.value.revision),
    deltas: answer.value.deltas.map((delta) => JSON.parse(delta) as Delta),
    stateParts: answer.value.stateParts,
    confirmedAge: Number(answer.value.confirmedAge),
  });
}

/**
 * Sends configuration deltas and leaving marks at once to the announce targets
 * among the peers. Each target passes on what is new to it.
 */
export async function announce(
  parts: Pick<PeerParts, "self" | "clients" | "membership" | "metrics">,
  update: {
    readonly configuration: PeerConfiguration;
    readonly leaving: readonly LeavingMark[];
  },
): Promise<void> {
  const { clients, membership, metrics, self } = parts;
  const { revision, deltas, confirmedAge } = update.configuration;
  const request: AnnounceRequest = create(AnnounceRequestSchema, {
    sender: self,
    revision: BigInt(revision),
    deltas: deltas.map((delta) => JSON.stringify(delta)),
    confirmedAge: BigInt(Math.round(confirmedAge)),
    leaving: update.leaving.map(markToWire),
  });
  await Promise.all(
    membership.announceTargets().map(async ({ digest }) => {
      const answer = await clients.call(digest.host.peerAddress, (client) =>
        client.announce(request, { timeoutMs: CALL_TIMEOUT_MILLISECONDS }),
      );
      metrics.count("announce", answer.isOk ? "answered" : "failed");
    }),
  );
}
