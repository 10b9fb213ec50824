// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * State of the backend servers on one entry host: load, health, leaving servers
 * and cached prefixes. Chooses a server for each request.
 *
 * @module
 */
import type { LeavingMarks } from "rampswitch-configuration";
import {
  type Candidate,
  type Choice,
  choose,
  type ChoiceRequest,
  isEjectionAllowed,
  PrefixIndex,
  type ReportedLoad,
  type Route,
  type RoutingTable,
  ServerHealth,
  ServerLoad,
  includesServer,
  type ServiceSpeeds,
} from "rampswitch-policy";
import type { BackendServer } from "rampswitch-types";
import {
  type Clock,
  failureReporter,
  jitter,
  type Logger,
  MemoryBudget,
  type Metrics,
  Ownership,
  parseJson,
  type Random,
  readText,
  rendezvousOrder,
  repeat,
} from "rampswitch-utils";
import type { BackendClient } from "../attempt/backend_client.ts";

/** Mean time between two rounds of polls. */
const POLL_INTERVAL_MILLISECONDS = 500;
/** Minimum time between two polls of an idle server. */
const IDLE_POLL_INTERVAL_MILLISECONDS = 2_000;
const POLL_TIMEOUT_MILLISECONDS = 800;
const MAXIMUM_REPLY_BYTES = 1024 * 1024;
/** Memory of all reports that are read at once, in bytes. */
const REPLIES_BYTES = 16 * 1024 * 1024;
/** Number of servers up to which a round polls all of them. */
const MAXIMUM_POLLED_PER_ROUND = 64;
/** Servers polled in a round if there are too many to poll all. */
const MAXIMUM_POLLED_PER_PARTIAL_ROUND = 4;
const MAXIMUM_PREFIX_BLOCKS = 100_000;
/** Weight of the former average in the moving average of a token's time. */
const SPEED_AVERAGE_RETENTION = 0.95;

/** Number of tokens in a block of the engines' prefix caches. */
export const BLOCK_TOKENS = 16;

/** Speeds of a service before its first measurement. */
const INITIAL_SPEEDS: ServiceSpeeds = {
  promptTokenMilliseconds: 0.05,
  tokenMilliseconds: 15,
};

const NO_SERVERS: ReadonlySet<string> = new Set();

interface ServerState {
  readonly load: ServerLoad;
  readonly health: ServerHealth;
  /** Sequence number of the last cache event that was read. */
  cacheSequence: number;
  /** Time of the last poll, in milliseconds since the epoch. */
  polledAt: number;
  /** Whether the last report listed neither running nor waiting requests. */
  reportedIdle: boolean;
}

/** Options of {@link BackendDirectory}. */
export interface DirectoryOptions {
  readonly client: BackendClient;
  readonly clock: Clock;
  readonly random: Random;
  readonly metrics: Metrics;
  readonly logger: Logger;
  readonly routing: () => RoutingTable;
  readonly marks: () => LeavingMarks;
  /** Names of the trusted entry hosts, including this one. */
  readonly hostNames: () => readonly string[];
  readonly selfName: string;
  /** Called when a backend server advertises that it is leaving. */
  readonly onLeaving: (server: BackendServer) => void;
}

/** State of the backend servers on one host. */
export class BackendDirectory implements AsyncDisposable {
  readonly #options: DirectoryOptions;
  readonly #owned = new Ownership();
  readonly #states = new Map<string, ServerState>();
  readonly #speeds = new Map<string, ServiceSpeeds>();
  readonly #prefixes = new PrefixIndex(MAXIMUM_PREFIX_BLOCKS);
  /** Memory of the reports that are being read. */
  readonly #replies = new MemoryBudget(REPLIES_BYTES);
  readonly #unhealthy = new Set<string>();
  #pollOffset = 0;

  constructor(options: DirectoryOptions) {
    this.#options = options;
  }

  /** Starts polling the servers' load and cache events. */
  start(): void {
    const { clock, random } = this.#options;
    this.#owned.own(
      repeat(clock, () => jitter(random, POLL_INTERVAL_MILLISECONDS), {
        name: "polls of servers",
        reportFailure: failureReporter({ logger: this.#options.logger }),
        run: () => this.#poll(),
      }),
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
      exclusionReason: (candidate) =>
        this.exclusion(candidate.server) ??
        (ejected.has(candidate.server.name)
          ? "ejected after failures"
          : undefined),
      share: (server) => this.#state(server).health.share(now),
    });
  }

  /**
   * Returns why a server gets no new work, regardless of its load; `undefined`
   * if it may get work.
   */
  exclusion(server: BackendServer): string | undefined {
    if (server.draining) return "draining";
    return this.#options.marks().has(server.host)
      ? "its host is leaving"
      : undefined;
  }

  /** Returns the estimated speeds of the service behind a route. */
  speeds(route: Route): ServiceSpeeds {
    const service = route.groups[0]?.candidates[0]?.server.service ?? "";
    return this.#speeds.get(service) ?? INITIAL_SPEEDS;
  }

