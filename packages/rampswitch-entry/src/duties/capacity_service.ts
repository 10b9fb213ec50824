// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Manages the capacity of a service under a lease. It starts hosts through the
 * cloud API, adds them to the configuration once they have an address, and
 * drains and ends hosts that are no longer needed. It ends only hosts that it
 * started itself.
 *
 * @module
 */
import type { Edit, Lease } from "rampswitch-configuration";
import {
  type CapacityAction,
  type CapacityPlanState,
  INITIAL_CAPACITY_PLAN_STATE,
  planCapacity,
  type PlannedClass,
  type PlannedHost,
} from "rampswitch-policy";
import type { BackendServer, HostClass, Service } from "rampswitch-types";
import type { Clock, Logger, Metrics } from "rampswitch-utils";
import type { AdmissionGate } from "../admission/admission_gate.ts";
import type { BackendDirectory } from "../choice/backend_directory.ts";
import type { ConfigurationService } from "../configuration/configuration_service.ts";
import type { MembershipService } from "../membership/membership_service.ts";
import type { CloudClient, CloudHost } from "../membership/platform_clients.ts";

/** Label of backend servers that this service added to the configuration. */
export const MANAGED_LABEL = "managed-by";

/** Value of {@link MANAGED_LABEL}. */
export const MANAGED_BY_CAPACITY = "capacity";

/** Options of {@link CapacityService}. */
export interface CapacityServiceOptions {
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly logger: Logger;
  readonly configuration: ConfigurationService;
  readonly membership: MembershipService;
  readonly directory: BackendDirectory;
  readonly cloud: CloudClient;
  readonly gate: Pick<AdmissionGate, "waiting">;
}

const CONCURRENT_STARTS = 2;

/**
 * Time in milliseconds before a host class is requested again after a failed
 * start. A refusal means that the cloud has run out of the class, which lasts
 * for minutes. A call without an answer says nothing about the class, so the
 * next round may try again.
 */
const RETRY_START_MILLISECONDS: Readonly<
  Record<"refused" | "unavailable", number>
> = { refused: 60_000, unavailable: 1_000 };

const MILLISECONDS_PER_SECOND = 1_000;
const OPERATOR = "capacity";

/** Manages the capacity of one service on the host that holds its lease. */
export class CapacityService {
  readonly #service: Service;
  readonly #options: CapacityServiceOptions;
  readonly #refusedUntil = new Map<string, number>();
  readonly #drainedAt = new Map<string, number>();
  #memory: CapacityPlanState = INITIAL_CAPACITY_PLAN_STATE;

  constructor(service: Service, options: CapacityServiceOptions) {
    this.#service = service;
    this.#options = options;
  }

  /**
   * Runs one round under a lease. `holdsLease` is checked before each action,
   * since the lease can be lost during the round.
   */
  async round(lease: Lease, holdsLease: () => boolean): Promise<void> {
    const { cloud, clock, metrics, logger } = this.#options;
    const listed = await cloud.hosts();
    if (listed.isErr) {
      logger.warn("capacity not planned: the cloud did not list its hosts", {
        service: this.#service.name,
        error: JSON.stringify(listed.error),
      });
      return;
    }
    const startedHosts = listed.value.filter(({ token }) =>
      token.startsWith(`${this.#service.name}/`),
    );
    await this.#addStarted(startedHosts, lease);
    await this.#endDrained(lease);
    const plan = planCapacity(
      {
        now: clock.now(),
        demand: this.#demand(),
        hosts: this.#plannedHosts(startedHosts),
        classes: this.#plannedClasses(),
        downloadsFree: CONCURRENT_STARTS,
      },
      this.#memory,
    );
    this.#memory = plan.state;
    metrics.gauge("capacity_missing", plan.missing);
    await Promise.all(
      plan.actions.map(async (action, index) => {
        if (holdsLease()) await this.#execute(action, { lease, index });
      }),
    );
  }

  get #servers(): readonly BackendServer[] {
    return this.#options.configuration.routing
      .serviceCandidates(this.#service.name)
      .map(({ server }) => server);
  }

