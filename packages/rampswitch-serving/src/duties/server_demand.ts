// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * How many engines the load of a service needs, by slots, prefill, memory and refused
 * work, for deployments whose servers differ in speed or whose routes are ranked. It
 * answers bursts of seconds, in which refused requests are part of the demand while
 * ordered servers come too late for a short one. The caller passes the time, in
 * milliseconds on the monotonic clock of this host.
 *
 * @module
 */
import type { EngineLimits } from "../model/configuration.ts";
import {
  MINIMUM_SERVERS,
  serversForBusyEngines,
  type ServiceLoad,
} from "./capacity_plan.ts";

/** Which need decides how many servers a service is planned with. */
export type DecidingNeed =
  | "slots"
  | "prefill"
  | "memory"
  | "refused_work"
  /** Fewer would be no reserve at all. */
  | "minimum";

/** What the demand for servers follows from. */
export interface DemandInputs {
  /**
   * Requests that run or wait now at all servers. They are counted as they run, so
   * their number includes slow periods of servers.
   */
  readonly running: number;
  /**
   * Prompt tokens over all hosts. The reading rate is that of an engine at its usual
   * speed divided by the mean slowdown, so slow periods count once.
   */
  readonly load: Pick<ServiceLoad, "readTokensPerSecond" | "readingRate">;
  /** Servers that are listed, ready or not. */
  readonly listedServers: number;
  /** Work refused for lack of capacity, in slot milliseconds a second. */
  readonly refusedWork: number;
  /** Tokens of memory that a running request holds on average. */
  readonly memoryTokens: number;
}

/** Engines that a load fills, by need. */
export interface BusyEngines {
  readonly slots: number;
  readonly prefill: number;
  readonly memory: number;
}

/** Servers that a service needs. */
export interface ServerDemand {
  /** Servers that carry the load with the planned reserve. */
  readonly needed: number;
  /** The same for the demand that lasted as long as a server takes to start. */
  readonly lastingNeeded: number;
  /**
   * Servers that carry the lasting demand while others start, used up to the point at
   * which requests would wait.
   */
  readonly bridge: number;
  readonly need: DecidingNeed;
  /** Slots that the refused work would occupy, as far as it counts. */
  readonly refusedSlots: number;
}

/**
 * Share of engines' time that may be used while other servers start. A mean prompt of
 * 6,600 tokens takes 150 ms at 43 tokens a millisecond. At 0.8 its mean wait for the
 * prefill of others is 0.8 / (2 x 0.2) x 150 = 300 ms, if engines are chosen without
 * regard to their load. Callers wait for at most a quarter of their target of 1,519 ms,
 * and at 0.85 the wait would be 425 ms.
 */
const BRIDGE_UTILIZATION = 0.8;

/** Share of an engine's memory up to which it is a candidate for further requests. */
const MEMORY_UTILIZATION = 0.9;

/**
 * Refused work that counts as demand at most, for each request that ran lately. Callers'
 * bursts reach 2.5 times the usual load, so more is a false count.
 */
const MAXIMUM_REFUSED_RATIO = 1.5;

/**
 * Engines that prefill may fill at most, for each one that was listed lately. Servers
 * refuse what waits beyond 0.75 of their slots, so a higher rate of prompt tokens does
 * not last, and is a false count.
 */
const MAXIMUM_PREFILL_RATIO = 2;

/**
 * Time for which the highest number of running requests and of servers is the basis of
 * these bounds, in milliseconds: reclaims of several data halls are over by then.
 */
const PEAK_RETENTION_MILLISECONDS = 60_000;

/** Span over which running requests are averaged, in ms; that of prompt tokens too. */
const MEAN_SPAN_MILLISECONDS = 6_000;

/**
 * Time without refused work after which a shortage is over, in milliseconds: the lag of
 * counts in a large fleet. Callers who return in waves don't end it in between.
 */
const SHORTAGE_GAP_MILLISECONDS = 1_200;

/**
 * Time from which a holder's own observations tell the load, in milliseconds: the rate
 * of prompt tokens is the difference of two totals, which peers' updates raise each
 * 0.4 to 1.2 s.
 */
