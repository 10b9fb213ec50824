// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Follows the configuration and the list of backend servers in the platform's
 * store, and tracks how long ago the store confirmed the configuration.
 *
 * @module
 */
import { Result } from "true-myth";
import {
  type Clock,
  failureReporter,
  type Logger,
  type Random,
} from "rampswitch-utils";
import {
  type ChangeBatch,
  eraOf,
  type ObjectOrigin,
  type ObjectStore,
  type StoredObject,
  storeBackoff,
  type StoreEvent,
  Watcher,
  type WatchListener,
} from "rampswitch-store";
import { RouteIndex } from "../intake/route_index.ts";
import { logAnewList } from "./anew_list_log.ts";
import { LapsedServers } from "./lapsed_servers.ts";
import { RestoredServers } from "./restored_servers.ts";
import { ServerListEvidence } from "./server_list_evidence.ts";
import { UnreadableServers } from "./unreadable_servers.ts";
import type { BackendServer } from "../model/backend_server.ts";
import type { ServingConfiguration } from "../model/configuration.ts";
import type { ServingMetrics } from "../observation/mod.ts";

/** Keys and decoders of the objects in the store. */
export interface StoredFormats {
  /** Prefix of the configuration's key. */
  readonly configurationPrefix: string;
  /** Prefix of the keys of backend servers. */
  readonly serversPrefix: string;
  decodeConfiguration(value: string): Result<ServingConfiguration, string>;
  decodeServer(id: string, value: string): Result<BackendServer, string>;
}

/** Versions of the newest changes in the store that a host has received. */
export interface FollowedVersions {
  readonly configuration: number;
  readonly servers: number;
}

/** Receives the changes that the follower observes. */
export interface FollowerListener {
  /** Called with each newer configuration. */
  configured(routes: RouteIndex): void;
  /** Applies a server's entry; an error states why the entry can't be read. */
  serverChanged(server: BackendServer): Result<unknown, string>;
  /** An entry can't be read; its server is not used until it is readable. */
  serverUnreadable(id: string): void;
  /** A server's entry was removed and is not expected to reappear. */
  serverGone(id: string): void;
  /** Servers may have been listed and removed without a call of this listener. */
  serversMissed(): void;
  /** Whether an entry belongs to an incarnation whose entry was removed. */
  isGone(server: BackendServer): boolean;
}

/** Dependencies of the follower. */
export interface FollowerParts {
  readonly store: ObjectStore;
  readonly formats: StoredFormats;
  /**
   * A clock that never underestimates the age of a confirmation, also after the
   * machine was suspended.
   */
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  readonly metrics: ServingMetrics;
  /** Whether other hosts receive changes of the store through this one. */
  isRelay(): boolean;
  /**
   * Whether this host receives updates of other hosts only through relays, and
   * has received no request since it started.
   */
  isIdleMember(): boolean;
}

/**
 * First and longest wait after a failed call, in milliseconds. The configuration
 * must be in force within two seconds after the store is available again.
 */
const FIRST_RETRY_WAIT_MILLISECONDS = 60;
const MAXIMUM_RETRY_WAIT_MILLISECONDS = 700;

/**
 * Longest time that a peer's update may take to arrive, in milliseconds. A link
 * that delays messages for longer counts as faulty on the known platforms.
 */
const MAXIMUM_GOSSIP_DELAY_MILLISECONDS = 500;

/**
 * Time without a confirmation of its own after which a host has lost its
 * connection to the store, in milliseconds: two timeouts of a watch and a retry.
 */
const OWN_CONNECTION_LOST_MILLISECONDS = 3_000;

/**
 * Age below which a confirmation of a peer shows that the store is available,
 * in milliseconds.
 */
const MAXIMUM_PEER_CONFIRMATION_AGE_MILLISECONDS = 2_000;

/**
 * Longest wait of a watch, in seconds. Each answer confirms the configuration as
 * of the time when the watch was sent, so the confirmation is never older than
 * twice this. A silently broken connection is also detected within the two
 * seconds in which a change must be in force.
 */
const WATCH_TIMEOUT_SECONDS = 1.2;

/**
 * Longest wait of a relay's watch, in seconds. Other hosts learn of leaving
 * servers through relays. A relay must therefore detect a silently broken
 * connection, and report it, well within the two seconds after which leaving
 * servers must get no more requests.
 */
const RELAY_WATCH_TIMEOUT_SECONDS = 0.8;

