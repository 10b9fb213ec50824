// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Finds the version that began a stream. A host that serves a stream of a service with
 * several versions sends the version to a few other hosts before the caller gets the
 * first event. A host that is asked for the rest of a stream knows it from its own
 * table, queries these hosts, or reads what hosts that have ended had stored. A version
 * that nobody knows is never guessed: one version alone counts only for a host that
 * knows which versions served before, from the store or since it was there.
 *
 * @module
 */
import { revisionOf } from "rampswitch-store";
import type { Clock, Logger } from "rampswitch-utils";
import type { ServerListState } from "../configuration/server_list_evidence.ts";
import { serverOfIncarnation } from "../model/backend_server.ts";
import {
  type BegunStream,
  BegunStreams,
  combinedStream,
  type StreamKey,
} from "./begun_streams.ts";
import { KnownPast } from "./known_past.ts";
import { NamedVersions } from "./named_versions.ts";
import { agreedVersion, judgeReplies } from "./stream_evidence.ts";
import type {
  HostReply,
  KnownReply,
  StreamRecord,
  StreamReplies,
  StreamReply,
} from "./stream_reply.ts";
import { isCertainlyUntold, type KeeperState } from "./untold_streams.ts";
import {
  type ServiceVersionName,
  type ServiceVersions,
  type VersionedServer,
  VersionHistory,
} from "./version_history.ts";

/** What finding the version depends on. */
export interface StreamOriginsParts {
  /** A monotonic clock. */
  readonly clock: Clock;
  readonly logger: Logger;
  /** How new this host's list of servers is. */
  serverList(): ServerListState;
  /** Asks the store; resolves to whether the list has all changes up to this call. */
  confirmList(): Promise<boolean>;
  /** Whether most hosts tell that the store is away for a while: no list changes. */
  isStoreAway(): boolean;
  /** Whether this host knows all hosts that may keep a stream. */
  areHostsListed(): boolean;
  /** Sends the version of a stream to the hosts that keep it. */
  tell(record: StreamRecord): void;
  /** Queries the hosts that may keep it; ends early once one of them names it. */
  query(key: StreamKey): Promise<StreamReplies>;
  /**
   * Reads what hosts have stored, unless it was read a moment ago; resolves to whether
   * all that is stored now is known.
   */
  readStored(): Promise<boolean>;
}

/**
 * How the version of a stream was found: this host served the stream, another one told
 * of it, hosts replied to a query, the service has one version alone, or a host that may
 * have ended had stored it.
 */
export type StreamOriginSource =
  "table" | "told" | "queried" | "single" | "stored";

/** The version that began a stream, if it is known. */
export type StreamOrigin =
  | {
      readonly kind: "known";
      readonly version: string;
      readonly source: StreamOriginSource;
      /** Id of the server that began it, if a record names one. */
      readonly serverId?: string | undefined;
    }
  /** Somebody may know it later. */
  | { readonly kind: "unknown" }
  /** Neither the store nor any host knows it. */
  | { readonly kind: "lost" };

/**
 * Time for which a version counts after its last server was removed, in milliseconds;
 * longer than any stream lasts.
 */
const VERSION_RETENTION_MILLISECONDS = 60_000;

/**
 * Time for which a server may run as another version before its new incarnation is
 * listed by hosts whose lists are current, in milliseconds.
 */
const LISTING_LAG_MILLISECONDS = 2_000;

/** Time beyond its deadline for which a stream is kept, in milliseconds. */
const LIFETIME_MARGIN_MILLISECONDS = 1_000;

/** Maximum number of streams of this host and of those that it keeps for others. */
const MAXIMUM_STREAMS = 20_000;

/** Maximum number of streams that other hosts had stored. */
const MAXIMUM_RESTORED_STREAMS = 60_000;

/** Maximum number of streams that one host has stored; the newest are. */
const MAXIMUM_STORED_STREAMS = 4_000;

/** The versions that began streams, as one host knows or finds them. */
export class StreamOrigins {
  readonly #parts: StreamOriginsParts;
  readonly #streams = new BegunStreams(MAXIMUM_STREAMS);
  /** Streams that other hosts had stored. */
  readonly #restored = new BegunStreams(MAXIMUM_RESTORED_STREAMS);
  readonly #history = new VersionHistory(VERSION_RETENTION_MILLISECONDS);
  /** The versions that the stored object names. */
  readonly names: NamedVersions;
  readonly #past: KnownPast;
  readonly #startedAt: number;

