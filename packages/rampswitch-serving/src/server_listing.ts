// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * What a host makes of the entries of backend servers: which servers are listed,
 * and what goes with a life that has ended.
 *
 * @module
 */
import { Result } from "true-myth";
import type { Clock, Logger } from "rampswitch-utils";
import type { BackendClient } from "./attempt/mod.ts";
import type {
  EntryOutcome,
  PrefixKnowledge,
  ServerDirectory,
  ServerRecord,
} from "./choice/mod.ts";
import type { BackendServer } from "./model/backend_server.ts";
import type { ServingMetrics } from "./observation/mod.ts";
import type { Quarantine } from "./quarantine/mod.ts";
import type { Rollouts } from "./rollout/mod.ts";
import type { RecentDispatches } from "./relay/recent_dispatches.ts";
import type { ServerTurns } from "./server_limits/mod.ts";
import type { RequestRun } from "./relay/request_run.ts";

/** Parts that know something of backend servers. */
export interface ServerListingParts {
  /** A steady clock. */
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: ServingMetrics;
  readonly directory: ServerDirectory;
  readonly client: BackendClient;
  readonly prefixes: PrefixKnowledge;
  readonly dispatches: RecentDispatches;
  readonly quarantine: Quarantine;
  readonly rollouts: Rollouts;
  readonly turns: ServerTurns;
  /** Requests in progress. */
  runs(): readonly RequestRun[];
}

type Handlers = {
  readonly [Kind in EntryOutcome["kind"]]: (
    server: BackendServer,
    outcome: Extract<EntryOutcome, { readonly kind: Kind }>,
  ) => Taken;
};

/** Whether an entry was taken in; an error says why it can't be read. */
type Taken = Result<undefined, string>;

const TAKEN: Taken = Result.ok(undefined);

/** Why an entry without a life can't be read where one was told before. */
const WITHOUT_LIFE: Taken = Result.err(
  "entry: expected the start of the server's life, as it told one before",
);

/** Takes in entries of backend servers. */
export class ServerListing {
  readonly #parts: ServerListingParts;
  readonly #handlers: Handlers = {
    listed: (server) => this.#tellListed(server),
    started_again: (server, { former }) => {
      this.#startedAgain(server, former);
      return this.#tellListed(server);
    },
    former_life: (server, { known }) => this.#tellFormerLife(server, known),
    without_life: () => WITHOUT_LIFE,
  };

  constructor(parts: ServerListingParts) {
    this.#parts = parts;
  }

  /** An entry is new or has changed. */
  changed(server: BackendServer): Taken {
    const { directory, clock } = this.#parts;
    const outcome = directory.put(server, clock.now());
    this.#parts.rollouts.listed(server, clock.now());
    const handle = this.#handlers[outcome.kind] as (
      server: BackendServer,
      outcome: EntryOutcome,
    ) => Taken;
    return handle(server, outcome);
  }

  /** An entry can't be read; it names no server to use until it is good. */
  unreadable(id: string): void {
    this.#parts.directory.unreadable(id);
  }

  /** An entry is gone. */
  gone(id: string): void {
    const { directory, clock, client, prefixes, logger } = this.#parts;
    this.#endsUnannounced(directory.get(id));
    directory.remove(id, clock.now());
    client.forget(id);
    prefixes.retain(new Set(directory.all().map(({ entry }) => entry.id)));
    logger.info("server gone", { server: id });
  }

  #tellListed(server: BackendServer): Taken {
    this.#parts.logger.info("server listed", {
      server: server.id,
      born: server.born,
      service: server.service,
      dataHall: server.dataHall,
      version: server.version,
      state: server.state,
      reclaimable: server.reclaimable,
    });
    return TAKEN;
  }

  /** What fell silent at a server that crashed was its last work. */
  #endsUnannounced(record: ServerRecord | undefined): void {
    if (record === undefined || record.leavingSince !== undefined) return;
    this.#parts.quarantine.lifeEnded(record.life);
  }

  /** All that speaks of a server's former life goes with it. */
  #startedAgain(server: BackendServer, former: ServerRecord): void {
    const { client, prefixes, dispatches, logger, metrics } = this.#parts;
    client.forget(server.id);
    prefixes.forget(server.id);
    dispatches.forget(server.id);
    this.#parts.turns.forget(former);
    this.#endsUnannounced(former);
    const stopped = this.#parts.runs().filter((run) => run.server === former);
    metrics.event("server_started_again");
    logger.info("server started again", {
      server: server.id,
      formerBorn: former.entry.born,
      born: server.born,
      stoppedRuns: stopped.length,
    });
    stopped.forEach((run) => run.serverEnded(former));
  }

  #tellFormerLife({ id, born }: BackendServer, known: ServerRecord): Taken {
    this.#parts.metrics.event("server_former_life");
    this.#parts.logger.warn("server entry of a former life left out", {
      server: id,
      born,
      knownBorn: known.entry.born,
    });
    return TAKEN;
  }
}
