// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Applies the entries of backend servers to a host: lists servers, and discards
 * the state of incarnations that have ended.
 *
 * @module
 */
import { Result } from "true-myth";
import type { Clock, Logger } from "rampswitch-utils";
import type {
  EntryOutcome,
  PrefixCacheEstimate,
  ServerDirectory,
  ServerRecord,
} from "./choice/mod.ts";
import type { ServerClient } from "./forwarding/mod.ts";
import type { BackendServer } from "./model/backend_server.ts";
import type { ServingMetrics } from "./observation/mod.ts";
import type { CrashQuarantine } from "./quarantine/mod.ts";
import type { Rollouts } from "./rollout/mod.ts";
import type { RecentDispatches } from "./relay/recent_dispatches.ts";
import type { ServerPermits } from "./server_limits/mod.ts";
import type { RequestRun } from "./relay/request_run.ts";
import type { StreamOrigins } from "./streams/mod.ts";

/** Parts that hold state of backend servers. */
export interface ServerListingParts {
  /** A monotonic clock. */
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: ServingMetrics;
  readonly directory: ServerDirectory;
  readonly client: Pick<ServerClient, "forget">;
  readonly prefixes: PrefixCacheEstimate;
  readonly dispatches: RecentDispatches;
  readonly quarantine: Pick<CrashQuarantine, "incarnationEnded">;
  readonly rollouts: Rollouts;
  readonly permits: ServerPermits;
  readonly streams: StreamOrigins;
  /** Requests in progress. */
  runs(): readonly RequestRun[];
}

type Handlers = {
  readonly [Kind in EntryOutcome["kind"]]: (
    server: BackendServer,
    outcome: Extract<EntryOutcome, { readonly kind: Kind }>,
  ) => ListingResult;
};

/** Whether an entry was accepted; an error states why it can't be read. */
type ListingResult = Result<undefined, string>;

const ACCEPTED: ListingResult = Result.ok(undefined);

/** Error for an entry without an incarnation where an earlier entry had one. */
const MISSING_INCARNATION: ListingResult = Result.err(
  "entry: expected the start of the server's incarnation, which an earlier entry had",
);

/** Applies entries of backend servers. */
export class ServerListing {
  readonly #parts: ServerListingParts;
  readonly #handlers: Handlers = {
    listed: (server) => {
      this.#parts.streams.listed(server);
      return this.#logListed(server);
    },
    started_again: (server, { former }) => {
      this.#parts.streams.listed(server);
      this.#handleRestart(server, former);
      return this.#logListed(server);
    },
    former_life: (server, { known }) =>
      this.#logFormerIncarnation(server, known),
    without_life: () => MISSING_INCARNATION,
  };

  constructor(parts: ServerListingParts) {
    this.#parts = parts;
  }

  /** Applies an entry that is new or has changed. */
  changed(server: BackendServer): ListingResult {
    const { directory, clock } = this.#parts;
    const outcome = directory.put(server, clock.now());
    this.#parts.rollouts.listed(server, clock.now());
    const handle = this.#handlers[outcome.kind] as (
      server: BackendServer,
      outcome: EntryOutcome,
    ) => ListingResult;
    return handle(server, outcome);
  }

  /** An entry can't be read; its server is not used until it is readable. */
  unreadable(id: string): void {
    this.#parts.directory.unreadable(id);
  }

  /** An entry was removed. */
  gone(id: string): void {
    const { directory, clock, client, prefixes, logger } = this.#parts;
    this.#recordUnannouncedEnd(directory.get(id));
    directory.remove(id, clock.now());
    this.#parts.streams.removed(id);
    client.forget(id);
    prefixes.retain(new Set(directory.all().map(({ entry }) => entry.id)));
    logger.info("server gone", { server: id });
  }

  #logListed(server: BackendServer): ListingResult {
    this.#parts.logger.info("server listed", {
      server: server.id,
      born: server.born,
      service: server.service,
      dataHall: server.dataHall,
      version: server.version,
      state: server.state,
      reclaimable: server.reclaimable,
    });
    return ACCEPTED;
  }

  /**
   * Reports an incarnation that ended without an announcement to the quarantine:
   * the requests that ran there may have crashed the server.
   */
  #recordUnannouncedEnd(record: ServerRecord | undefined): void {
    if (record === undefined || record.leavingSince !== undefined) return;
    this.#parts.quarantine.incarnationEnded(record.incarnation);
  }

  /** Discards all state of a restarted server's former incarnation. */
  #handleRestart(server: BackendServer, former: ServerRecord): void {
    const { client, prefixes, dispatches, logger, metrics } = this.#parts;
    client.forget(server.id);
    prefixes.forget(server.id);
    dispatches.forget(server.id);
    this.#parts.permits.forget(former);
    this.#recordUnannouncedEnd(former);
    if (server.version !== former.entry.version) {
      this.#parts.streams.becameOtherVersion(former.incarnation);
    }
    const runs = this.#parts.runs();
    const stopped = runs.filter((run) => run.server === former);
    metrics.event("server_started_again");
    logger.info("server started again", {
      server: server.id,
      formerBorn: former.entry.born,
      born: server.born,
      stoppedRuns: stopped.length,
    });
    // Whole answers of the former incarnation may have come and not be read yet.
    this.#parts.clock.after(0, () =>
      runs.forEach((run) => run.serverEnded(former)),
    );
  }

  #logFormerIncarnation(
    { id, born }: BackendServer,
    known: ServerRecord,
  ): ListingResult {
    this.#parts.metrics.event("server_former_life");
    this.#parts.logger.warn("server entry of a former life left out", {
      server: id,
      born,
      knownBorn: known.entry.born,
    });
    return ACCEPTED;
  }
}
