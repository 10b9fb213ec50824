// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * What the objects in the platform's store are read and written with.
 *
 * @module
 */
import type { ObjectStore } from "rampswitch-store";
import type { Clock, Logger, Random } from "rampswitch-utils";
import type { ServingMetrics } from "../observation/mod.ts";

/** Dependencies of an archive. */
export interface ArchiveParts {
  readonly store: ObjectStore;
  /** Prefix of the keys of the stored objects. */
  readonly prefix: string;
  /** A monotonic clock. */
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  readonly metrics: ServingMetrics;
}