/**
 * Longest wait of the watch of servers, in seconds. The watch of the
 * configuration or updates of other hosts reveal a lost connection to the store,
 * so this is close to the maximum that the platform allows.
 */
const SERVERS_WATCH_TIMEOUT_SECONDS = 25;

/**
 * Time for a watch to return a change that other hosts reported, in
 * milliseconds: enough for a few answers of the store.
 */
const CATCH_UP_GRACE_MILLISECONDS = 500;

/**
 * Age of a host's own confirmation up to which its connection to the store counts
 * as working, in milliseconds: two timeouts of its watch, and time for the answer.
 */
const MAXIMUM_OWN_CONFIRMATION_AGE_MILLISECONDS = 2_600;

/**
 * Time in which another relay may still report changes of servers, in
 * milliseconds: two digests.
 */
const OTHER_RELAY_GRACE_MILLISECONDS = 900;

/**
 * Silence of the relays after which a host queries the store itself, in
 * milliseconds.
 */
const RELAY_SILENCE_MILLISECONDS = 1_500;

/**
 * Time without a relay's confirmation of the configuration after which a host
 * queries the store itself, in milliseconds. A change must be in force within two
 * seconds on the known platforms: 0.8 s until a relay detects that it lost the
 * store, one digest, this time, and one answer of the store.
 */
const CONFIGURATION_SILENCE_MILLISECONDS = 600;

/**
 * Time for a relay to forward a configuration that this host lacks, in
 * milliseconds: two digests. After that, this host queries the store.
 */
const FORWARDING_GRACE_MILLISECONDS = 900;

/**
 * Longest wait after a failed call of a host whose relays can report that the
 * store is available again, in milliseconds. If all hosts of a large fleet
 * retried as often as its relays, 195 hosts would make some 4,000 calls in an
 * outage of seven seconds (two watches each, every 0.7 s).
 */
const MAXIMUM_RELAYED_RETRY_WAIT_MILLISECONDS = 3_000;

/** Time in which changes of servers are coalesced, in milliseconds. */
const COALESCE_MILLISECONDS = 150;

/**
 * Time in which changes of servers are coalesced on a host of a large fleet that
 * has received no request and is no relay, in milliseconds. Servers register one
 * by one while all hosts start, and each host would query the store after each
 * change: with 77 hosts those were 364 of the 1,200 calls to the store before the
 * first request. The value is well below the time after which a leaving server
 * must get no more requests.
 */
const IDLE_COALESCE_MILLISECONDS = 1_000;

/**
 * Maximum length of a server's entry, in characters. Entries of the known
 * platforms have some 250. Relays forward several entries in one datagram, which
 * holds at most 64 KiB.
 */
const MAXIMUM_ENTRY_CHARACTERS = 8 * 1_024;

/** Forwarded in place of an entry that is too large to be read. */
const OVERSIZED_ENTRY_PLACEHOLDER = "";

/** Follows the configuration and the backend servers in the store. */
export class ConfigurationFollower implements AsyncDisposable {
  /** How new this host's list of servers is. */
  readonly serverList: ServerListEvidence;
  readonly #parts: FollowerParts;
  readonly #listener: FollowerListener;
  readonly #configuration: Watcher;
  readonly #servers: Watcher;
  #routes: RouteIndex | undefined;
  #confirmedAt = -Infinity;
  #ownConfirmedAt = -Infinity;
  #serversListed = false;
  /** When a relay last confirmed this host's configuration. */
  #relayConfirmedAt = -Infinity;
  #serversRelayedAt = -Infinity;
  /** When this host last received a relay's digest. */
  #digestReceivedAt = -Infinity;
  /** When this host last began to query the store itself. */
  #pollingSince = -Infinity;
  /** When a relay that reaches the store last had this host's configuration. */
  #inSyncAt = -Infinity;
  /** Since when a relay has a configuration that this host lacks. */
  #behindSince: number | undefined;
  /** The configuration in force as it was stored. */
  #storedConfiguration: StoredObject | undefined;
  /** Version of the configuration that the store holds. */
  #storedVersion = -1;
  /** When each watch that was behind was last restarted. */
  readonly #interruptedAt = new Map<Watcher, number>();
  #storeReachable = true;
  readonly #lapsedServers: LapsedServers;
  readonly #unreadableServers: UnreadableServers;
  readonly #restoredServers: RestoredServers;

