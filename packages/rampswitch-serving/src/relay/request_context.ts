// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * What all requests of one host share.
 *
 * @module
 */
import type { Clock, Logger, Random } from "rampswitch-utils";
import type { ResendBudget, FleetAdmission } from "../admission/mod.ts";
import type { BackendClient } from "../attempt/mod.ts";
import type {
  KnownPlaces,
  PrefixKnowledge,
  ServerDirectory,
  ServerRecord,
} from "../choice/mod.ts";
import type { RouteIndex } from "../intake/route_index.ts";
import type { EngineControl } from "../model/engine_control.ts";
import type { PromptPart, WireCodec } from "../model/request.ts";
import type { ServingMetrics } from "../observation/mod.ts";
import type { Quarantine } from "../quarantine/mod.ts";
import type { Rollouts } from "../rollout/mod.ts";
import type { ArrivalRates } from "./arrival_rates.ts";
import type { ServerTurns, TurnWaits } from "../server_limits/mod.ts";
import type { StatementReader } from "../statements/mod.ts";
import type { HoldTimes } from "./hold_times.ts";
import type { ReadingRates } from "./reading_rates.ts";

/** What a host knows of the configuration at one moment. */
export interface ConfigurationView {
  readonly routes: RouteIndex | undefined;
  /** Milliseconds since the store confirmed it; infinite before that. */
  readonly ageMilliseconds: number;
  /** Whether requests with a key may be served on it. */
  readonly keysTrusted: boolean;
}

/** A prompt that was sent to an engine. */
export interface Dispatch {
  readonly service: string;
  /** Parts that other requests may share. */
  readonly parts: readonly PromptPart[];
  /** Tokens that the engine is thought to have to read. */
  readonly unreadTokens: number;
}

/** Parts and views that the pipeline works with. */
export interface RequestContext {
  readonly dataHall: string;
  /** A steady clock; it never jumps. */
  readonly clock: Clock;
  readonly random: Random;
  readonly codec: WireCodec;
  readonly client: BackendClient;
  readonly engineControl: EngineControl;
  readonly directory: ServerDirectory;
  readonly prefixes: PrefixKnowledge;
  readonly readingRates: ReadingRates;
  readonly holdTimes: HoldTimes;
  readonly arrivalRates: ArrivalRates;
  readonly places: KnownPlaces;
  readonly admission: FleetAdmission;
  readonly budget: ResendBudget;
  readonly quarantine: Quarantine;
  readonly rollouts: Rollouts;
  readonly turns: ServerTurns;
  /** What callers were told who may come back after servers' rests. */
  readonly restWaits: TurnWaits;
  readonly statements: StatementReader;
  readonly metrics: ServingMetrics;
  readonly logger: Logger;
  configuration(): ConfigurationView;
  /** Hosts of the system that may be serving. */
  hosts(): number;
  /** The same, and no fewer than are listed; `undefined` before a list was read. */
  listedHosts(): number | undefined;
  /** Time that a leaving server serves on after its announcement, in ms. */
  drainMilliseconds(): number;
  /** Age of what this host knows of the others' work, in milliseconds. */
  newsLagMilliseconds(): number;
  /** Whether this host hears which prompts the others sent where. */
  hearsDispatches(): boolean;
  /** Whether this host still starts requests. */
  startsRequests(): boolean;
  /** Whether callers should go elsewhere with their next request. */
  endsConnections(): boolean;
  /** A request of a workspace began to run. */
  began(workspace: string): void;
  /** A server was sent a prompt with these parts. */
  dispatched(server: ServerRecord, dispatch: Dispatch): void;
}