const LOAD_KNOWN_MILLISECONDS = 2_000;

/** Returns the engines that running requests and prompts to read fill. */
export function busyEnginesFor(
  inputs: Pick<DemandInputs, "running" | "load" | "memoryTokens">,
  engine: EngineLimits,
): BusyEngines {
  const { load, memoryTokens } = inputs;
  const running = finite(inputs.running);
  const read = finite(load.readTokensPerSecond);
  const capacity = finite(load.readingRate) * 1_000;
  return {
    slots: running / engine.slots,
    prefill: capacity > 0 ? read / capacity : 0,
    memory: running * memoryShare(memoryTokens, engine),
  };
}

/** Returns the share of an engine that a request fills; it holds no more than one. */
function memoryShare(memoryTokens: number, engine: EngineLimits): number {
  const usable = engine.memoryTokens * MEMORY_UTILIZATION;
  return usable > 0 ? Math.min(1, finite(memoryTokens) / usable) : 0;
}

/** Returns the servers that carry a load while others start. */
export function serversToBridge(busyEngines: number): number {
  return Math.ceil(
    Math.max(
      busyEngines / BRIDGE_UTILIZATION,
      // Few engines need a larger part for the peaks that their requests share.
      busyEngines + Math.sqrt(busyEngines),
    ),
  );
}

/** Returns the servers without which the running requests would wait. */
export function serversForRunning(
  inputs: { readonly running: number; readonly memoryTokens: number },
  engine: EngineLimits,
): number {
  const { slots, memory } = busyEnginesFor(
    {
      ...inputs,
      load: { readTokensPerSecond: 0, readingRate: 1 },
    },
    engine,
  );
  return serversToBridge(Math.max(slots, memory));
}

interface Sample {
  readonly at: number;
  readonly busy: number;
  readonly refusedSlots: number;
}

interface Value {
  readonly at: number;
  readonly value: number;
}

/** Demand for the servers of one service as one holder of the duty observes it. */
export class DemandHistory {
  #samples: readonly Sample[] = [];
  #firstAt: number | undefined;
  #shortSince: number | undefined;
  #refusedAt = -Infinity;
  #running: readonly Value[] = [];
  /** Highest number of running requests lately. */
  #peakRunning: Value = { value: 0, at: -Infinity };
  /** Highest number of listed servers lately. */
  #peakServers: Value = { value: 0, at: -Infinity };
  /** Engines that prefill fills for each running request, when last known. */
  #prefillPerRunning = 0;

  /** Whether the load was observed for long enough to order servers by it. */
  isLoadKnown(now: number): boolean {
    return this.#observedFor(now) >= LOAD_KNOWN_MILLISECONDS;
  }

  /**
   * Whether servers may be given up. A server that is given up in error is missing for
   * as long as another one takes to start, so the load is observed for that time first.
   */
  mayGiveUp(startMilliseconds: number, now: number): boolean {
    return (
      this.#observedFor(now) >=
      Math.max(LOAD_KNOWN_MILLISECONDS, startMilliseconds)
    );
  }

