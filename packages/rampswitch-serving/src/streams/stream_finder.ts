// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Finds the version that began a stream: by this host's own record, by the replies of the
 * hosts that may keep the stream, and by what hosts that have ended had stored. A version
 * that no host knows is never guessed: one version alone counts only for a host that knows
 * which versions served before, from the store or since it was there.
 *
 * @module
 */
import { revisionOf } from "rampswitch-store";
import type { Logger } from "rampswitch-utils";
import type { ServerListState } from "../configuration/server_list_evidence.ts";
import type { StreamKey } from "./begun_streams.ts";
import {
  type ServedVersions,
  VERSION_RETENTION_MILLISECONDS,
} from "./served_versions.ts";
import type { StreamAnswers } from "./stream_answers.ts";
import { agreedVersion, judgeReplies } from "./stream_evidence.ts";
import {
  LOST_ORIGIN,
  type StreamOrigin,
  UNKNOWN_ORIGIN,
} from "./stream_origin.ts";
import { SERVED_ELSEWHERE, type StreamRecords } from "./stream_records.ts";
import type { StreamReplies, StreamReply } from "./stream_reply.ts";
import { isCertainlyUntold } from "./untold_streams.ts";

/** What may be asked beside this host's own knowledge. */
export interface StreamSources {
  /** How new this host's list of servers is. */
  serverList(): ServerListState;
  /** Asks the store; resolves to whether the list has all changes up to this call. */
  confirmList(): Promise<boolean>;
  /** Whether most hosts tell that the store is away for a while: no list changes. */
  isStoreAway(): boolean;
  /** Whether this host knows all hosts that may keep a stream. */
  areHostsListed(): boolean;
  /** Queries the hosts that may keep it; ends early once one of them names it. */
  query(key: StreamKey): Promise<StreamReplies>;
  /**
   * Reads what hosts have stored, unless it was read a moment ago; resolves to whether
   * all that is stored now is known.
   */
  readStored(): Promise<boolean>;
}

/** What finding the version depends on. */
export interface StreamFinderParts {
  readonly logger: Logger;
  readonly records: StreamRecords;
  readonly versions: ServedVersions;
  /** What this host knows itself. */
  readonly answers: StreamAnswers;
  readonly sources: StreamSources;
  /** Notes that a service has a version that others named. */
  learn(service: string, version: string): void;
}

/** Finds the versions that began streams. */
export class StreamFinder {
  readonly #parts: StreamFinderParts;

  constructor(parts: StreamFinderParts) {
    this.#parts = parts;
  }

