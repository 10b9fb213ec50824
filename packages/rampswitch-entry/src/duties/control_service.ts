// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Control duties under leases: orders to backend servers, with one lease for
 * each service and data hall, and capacity, with one lease for each service.
 * Every host can perform them; the holder of the lease does.
 *
 * @module
 */
import {
  decideOrder,
  type Order,
  orderKey,
  planOrders,
} from "rampswitch-configuration";
import type { DueOrder, Lease } from "rampswitch-configuration";
import type { ObjectStore } from "rampswitch-store";
import type { BackendServer, Host, Service } from "rampswitch-types";
import {
  failureReporter,
  jitter,
  type Logger,
  Ownership,
  type Random,
  rendezvousOrder,
  repeat,
} from "rampswitch-utils";
import { BackendClient } from "../attempt/backend_client.ts";
import {
  CapacityService,
  type CapacityServiceOptions,
} from "./capacity_service.ts";
import { LeaseKeeper } from "./lease_keeper.ts";

/** Options of {@link ControlService}. */
export interface ControlOptions extends CapacityServiceOptions {
  readonly self: Host;
  readonly store: ObjectStore;
  readonly random: Random;
  readonly logger: Logger;
  readonly clockSkewMilliseconds: number;
  readonly leaseMilliseconds: number;
  /** Whether hosts may be started and ended. */
  readonly startsHosts: boolean;
}

const ROUND_INTERVAL_MILLISECONDS = 2_000;
const LEASE_CANDIDATES = 2;
const CONCURRENT_ORDERS = 2;
const ORDER_TIMEOUT_MILLISECONDS = 3_000;

/** A lease that this host contends for, and the orders done under it. */
interface LeaseTenure {
  readonly keeper: LeaseKeeper;
  epoch: number;
  done: ReadonlySet<string>;
}

/** Performs the control duties of one host. */
export class ControlService implements AsyncDisposable {
  readonly #options: ControlOptions;
  readonly #owned = new Ownership();
  readonly #client: BackendClient;
  readonly #tenures = new Map<string, LeaseTenure>();
  readonly #capacity = new Map<string, CapacityService>();

  constructor(options: ControlOptions) {
    this.#options = options;
    this.#client = this.#owned.own(new BackendClient());
  }

  /** Starts the periodic rounds. */
  start(): this {
    const { clock, random } = this.#options;
    this.#owned.own(
      repeat(clock, () => jitter(random, ROUND_INTERVAL_MILLISECONDS), {
        name: "round of the duties",
        reportFailure: failureReporter({ logger: this.#options.logger }),
        run: () => this.#round(),
      }),
    );
    return this;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.#owned[Symbol.asyncDispose]();
  }

  async #round(): Promise<void> {
    const { configuration, startsHosts } = this.#options;
    const models = [...configuration.routing.services.values()].filter(
      ({ type }) => type === "model",
    );
    await Promise.all(models.map((service) => this.#orderRound(service)));
    if (!startsHosts) return;
    await Promise.all(models.map((service) => this.#capacityRound(service)));
  }

  /** Sends due orders to the servers of a service in this host's data hall. */
  async #orderRound(service: Service): Promise<void> {
    const { self, configuration } = this.#options;
    const servers = configuration.routing
      .serviceCandidates(service.name)
      .map(({ server }) => server)
      .filter(({ dataHall }) => dataHall === self.dataHall);
    const wanted = planOrders(service, servers, {
      done: new Set(),
      maximumOrders: 1,
    });
    const name = `orders/${service.name}/${self.dataHall}`;
    if (wanted.length === 0 || !this.#isLeaseCandidate(name, self.dataHall))
      return;
    const tenure = this.#tenureOf(name);
    const lease = await tenure.keeper.acquireOrRenew();
    if (lease === undefined) return;
    this.#beginTenure(tenure, lease);
    const due = planOrders(service, servers, {
      done: tenure.done,
      maximumOrders: CONCURRENT_ORDERS,
    });
    await Promise.all(due.map((order) => this.#order(tenure, order)));
  }

  async #order(tenure: LeaseTenure, due: DueOrder): Promise<void> {
    const { metrics, self } = this.#options;
    const lease = tenure.keeper.held;
    if (lease === undefined) return;
    const decision = decideOrder(due.kind, lease, {
      contract: due.server.contract,
      terms: tenure.keeper.terms,
    });
    metrics.count("order", decision.kind);
    if (decision.kind !== "send") return;
    const answer = await this.#send(due.server, {
      kind: due.kind,
      name: due.name,
      holder: self.id,
      epoch: lease.epoch,
    });
    metrics.count("order_answer", answer);
    if (answer === "done") {
      tenure.done = new Set([...tenure.done, orderKey(due)]);
    }
  }

  async #send(
    server: BackendServer,
    order: Order,
  ): Promise<"done" | "old_epoch" | "failed"> {
    const reply = await this.#client.call(server.address, {
      method: "POST",
      path: "/v1/orders",
      headers: { "content-type": "application/json" },
      body: Buffer.from(JSON.stringify(order)),
      timeoutMilliseconds: ORDER_TIMEOUT_MILLISECONDS,
      signal: AbortSignal.timeout(ORDER_TIMEOUT_MILLISECONDS),
    });
    if (reply.isErr) return "failed";
    await reply.value.body.dump().catch(() => undefined);
    if (reply.value.statusCode === 409) return "old_epoch";
    return reply.value.statusCode === 200 ? "done" : "failed";
  }

  /** Manages the capacity of a service in all data halls. */
  async #capacityRound(service: Service): Promise<void> {
    const name = `capacity/${service.name}`;
    if (!this.#isLeaseCandidate(name, undefined)) return;
    const { keeper } = this.#tenureOf(name);
    const lease = await keeper.acquireOrRenew();
    if (lease === undefined) return;
    const known = this.#capacity.get(service.name);
    const capacity = known ?? new CapacityService(service, this.#options);
    this.#capacity.set(service.name, capacity);
    await capacity.round(lease, () => keeper.held !== undefined);
  }

  #tenureOf(name: string): LeaseTenure {
    const known = this.#tenures.get(name);
    if (known !== undefined) return known;
    const { self } = this.#options;
    const tenure = {
      keeper: new LeaseKeeper(name, { ...this.#options, self: self.id }),
      epoch: 0,
      done: new Set<string>(),
    };
    this.#tenures.set(name, tenure);
    return tenure;
  }

  /**
   * Begins a tenure if the epoch changed. All orders are sent again, since those
   * of a former holder may not have arrived.
   */
  #beginTenure(tenure: LeaseTenure, lease: Lease): void {
    if (tenure.epoch === lease.epoch) return;
    tenure.epoch = lease.epoch;
    tenure.done = new Set();
  }

  /** Whether this host is one of the few that contend for a lease. */
  #isLeaseCandidate(name: string, dataHall: string | undefined): boolean {
    const names = this.#options.membership.placementHosts
      .filter((host) => !host.leaving)
      .filter((host) => dataHall === undefined || host.dataHall === dataHall)
      .map((host) => host.name);
    return rendezvousOrder(name, names)
      .slice(0, LEASE_CANDIDATES)
      .includes(this.#options.self.name);
  }
}
