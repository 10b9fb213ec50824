// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Listeners of an entry process: for callers, for peers and for operators.
 *
 * @module
 */
import type { Freshness } from "rampswitch-configuration";
import { listenForPeers } from "rampswitch-peer";
import { Ownership } from "rampswitch-utils";
import { AdministrationServer } from "./administration_server.ts";
import { BackendClient } from "../attempt/backend_client.ts";
import { CallerServer } from "./caller_server.ts";
import type { EntryParts } from "../entry_parts.ts";
import { RetainedRequests } from "../outcome/retained_requests.ts";
import { peerHandlers } from "../replication/peer_handlers.ts";
import { PrimaryForwarding } from "../replication/primary_forwarding.ts";
import type { ProblemOutcome } from "./problem.ts";
import type { ProcessState } from "../process_machine.ts";

/** The part of the process's descriptors that peers may take. */
const PEER_DESCRIPTOR_SHARE = 1 / 8;

/** Addresses at which an entry process listens. */
export interface EntryAddresses {
  readonly callers: string;
  readonly peers: string;
  readonly administration: string;
}

/** Current status of the process, as the listeners read it. */
export interface ProcessStatus {
  /** The refusal of new work; `undefined` while new work is accepted. */
  refusal(): ProblemOutcome | undefined;
  ready(): boolean;
  state(): ProcessState;
  freshness(): Freshness;
}

/** The open listeners of an entry process; disposing closes them. */
export class EntryListeners implements AsyncDisposable {
  readonly #owned = new Ownership();
  readonly addresses: EntryAddresses;
  readonly #callers: CallerServer;

  private constructor(addresses: EntryAddresses, callers: CallerServer) {
    this.addresses = addresses;
    this.#callers = callers;
  }

  /** Number of callers' requests in progress, wherever they run. */
  get requestsInProgress(): number {
    return this.#callers.inProgress;
  }

  /** Answers callers that have nothing of their answers yet. */
  endUnanswered(): void {
    this.#callers.endUnanswered();
  }

  /** Starts to listen; resolves once all three addresses are open. */
  static async start(
    parts: EntryParts,
    processStatus: ProcessStatus,
  ): Promise<EntryListeners> {
    const { listen } = parts.settings;
    const peers = await listenForPeers(
      listen.peers,
      peerHandlers({ ...parts, self: parts.self.id }),
      {
        ...parts,
        maximumConnections: parts.intake.descriptors * PEER_DESCRIPTOR_SHARE,
      },
    );
    const forwarding = new BackendClient();
    const server = callerServer(parts, processStatus, forwarding);
    const callers = await server.listen(parts.settings.listen.callers);
    const administration = await new AdministrationServer({
      ...parts,
      self: () => parts.self,
      operators: parts.settings.operators,
      state: () => processStatus.state(),
      freshness: () => processStatus.freshness(),
    }).listen(listen.administration);
    const addresses = {
      callers: callers.address,
      peers: peers.address,
      administration: administration.address,
    };
    const listeners = new EntryListeners(addresses, server);
    [forwarding, peers, callers, administration].forEach((part) =>
      listeners.#owned.own(part),
    );
    return listeners;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.#owned[Symbol.asyncDispose]();
  }
}

function callerServer(
  parts: EntryParts,
  processStatus: ProcessStatus,
  forwarding: BackendClient,
): CallerServer {
  const { settings, membership, self, configuration } = parts;
  const shared = {
    ...parts,
    self: self.id,
    routing: () => configuration.routing,
    bodyBytes: settings.limits.bodyBytes,
  };
  const primaryForwarding = new PrimaryForwarding({
    ...shared,
    client: forwarding,
    callerAddressOf: (host) => membership.find(host)?.digest.host.callerAddress,
    idleMilliseconds: settings.limits.stopMilliseconds,
  });
  const retainedRequests = new RetainedRequests({
    ...shared,
    primaryForwarding,
    trusts: (host) => membership.trusts(host),
  });
  return new CallerServer({
    ...shared,
    retainedRequests,
    limits: settings.limits,
    refusal: () => processStatus.refusal(),
    ready: () => processStatus.ready(),
  });
}