  constructor(parts: FollowerParts, listener: FollowerListener) {
    this.#parts = parts;
    this.#listener = listener;
    this.#lapsedServers = new LapsedServers(parts, (id) =>
      listener.serverGone(id),
    );
    this.#unreadableServers = new UnreadableServers(parts);
    this.#restoredServers = new RestoredServers(parts);
    parts.store.onEra(() => this.#eraStarted());
    this.#servers = this.#watch(
      parts.formats.serversPrefix,
      {
        changed: (object, origin) => this.#serverChanged(object, origin),
        removed: (key) => this.#serverRemoved(this.#serverId(key)),
        confirmed: () => {
          this.#serversListed = true;
        },
        failed: () => undefined,
        listedAnew: (list) => {
          logAnewList("servers", list, parts);
          if (list.mayHaveMissed) listener.serversMissed();
        },
      },
      {
        seconds: () => SERVERS_WATCH_TIMEOUT_SECONDS,
        pause: () => this.#serversCoalesceMilliseconds(),
      },
    );
    this.serverList = new ServerListEvidence(this.#servers, parts.clock);
    this.#configuration = this.#watch(
      parts.formats.configurationPrefix,
      {
        changed: (object) => this.#configurationChanged(object),
        removed: () => undefined,
        confirmed: (at) => this.#watchConfirmed(at),
        failed: () => this.#watchFailed(),
        listedAnew: (list) => logAnewList("configuration", list, parts),
      },
      { seconds: () => this.#configurationWatchSeconds() },
    );
  }

  /** Versions of the newest changes that this host has received. */
  get followed(): FollowedVersions {
    return {
      configuration: this.#configuration.newestChange,
      servers: this.#servers.newestChange,
    };
  }

  /**
   * Compares with the versions that another host has received. A watch that is
   * behind has silently lost its connection, and is restarted.
   */
  receivePeerVersions(versions: FollowedVersions): void {
    this.serverList.heard(versions.servers);
    this.#catchUp(this.#configuration, versions.configuration);
    this.#catchUp(this.#servers, versions.servers);
  }

