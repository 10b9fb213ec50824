// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * A fleet of hosts and servers as plain objects for tests of admission: requests arrive
 * at random hosts, and hosts hear of each other with a delay.
 *
 * @module
 */
import { type Random, seededRandom } from "rampswitch-utils";
import { RoomAdmission, type RoomRequest } from "./room_admission.ts";
import { rankOf, type RoomClass } from "./room_class.ts";
import type { RoomReport } from "./room_counts.ts";
import type { ServerRoom } from "./service_room.ts";

/** Requests of one class. */
export interface FleetLoad {
  readonly roomClass: RoomClass;
  /** The class from a time on, if it changes. */
  readonly laterClass?: { readonly at: number; readonly roomClass: RoomClass };
  /** Time for which a request holds a slot, in milliseconds. */
  readonly work?: number;
  /** How often a refused request is repeated at once; never if left out. */
  readonly repeats?: number;
  perSecond(now: number): number;
}

/** Properties of a fleet. */
export interface FleetOptions {
  readonly hosts: number;
  readonly seed: number;
  readonly loads: readonly FleetLoad[];
  readonly servers?: number;
  readonly slots?: number;
  readonly lagMilliseconds?: number;
  readonly targetMilliseconds?: number;
  /** Estimate of the hold time; the true one if it is not given. */
  readonly estimatedHold?: number | undefined;
  /** Age of messages as hosts assume it, if it is not the true one. */
  readonly toldLagMilliseconds?: number;
  /** Decides instead of admission by class. */
  readonly decide?: (host: FleetHost, fleet: AdmissionFleet) => boolean;
  /** Decides on each request, also by what the test knows of it. */
  readonly decideArrival?: (host: FleetHost, request: FleetRequest) => boolean;
  /** Called with each decision on the first try of a request. */
  readonly onDecided?: (request: FleetRequest, isAdmitted: boolean) => void;
  /** Called each millisecond. */
  readonly onTick?: (fleet: AdmissionFleet, now: number) => void;
}

/** One request. */
export interface FleetRequest {
  readonly load: FleetLoad;
  readonly arrivedAt: number;
  readonly roomClass: RoomClass;
}

/** Requests of one class by outcome. */
export interface ClassOutcome {
  offered: number;
  admitted: number;
  inTime: number;
}

interface Server {
  running: { readonly endsAt: number; readonly job: Job }[];
  waiting: Job[];
}

interface Job {
  readonly request: FleetRequest;
  readonly host: FleetHost;
  readonly server: number;
}

/** One host. */
export interface FleetHost {
  readonly admission: RoomAdmission;
  /** Own requests at each server. */
  readonly own: number[];
  /** Whether it sends and receives messages. */
  isConnected: boolean;
  isUp: boolean;
  /** Requests at each server that other hosts reported, by host. */
  readonly peers: Map<FleetHost, PeerLoads>;
  /** Requests that it admitted in the measurement. */
  admitted: number;
}

interface PeerLoads {
  readonly loads: readonly number[];
  readonly receivedAt: number;
}

/** Time for which the work of a peer counts, in milliseconds. */
const PEER_WORK_LIFETIME_MILLISECONDS = 1_500;

/** Time for which a request holds its slot, in milliseconds. */
const HOLD_MILLISECONDS = 200;

/** Time between two messages of a host, in milliseconds. */
const MESSAGE_INTERVAL_MILLISECONDS = 100;

/** Runs one fleet. */
export class AdmissionFleet {
  readonly options: FleetOptions;
  readonly hosts: FleetHost[];
  readonly random: Random;
  readonly #servers: Server[];
  readonly #outcomes = new Map<string, ClassOutcome>();
  #messages: { readonly at: number; deliver(): void }[] = [];
  #now = 0;
  #arrivalsEnded = false;
  /** Share of the slots that was used in the measurement, once it has ended. */
  usedInMeasurement = 0;
  /** Slot milliseconds that were used, from the start of the measurement. */
  #used = 0;
  #measuredFrom = 0;

