// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Builds the quarantines of one host, and the stores in which they survive it.
 *
 * @module
 */
import type { ObjectStore } from "rampswitch-store";
import type { Clock, Logger, Ownership, Random } from "rampswitch-utils";
import type { ServerDirectory } from "./choice/mod.ts";
import type { ServingMetrics } from "./observation/mod.ts";
import {
  type AnsweredParts,
  CrashQuarantine,
  PartQuarantine,
  Quarantine,
  QuarantineStore,
  type TrialRank,
} from "./quarantine/mod.ts";

/** Dependencies of a host's quarantines. */
export interface HostQuarantineParts {
  readonly store: ObjectStore;
  /** Prefix of the key of the quarantined requests in the store. */
  readonly quarantinePrefix: string;
  /** Prefix of the key of the held prompt parts in the store. */
  readonly heldPartsPrefix: string;
  /** A monotonic clock. */
  readonly clock: Clock;
  /** Fleet time, in milliseconds since the epoch. */
  readonly wallTime: () => number;
  readonly random: Random;
  readonly logger: Logger;
  readonly metrics: ServingMetrics;
  readonly directory: ServerDirectory;
  /** Position among the hosts that may try a request or a part. */
  trialRank(key: string): TrialRank;
  /** Whether this host heard an incarnation after some time. */
  wasHeardAfter(incarnation: string, time: number): boolean;
  /** Requests in progress. */
  runs(): readonly { readonly answering: AnsweredParts | undefined }[];
}

/** Creates the quarantines; `ownership` ends their stores with the host. */
export function createQuarantine(
  parts: HostQuarantineParts,
  ownership: Ownership,
): CrashQuarantine {
  const requests = new Quarantine({
    ...parts,
    onStoredChange: () => requestStore.scheduleWrite(),
  });
  const promptParts = new PartQuarantine({
    ...parts,
    isExplained: (incarnation) => requests.explains(incarnation),
    versions: (service) =>
      parts.directory
        .of(service)
        .filter(({ isReady }) => isReady)
        .map(({ entry }) => entry.version),
    answering: () => parts.runs().flatMap(({ answering }) => answering ?? []),
    onStoredChange: () => partStore.scheduleWrite(),
  });
  const requestStore = ownership.own(
    new QuarantineStore({
      ...parts,
      prefix: parts.quarantinePrefix,
      quarantine: requests,
    }),
  );
  const partStore = ownership.own(
    new QuarantineStore({
      ...parts,
      prefix: parts.heldPartsPrefix,
      quarantine: promptParts,
    }),
  );
  return new CrashQuarantine({ requests, parts: promptParts });
}