  #catchUp(watcher: Watcher, newestChange: number): void {
    const now = this.#parts.clock.now();
    const waited = now - watcher.requestSentAt;
    const behind = newestChange > watcher.version && !watcher.suspended;
    if (!behind || waited < CATCH_UP_GRACE_MILLISECONDS) return;
    const interrupted = this.#interruptedAt.get(watcher) ?? -Infinity;
    if (now - interrupted < OWN_CONNECTION_LOST_MILLISECONDS) return;
    this.#interruptedAt.set(watcher, now);
    this.#parts.metrics.event("watch_behind");
    watcher.interrupt();
  }

  #confirmedByRelays(): boolean {
    const silence = this.#parts.clock.now() - this.#relayConfirmedAt;
    return silence < CONFIGURATION_SILENCE_MILLISECONDS;
  }

  #serversCoalesceMilliseconds(): number {
    return this.#parts.isIdleMember()
      ? IDLE_COALESCE_MILLISECONDS
      : COALESCE_MILLISECONDS;
  }

  #configurationWatchSeconds(): number {
    return this.#parts.isRelay()
      ? RELAY_WATCH_TIMEOUT_SECONDS
      : WATCH_TIMEOUT_SECONDS;
  }

  #maximumRetryWait(): number {
    const now = this.#parts.clock.now();
    return now - this.#digestReceivedAt < RELAY_SILENCE_MILLISECONDS
      ? MAXIMUM_RELAYED_RETRY_WAIT_MILLISECONDS
      : MAXIMUM_RETRY_WAIT_MILLISECONDS;
  }

  /** The newest configuration, to forward; it is the only object of its kind. */
  newestConfiguration(): ChangeBatch | undefined {
    const stored = this.#storedConfiguration;
    if (stored === undefined) return undefined;
    const { version, newestChange } = this.#configuration;
    // A restored copy may lack this configuration. It stays in force, and is
    // forwarded as part of the store's new era.
    const event = { ...stored, version: newestChange };
    return { after: 0, version, events: [event] };
  }

  /** Lists everything again at once: the history that was watched has ended. */
  #eraStarted(): void {
    this.#lapsedServers.storeReturned();
    this.#configuration.interrupt();
    this.#servers.interrupt();
  }

  /**
   * Compares with the newest change of the configuration that a relay has
   * received; returns whether this host is behind and must request the newest
   * one. While relays that reach the store confirm this host's configuration, it
   * does not query the store: a change of the configuration costs one call of
   * each relay instead of one of each host. A relay that has lost the store
   * receives no change, so its hosts soon query the store themselves. Relying on
   * the age of its confirmation alone, they would wait for 4.1 s.
   */
  receiveRelayVersion(newestChange: number, reachesStore: boolean): boolean {
    if (this.#configuration.version === 0) return false;
    // A relay in an earlier era of the store confirms nothing.
    const known = this.#configuration.newestChange;
    if (eraOf(newestChange) < eraOf(known)) return false;
    const now = this.#parts.clock.now();
    this.#digestReceivedAt = now;
    if (newestChange > this.#configuration.newestChange) {
      this.#behindSince ??= now;
      if (now - this.#behindSince >= FORWARDING_GRACE_MILLISECONDS)
        this.#resumePolling();
      return true;
    }
    this.#behindSince = undefined;
    if (reachesStore) {
      this.#inSyncAt = now;
      if (this.#confirmedByRelays()) this.#suspendPolling();
    } else if (now - this.#inSyncAt >= CONFIGURATION_SILENCE_MILLISECONDS) {
      this.#resumePolling();
    }
    return false;
  }

  /** Applies the configuration that a relay forwarded. */
  receiveConfiguration(changes: ChangeBatch): void {
    if (this.#configuration.applyRelayed(changes))
      this.#behindSince = undefined;
  }

  #suspendPolling(): void {
    if (this.#configuration.suspended) return;
    this.#configuration.suspend();
    if (this.#storeReachable) return;
    this.#storeReachable = true;
    this.#parts.logger.info("relays tell of the store", {});
  }

  #resumePolling(): void {
    if (!this.#configuration.suspended) return;
    this.#pollingSince = this.#parts.clock.now();
    this.#configuration.resume();
  }

  /**
   * The newest changes of servers, for hosts that receive them through relays;
   * `undefined` while this host has lost its own connection to the store.
   */
  recentServers(): ChangeBatch | undefined {
    const age = this.#parts.clock.now() - this.#ownConfirmedAt;
    if (
      !this.#storeReachable ||
      age >= MAXIMUM_OWN_CONFIRMATION_AGE_MILLISECONDS
    )
      return undefined;
    const recent = this.#servers.recentChanges();
    return recent && { ...recent, events: recent.events.map(forwardable) };
  }

  /**
   * Applies changes of servers from a relay instead of querying the store. An
   * `undefined` batch means that the relay has lost the store.
   */
  receiveServers(batch: ChangeBatch | undefined): void {
    if (!this.#serversListed) return;
    const now = this.#parts.clock.now();
    if (batch !== undefined && this.#servers.applyRelayed(batch)) {
      this.#serversRelayedAt = now;
      this.#servers.suspend();
    } else if (now - this.#serversRelayedAt >= OTHER_RELAY_GRACE_MILLISECONDS) {
      this.#servers.resume();
    }
  }

  /** Queries the store once the relays are silent or this host is a relay. */
  checkRelays(): void {
    const silence = this.#parts.clock.now() - this.#serversRelayedAt;
    const isRelay = this.#parts.isRelay();
    if (isRelay || silence >= RELAY_SILENCE_MILLISECONDS) {
      this.#servers.resume();
    }
    if (isRelay || !this.#confirmedByRelays()) this.#resumePolling();
  }

  /** Records that the store confirmed a version to a relay some time ago. */
  receiveRelayConfirmation(version: number, ageMilliseconds: number): void {
    const fresh = ageMilliseconds < MAXIMUM_OWN_CONFIRMATION_AGE_MILLISECONDS;
    // A member does not query the store, so only this reveals an outage to it.
    if (fresh) this.#lapsedServers.storeAnswered();
    else this.#lapsedServers.storeLost();
    // Before the first configuration, neither host has one.
    const current = version === (this.#routes?.configuration.version ?? 0);
    if (current && fresh) this.#relayConfirmedAt = this.#parts.clock.now();
    this.receivePeerConfirmation(version, ageMilliseconds);
  }

  /** The newest known configuration. */
  get routes(): RouteIndex | undefined {
    return this.#routes;
  }

  /** Whether the list of servers was read at least once. */
  get serversListed(): boolean {
    return this.#serversListed;
  }

  /** Milliseconds since the store confirmed the configuration. */
  get age(): number {
    return this.#parts.clock.now() - this.#confirmedAt;
  }

  /** Whether this host lost its connection to the store and its peers did not. */
  get cutOff(): boolean {
    const now = this.#parts.clock.now();
    const since = Math.max(this.#ownConfirmedAt, this.#pollingSince);
    const lost =
      !this.#configuration.suspended &&
      now - since > OWN_CONNECTION_LOST_MILLISECONDS;
    return lost && this.age < MAXIMUM_PEER_CONFIRMATION_AGE_MILLISECONDS;
  }

  /**
   * Records that the store confirmed a version to a peer some time ago. This
   * counts only for the same version. The longest delay of gossip is added to the
   * age, because the update may have taken that long.
   */
  receivePeerConfirmation(version: number, ageMilliseconds: number): void {
    if (version !== this.#routes?.configuration.version) return;
    const age = ageMilliseconds + MAXIMUM_GOSSIP_DELAY_MILLISECONDS;
    this.#confirmedAt = Math.max(
      this.#confirmedAt,
      this.#parts.clock.now() - age,
    );
    this.serverList.confirmed(this.#confirmedAt);
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
      reportFailure: failureReporter(this.#parts),
      ...options,
      backoff: (failures) =>
        storeBackoff(failures, random, {
          initial: FIRST_RETRY_WAIT_MILLISECONDS,
          maximum: this.#maximumRetryWait(),
        }),
    });
  }

  #configurationChanged(object: StoredObject): void {
    const { formats, logger, metrics } = this.#parts;
    metrics.input("stored object", object.key);
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
    if (decoded.value.version >= known) this.#storedConfiguration = object;
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
    this.#parts.metrics.input("stored object", object.key);
    this.#lapsedServers.entryPresent(id);
    const read = this.#readServer(id, object.value);
    const isRestored =
      origin === "copy" && read.isOk && this.#listener.isGone(read.value);
    // An entry in a restored copy does not prove that a removed server is back.
    if (isRestored)
      this.#restoredServers.hold(id, () => this.#applyServer(id, read));
    else this.#applyServer(id, read);
  }

  #applyServer(id: string, read: Result<BackendServer, string>): void {
    this.#restoredServers.release(id);
    const taken = read.andThen((server) =>
      this.#listener.serverChanged(server),
    );
    if (taken.isOk) this.#unreadableServers.markReadable(id);
    else {
      this.#unreadableServers.add(id, taken.error);
      this.#listener.serverUnreadable(id);
    }
  }

  #readServer(id: string, value: string): Result<BackendServer, string> {
    if (value.length <= MAXIMUM_ENTRY_CHARACTERS) {
      return this.#parts.formats.decodeServer(id, value);
    }
    const expected = `expected at most ${MAXIMUM_ENTRY_CHARACTERS} characters`;
    return Result.err(`entry: ${expected}, not ${value.length}`);
  }

  #serverRemoved(id: string): void {
    this.#unreadableServers.remove(id);
    this.#restoredServers.release(id);
    this.#lapsedServers.entryRemoved(id);
  }

  #serverId(key: string): string {
    return key.slice(this.#parts.formats.serversPrefix.length);
  }

  #watchConfirmed(at: number): void {
    // A store with an older configuration does not confirm the one in force.
    const inForce = this.#routes?.configuration.version ?? -1;
    if (this.#storedVersion >= inForce) {
      this.#confirmedAt = Math.max(this.#confirmedAt, at);
      this.serverList.confirmed(this.#confirmedAt);
    }
    this.#ownConfirmedAt = Math.max(this.#ownConfirmedAt, at);
    this.#lapsedServers.storeAnswered();
    if (this.#storeReachable) return;
    this.#storeReachable = true;
    // Its call may have been sent during the outage and never get an answer.
    this.#servers.interrupt();
    this.#parts.logger.info("store answers again", {});
  }

  #watchFailed(): void {
    // Both watches use the same connection, and this one detects failures first.
    this.#servers.interrupt();
    this.#lapsedServers.storeLost();
    if (!this.#storeReachable) return;
    this.#storeReachable = false;
    this.#parts.metrics.event("store_lost");
    this.#parts.logger.warn("store does not answer", {
      confirmedMillisecondsAgo: Math.round(this.age),
    });
  }
}

/** A change to forward, without an entry that is too large to be read anyway. */
function forwardable(event: StoreEvent): StoreEvent {
  return event.value !== undefined &&
    event.value.length > MAXIMUM_ENTRY_CHARACTERS
    ? { ...event, value: OVERSIZED_ENTRY_PLACEHOLDER }
    : event;
}