  constructor(parts: StreamOriginsParts) {
    this.#parts = parts;
    this.names = new NamedVersions(this.#history, parts.clock);
    this.#past = new KnownPast(parts.clock, VERSION_RETENTION_MILLISECONDS);
    this.#startedAt = parts.clock.now();
  }

  /** Notes a listed server. The streams that run when a second version appears are told. */
  listed(server: VersionedServer): void {
    this.#past.listed();
    this.#tellOnceMixed(server.service, (now) =>
      this.#history.listed(server, { now, changedAfter: this.#listCurrentAt }),
    );
    this.names.listed(server);
  }

  /** The versions of each service that a stream in progress may have begun at. */
  get versions(): ServiceVersions {
    return this.#history.all(this.#parts.clock.now());
  }

  /** Whether this host knows all versions that served since the oldest stream began. */
  get isPastKnown(): boolean {
    return this.#past.isKnown;
  }

  /** Whether another host has received changes of servers that this one lacks. */
  get isListBehind(): boolean {
    const { version, newestHeard } = this.#parts.serverList();
    return newestHeard > version;
  }

  /** Whether the servers were listed so long after the store was read that it is due again. */
  get hasListedLate(): boolean {
    return this.#past.hasListedLate;
  }

  /** Notes that servers may have been listed and removed without this host's knowledge. */
  missedChanges(): void {
    this.#past.missedChanges();
  }

