// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Messages between hosts: gossip several times a second, and queries. Counts in
 * updates are cumulative, so that a lost or duplicated message changes nothing.
 *
 * @module
 */
import type { ChangeBatch } from "rampswitch-store";
import type {
  AdmittedTotals,
  BucketLevels,
  LimitDecision,
  LimitRequest,
} from "../admission/mod.ts";
import type { BrittleUpdate } from "../brittle/mod.ts";
import type {
  LeavingUpdate,
  ReportedWork,
  SlowdownUpdate,
} from "../choice/mod.ts";
import type { ArrivalReport } from "../demand/mod.ts";
import type { QuarantineUpdate } from "../quarantine/mod.ts";
import type { RolloutUpdate } from "../rollout/rollout.ts";
import type { LostServerUpdate } from "../reach/mod.ts";
import type { ReservationUpdate, RoomReport } from "../room/mod.ts";
import type {
  LimitUpdate,
  PermitUpdate,
  PermitReply,
  PermitRequest,
} from "../server_limits/mod.ts";
import type { HostReply, StreamKey, StreamRecord } from "../streams/mod.ts";
import type { TimeEstimate } from "./fleet_time.ts";
import type { FollowedVersions } from "../configuration/configuration_follower.ts";

/** Requests that started in each reporting window, by workspace. */
export type WindowCounts = Readonly<
  Record<string, Readonly<Record<string, number>>>
>;

/** Reported work at backend servers, by server id. */
export type WorkByServer = Readonly<Record<string, ReportedWork>>;

/** The duty lease as its holder last renewed it. */
export interface LeaseUpdate {
  readonly fence: number;
  /** Store version of the lease object. */
  readonly version: number;
}

/** A prompt that was sent to a server, given by its shared parts. */
export interface DispatchUpdate {
  readonly server: string;
  /** Start time of the server's incarnation; `undefined` if it was not reported. */
  readonly born: number | undefined;
  readonly parts: readonly { readonly id: string; readonly tokens: number }[];
}

/** Update of one host about itself. */
export interface PeerUpdate extends PermitUpdate {
  readonly host: string;
  readonly dataHall: string;
  /** Processor share of the host, in cores. */
  readonly cores: number;
  /** Identifies one run of the host's process. */
  readonly incarnation: string;
  /** Increases with each update of an incarnation. */
  readonly sequence: number;
  /** Address at which the host receives messages. */
  readonly address: string;
  /** Time of day at the sender, in milliseconds. */
  readonly wallTime: number;
  /** The sender's own estimate of fleet time, from its samples and monotonic clock. */
  readonly timeEstimate: TimeEstimate;
  readonly stopping: boolean;
  readonly configurationVersion: number;
  /** Milliseconds since the store confirmed that version to the sender. */
  readonly configurationAge: number | undefined;
  /** Versions of the newest store changes that the host has applied. */
  readonly followed: FollowedVersions;
  readonly admitted: AdmittedTotals;
  readonly levels: BucketLevels;
  readonly work: WorkByServer;
  readonly counts: WindowCounts;
  readonly dispatches: readonly DispatchUpdate[];
  /** Prompt tokens sent to each service since the host started. */
  readonly readTokens: Readonly<Record<string, number>>;
  readonly lease: LeaseUpdate | undefined;
  /** Requests during which servers ended, as known to the host. */
  readonly quarantine: readonly QuarantineUpdate[];
  /** Prompt parts under which servers ended, in the same form. */
  readonly promptParts: readonly QuarantineUpdate[];
  /** Roll-outs in progress, and the host's part in them. */
  readonly rollouts: readonly RolloutUpdate[];
  /** Backend servers that advertised in their answers that they leave. */
  readonly leaving: readonly LeavingUpdate[];
  /** Slowdowns of backend servers that the host learned from its own answers. */
  readonly slowdowns: readonly SlowdownUpdate[];
  /** Requests per second by service; `undefined` from hosts of an earlier version. */
  readonly arrivals: ArrivalReport | undefined;
  /** Demand by class; `undefined` while capacity is not short. */
  readonly room?: RoomReport | undefined;
  /** Refused callers who may return, and those who did. */
  readonly returns: readonly ReservationUpdate[];
  /** Backend servers that advertise that they are brittle. */
  readonly brittle: readonly BrittleUpdate[];
  /** Backend servers whose process the host found to have ended. */
  readonly lostServers: readonly LostServerUpdate[];
  /** Ids of the backend servers that the host does not reach. */
  readonly outOfReach: readonly string[];
}