  /** Adds the current load, and returns the servers that it needs. */
  update(
    inputs: DemandInputs,
    engine: EngineLimits,
    options: { readonly startMilliseconds: number; readonly now: number },
  ): ServerDemand {
    const { now, startMilliseconds } = options;
    this.#firstAt ??= now;
    const running = this.#meanRunning(finite(inputs.running), now);
    this.#peakRunning = peakOf(this.#peakRunning, running, now);
    this.#peakServers = peakOf(this.#peakServers, inputs.listedServers, now);
    const busy = this.#bounded(busyEnginesFor({ ...inputs, running }, engine));
    if (running >= 1) this.#prefillPerRunning = busy.prefill / running;
    const refused = this.#boundedRefusedSlots(inputs.refusedWork, engine);
    this.#recordShortage(refused, now);
    this.#samples = [
      ...this.#samples.filter(({ at }) => now - at <= startMilliseconds),
      { at: now, busy: largest(busy), refusedSlots: refused },
    ];
    const refusedSlots = this.#countedRefusedSlots(startMilliseconds);
    const withRefused = this.#withRefused(busy, refusedSlots, {
      engine,
      memoryTokens: inputs.memoryTokens,
    });
    // Samples before the load was known would show less than there was.
    const lasting = this.#samples
      .filter(({ at }) => at - (this.#firstAt ?? at) >= LOAD_KNOWN_MILLISECONDS)
      .reduce((lowest, sample) => Math.min(lowest, sample.busy), largest(busy));
    const lastingBusy = lasting + largest(withRefused) - largest(busy);
    const needed = serversForBusyEngines(largest(withRefused));
    return {
      needed,
      lastingNeeded: serversForBusyEngines(lastingBusy),
      bridge: serversToBridge(lastingBusy),
      need:
        needed <= MINIMUM_SERVERS
          ? "minimum"
          : serversForBusyEngines(largest(busy)) < needed
            ? "refused_work"
            : decidingNeed(busy),
      refusedSlots,
    };
  }

  #observedFor(now: number): number {
    return this.#firstAt === undefined ? 0 : now - this.#firstAt;
  }

  /**
   * Mean over the span: the peak would count requests that wait after a loss of servers
   * as load.
   */
  #meanRunning(running: number, now: number): number {
    this.#running = [
      ...this.#running.filter(({ at }) => now - at <= MEAN_SPAN_MILLISECONDS),
      { at: now, value: running },
    ];
    return (
      this.#running.reduce((sum, { value }) => sum + value, 0) /
      this.#running.length
    );
  }

  #bounded(busy: BusyEngines): BusyEngines {
    const servers = Math.max(MINIMUM_SERVERS, this.#peakServers.value);
    return {
      ...busy,
      prefill: Math.min(busy.prefill, servers * MAXIMUM_PREFILL_RATIO),
    };
  }

  #boundedRefusedSlots(refusedWork: number, engine: EngineLimits): number {
    const basis = Math.max(this.#peakRunning.value, engine.slots);
    return Math.min(finite(refusedWork) / 1_000, basis * MAXIMUM_REFUSED_RATIO);
  }

  #recordShortage(refusedSlots: number, now: number): void {
    if (refusedSlots > 0) {
      this.#refusedAt = now;
      this.#shortSince ??= now;
    } else if (now - this.#refusedAt > SHORTAGE_GAP_MILLISECONDS) {
      this.#shortSince = undefined;
    }
  }

  /**
   * Mean refused work since the shortage lasted for a server's start; before that,
   * servers would be there when a short one is over.
   */
  #countedRefusedSlots(startMilliseconds: number): number {
    const since = this.#shortSince;
    // The gap after the last refusal is no part of the shortage.
    if (since === undefined || this.#refusedAt - since < startMilliseconds) {
      return 0;
    }
    return (
      this.#samples.reduce((sum, sample) => sum + sample.refusedSlots, 0) /
      this.#samples.length
    );
  }

  /** Adds the engines that refused requests would fill, as those that run do. */
  #withRefused(
    busy: BusyEngines,
    refusedSlots: number,
    options: { readonly engine: EngineLimits; readonly memoryTokens: number },
  ): BusyEngines {
    const { engine, memoryTokens } = options;
    return {
      slots: busy.slots + refusedSlots / engine.slots,
      prefill: busy.prefill + refusedSlots * this.#prefillPerRunning,
      memory: busy.memory + refusedSlots * memoryShare(memoryTokens, engine),
    };
  }
}

function peakOf(peak: Value, value: number, now: number): Value {
  const isOver = now - peak.at > PEAK_RETENTION_MILLISECONDS;
  return isOver || value >= peak.value ? { value, at: now } : peak;
}

function largest({ slots, prefill, memory }: BusyEngines): number {
  return Math.max(slots, prefill, memory);
}

function decidingNeed(busy: BusyEngines): "slots" | "prefill" | "memory" {
  if (busy.prefill >= busy.slots && busy.prefill >= busy.memory) {
    return "prefill";
  }
  return busy.slots >= busy.memory ? "slots" : "memory";
}

/** Counts that are no usable number count as none. */
function finite(value: number): number {
  return Number.isFinite(value) && value > 0 ? value : 0;
}
