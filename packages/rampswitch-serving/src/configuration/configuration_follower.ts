// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Follows the configuration and the list of backend servers in the platform's
 * store, and knows how long ago the store confirmed the configuration.
 *
 * @module
 */
import { Result } from "true-myth";
import type { Clock, Logger, Random } from "rampswitch-utils";
import {
  type ChangeBatch,
  type EraList,
  eraOf,
  type ObjectOrigin,
  type ObjectStore,
  revisionOf,
  type StoredObject,
  storeBackoff,
  type StoreEvent,
  Watcher,
  type WatchListener,
} from "rampswitch-store";
import { RouteIndex } from "../intake/route_index.ts";
import { LapsedServers } from "./lapsed_servers.ts";
import { RevivedServers } from "./revived_servers.ts";
import { UnreadableServers } from "./unreadable_servers.ts";
import type { BackendServer } from "../model/backend_server.ts";
import type { ServingConfiguration } from "../model/configuration.ts";
import type { ServingMetrics } from "../observation/mod.ts";

/** Decodes what the store holds. */
export interface StoredFormats {
  /** Prefix of the configuration's key. */
  readonly configurationPrefix: string;
  /** Prefix of the keys of backend servers. */
  readonly serversPrefix: string;
  decodeConfiguration(value: string): Result<ServingConfiguration, string>;
  decodeServer(id: string, value: string): Result<BackendServer, string>;
}

/** How far a host has followed the store: versions of the newest changes. */
export interface FollowedVersions {
  readonly configuration: number;
  readonly servers: number;
}

/** What the follower tells its owner. */
export interface FollowerListener {
  configured(routes: RouteIndex): void;
  /** Takes in an entry; an error says why it can't be read after all. */
  serverChanged(server: BackendServer): Result<unknown, string>;
  /** An entry can't be read, and names no server to use until it is good. */
  serverUnreadable(id: string): void;
  serverGone(id: string): void;
  /** Whether an entry is of a life whose entry has gone. */
  isGone(server: BackendServer): boolean;
}

/** Parts that the follower works with. */
export interface FollowerParts {
  readonly store: ObjectStore;
  readonly formats: StoredFormats;
  /** A clock by which no confirmation is too young, also after a suspension. */
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  readonly metrics: ServingMetrics;
  /** Whether other hosts hear of the store by this one. */
  isRelay(): boolean;
  /**
   * Whether this host hears of the others by relays alone, and no request has
   * come to it since it started.
   */
  isIdleMember(): boolean;
}

/**
 * First and longest wait after a failed call, in milliseconds: the
 * configuration has to be in force within two seconds of the store's return.
 */
const FIRST_RETRY_MILLISECONDS = 60;
const LONGEST_RETRY_MILLISECONDS = 700;

/**
 * Longest time that news of a peer may take, in milliseconds; links on which
 * messages wait longer count as out of order on the known platforms.
 */
const PEER_DELAY_MILLISECONDS = 500;

/**
 * Without a confirmation of its own for this long, a host has lost its way to
 * the store; in milliseconds, two waits of a watch and a repeat.
 */
const OWN_WAY_LOST_MILLISECONDS = 3_000;

/** Peers' confirmations younger than this show that the store is up, in ms. */
const OTHERS_FRESH_MILLISECONDS = 2_000;

/**
 * Longest wait of a watch, in seconds. Each return confirms the configuration
 * as of its sending, so the confirmation is never older than twice this; and a
 * watch that was cut in silence is noticed within the two seconds in which a
 * change has to be in force.
 */
const WATCH_SECONDS = 1.2;

/**
 * The same for relays, in seconds. Others hear of leaving servers by them, so a
 * relay has to notice a way that was cut in silence, and to say so, well within
 * the two seconds in which leaving servers have to be left alone.
 */
const RELAY_WATCH_SECONDS = 0.8;

/**
 * Longest wait of the watch of servers, in seconds. A lost way to the store is
 * noticed by the other watch or by others' news, so this is near the most the
 * platform allows.
 */
const LONG_WATCH_SECONDS = 25;

/**
 * Time for a watch to bring a change that others told of, in milliseconds: a
 * few answers of the store.
 */
const CATCH_UP_MILLISECONDS = 500;

