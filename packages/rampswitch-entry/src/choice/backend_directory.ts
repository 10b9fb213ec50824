// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * What one entry host knows of the backend servers: load, health, who is
 * leaving, and which prefixes they hold. Choices are made here.
 *
 * @module
 */
import type { LeavingMarks } from "rampswitch-configuration";
import {
  type Candidate,
  type Choice,
  choose,
  type ChoiceRequest,
  mayEject,
  PrefixIndex,
  type ReportedLoad,
  type Route,
  type RoutingTable,
  ServerHealth,
  ServerLoad,
  serverIn,
  type ServiceSpeeds,
} from "rampswitch-policy";
import type { BackendServer } from "rampswitch-types";
import {
  type Clock,
  jitter,
  type Metrics,
  Ownership,
  type Random,
  rendezvousOrder,
  repeat,
} from "rampswitch-utils";
import type { BackendClient } from "../attempt/backend_client.ts";

const POLL_MILLISECONDS = 500;
/** Time between two questions to a server that has nothing to do. */
const IDLE_POLL_MILLISECONDS = 2_000;
const POLL_DEADLINE_MILLISECONDS = 800;
const MAXIMUM_REPLY_BYTES = 1024 * 1024;
const POLLED_PER_ROUND = 64;
/** Servers asked in a round where there are too many to ask all. */
const POLLED_PER_ROUND_OF_MANY = 4;
const PREFIX_BLOCKS = 100_000;
const SPEED_KEEP = 0.95;

/** Tokens in a block of the engines' prefix caches. */
export const BLOCK_TOKENS = 16;

const FIRST_SPEEDS: ServiceSpeeds = {
  promptTokenMilliseconds: 0.05,
  tokenMilliseconds: 15,
};

const NO_SERVERS: ReadonlySet<string> = new Set();

interface ServerState {
  readonly load: ServerLoad;
  readonly health: ServerHealth;
  cacheSequence: number;
  /** When the server was last asked, in milliseconds since the epoch. */
  polledAt: number;
  /** Whether it had nothing to do when it was last asked. */
  idleReport: boolean;
}

/** How a directory is made. */
export interface DirectoryOptions {
  readonly client: BackendClient;
  readonly clock: Clock;
  readonly random: Random;
  readonly metrics: Metrics;
  readonly routing: () => RoutingTable;
  readonly marks: () => LeavingMarks;
  /** Names of the trusted entry hosts, this one among them. */
  readonly hostNames: () => readonly string[];
  readonly selfName: string;
  /** A backend server said itself that it is leaving. */
  readonly onLeaving: (server: BackendServer) => void;
}

/** The backend servers as one host knows them. */
export class BackendDirectory implements AsyncDisposable {
  readonly #options: DirectoryOptions;
  readonly #owned = new Ownership();
  readonly #states = new Map<string, ServerState>();
  readonly #speeds = new Map<string, ServiceSpeeds>();
  readonly #prefixes = new PrefixIndex(PREFIX_BLOCKS);
  readonly #unsteady = new Set<string>();
  #pollOffset = 0;

  constructor(options: DirectoryOptions) {
    this.#options = options;
  }