/** State of all hosts, or of all but the receiver, which a relay sends. */
export interface FleetView {
  readonly configurationVersion: number;
  readonly configurationAge: number | undefined;
  readonly followed: FollowedVersions;
  /** Levels of the workspaces' limits across all hosts. */
  readonly levels: BucketLevels;
  /** Share of the limits that silent hosts may be consuming. */
  readonly silentShare: number;
  /** Total work of these hosts. */
  readonly work: WorkByServer;
  readonly leases: readonly LeaseUpdate[];
  /** The newest changes of backend servers' entries in the store. */
  readonly servers: ChangeBatch | undefined;
  /** Requests during which servers ended, as known to any host. */
  readonly quarantine: readonly QuarantineUpdate[];
  /** Prompt parts under which servers ended, in the same form. */
  readonly promptParts: readonly QuarantineUpdate[];
  /** Roll-outs in progress. */
  readonly rollouts: readonly RolloutUpdate[];
  /** Limits that backend servers advertise. */
  readonly limits: readonly LimitUpdate[];
  /** Backend servers that advertised in their answers that they leave. */
  readonly leaving: readonly LeavingUpdate[];
  /** Slowdowns of backend servers: the medians of what hosts learned. */
  readonly slowdowns: readonly SlowdownUpdate[];
  /** Requests per second by service; `undefined` from hosts of an earlier version. */
  readonly arrivals: ArrivalReport | undefined;
  /** Demand by class; `undefined` while capacity is not short. */
  readonly room?: RoomReport | undefined;
  /** Refused callers who may return, and those who did. */
  readonly returns: readonly ReservationUpdate[];
  /** Backend servers that advertise that they are brittle. */
  readonly brittle: readonly BrittleUpdate[];
  /** Backend servers whose process a host found to have ended. */
  readonly lostServers: readonly LostServerUpdate[];
  /** Names of the hosts that do not reach some backend server. */
  readonly hostsLackingReach: readonly string[];
}

/** Digest of the fleet, which a relay sends to the hosts of its data hall. */
export interface FleetDigest extends FleetView {
  readonly relay: string;
  /** Sequence number of the receiver's newest update that the levels include. */
  readonly acknowledged: number;
  /**
   * Sequence numbers of the receivers' newest updates, by host, in a digest that is
   * the same for all of them: its work and levels include these updates. `undefined`
   * in a digest for one host, whose work excludes that host.
   */
  readonly acknowledgedByHost: Readonly<Record<string, number>> | undefined;
  /** Number of serving hosts known to the relay. */
  readonly hosts: number;
  /** Names of the relays of the data hall. */
  readonly relays: readonly string[];
  /** Names of the hosts that grant permits for limited servers. */
  readonly permitHolders: readonly string[];
  /** Fleet time, in milliseconds. */
  readonly wallTime: number;
  /** Number of clock samples that support that time. */
  readonly timeSamples: number;
}

/** Update of one host, and its age at the sender, in milliseconds. */
export interface AgedUpdate {
  readonly update: PeerUpdate;
  readonly age: number;
}

/** Query of a host to a relay: does a request fit into a limit? */
export interface LimitQuery extends LimitRequest {
  /** Repeated in the answer; increases with each query of the host's incarnation. */
  readonly id: number;
  /** Address at which the host receives the answer. */
  readonly address: string;
}

/** Answer of a relay to a limit query. */
export interface LimitAnswer {
  readonly id: number;
  readonly decision: LimitDecision;
}

/** Query of a host for a permit at a limited server. */
export interface PermitQuery extends PermitRequest {
  readonly id: number;
  /** Address at which the host receives the answer. */
  readonly address: string;
}

/** Answer to a permit query. */
export interface PermitAnswer {
  readonly id: number;
  readonly reply: PermitReply;
}

/** Query of a host for the version that began a stream. */
export interface StreamQuery extends StreamKey {
  readonly id: number;
  /** Address at which the host receives the answer. */
  readonly address: string;
}

/** Answer to a query for the version of a stream. */
export interface StreamAnswer extends HostReply {
  readonly id: number;
}

/** Query of a host to a relay for the newest configuration. */
export interface ConfigurationQuery {
  /** Address at which the host receives the answer. */
  readonly address: string;
}

/** A datagram between hosts. */
export type PeerMessage =
  | {
      readonly kind: "updates";
      readonly from: string;
      /** Whether the sender requests digests. */
      readonly wantsDigest: boolean;
      /** Whether it reads digests that are the same for several hosts. */
      readonly readsSharedDigest: boolean;
      readonly updates: readonly AgedUpdate[];
    }
  | { readonly kind: "digest"; readonly digest: FleetDigest }
  | { readonly kind: "limit_query"; readonly query: LimitQuery }
  | { readonly kind: "limit_answer"; readonly answer: LimitAnswer }
  | { readonly kind: "permit_query"; readonly query: PermitQuery }
  | { readonly kind: "permit_answer"; readonly answer: PermitAnswer }
  | { readonly kind: "stream_begun"; readonly record: StreamRecord }
  | { readonly kind: "stream_query"; readonly query: StreamQuery }
  | { readonly kind: "stream_answer"; readonly answer: StreamAnswer }
  | {
      readonly kind: "configuration_query";
      readonly query: ConfigurationQuery;
    }
  | { readonly kind: "configuration"; readonly changes: ChangeBatch };
