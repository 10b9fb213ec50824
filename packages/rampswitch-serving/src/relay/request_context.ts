// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * The parts and settings that all requests of one host share.
 *
 * @module
 */
import type { Clock, Logger, Random } from "rampswitch-utils";
import type { ResendBudget, FleetAdmission } from "../admission/mod.ts";
import type {
  PrefixCacheEstimate,
  ServerDirectory,
  ServerRecord,
} from "../choice/mod.ts";
import type { ReadingRates, WorkEstimates } from "../estimates/mod.ts";
import type { BrittleServers } from "../brittle/mod.ts";
import type { ServerClient } from "../forwarding/mod.ts";
import type { RouteIndex } from "../intake/route_index.ts";
import type { EngineControl } from "../model/engine_control.ts";
import type { PromptPart, WireCodec } from "../model/request.ts";
import type { LoopDelay, ServingMetrics } from "../observation/mod.ts";
import type { CrashQuarantine } from "../quarantine/mod.ts";
import type { Rollouts } from "../rollout/mod.ts";
import type {
  ReturnTimes,
  RoomAdmission,
  WaitingRequests,
} from "../room/mod.ts";
import type { ServerPermits, PermitWaits } from "../server_limits/mod.ts";
import type { StreamOrigins } from "../streams/mod.ts";
import type { AdvertisementReader } from "../advertisements/mod.ts";
import type { IncarnationChecks } from "./incarnation_checks.ts";
import type { PromptSend } from "./prompt_load.ts";

/** A host's view of the configuration at one moment. */
export interface ConfigurationView {
  readonly routes: RouteIndex | undefined;
  /** Milliseconds since the store confirmed it; infinite before the first time. */
  readonly ageMilliseconds: number;
  /** Whether its keys may be used to serve requests. */
  readonly keysTrusted: boolean;
}

/** A prompt that was sent to an engine. */
export interface Dispatch extends PromptSend {
  readonly service: string;
  /** Prompt parts that other requests may share. */
  readonly parts: readonly PromptPart[];
}

/** What the request pipeline works with. */
export interface RequestContext {
  readonly dataHall: string;
  /** A monotonic clock; it never jumps. */
  readonly clock: Clock;
  readonly loopDelay: LoopDelay;
  readonly random: Random;
  readonly codec: WireCodec;
  readonly client: ServerClient;
  readonly engineControl: EngineControl;
  readonly directory: ServerDirectory;
  readonly prefixes: PrefixCacheEstimate;
  readonly workEstimates: WorkEstimates;
  /** Rates at which engines read prompts, by which servers are planned. */
  readonly readingRates: ReadingRates;
  readonly room: RoomAdmission;
  readonly admission: FleetAdmission;
  readonly budget: ResendBudget;
  readonly quarantine: CrashQuarantine;
  readonly rollouts: Rollouts;
  /** Versions that began the streams that callers may take up. */
  readonly streams: StreamOrigins;
  /** Which servers are still the incarnations that are listed. */
  readonly incarnations: IncarnationChecks;
  readonly permits: ServerPermits;
  readonly brittle: BrittleServers;
  /** Retry times given to callers that were refused during servers' back-offs. */
  readonly backOffWaits: PermitWaits;
  /** When callers that were refused for lack of capacity may return. */
  readonly returns: ReturnTimes;
  /** Requests that wait at this host for room. */
  readonly waiting: WaitingRequests;
  readonly advertisements: AdvertisementReader;
  readonly metrics: ServingMetrics;
  readonly logger: Logger;
  configuration(): ConfigurationView;
  /** This host's part of the requests for a service, 0 to 1. */
  ownPart(service: string): number;
  /** Number of hosts in the fleet that may be serving. */
  hosts(): number;
  /** The same, at least the listed ones; `undefined` before the list was read. */
  listedHosts(): number | undefined;
  /** Time that a leaving server keeps serving after its announcement, in milliseconds. */
  drainMilliseconds(): number;
  /** Age of this host's information on other hosts' work, in milliseconds. */
  gossipLagMilliseconds(): number;
  /** Whether other hosts report to this host which prompts they sent to which server. */
  receivesDispatches(): boolean;
  /** Whether this host still accepts new requests. */
  acceptsRequests(): boolean;
  /**
   * When this host ends what is in progress, on the monotonic clock; infinite unless it
   * stops.
   */
  endsAt(): number;
  /** Whether answers close the connection, so that callers go to another host. */
  closesConnections(): boolean;
  /** Called when a request of a workspace starts to run. */
  began(workspace: string): void;
  /** Called when a prompt was sent to a server. */
  dispatched(server: ServerRecord, dispatch: Dispatch): void;
}