  /** Adds the time of one token to the moving average of a service. */
  observeTokenTime(service: string, milliseconds: number): void {
    const known = this.#speeds.get(service) ?? INITIAL_SPEEDS;
    this.#speeds.set(service, {
      ...known,
      tokenMilliseconds:
        SPEED_AVERAGE_RETENTION * known.tokenMilliseconds +
        (1 - SPEED_AVERAGE_RETENTION) * milliseconds,
    });
  }

  /** Records that a request is sent to a server. */
  recordSent(
    server: BackendServer,
    request: Pick<ChoiceRequest, "blocks" | "promptTokens">,
  ): void {
    const state = this.#state(server.name);
    state.load.sent(request.promptTokens, this.#options.clock.now());
    state.health.sent();
    this.#prefixes.stored(server.name, request.blocks);
  }

  /** Records that a request to a server ended. */
  recordEnded(server: BackendServer, failed: boolean): void {
    const now = this.#options.clock.now();
    const state = this.#state(server.name);
    const before = state.health.state;
    state.load.ended(failed, now);
    state.health.handle({ type: failed ? "failed" : "succeeded", now });
    if (state.health.steady) this.#unhealthy.delete(server.name);
    else this.#unhealthy.add(server.name);
    if (state.health.state !== before) {
      this.#options.metrics.count("server_health", state.health.state);
    }
  }

  /**
   * Reports that a server advertises that it is leaving, unless its host is
   * already marked as leaving.
   */
  reportLeaving(server: BackendServer): void {
    if (!this.#options.marks().has(server.host)) {
      this.#options.onLeaving(server);
    }
  }

  /** Returns the number of this host's requests in progress at a server. */
  inProgress(server: string): number {
    return this.#state(server).load.inProgress;
  }

  /** Returns the health state of a server, for the status page. */
  healthOf(server: string): string {
    return this.#state(server).health.state;
  }

  /** Removes the state of all servers but the named ones. */
  keepOnly(names: ReadonlySet<string>): void {
    [...this.#states.keys()]
      .filter((name) => !names.has(name))
      .forEach((name) => {
        this.#states.delete(name);
        this.#unhealthy.delete(name);
        this.#prefixes.removeServer(name);
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
      reportedIdle: false,
    };
    this.#states.set(server, state);
    return state;
  }

  /**
   * Returns the servers that are ejected after failures. A group keeps at least
   * half of its servers, or none of them is ejected.
   */
  #ejected(route: Route, now: number): ReadonlySet<string> {
    if (this.#unhealthy.size === 0) return NO_SERVERS;
    const out = [...this.#unhealthy].filter(
      (server) => !this.#state(server).health.admits(now),
    );
    const groups = route.groups.map(({ candidates }) => ({
      size: candidates.length,
      out: out.filter((name) => includesServer(candidates, name)),
    }));
    return new Set(
      groups.flatMap((group) =>
        isEjectionAllowed(group.out.length, group.size) ? group.out : [],
      ),
    );
  }

  /**
   * Returns the servers that this host polls. If there are too many to poll
   * all, these are the servers that run its requests and its share by
   * rendezvous hashing.
   */
  #pollCandidates(): readonly Candidate[] {
    const candidates = [...this.#options.routing().candidates.values()];
    if (candidates.length <= MAXIMUM_POLLED_PER_ROUND) return candidates;
    const names = this.#options.hostNames();
    return candidates.filter(
      ({ server }) =>
        this.#state(server.name).load.inProgress > 0 ||
        rendezvousOrder(server.name, names)[0] === this.#options.selfName,
    );
  }

  async #poll(): Promise<void> {
    const candidates = this.#pollCandidates();
    const start = this.#pollOffset % Math.max(1, candidates.length);
    const maximum =
      candidates.length <= MAXIMUM_POLLED_PER_ROUND
        ? MAXIMUM_POLLED_PER_ROUND
        : MAXIMUM_POLLED_PER_PARTIAL_ROUND;
    const round = [
      ...candidates.slice(start),
      ...candidates.slice(0, start),
    ].slice(0, maximum);
    this.#pollOffset = start + round.length;
    await Promise.all(round.map(({ server }) => this.#pollServer(server)));
  }

  async #pollServer(server: BackendServer): Promise<void> {
    const state = this.#state(server.name);
    const now = this.#options.clock.now();
    const idle = state.load.inProgress === 0 && state.reportedIdle;
    if (idle && now - state.polledAt < IDLE_POLL_INTERVAL_MILLISECONDS) return;
    state.polledAt = now;
    const isModel =
      this.#options.routing().services.get(server.service)?.type === "model";
    if (!isModel) return;
    const load = (await this.#get(server, "/v1/load")) as
      ReportedLoad | undefined;
    if (typeof load?.at === "number") state.load.applyReport(load);
    state.reportedIdle = load?.running === 0 && load.waiting === 0;
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
      timeoutMilliseconds: POLL_TIMEOUT_MILLISECONDS,
      signal: AbortSignal.timeout(POLL_TIMEOUT_MILLISECONDS),
    });
    if (reply.isErr) return undefined;
    const { body } = reply.value;
    const text = await readText(body, MAXIMUM_REPLY_BYTES, this.#replies);
    return text.andThen((whole) => parseJson(whole)).unwrapOr(undefined);
  }
}

/** Change of a server's prefix cache, as the server reports it. */
interface CacheEvent {
  readonly sequence: number;
  readonly kind: "stored" | "evicted";
  readonly block: string;
}