/**
 * Age of a host's own confirmation up to which its way to the store counts as
 * good, in milliseconds: two waits of its watch, and some for the answer.
 */
const OWN_WAY_FRESH_MILLISECONDS = 2_600;

/**
 * Time in which another relay may still tell of the store, in milliseconds: two
 * digests.
 */
const OTHER_RELAY_MILLISECONDS = 900;

/** Silence of the relays after which a host asks for itself, in milliseconds. */
const RELAYS_SILENT_MILLISECONDS = 1_500;

/**
 * The same for the configuration, in milliseconds. A change has to be in force
 * within two seconds on the known platforms: 0.8 s until a relay notices that it
 * lost the store, a digest, this, and an answer of the store.
 */
const CONFIGURATION_SILENT_MILLISECONDS = 600;

/**
 * Time for a relay to pass a configuration on that it has and this host has not,
 * in milliseconds: two digests. Then this host asks the store.
 */
const PASSING_ON_MILLISECONDS = 900;

/**
 * Longest wait after a failed call of a host whose relays may tell of the
 * store's return, in milliseconds. All hosts of a large fleet that ask as often
 * as its relays do would make some 4,000 calls in an outage of seven seconds at
 * 195 hosts (two watches each, every 0.7 s).
 */
const LONGEST_RELAYED_RETRY_MILLISECONDS = 3_000;

/** Wait in which changes of servers are taken together, in milliseconds. */
const COALESCE_MILLISECONDS = 150;

/**
 * The same in milliseconds for a host of a large fleet that no request has come
 * to and that is no relay. Servers register one by one while all hosts start,
 * and each host would ask after each change: at 77 hosts that was 364 of the
 * 1,200 calls to the store before the first request. Well below the time in
 * which a leaving server has to be left alone.
 */
const IDLE_COALESCE_MILLISECONDS = 1_000;

/**
 * Largest entry of a server that is read, in characters; the known platforms'
 * have some 250. Relays pass entries on in datagrams of at most 64 KiB, several at
 * once.
 */
const LARGEST_ENTRY = 8 * 1_024;

/** Passed on in place of an entry that is too large to be read. */
const TOO_LARGE_ENTRY = "";

/** Follows configuration and backend servers. */
export class ConfigurationFollower implements AsyncDisposable {
  readonly #parts: FollowerParts;
  readonly #listener: FollowerListener;
  readonly #configuration: Watcher;
  readonly #servers: Watcher;
  #routes: RouteIndex | undefined;
  #confirmedAt = -Infinity;
  #ownConfirmedAt = -Infinity;
  #serversListed = false;
  /** When a relay last confirmed this host's configuration. */
  #relayedAt = -Infinity;
  #serversRelayedAt = -Infinity;
  /** When a relay last told anything. */
  #digestedAt = -Infinity;
  /** When this host last began to ask the store itself. */
  #asksSince = -Infinity;
  /** When a relay that reaches the store last had what this host has. */
  #levelAt = -Infinity;
  /** Since when a relay has a configuration that this host has not. */
  #behindSince: number | undefined;
  /** The configuration in force as it was stored. */
  #stored: StoredObject | undefined;
  /** Version of the configuration that the store holds. */
  #storedVersion = -1;
  /** When a watch that was behind was last asked anew. */
  readonly #interruptedAt = new Map<Watcher, number>();
  #reachable = true;
  readonly #lapsed: LapsedServers;
  readonly #unreadable: UnreadableServers;
  readonly #revived: RevivedServers;

  constructor(parts: FollowerParts, listener: FollowerListener) {
    this.#parts = parts;
    this.#listener = listener;
    this.#lapsed = new LapsedServers(parts, (id) => listener.serverGone(id));
    this.#unreadable = new UnreadableServers(parts);
    this.#revived = new RevivedServers(parts);
    parts.store.onEra(() => this.#eraBegan());
    this.#servers = this.#watch(
      parts.formats.serversPrefix,
      {
        changed: (object, origin) => this.#serverChanged(object, origin),
        removed: (key) => this.#serverRemoved(this.#serverId(key)),
        confirmed: () => {
          this.#serversListed = true;
        },
        failed: () => undefined,
        listedInEra: (list) => this.#listedInEra("servers", list),
      },
      {
        seconds: () => LONG_WATCH_SECONDS,
        pause: () => this.#serversPause(),
      },
    );
    this.#configuration = this.#watch(
      parts.formats.configurationPrefix,
      {
        changed: (object) => this.#configurationChanged(object),
        removed: () => undefined,
        confirmed: (at) => this.#confirmed(at),
        failed: () => this.#failed(),
        listedInEra: (list) => this.#listedInEra("configuration", list),
      },
      { seconds: () => this.#configurationWait() },
    );
  }