  /** Notes versions that the store tells of; `isComplete`: there were no others. */
  restoreVersions(
    versions: ServiceVersions,
    { isComplete }: { readonly isComplete: boolean },
  ): void {
    versions.forEach((names, service) =>
      this.#tellOnceMixed(service, (now) =>
        this.#history.served(service, names, now),
      ),
    );
    if (isComplete) this.#past.wasRead();
  }

  /**
   * Notes that a server's later incarnation has another version. It can't be told which
   * of the two gave the events that came shortly before it was listed.
   */
  becameOtherVersion(server: string): void {
    const now = this.#parts.clock.now();
    this.#streams
      .begunAt(server, this.#listCurrentAt - LISTING_LAG_MILLISECONDS)
      .forEach((stream) => this.#markUncertain(stream, now));
  }

  /** Notes that it can't be told which version began a stream that broke. */
  becameUncertain(key: StreamKey): void {
    const now = this.#parts.clock.now();
    const stream = this.#streams.get(key, now);
    if (stream !== undefined) this.#markUncertain(stream, now);
  }

  /** Services whose streams may have begun at one of several versions. */
  get mixedServices(): ReadonlySet<string> {
    return new Set(
      [...this.versions]
        .filter(([, versions]) => versions.length > 1)
        .map(([service]) => service),
    );
  }

  /** The streams whose versions have to outlive this host. */
  get storable(): readonly StreamRecord[] {
    const now = this.#parts.clock.now();
    const mixed = this.mixedServices;
    if (mixed.size === 0) return [];
    return this.#streams
      .servedHere(now)
      .filter(({ service }) => mixed.has(service))
      .slice(-MAXIMUM_STORED_STREAMS)
      .map((stream) => recordOf(stream, now));
  }

  /** Notes streams that a host stored; `isOwn`: a former process of this host did. */
  restoreStreams(
    records: readonly StreamRecord[],
    { isOwn }: { readonly isOwn: boolean },
  ): void {
    const now = this.#parts.clock.now();
    const table = isOwn ? this.#streams : this.#restored;
    records
      // What this host knows itself is newer, unless it is of another version.
      .filter((record) => {
        const known = this.#streams.get(record, now);
        return known === undefined || known.version !== record.version;
      })
      .forEach((record) =>
        this.#add(record, { server: undefined, isServedHere: isOwn }, table),
      );
    // Their versions may have been stored by nobody else.
    versionsByService(records).forEach((names, service) => {
      names.forEach((version) => this.#learn({ service, version }));
    });
  }

  /** Whether it is known of a stream that it can't be told which version began it. */
  isUncertain(key: StreamKey): boolean {
    const stream = this.#get(key);
    return stream !== undefined && stream.version === undefined;
  }

  /** Whether a stream of a service may have begun at one of several versions. */
  isMixed(service: string): boolean {
    const now = this.#parts.clock.now();
    return this.#history.versionsOf(service, now).length > 1;
  }

  /** Notes that a server is listed no more. */
  removed(id: string): void {
    this.#history.removed(id, this.#parts.clock.now());
  }

  /** Notes that the caller is about to get the first event of a stream. */
  began(record: StreamRecord, server: string): void {
    const begun = { ...record, serverId: serverOfIncarnation(server) };
    this.#add(begun, { server, isServedHere: true });
    // Another version may be known to hosts with a newer list, or have gone unseen.
    const isTold =
      this.isMixed(record.service) || this.isListBehind || !this.isPastKnown;
    if (isTold) this.#parts.tell(begun);
  }

  /** Notes that a stream was given whole. */
  completed(key: StreamKey): void {
    this.#streams.completed(key);
  }

  /** Keeps the version of a stream that another host serves. */
  receive(record: StreamRecord): void {
    this.#add(record, { server: undefined, isServedHere: false });
    this.#learn(record);
  }

  /** Answers another host's query. */
  answerTo(key: StreamKey): HostReply {
    return { reply: this.replyTo(key), state: this.#state };
  }

  /** What this host knows of a stream. */
  replyTo(key: StreamKey): StreamReply {
    const now = this.#parts.clock.now();
    const stream = this.#get(key);
    if (stream !== undefined) {
      return stream.version === undefined
        ? { kind: "uncertain" }
        : this.#knownReply(stream, stream.version);
    }
    const [version, ...others] = this.#history.versionsOf(key.service, now);
    if (version === undefined) return { kind: "none" };
    if (others.length > 0) return { kind: "unknown" };
    if (!this.#past.wasThere || this.isListBehind) {
      return { kind: "single_recently", version };
    }
    const kind = this.#past.hasGap ? "single_since_gap" : "single";
    return { kind, version };
  }

  /** Finds the version that began a stream. */
  async find(key: StreamKey): Promise<StreamOrigin> {
    if (this.isUncertain(key)) return LOST;
    const own = this.replyTo(key);
    // A host with a newer list may know that the version can't be told.
    if (own.kind === "known" && !this.isListBehind) {
      return this.#originOf(key, own.version);
    }
    const asked = await this.#query(key);
    this.#logEvidence(key, own, asked);
    const isKept = asked.replies.some(({ kind }) => KEPT_KINDS.has(kind));
    if (own.kind === "known" && !isKept) return this.#originHere(key);
    const origin = await this.#originFrom(key, asked, {
      hasReadStored: false,
      mayConfirm: true,
    });
    if (origin.kind === "known") {
      this.#learn({ ...key, version: origin.version });
      this.#keepFound(key, asked);
    }
    if (origin.kind !== "unknown") return origin;
    const hasRead = await this.#parts.readStored();
    if (this.#get(key) !== undefined) return this.#originHere(key);
    const later = await this.#originFrom(key, asked, {
      hasReadStored: hasRead,
      // A store that can't be read confirms nothing either.
      mayConfirm: hasRead,
    });
    const isEveryoneAsked = asked.isComplete && this.#parts.areHostsListed();
    const isLost = later.kind === "unknown" && hasRead && isEveryoneAsked;
    return isLost ? LOST : later;
  }

  /**
   * The version by this host's record of a stream that nobody who replied keeps. A list
   * that is behind may lack that the stream's server has another version now.
   */
  async #originHere(key: StreamKey): Promise<StreamOrigin> {
    const isCurrent = !this.isListBehind || (await this.#parts.confirmList());
    if (this.isUncertain(key)) return LOST;
    const own = this.replyTo(key);
    return isCurrent && own.kind === "known"
      ? this.#originOf(key, own.version)
      : UNKNOWN;
  }

  /** Keeps what replies name: their server may be listed as another version yet. */
  #keepFound(key: StreamKey, { replies }: StreamReplies): void {
    if (this.#get(key) !== undefined) return;
    replies
      .filter((reply) => reply.kind === "known")
      // Without a server no listing changes what is known.
      .filter(({ serverId }) => serverId !== undefined)
      .forEach(({ version, serverId, ageMilliseconds = 0 }) =>
        this.#add(
          {
            ...key,
            version,
            serverId,
            lifetimeMilliseconds: VERSION_RETENTION_MILLISECONDS,
            ageMilliseconds,
          },
          { server: undefined, isServedHere: false },
        ),
      );
  }

  /** Queries other hosts; their lists may be older than this host's. */
  async #query(key: StreamKey): Promise<StreamReplies> {
    const asked = await this.#parts.query(key);
    const replies = asked.replies.map((reply) =>
      reply.kind === "known" ? this.#judgedHere(reply) : reply,
    );
    return { ...asked, replies };
  }

  /** What another host's reply is worth, by the versions of servers that this host lists. */
  #judgedHere(reply: KnownReply): StreamReply {
    const { serverId, version, ageMilliseconds = 0 } = reply;
    const addedAt = this.#parts.clock.now() - ageMilliseconds;
    return this.#mayBeOfOtherVersion({ serverId, version, addedAt })
      ? { kind: "uncertain" }
      : reply;
  }

  /** A reply that names a version, and what hosts with newer lists need to judge it. */
  #knownReply({ serverId, addedAt }: BegunStream, version: string): KnownReply {
    const isJudged =
      serverId === undefined || this.#history.isOtherVersion(serverId, version);
    if (isJudged) return { kind: "known", version };
    const ageMilliseconds = this.#parts.clock.now() - addedAt;
    return { kind: "known", version, serverId, ageMilliseconds };
  }

  /** Decides from what this host knows now and what others replied. */
  async #originFrom(
    key: StreamKey,
    asked: StreamReplies,
    {
      hasReadStored,
      mayConfirm,
    }: { readonly hasReadStored: boolean; readonly mayConfirm: boolean },
  ): Promise<StreamOrigin> {
    const verdict = judgeReplies(this.replyTo(key), asked, { hasReadStored });
    if (verdict.kind !== "unconfirmed") return verdict;
    if (!this.isPastKnown) return UNKNOWN;
    const isConfirmed = mayConfirm && (await this.#parts.confirmList());
    const isCurrent =
      isConfirmed || this.#isUntold(asked) || this.#parts.isStoreAway();
    const own = this.replyTo(key);
    const version = agreedVersion(own, asked.replies);
    return isCurrent && own.kind === "single" && version !== undefined
      ? { kind: "known", version, source: "single" }
      : UNKNOWN;
  }

  /** Whether hosts that replied would know a stream that began at an unlisted version. */
  #isUntold({ keepers }: StreamReplies): boolean {
    return isCertainlyUntold(this.#state, keepers);
  }

  /** What this host tells of itself. */
  get #state(): KeeperState {
    const now = this.#parts.clock.now();
    return {
      runningMilliseconds: now - this.#startedAt,
      listAgeMilliseconds: now - this.#parts.serverList().confirmedAt,
    };
  }

  /** Since when a change that is listed now may have been made. */
  get #listCurrentAt(): number {
    return Math.min(
      this.#parts.clock.now(),
      this.#parts.serverList().currentAt,
    );
  }

  /**
   * Time since the last server of a version was listed, in milliseconds; 0 while another
   * host has a newer list, which may have one.
   */
  goneMilliseconds(version: ServiceVersionName): number {
    if (this.isListBehind) return 0;
    return this.#history.goneMilliseconds(version, this.#parts.clock.now());
  }

  /** Notes a version that serves at other hosts, also if it is not listed here yet. */
  #learn({
    service,
    version,
  }: Pick<StreamRecord, "service" | "version">): void {
    if (version === undefined) return;
    this.#tellOnceMixed(service, (now) =>
      this.#history.served(service, [version], now),
    );
  }

  /** The version of a stream that this host knows, and where its record comes from. */
  #originOf(key: StreamKey, version: string): StreamOrigin {
    const stream = this.#streams.get(key, this.#parts.clock.now());
    const serverId = this.#get(key)?.serverId;
    const source = stream === undefined ? "stored" : sourceOf(stream);
    return { kind: "known", version, source, serverId };
  }

  #get(key: StreamKey): BegunStream | undefined {
    const now = this.#parts.clock.now();
    const stream = combinedStream(
      this.#restored.get(key, now),
      this.#streams.get(key, now),
    );
    return stream !== undefined && this.#mayBeOfOtherVersion(stream)
      ? { ...stream, version: undefined }
      : stream;
  }

  /**
   * Whether the server that began a stream is or was listed with another version, and may
   * have had it then. The host that served the stream may have ended before the listing.
   */
  #mayBeOfOtherVersion({
    serverId,
    version,
    addedAt,
  }: Pick<BegunStream, "serverId" | "version" | "addedAt">): boolean {
    if (serverId === undefined || version === undefined) return false;
    const named = { id: serverId, version };
    const lag = LISTING_LAG_MILLISECONDS;
    return this.#history.mayHaveHadOther(named, addedAt, lag);
  }

  #markUncertain(begun: BegunStream, now: number): void {
    const stream = { ...begun, version: undefined };
    this.#streams.add(stream, now);
    this.#parts.tell(recordOf(stream, now));
  }

  /** Applies a change of the versions; running streams are told if several result. */
  #tellOnceMixed(service: string, change: (now: number) => void): void {
    const now = this.#parts.clock.now();
    const before = this.#history.versionsOf(service, now).length;
    change(now);
    const becameMixed = before === 1 && this.isMixed(service);
    if (!becameMixed) return;
    this.#streams
      .servedHere(now)
      .filter((stream) => stream.service === service)
      .forEach((stream) => this.#parts.tell(recordOf(stream, now)));
  }

  /** Logs what this host and others know of a stream, and since when this one runs. */
  #logEvidence(
    { service, attempt }: StreamKey,
    own: StreamReply,
    asked: StreamReplies,
  ): void {
    const now = this.#parts.clock.now();
    const list = this.#parts.serverList();
    this.#parts.logger.info("version of a stream queried", {
      service,
      resumes: attempt,
      own: own.kind,
      listRevision: revisionOf(list.version),
      heardRevision: revisionOf(list.newestHeard),
      isPastKnown: this.isPastKnown,
      replies: asked.replies.map(({ kind }) => kind).join(","),
      isComplete: asked.isComplete,
      isMajority: asked.isMajority,
      isUntold: this.#isUntold(asked),
      versions: this.#history.versionsOf(service, now).join(","),
      runningMilliseconds: Math.round(now - this.#startedAt),
    });
  }

  #add(
    {
      lifetimeMilliseconds,
      ageMilliseconds = 0,
      serverId,
      ...stream
    }: StreamRecord,
    source: Pick<BegunStream, "server" | "isServedHere">,
    table = this.#streams,
  ): void {
    const now = this.#parts.clock.now();
    const addedAt = now - ageMilliseconds;
    const expiresAt = now + lifetimeMilliseconds + LIFETIME_MARGIN_MILLISECONDS;
    table.add({ ...stream, ...source, serverId, addedAt, expiresAt }, now);
  }
}