  async #execute(
    action: CapacityAction,
    context: { readonly lease: Lease; readonly index: number },
  ): Promise<void> {
    if (action.kind === "start") await this.#start(action, context);
    else await this.#drain(action.host, context.lease);
  }

  async #start(
    action: Extract<CapacityAction, { readonly kind: "start" }>,
    context: { readonly lease: Lease; readonly index: number },
  ): Promise<void> {
    const { clock, cloud, metrics } = this.#options;
    const now = clock.now();
    const { hostClass, dataHall } = action;
    const token = [
      this.#service.name,
      context.lease.epoch,
      now,
      context.index,
    ].join("/");
    const started = await cloud.start(hostClass, dataHall, { token });
    const startResult = started.isOk ? "started" : started.error;
    metrics.count("host_start", startResult);
    if (started.isOk) return;
    this.#options.logger.warn("host not started", {
      service: this.#service.name,
      hostClass,
      dataHall,
      error: started.error,
      notAskedForMilliseconds: RETRY_START_MILLISECONDS[started.error],
    });
    this.#refusedUntil.set(
      `${hostClass}/${dataHall}`,
      now + RETRY_START_MILLISECONDS[started.error],
    );
  }

  /** Adds started hosts that have an address to the configuration. */
  async #addStarted(
    started: readonly CloudHost[],
    lease: Lease,
  ): Promise<void> {
    const [template] = this.#servers;
    const known = new Set(this.#servers.map(({ host }) => host));
    const edits = started.flatMap(({ host, address, hostClass, dataHall }) =>
      template === undefined || address === undefined || known.has(host)
        ? []
        : [
            put({
              ...template,
              name: host,
              labels: {
                ...template.labels,
                [MANAGED_LABEL]: MANAGED_BY_CAPACITY,
              },
              host,
              address,
              hostClass,
              dataHall,
              draining: false,
            }),
          ],
    );
    await this.#change(edits, lease);
  }

  /**
   * Sets a host to draining, so that it gets no new work. It is ended once its
   * work is done.
   */
  async #drain(host: string, lease: Lease): Promise<void> {
    const server = this.#servers.find((other) => other.host === host);
    if (server === undefined) return;
    this.#drainedAt.set(host, this.#options.clock.now());
    await this.#change([put({ ...server, draining: true })], lease);
  }

  /**
   * Ends managed hosts that have been draining for longer than the timeout of
   * the service, so that no work can still be running there.
   */
  async #endDrained(lease: Lease): Promise<void> {
    const { clock, cloud, metrics } = this.#options;
    const now = clock.now();
    const draining = this.#servers.filter(
      (server) => server.draining && isManaged(server),
    );
    const due = draining.filter(({ host }) => {
      const since = this.#drainedAt.get(host) ?? now;
      this.#drainedAt.set(host, since);
      return now - since > this.#service.timeoutMilliseconds;
    });
    await Promise.all(
      due.map(async ({ host, name }) => {
        const ended = await cloud.end(host);
        metrics.count("host_end", ended.isOk ? "ended" : "failed");
        if (ended.isErr) return;
        this.#drainedAt.delete(host);
        const resourceKind = "BackendServer";
        await this.#change([{ kind: "delete", resourceKind, name }], lease);
      }),
    );
  }

  async #change(edits: readonly Edit[], lease: Lease): Promise<void> {
    if (edits.length === 0) return;
    const { configuration, clock, logger } = this.#options;
    const { revision } = configuration.state;
    const outcome = await configuration.change({
      changeId: `capacity-${lease.epoch}-${clock.now()}`,
      operator: OPERATOR,
      baseRevision: revision,
      edits,
    });
    logger.info("capacity changed", { outcome: outcome.kind });
  }

  /**
   * Demand in tokens per second: all requests in progress or waiting, each at
   * the usual speed of one run. It is unknown, hence undefined, while most peers
   * are suspected; the capacity then stays unchanged.
   */
  #demand(): number | undefined {
    const { membership, directory, gate } = this.#options;
    const members = [...membership.members.values()];
    const suspected = members.filter((member) => member.suspected).length;
    if (suspected > membership.trusted.length) return undefined;
    // Admission admits only a few long requests at a time, so waiting requests
    // count as demand too.
    const own = this.#servers.reduce(
      (sum, { name }) => sum + directory.inProgress(name),
      gate.waiting(this.#service.name),
    );
    const others = membership.trusted.reduce(
      (sum, { digest }) => sum + digest.load,
      0,
    );
    return ((own + others) * MILLISECONDS_PER_SECOND) / this.#tokenMilliseconds;
  }

  get #tokenMilliseconds(): number {
    const { directory, configuration } = this.#options;
    const candidates = configuration.routing.serviceCandidates(
      this.#service.name,
    );
    const groups = [{ priority: 0, candidates }];
    return directory.speeds({ rule: undefined, groups }).tokenMilliseconds;
  }

  #plannedHosts(started: readonly CloudHost[]): readonly PlannedHost[] {
    const { membership, directory } = this.#options;
    const servers = this.#servers;
    const known = new Set(servers.map(({ host }) => host));
    return [
      ...servers.map((server): PlannedHost => {
        const leaving = server.draining || membership.marks.has(server.host);
        return {
          name: server.host,
          hostClass: server.hostClass,
          dataHall: server.dataHall,
          state: leaving ? "leaving" : "serving",
          load: directory.inProgress(server.name),
          managed: isManaged(server),
        };
      }),
      ...started
        .filter(({ host }) => !known.has(host))
        .map(({ host, hostClass, dataHall }): PlannedHost => ({
          name: host,
          hostClass,
          dataHall,
          state: "starting",
          load: 0,
          managed: true,
        })),
    ];
  }

  #plannedClasses(): readonly PlannedClass[] {
    const concurrency = this.#servers[0]?.concurrency ?? 1;
    return this.#hostClasses.map((hostClass) => ({
      name: hostClass.name,
      dataHall: hostClass.dataHall,
      dollarsPerHour: hostClass.dollarsPerHour,
      reclaimable: hostClass.reclaimable,
      tokensPerSecond:
        (concurrency * MILLISECONDS_PER_SECOND) / this.#tokenMilliseconds,
      refusedUntil:
        this.#refusedUntil.get(`${hostClass.name}/${hostClass.dataHall}`) ?? 0,
    }));
  }

  get #hostClasses(): readonly HostClass[] {
    return [...this.#options.configuration.state.resources.values()]
      .map(({ resource }) => resource)
      .filter(
        (resource): resource is HostClass => resource.kind === "HostClass",
      );
  }
}

function isManaged({ labels }: BackendServer): boolean {
  return labels[MANAGED_LABEL] === MANAGED_BY_CAPACITY;
}

function put(resource: BackendServer): Edit {
  return { kind: "put", resource };
}