  /** How far this host has followed the store. */
  get followed(): FollowedVersions {
    return {
      configuration: this.#configuration.newestChange,
      servers: this.#servers.newestChange,
    };
  }

  /**
   * Takes in how far another host has followed the store. A watch that is
   * behind has lost its way without a sign, and is asked anew.
   */
  othersFollowed(versions: FollowedVersions): void {
    this.#catchUp(this.#configuration, versions.configuration);
    this.#catchUp(this.#servers, versions.servers);
  }

  #catchUp(watcher: Watcher, newestChange: number): void {
    const now = this.#parts.clock.now();
    const waited = now - watcher.askedAt;
    const behind = newestChange > watcher.version && !watcher.suspended;
    if (!behind || waited < CATCH_UP_MILLISECONDS) return;
    const interrupted = this.#interruptedAt.get(watcher) ?? -Infinity;
    if (now - interrupted < OWN_WAY_LOST_MILLISECONDS) return;
    this.#interruptedAt.set(watcher, now);
    this.#parts.metrics.event("watch_behind");
    watcher.interrupt();
  }

  #relaysConfirm(): boolean {
    const silence = this.#parts.clock.now() - this.#relayedAt;
    return silence < CONFIGURATION_SILENT_MILLISECONDS;
  }

  #serversPause(): number {
    return this.#parts.isIdleMember()
      ? IDLE_COALESCE_MILLISECONDS
      : COALESCE_MILLISECONDS;
  }

  #configurationWait(): number {
    return this.#parts.isRelay() ? RELAY_WATCH_SECONDS : WATCH_SECONDS;
  }

  #longestRetry(): number {
    const now = this.#parts.clock.now();
    return now - this.#digestedAt < RELAYS_SILENT_MILLISECONDS
      ? LONGEST_RELAYED_RETRY_MILLISECONDS
      : LONGEST_RETRY_MILLISECONDS;
  }

  /** The newest configuration, to pass on; it is the only object of its kind. */
  newestConfiguration(): ChangeBatch | undefined {
    const stored = this.#stored;
    if (stored === undefined) return undefined;
    const { version, newestChange } = this.#configuration;
    // What a copy lacks stays in force, and is passed on in the store's new era.
    const event = { ...stored, version: newestChange };
    return { after: 0, version, events: [event] };
  }

  /** Lists all anew at once: what was watched is a history that is over. */
  #eraBegan(): void {
    this.#lapsed.storeReturned();
    this.#configuration.interrupt();
    this.#servers.interrupt();
  }

  /** What the store came back with, for the log. */
  #listedInEra(list: string, { version, changed, missing }: EraList): void {
    this.#parts.metrics.event(`store_era_${list}_listed`);
    this.#parts.logger.warn("listed anew in an era of the store", {
      list,
      era: eraOf(version),
      revision: revisionOf(version),
      changed,
      missing,
    });
  }

  /**
   * Takes in how far a relay has followed the configuration; returns whether
   * this host is behind and is to ask for the newest. While relays that reach the
   * store confirm what it has, it asks the store nothing: a change of the
   * configuration costs a call of each relay instead of one of each host. A relay
   * without its own way hears of no change, so its hosts soon ask themselves; by
   * its age alone they waited for 4.1 s.
   */
  relayFollowed(newestChange: number, reachesStore: boolean): boolean {
    if (this.#configuration.version === 0) return false;
    // A relay in a former era of the store confirms nothing.
    const known = this.#configuration.newestChange;
    if (eraOf(newestChange) < eraOf(known)) return false;
    const now = this.#parts.clock.now();
    this.#digestedAt = now;
    if (newestChange > this.#configuration.newestChange) {
      this.#behindSince ??= now;
      if (now - this.#behindSince >= PASSING_ON_MILLISECONDS) this.#askItself();
      return true;
    }
    this.#behindSince = undefined;
    if (reachesStore) {
      this.#levelAt = now;
      if (this.#relaysConfirm()) this.#leaveToRelays();
    } else if (now - this.#levelAt >= CONFIGURATION_SILENT_MILLISECONDS) {
      this.#askItself();
    }
    return false;
  }

  /** Takes in the configuration that a relay passed on. */
  configurationByRelay(changes: ChangeBatch): void {
    if (this.#configuration.take(changes)) this.#behindSince = undefined;
  }

  #leaveToRelays(): void {
    if (this.#configuration.suspended) return;
    this.#configuration.suspend();
    if (this.#reachable) return;
    this.#reachable = true;
    this.#parts.logger.info("relays tell of the store", {});
  }

  #askItself(): void {
    if (!this.#configuration.suspended) return;
    this.#asksSince = this.#parts.clock.now();
    this.#configuration.resume();
  }

  /**
   * The newest changes of servers, for hosts that hear of them by relays; none
   * while this host has lost its own way to the store.
   */
  recentServers(): ChangeBatch | undefined {
    const age = this.#parts.clock.now() - this.#ownConfirmedAt;
    if (!this.#reachable || age >= OWN_WAY_FRESH_MILLISECONDS) return undefined;
    const recent = this.#servers.recent();
    return recent && { ...recent, events: recent.events.map(passedOn) };
  }

  /**
   * Takes in changes of servers from a relay, instead of asking the store.
   * Without changes the relay itself can't ask.
   */
  serversByRelay(batch: ChangeBatch | undefined): void {
    if (!this.#serversListed) return;
    const now = this.#parts.clock.now();
    if (batch !== undefined && this.#servers.take(batch)) {
      this.#serversRelayedAt = now;
      this.#servers.suspend();
    } else if (now - this.#serversRelayedAt >= OTHER_RELAY_MILLISECONDS) {
      this.#servers.resume();
    }
  }

  /** Asks for itself once the relays are silent, or once it is one itself. */
  checkRelays(): void {
    const silence = this.#parts.clock.now() - this.#serversRelayedAt;
    const isRelay = this.#parts.isRelay();
    if (isRelay || silence >= RELAYS_SILENT_MILLISECONDS) {
      this.#servers.resume();
    }
    if (isRelay || !this.#relaysConfirm()) this.#askItself();
  }

  /** Takes in that a relay had a version confirmed some time ago. */
  confirmedByRelay(version: number, ageMilliseconds: number): void {
    const fresh = ageMilliseconds < OWN_WAY_FRESH_MILLISECONDS;
    // A member asks the store nothing, and learns of an outage by this alone.
    if (fresh) this.#lapsed.storeAnswers();
    else this.#lapsed.storeLost();
    // Before the first configuration both have none.
    const current = version === (this.#routes?.configuration.version ?? 0);
    if (current && fresh) this.#relayedAt = this.#parts.clock.now();
    this.confirmedByPeer(version, ageMilliseconds);
  }

  /** The newest configuration known. */
  get routes(): RouteIndex | undefined {
    return this.#routes;
  }

  /** Whether the list of servers was read once. */
  get serversListed(): boolean {
    return this.#serversListed;
  }

  /** Milliseconds since the store confirmed the configuration. */
  get age(): number {
    return this.#parts.clock.now() - this.#confirmedAt;
  }

  /** Whether this host lost its way to the store while others have theirs. */
  get cutOff(): boolean {
    const now = this.#parts.clock.now();
    const since = Math.max(this.#ownConfirmedAt, this.#asksSince);
    const lost =
      !this.#configuration.suspended && now - since > OWN_WAY_LOST_MILLISECONDS;
    return lost && this.age < OTHERS_FRESH_MILLISECONDS;
  }

  /**
   * Takes in that a peer had a version confirmed some time ago. It counts for
   * the same version only, and later by the time that the news may have taken.
   */
  confirmedByPeer(version: number, ageMilliseconds: number): void {
    if (version !== this.#routes?.configuration.version) return;
    const age = ageMilliseconds + PEER_DELAY_MILLISECONDS;
    this.#confirmedAt = Math.max(
      this.#confirmedAt,
      this.#parts.clock.now() - age,
    );
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.#configuration[Symbol.asyncDispose]();
    await this.#servers[Symbol.asyncDispose]();
  }

  #watch(
    prefix: string,
    listener: WatchListener,
    options: {
      readonly seconds: () => number;
      readonly pause?: () => number;
    },
  ): Watcher {
    const { store, clock, random } = this.#parts;
    return new Watcher(store, prefix, {
      listener,
      clock,
      random,
      ...options,
      backoff: (failures) =>
        storeBackoff(failures, random, {
          first: FIRST_RETRY_MILLISECONDS,
          longest: this.#longestRetry(),
        }),
    });
  }

  #configurationChanged(object: StoredObject): void {
    const { formats, logger, metrics } = this.#parts;
    const decoded = formats.decodeConfiguration(object.value);
    if (decoded.isErr) {
      metrics.event("configuration_malformed");
      logger.error("configuration can't be read", {
        version: object.version,
        detail: decoded.error,
      });
      return;
    }
    this.#storedVersion = decoded.value.version;
    const known = this.#routes?.configuration.version ?? -1;
    if (decoded.value.version >= known) this.#stored = object;
    if (decoded.value.version <= known) return;
    this.#routes = new RouteIndex(decoded.value);
    metrics.event("configuration_applied");
    logger.info("configuration in force", {
      version: decoded.value.version,
      before: known,
      storeVersion: object.version,
    });
    this.#listener.configured(this.#routes);
  }

  #serverChanged(object: StoredObject, origin: ObjectOrigin): void {
    const id = this.#serverId(object.key);
    this.#lapsed.present(id);
    const read = this.#readServer(id, object.value);
    const isRevived =
      origin === "copy" && read.isOk && this.#listener.isGone(read.value);
    // What was gone is not there again because a copy says so.
    if (isRevived) this.#revived.hold(id, () => this.#takeServer(id, read));
    else this.#takeServer(id, read);
  }

  #takeServer(id: string, read: Result<BackendServer, string>): void {
    this.#revived.release(id);
    const taken = read.andThen((server) =>
      this.#listener.serverChanged(server),
    );
    if (taken.isOk) this.#unreadable.good(id);
    else {
      this.#unreadable.add(id, taken.error);
      this.#listener.serverUnreadable(id);
    }
  }

  #readServer(id: string, value: string): Result<BackendServer, string> {
    if (value.length <= LARGEST_ENTRY) {
      return this.#parts.formats.decodeServer(id, value);
    }
    const expected = `expected at most ${LARGEST_ENTRY} characters`;
    return Result.err(`entry: ${expected}, not ${value.length}`);
  }

  #serverRemoved(id: string): void {
    this.#unreadable.remove(id);
    this.#revived.release(id);
    this.#lapsed.removed(id);
  }

  #serverId(key: string): string {
    return key.slice(this.#parts.formats.serversPrefix.length);
  }

  #confirmed(at: number): void {
    // A store that holds less than what is in force confirms nothing of it.
    const inForce = this.#routes?.configuration.version ?? -1;
    if (this.#storedVersion >= inForce) {
      this.#confirmedAt = Math.max(this.#confirmedAt, at);
    }
    this.#ownConfirmedAt = Math.max(this.#ownConfirmedAt, at);
    this.#lapsed.storeAnswers();
    if (this.#reachable) return;
    this.#reachable = true;
    // Its call may be from the outage, and wait for an answer that never comes.
    this.#servers.interrupt();
    this.#parts.logger.info("store answers again", {});
  }

  #failed(): void {
    // Both watches take the same way; this one notices first.
    this.#servers.interrupt();
    this.#lapsed.storeLost();
    if (!this.#reachable) return;
    this.#reachable = false;
    this.#parts.metrics.event("store_lost");
    this.#parts.logger.warn("store does not answer", {
      confirmedMillisecondsAgo: Math.round(this.age),
    });
  }
}

/** A change as it is passed on: whoever hears it can't read a large one either. */
function passedOn(event: StoreEvent): StoreEvent {
  return event.value !== undefined && event.value.length > LARGEST_ENTRY
    ? { ...event, value: TOO_LARGE_ENTRY }
    : event;
}