/** Where a record in the table of this host's streams comes from. */
function sourceOf({ server, isServedHere }: BegunStream): StreamOriginSource {
  if (server !== undefined) return "table";
  // One that a former process of this host served was stored by that process.
  return isServedHere ? "stored" : "told";
}

/** Replies of hosts that keep the stream. */
const KEPT_KINDS: ReadonlySet<StreamReply["kind"]> = new Set([
  "known",
  "uncertain",
]);

/** Nobody will ever know the version. */
const LOST: StreamOrigin = { kind: "lost" };

/** Somebody may know the version later. */
const UNKNOWN: StreamOrigin = { kind: "unknown" };

/** The versions that began streams, by service. */
function versionsByService(
  records: readonly StreamRecord[],
): ReadonlyMap<string, ReadonlySet<string | undefined>> {
  const services = new Map<string, Set<string | undefined>>();
  records.forEach(({ service, version }) => {
    const names = services.get(service) ?? new Set();
    services.set(service, names.add(version));
  });
  return services;
}

/** What other hosts need to know of a stream. */
function recordOf(
  { service, attempt, version, serverId, addedAt, expiresAt }: BegunStream,
  now: number,
): StreamRecord {
  const lifetimeMilliseconds = Math.max(0, expiresAt - now);
  const ageMilliseconds = now - addedAt;
  const times = { ageMilliseconds, lifetimeMilliseconds };
  return { service, attempt, version, serverId, ...times };
}
