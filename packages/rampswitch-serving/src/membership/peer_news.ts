// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * What hosts tell each other several times a second: cumulative counts, so
 * that a lost or doubled message changes nothing.
 *
 * @module
 */
import type { ChangeBatch } from "rampswitch-store";
import type {
  AdmittedTotals,
  BucketLevels,
  LimitDecision,
} from "../admission/mod.ts";
import type { LeavingNews, ToldWork } from "../choice/mod.ts";
import type { QuarantineNews } from "../quarantine/mod.ts";
import type { RolloutNews } from "../rollout/rollout.ts";
import type {
  LimitNews,
  TurnNews,
  TurnReply,
  TurnRequest,
} from "../server_limits/mod.ts";
import type { CarriedTime } from "./fleet_time.ts";
import type { FollowedVersions } from "../configuration/configuration_follower.ts";

/** Requests that began in each reporting window, by workspace. */
export type WindowCounts = Readonly<
  Record<string, Readonly<Record<string, number>>>
>;

/** Work at backend servers, by server id. */
export type WorkByServer = Readonly<Record<string, ToldWork>>;

/** The lease of the duties as its holder last renewed it. */
export interface LeaseNews {
  readonly fence: number;
  /** Store version of the lease object. */
  readonly version: number;
}

/** A prompt sent to a server: its shared parts. */
export interface DispatchNews {
  readonly server: string;
  /** Start of the server's life; `undefined` where the sender tells none. */
  readonly born: number | undefined;
  readonly parts: readonly { readonly id: string; readonly tokens: number }[];
}

/** News of one host. */
export interface PeerNews extends TurnNews {
  readonly host: string;
  readonly dataHall: string;
  /** Processor share of the host, in cores. */
  readonly cores: number;
  /** Differs for each life of the host's process. */
  readonly incarnation: string;
  /** Rises with each message of a life. */
  readonly sequence: number;
  /** Where the host takes messages. */
  readonly address: string;
  /** Time of day at the sender, in milliseconds. */
  readonly wallTime: number;
  /** Time of day that the sender carries on by its steady clock. */
  readonly carriedTime: CarriedTime;
  readonly stopping: boolean;
  readonly configurationVersion: number;
  /** Milliseconds since the store confirmed that version to the sender. */
  readonly configurationAge: number | undefined;
  /** Newest changes in the store that the host has followed. */
  readonly followed: FollowedVersions;
  readonly admitted: AdmittedTotals;
  readonly levels: BucketLevels;
  readonly work: WorkByServer;
  readonly counts: WindowCounts;
  readonly dispatches: readonly DispatchNews[];
  /** Prompt tokens sent to each service to be read, since the start. */
  readonly readTokens: Readonly<Record<string, number>>;
  readonly lease: LeaseNews | undefined;
  /** Requests under which servers ended, as the host knows them. */
  readonly quarantine: readonly QuarantineNews[];
  /** Roll-outs that are going on, and the host's part in them. */
  readonly rollouts: readonly RolloutNews[];
  /** Backend servers that said in their answers that they leave. */
  readonly leaving: readonly LeavingNews[];
}

/** What a relay knows of all hosts but one, to tell that one. */
export interface FleetView {
  readonly configurationVersion: number;
  readonly configurationAge: number | undefined;
  readonly followed: FollowedVersions;
  /** Levels of the workspaces' limits over all hosts. */
  readonly levels: BucketLevels;
  /** Share of the limits that hosts which are not heard may be spending. */
  readonly silentShare: number;
  /** Work of all other hosts together. */
  readonly work: WorkByServer;
  readonly leases: readonly LeaseNews[];
  /** The newest changes of backend servers' entries in the store. */
  readonly servers: ChangeBatch | undefined;
  /** Requests under which servers ended, over all hosts. */
  readonly quarantine: readonly QuarantineNews[];
  /** Roll-outs that are going on. */
  readonly rollouts: readonly RolloutNews[];
  /** Limits that backend servers name. */
  readonly limits: readonly LimitNews[];
  /** Backend servers that said in their answers that they leave. */
  readonly leaving: readonly LeavingNews[];
}

/** A relay's message to one host of its data hall. */
export interface FleetDigest extends FleetView {
  readonly relay: string;
  /** Newest message of the receiver that the levels take in. */
  readonly acknowledged: number;
  /** Hosts that serve, as far as the relay knows. */
  readonly hosts: number;
  /** Names of the data hall's relays. */
  readonly relays: readonly string[];
  /** Names of the hosts that give turns at limited servers. */
  readonly turnHolders: readonly string[];
  /** Time of day on which the hosts agree, in milliseconds. */
  readonly wallTime: number;
  /** Samples of clocks behind that time. */
  readonly timeSamples: number;
}

/** News of one host, and how long ago the sender had it, in milliseconds. */
export interface AgedNews {
  readonly news: PeerNews;
  readonly age: number;
}

/** A host's question to a relay whether a request fits into a limit. */
export interface LimitQuestion {
  /** Told back in the answer; rises with each question of the host's life. */
  readonly id: number;
  /** Where the host takes the answer. */
  readonly address: string;
  readonly workspace: string;
  readonly tokens: number;
  /** Rank of the request's route; 0 is the most urgent. */
  readonly priority: number;
}

/** A relay's answer to a question. */
export interface LimitAnswer {
  readonly id: number;
  readonly decision: LimitDecision;
}

/** A host's question for a turn at a limited server. */
export interface TurnQuestion extends TurnRequest {
  readonly id: number;
  /** Where the host takes the answer. */
  readonly address: string;
}

/** The answer to a question for a turn. */
export interface TurnAnswer {
  readonly id: number;
  readonly reply: TurnReply;
}

/** A host's question to a relay for the newest configuration. */
export interface ConfigurationQuestion {
  /** Where the host takes the answer. */
  readonly address: string;
}

/** A datagram between hosts. */
export type PeerMessage =
  | {
      readonly kind: "news";
      readonly from: string;
      /** Whether the sender asks for digests. */
      readonly wantsDigest: boolean;
      readonly news: readonly AgedNews[];
    }
  | { readonly kind: "digest"; readonly digest: FleetDigest }
  | { readonly kind: "question"; readonly question: LimitQuestion }
  | { readonly kind: "answer"; readonly answer: LimitAnswer }
  | { readonly kind: "turn_question"; readonly question: TurnQuestion }
  | { readonly kind: "turn_answer"; readonly answer: TurnAnswer }
  | {
      readonly kind: "configuration_question";
      readonly question: ConfigurationQuestion;
    }
  | { readonly kind: "configuration"; readonly changes: ChangeBatch };