  constructor(options: FleetOptions) {
    this.options = options;
    this.random = seededRandom(options.seed);
    this.#servers = Array.from({ length: options.servers ?? 4 }, () => ({
      running: [],
      waiting: [],
    }));
    this.hosts = Array.from({ length: options.hosts }, () => this.newHost());
  }

  /** Slots of all servers. */
  get slots(): number {
    return this.#servers.length * this.#slots;
  }

  get now(): number {
    return this.#now;
  }

  get #slots(): number {
    return this.options.slots ?? 8;
  }

  get #lag(): number {
    return this.options.lagMilliseconds ?? 250;
  }

  /** Ends all hosts at once and starts others; servers go on. */
  restartHosts(): void {
    this.hosts.forEach((_, index) => (this.hosts[index] = this.newHost()));
  }

  /** Starts a host. */
  newHost(): FleetHost {
    return {
      admission: new RoomAdmission({
        hosts: () => this.options.hosts,
        lagMilliseconds: () =>
          this.options.toldLagMilliseconds ??
          this.#lag + MESSAGE_INTERVAL_MILLISECONDS / 2,
        meanHoldMilliseconds: () => this.options.estimatedHold ?? this.#mean(),
        draw: () => this.random.next(),
      }),
      own: this.#servers.map(() => 0),
      isConnected: true,
      isUp: true,
      peers: new Map(),
      admitted: 0,
    };
  }

  /** Share of the slots that was used since the measurement began. */
  get usedShare(): number {
    return this.#used / ((this.#now - this.#measuredFrom) * this.slots);
  }

  /** Begins a new measurement. */
  measure(): void {
    this.#used = 0;
    this.#measuredFrom = this.#now;
    this.#outcomes.clear();
    this.hosts.forEach((host) => (host.admitted = 0));
  }

  /** Outcome of the requests of a workspace that arrived in the measurement. */
  outcome(workspace: string): ClassOutcome {
    const known = this.#outcomes.get(workspace);
    const outcome = known ?? { offered: 0, admitted: 0, inTime: 0 };
    this.#outcomes.set(workspace, outcome);
    return outcome;
  }

  /** Load of a server as a host knows it. */
  knownLoad(host: FleetHost, server: number): number {
    return [...host.peers.values()].reduce(
      (sum, { loads, receivedAt }) =>
        this.#now - receivedAt < PEER_WORK_LIFETIME_MILLISECONDS
          ? sum + (loads[server] ?? 0)
          : sum,
      host.own[server] ?? 0,
    );
  }

  /** Servers as a host knows them. */
  serversOf(host: FleetHost): readonly ServerRoom[] {
    return this.#servers.map((_, index) => ({
      slots: this.#slots,
      load: this.knownLoad(host, index),
      ownLoad: host.own[index] ?? 0,
      slowdown: 1,
    }));
  }

  /** Runs until a time. */
  runUntil(end: number): this {
    while (this.#now < end) this.#tick();
    return this;
  }

  /** Ends the measurement, and runs until the requests that were admitted have ended. */
  drain(): this {
    this.usedInMeasurement = this.usedShare;
    this.#arrivalsEnded = true;
    return this.runUntil(this.#now + 1_000);
  }

  /** Requests at all servers. */
  get load(): number {
    return this.#servers.reduce(
      (sum, { running, waiting }) => sum + running.length + waiting.length,
      0,
    );
  }

  #mean(): number {
    const [load] = this.options.loads;
    return load?.work ?? HOLD_MILLISECONDS;
  }

  #tick(): void {
    this.#now += 1;
    const now = this.#now;
    this.options.onTick?.(this, now);
    this.#messages
      .filter(({ at }) => at <= now)
      .forEach((message) => message.deliver());
    this.#messages = this.#messages.filter(({ at }) => at > now);
    this.#servers.forEach((server) => this.#runServer(server));
    if (now % MESSAGE_INTERVAL_MILLISECONDS === 0) this.#sendMessages();
    if (this.#arrivalsEnded) return;
    this.options.loads.forEach((load) => {
      let expected = load.perSecond(now) / 1_000;
      // At these rates, several arrivals in a millisecond are rare but not impossible.
      while (expected > 0) {
        if (this.random.next() < Math.min(1, expected)) this.#arrive(load);
        expected -= 1;
      }
    });
  }

  #runServer(server: Server): void {
    const ended = server.running.filter(({ endsAt }) => endsAt <= this.#now);
    server.running = server.running.filter(({ endsAt }) => endsAt > this.#now);
    ended.forEach(({ job }) => {
      job.host.own[job.server] = (job.host.own[job.server] ?? 0) - 1;
      const { arrivedAt, load, roomClass } = job.request;
      const work = load.work ?? HOLD_MILLISECONDS;
      const target = this.options.targetMilliseconds ?? 300;
      const isInTime =
        this.#now - arrivedAt - work <= target - HOLD_MILLISECONDS;
      if (arrivedAt >= this.#measuredFrom && isInTime) {
        this.outcome(roomClass.workspace).inTime += 1;
      }
    });
    while (server.running.length < this.#slots && server.waiting.length > 0) {
      const job = server.waiting.shift();
      if (job === undefined) break;
      const work = job.request.load.work ?? HOLD_MILLISECONDS;
      server.running.push({ endsAt: this.#now + work, job });
    }
    this.#used += server.running.length;
  }

  #sendMessages(): void {
    const now = this.#now;
    this.hosts.forEach((host) => {
      if (!host.isConnected || !host.isUp) return;
      const loads = [...host.own];
      const report: RoomReport | undefined =
        host.admission.counts.ownReport(now);
      const name = String(this.hosts.indexOf(host));
      this.#messages.push({
        at: now + this.#lag,
        deliver: () =>
          this.hosts.forEach((other) => {
            if (other === host || !other.isConnected) return;
            other.peers.set(host, { loads, receivedAt: this.#now });
            other.admission.counts.receive(name, report, this.#now);
          }),
      });
    });
  }

  #arrive(load: FleetLoad): void {
    const up = this.hosts.filter(({ isUp }) => isUp);
    const host = up[this.random.below(Math.max(1, up.length))];
    if (host === undefined) return;
    const { laterClass } = load;
    const roomClass =
      laterClass !== undefined && this.#now >= laterClass.at
        ? laterClass.roomClass
        : load.roomClass;
    const request = { load, roomClass, arrivedAt: this.#now };
    this.outcome(roomClass.workspace).offered += 1;
    for (let tries = 0; tries <= (load.repeats ?? 0); tries += 1) {
      const isAdmitted = this.#isAdmitted(host, request);
      if (tries === 0) this.options.onDecided?.(request, isAdmitted);
      if (isAdmitted) {
        this.send(host, request);
        return;
      }
    }
  }

  /** A request as admission at a host sees it. */
  roomRequestOf(
    host: FleetHost,
    { load, roomClass }: FleetRequest,
  ): RoomRequest {
    return {
      roomClass,
      work: this.options.estimatedHold ?? load.work ?? HOLD_MILLISECONDS,
      targetMilliseconds: this.options.targetMilliseconds ?? 300,
      sharesAlone: true,
      servers: () => this.serversOf(host),
    };
  }

  #isAdmitted(host: FleetHost, request: FleetRequest): boolean {
    const { decideArrival } = this.options;
    if (decideArrival !== undefined) return decideArrival(host, request);
    if (this.options.decide !== undefined) {
      return this.options.decide(host, this);
    }
    const decision = host.admission.decide(
      this.roomRequestOf(host, request),
      this.#now,
    );
    return decision.kind === "admitted";
  }

  /** Sends an admitted request to a server. */
  send(host: FleetHost, request: FleetRequest): void {
    this.outcome(request.roomClass.workspace).admitted += 1;
    host.admitted += 1;
    // Hosts that all chose by the delayed reports of each other would choose the same
    // server; each spreads its own requests evenly.
    const loads = host.own;
    const least = Math.min(...loads);
    const candidates = loads.flatMap((load, index) =>
      load === least ? [index] : [],
    );
    const server = candidates[this.random.below(candidates.length)] ?? 0;
    host.own[server] = (host.own[server] ?? 0) + 1;
    // Engines start the most urgent requests first.
    const waiting = this.#servers[server]?.waiting ?? [];
    const rank = rankOf(request.roomClass);
    const later = waiting.findIndex(
      (job) => rankOf(job.request.roomClass) > rank,
    );
    const place = later < 0 ? waiting.length : later;
    waiting.splice(place, 0, { request, host, server });
  }
}