  /** Starts to read the servers' reports. */
  start(): void {
    const { clock, random } = this.#options;
    this.#owned.own(
      repeat(
        clock,
        () => jitter(random, POLL_MILLISECONDS),
        () => this.#poll(),
      ),
    );
  }

  /** Chooses a server along a route. */
  choose(route: Route, request: ChoiceRequest): Choice {
    const { clock, random } = this.#options;
    const now = clock.now();
    const hosts = this.#options.hostNames().length;
    const ejected = this.#ejected(route, now);
    return choose(route, request, {
      now,
      random,
      prefixes: this.#prefixes,
      blockTokens: BLOCK_TOKENS,
      speeds: this.speeds(route),
      load: (server) => this.#state(server).load.estimate(now, hosts),
      excluded: (candidate) =>
        this.exclusion(candidate.server) ??
        (ejected.has(candidate.server.name)
          ? "ejected after failures"
          : undefined),
      share: (server) => this.#state(server).health.share(now),
    });
  }

  /** Why a server gets no new work, whatever its load. */
  exclusion(server: BackendServer): string | undefined {
    if (server.draining) return "draining";
    return this.#options.marks().has(server.host)
      ? "its host is leaving"
      : undefined;
  }

  /** Speeds of the service behind a route. */
  speeds(route: Route): ServiceSpeeds {
    const service = route.groups[0]?.candidates[0]?.server.service ?? "";
    return this.#speeds.get(service) ?? FIRST_SPEEDS;
  }

  /** Learns from the time of one token of a service. */
  learnToken(service: string, milliseconds: number): void {
    const known = this.#speeds.get(service) ?? FIRST_SPEEDS;
    this.#speeds.set(service, {
      ...known,
      tokenMilliseconds:
        SPEED_KEEP * known.tokenMilliseconds + (1 - SPEED_KEEP) * milliseconds,
    });
  }

  /** Notes that a request goes to a server. */
  sent(
    server: BackendServer,
    request: Pick<ChoiceRequest, "blocks" | "promptTokens">,
  ): void {
    const state = this.#state(server.name);
    state.load.sent(request.promptTokens, this.#options.clock.now());
    state.health.sent();
    this.#prefixes.stored(server.name, request.blocks);
  }

  /** Notes that a request to a server ended. */
  ended(server: BackendServer, failed: boolean): void {
    const now = this.#options.clock.now();
    const state = this.#state(server.name);
    const before = state.health.state;
    state.load.ended(failed, now);
    state.health.handle({ type: failed ? "failed" : "succeeded", now });
    if (state.health.steady) this.#unsteady.delete(server.name);
    else this.#unsteady.add(server.name);
    if (state.health.state !== before) {
      this.#options.metrics.count("server_health", state.health.state);
    }
  }

  /** A server said that it is leaving. */
  saidLeaving(server: BackendServer): void {
    if (!this.#options.marks().has(server.host)) {
      this.#options.onLeaving(server);
    }
  }

  /** Requests of this host in progress at a server. */
  inProgress(server: string): number {
    return this.#state(server).load.inProgress;
  }

  /** Health of a server, for the status page. */
  healthOf(server: string): string {
    return this.#state(server).health.state;
  }

  /** Forgets servers that are no longer configured. */
  keepOnly(names: ReadonlySet<string>): void {
    [...this.#states.keys()]
      .filter((name) => !names.has(name))
      .forEach((name) => {
        this.#states.delete(name);
        this.#unsteady.delete(name);
        this.#prefixes.forget(name);
      });
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.#owned[Symbol.asyncDispose]();
  }

  #state(server: string): ServerState {
    const known = this.#states.get(server);
    if (known !== undefined) return known;
    const state: ServerState = {
      load: new ServerLoad(),
      health: new ServerHealth(),
      cacheSequence: 0,
      polledAt: 0,
      idleReport: false,
    };
    this.#states.set(server, state);
    return state;
  }

  /** Servers that are out after failures; a group keeps at least half. */
  #ejected(route: Route, now: number): ReadonlySet<string> {
    if (this.#unsteady.size === 0) return NO_SERVERS;
    const out = [...this.#unsteady].filter(
      (server) => !this.#state(server).health.admits(now),
    );
    const groups = route.groups.map(({ candidates }) => ({
      size: candidates.length,
      out: out.filter((name) => serverIn(candidates, name)),
    }));
    return new Set(
      groups.flatMap((group) =>
        mayEject(group.out.length, group.size) ? group.out : [],
      ),
    );
  }

  /** Servers whose reports this host reads; the hosts share them out. */
  #watched(): readonly Candidate[] {
    const candidates = [...this.#options.routing().candidates.values()];
    if (candidates.length <= POLLED_PER_ROUND) return candidates;
    const names = this.#options.hostNames();
    return candidates.filter(
      ({ server }) =>
        this.#state(server.name).load.inProgress > 0 ||
        rendezvousOrder(server.name, names)[0] === this.#options.selfName,
    );
  }

  async #poll(): Promise<void> {
    const watched = this.#watched();
    const start = this.#pollOffset % Math.max(1, watched.length);
    const most =
      watched.length <= POLLED_PER_ROUND
        ? POLLED_PER_ROUND
        : POLLED_PER_ROUND_OF_MANY;
    const round = [...watched.slice(start), ...watched.slice(0, start)].slice(
      0,
      most,
    );
    this.#pollOffset = start + round.length;
    await Promise.all(round.map(({ server }) => this.#pollServer(server)));
  }

  async #pollServer(server: BackendServer): Promise<void> {
    const state = this.#state(server.name);
    const now = this.#options.clock.now();
    const idle = state.load.inProgress === 0 && state.idleReport;
    if (idle && now - state.polledAt < IDLE_POLL_MILLISECONDS) return;
    state.polledAt = now;
    const isModel =
      this.#options.routing().services.get(server.service)?.type === "model";
    if (!isModel) return;
    const load = (await this.#get(server, "/v1/load")) as
      ReportedLoad | undefined;
    if (typeof load?.at === "number") state.load.report(load);
    state.idleReport = load?.running === 0 && load.waiting === 0;
    const path = `/v1/cache-events?after=${state.cacheSequence}`;
    const cache = (await this.#get(server, path)) as
      { readonly events?: readonly CacheEvent[] } | undefined;
    cache?.events?.forEach((event) => {
      state.cacheSequence = Math.max(state.cacheSequence, event.sequence);
      if (event.kind === "stored") {
        this.#prefixes.stored(server.name, [event.block]);
      } else this.#prefixes.evicted(server.name, event.block);
    });
  }

  async #get(server: BackendServer, path: string): Promise<unknown> {
    const reply = await this.#options.client.call(server.address, {
      method: "GET",
      path,
      headers: {},
      body: undefined,
      timeoutMilliseconds: POLL_DEADLINE_MILLISECONDS,
      signal: AbortSignal.timeout(POLL_DEADLINE_MILLISECONDS),
    });
    if (reply.isErr) return undefined;
    try {
      const text = await reply.value.body.text();
      return text.length > MAXIMUM_REPLY_BYTES ? undefined : JSON.parse(text);
    } catch {
      return undefined;
    }
  }
}

interface CacheEvent {
  readonly sequence: number;
  readonly kind: "stored" | "evicted";
  readonly block: string;
}
