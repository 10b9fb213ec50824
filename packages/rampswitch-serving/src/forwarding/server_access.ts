// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * How one host and its peers reach backend servers: connects the client of the servers,
 * the forwarding between hosts and what is known of the reach of each.
 *
 * @module
 */
import type { IntakeBudgets, Listening, Random } from "rampswitch-utils";
import {
  BackendClient,
  type IncarnationCheck,
  type ServerConnector,
} from "../attempt/mod.ts";
import { incarnationId, serverOfIncarnation } from "../model/backend_server.ts";
import type { ServerDirectory } from "../choice/mod.ts";
import type { EngineControl } from "../model/engine_control.ts";
import type { ServingMetrics } from "../observation/mod.ts";
import { LostServers, PeerReach, ServerContacts } from "../reach/mod.ts";
import {
  type IncarnationCheckParts,
  IncarnationChecks,
} from "../relay/incarnation_checks.ts";
import type { ServerRuns } from "../relay/server_runs.ts";
import { AnnouncedStops } from "./announced_stops.ts";
import { ForwardingClient, type ForwardingHost } from "./forwarding_client.ts";
import { ForwardingHosts } from "./forwarding_hosts.ts";
import { type ForwardedRun, ForwardingServer } from "./forwarding_server.ts";
import { ServerClient } from "./server_client.ts";

/** Dependencies of the access to servers. */
export interface ServerAccessParts extends Omit<
  IncarnationCheckParts,
  "lostServers"
> {
  readonly random: Random;
  readonly metrics: ServingMetrics;
  readonly intake: IntakeBudgets;
  /** Name of this host, and the IP address by which the others know it. */
  readonly self: { readonly host: string; readonly ip: string };
  readonly directory: ServerDirectory;
  /** Opens connections to servers; TCP by default. */
  readonly serverConnector?: ServerConnector | undefined;
  /** Other hosts that may forward requests. */
  forwardingHosts(): readonly ForwardingHost[];
  /** Whether an IP address belongs to a host of the fleet. */
  isHostAddress(ip: string): boolean;
  /** Calls to servers about runs that were sent to them. */
  readonly runs: ServerRuns;
  /** Whether this host starts no more requests. */
  stopping(): boolean;
  /** Tells the peers of a change at once. */
  broadcast(): void;
}

/** Access of one host to all servers. */
export class ServerAccess implements AsyncDisposable {
  readonly contacts: ServerContacts;
  readonly peerReach: PeerReach;
  readonly lostServers: LostServers;
  readonly client: ServerClient;
  readonly incarnations: IncarnationChecks;
  /** Calls to engines about the runs of this host's requests. */
  readonly engineControl: EngineControl;
  readonly #directory: ServerDirectory;
  readonly #server: ForwardingServer;

  constructor(parts: ServerAccessParts) {
    this.#directory = parts.directory;
    this.peerReach = new PeerReach(parts.clock);
    this.contacts = new ServerContacts({
      ...parts,
      peersWithout: (server) => this.peerReach.countWithout(server),
      onChange: () => parts.broadcast(),
      onSeveralFailed: () => this.client.distrustSilentConnections(),
    });
    this.lostServers = new LostServers({
      ...parts,
      isExpected: (incarnation) => {
        const record = this.#directory.get(incarnation.id);
        const isListed = record?.incarnation === incarnationId(incarnation);
        return isListed && record.leavingSince === undefined;
      },
      onUpdate: () => parts.broadcast(),
    });
    const { lostServers } = this;
    this.incarnations = new IncarnationChecks({ ...parts, lostServers });
    const forwarding = new ForwardingClient({
      ...parts.self,
      clock: parts.clock,
    });
    this.engineControl = new AnnouncedStops(parts.engineControl, forwarding);
    this.client = new ServerClient({
      ...parts,
      contacts: this.contacts,
      client: new BackendClient({
        contacts: this.contacts,
        connector: parts.serverConnector,
        watchIncarnation: ({ id }) => this.#watchIncarnation(id, parts),
        onLoss: (server, loss) => this.lostServers.lost(server, loss),
      }),
      forwarding,
      hosts: new ForwardingHosts({
        ...parts,
        peerReach: this.peerReach,
        hosts: () => parts.forwardingHosts(),
      }),
      onLinksLost: () => this.#forgiveFailures(),
    });
    this.#server = new ForwardingServer({
      ...parts,
      client: this.client,
      isHostAddress: (ip) => parts.isHostAddress(ip),
      serverOf: (id) => this.#directory.get(id)?.entry,
      confirms: (id) => this.#confirms(id, parts),
      stopRun: (run) => this.#stopRun(run, parts),
      stopping: () => parts.stopping(),
    });
  }

  /** What requests work with. */
  get requestParts(): Pick<
    ServerAccess,
    "client" | "incarnations" | "engineControl"
  > {
    const { client, incarnations, engineControl } = this;
    return { client, incarnations, engineControl };
  }

  /** Number of requests of other hosts that are in progress here. */
  get forwardedInProgress(): number {
    return this.#server.inProgress;
  }

  /** Starts to listen for requests of other hosts. */
  listen(address: string): Promise<Listening> {
    return this.#server.listen(address);
  }

  /** Whether this host heard an incarnation of a server after some time. */
  wasHeardAfter(incarnation: string, time: number): boolean {
    // The id of a server may hold the separator itself.
    const record =
      this.#directory.get(serverOfIncarnation(incarnation)) ??
      this.#directory.get(incarnation);
    return (
      record?.incarnation === incarnation &&
      this.contacts.heardSince(record.entry.id, time)
    );
  }

  [Symbol.asyncDispose](): Promise<void> {
    return this.client[Symbol.asyncDispose]();
  }

  /** A check of whether a server is still the incarnation that is listed now. */
  #watchIncarnation(
    id: string,
    { runs }: Pick<ServerAccessParts, "runs">,
  ): IncarnationCheck {
    const record = this.#directory.get(id);
    return async () =>
      record === undefined ||
      (await runs.incarnationStatus(record)) !== "later";
  }

  /** Whether a listed server may be taken for its listed incarnation. */
  async #confirms(
    id: string,
    { runs }: Pick<ServerAccessParts, "runs">,
  ): Promise<boolean> {
    const record = this.#directory.get(id);
    if (record === undefined) return false;
    const service = runs.serviceOf(record);
    return (
      service === undefined || this.incarnations.mayContinueAt(record, service)
    );
  }

  /** Has a run stopped that was sent for another host. */
  #stopRun(run: ForwardedRun, parts: ServerAccessParts): void {
    const server = this.#directory.get(run.server);
    if (server === undefined) return;
    const present = () => this.#directory.get(run.present() ?? "");
    parts.runs.stop({ ...run, server, present });
  }

  /** Forgets failures of servers that other hosts reach: the links were lost. */
  #forgiveFailures(): void {
    this.#directory
      .all()
      .filter(({ entry }) => this.contacts.isOutOfReach(entry.id))
      .forEach((record) => record.forgiveFailures());
  }
}