  /** Finds the version that began a stream. */
  async find(key: StreamKey): Promise<StreamOrigin> {
    const { records, versions, answers, sources } = this.#parts;
    if (records.isUncertain(key)) {
      return records.mayBeListed(key) ? UNKNOWN_ORIGIN : LOST_ORIGIN;
    }
    const own = answers.replyTo(key);
    // A host with a newer list may know that the version is uncertain.
    if (own.kind === "known" && !versions.isListBehind) {
      return records.originOf(key, own.version);
    }
    const asked = await this.#query(key);
    this.#logEvidence(key, own, asked);
    const isKept = asked.replies.some(({ kind }) => KEPT_KINDS.has(kind));
    if (own.kind === "known" && !isKept) return this.#originHere(key);
    const origin = isKept
      ? await this.#originKept(key, asked)
      : await this.#originFrom(key, asked, BEFORE_STORE);
    if (origin.kind === "known") {
      this.#parts.learn(key.service, origin.version);
    }
    if (isKept || origin.kind !== "unknown") return origin;
    const hasRead = await sources.readStored();
    if (records.has(key)) return this.#originHere(key);
    const later = await this.#originFrom(key, asked, {
      hasReadStored: hasRead,
      // A store that can't be read confirms nothing either.
      mayConfirm: hasRead,
    });
    const isEveryoneAsked = asked.isComplete && sources.areHostsListed();
    const isLost = later.kind === "unknown" && hasRead && isEveryoneAsked;
    return isLost ? LOST_ORIGIN : later;
  }

  /**
   * The version by this host's record, where no host that replied has one. A list that is
   * behind may lack that the stream's server has another version now.
   */
  async #originHere(key: StreamKey): Promise<StreamOrigin> {
    const { records, versions, answers, sources } = this.#parts;
    const isCurrent = !versions.isListBehind || (await sources.confirmList());
    if (records.isUncertain(key)) return LOST_ORIGIN;
    const own = answers.replyTo(key);
    return isCurrent && own.kind === "known"
      ? records.originOf(key, own.version)
      : UNKNOWN_ORIGIN;
  }

  /** The version that hosts which replied name; their lists may be as old as this one's. */
  async #originKept(
    key: StreamKey,
    asked: StreamReplies,
  ): Promise<StreamOrigin> {
    const named = await this.#originFrom(key, asked, BEFORE_STORE);
    if (named.kind !== "known") return named;
    // It serves elsewhere, whether this host can go by it or not.
    this.#parts.learn(key.service, named.version);
    this.#keepFound(key, asked);
    const isCurrent = await this.#isListNewEnough(key);
    const origin = await this.#originFrom(key, asked, BEFORE_STORE);
    return isCurrent || origin.kind !== "known" ? origin : UNKNOWN_ORIGIN;
  }

  /**
   * Whether this host's list shows all that may make a known stream's version uncertain.
   * While the store answers nobody no list changes.
   */
  async #isListNewEnough(key: StreamKey): Promise<boolean> {
    const { records, versions, sources } = this.#parts;
    const mayBecomeUncertain =
      versions.isListBehind &&
      records.mayBecomeUncertain(key, versions.listCurrentAt);
    if (!mayBecomeUncertain) return true;
    return (await sources.confirmList()) || sources.isStoreAway();
  }

  /** Keeps the records in replies: a server may yet be listed as another version. */
  #keepFound(key: StreamKey, { replies }: StreamReplies): void {
    const { records } = this.#parts;
    if (records.has(key)) return;
    replies
      .filter((reply) => reply.kind === "known")
      // Without a server no listing changes what is known.
      .filter(({ serverId }) => serverId !== undefined)
      .forEach(({ version, serverId, ageMilliseconds = 0 }) =>
        records.add(
          {
            ...key,
            version,
            serverId,
            lifetimeMilliseconds: VERSION_RETENTION_MILLISECONDS,
            ageMilliseconds,
          },
          SERVED_ELSEWHERE,
        ),
      );
  }

  /** Queries other hosts; their lists may be older than this host's. */
  async #query(key: StreamKey): Promise<StreamReplies> {
    const { records, sources } = this.#parts;
    const asked = await sources.query(key);
    const replies = asked.replies.map((reply) =>
      reply.kind === "known" ? records.judge(reply) : reply,
    );
    return { ...asked, replies };
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
    const { versions, answers, sources } = this.#parts;
    const verdict = judgeReplies(answers.replyTo(key), asked, {
      hasReadStored,
    });
    if (verdict.kind !== "unconfirmed") return verdict;
    if (!versions.isPastKnown) return UNKNOWN_ORIGIN;
    const isConfirmed = mayConfirm && (await sources.confirmList());
    const isCurrent =
      isConfirmed || this.#isUntold(asked) || sources.isStoreAway();
    const own = answers.replyTo(key);
    const version = agreedVersion(own, asked.replies);
    return isCurrent && own.kind === "single" && version !== undefined
      ? { kind: "known", version, source: "single" }
      : UNKNOWN_ORIGIN;
  }

  /** Whether hosts that replied would know a stream that began at an unlisted version. */
  #isUntold({ keepers }: StreamReplies): boolean {
    return isCertainlyUntold(this.#parts.answers.state, keepers);
  }

  /** Logs what this host and others know of a stream, and since when this one runs. */
  #logEvidence(
    { service, attempt }: StreamKey,
    own: StreamReply,
    asked: StreamReplies,
  ): void {
    const { logger, versions, answers, sources } = this.#parts;
    const list = sources.serverList();
    logger.info("version of a stream queried", {
      service,
      resumes: attempt,
      own: own.kind,
      listRevision: revisionOf(list.version),
      heardRevision: revisionOf(list.newestHeard),
      isPastKnown: versions.isPastKnown,
      replies: asked.replies.map(({ kind }) => kind).join(","),
      isComplete: asked.isComplete,
      isMajority: asked.isMajority,
      isUntold: this.#isUntold(asked),
      versions: versions.of(service).join(","),
      runningMilliseconds: Math.round(answers.state.runningMilliseconds),
    });
  }
}

/** How replies are judged before what is stored is read again. */
const BEFORE_STORE = { hasReadStored: false, mayConfirm: true };

/** Replies of hosts that keep the stream. */
const KEPT_KINDS: ReadonlySet<StreamReply["kind"]> = new Set([
  "known",
  "uncertain",
]);
