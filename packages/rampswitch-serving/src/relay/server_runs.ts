// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * What a host asks servers about runs that it sent them. Only engines that can move a
 * run answer such calls.
 *
 * @module
 */
import type { ServerRecord } from "../choice/mod.ts";
import type { Service } from "../model/configuration.ts";
import {
  type AbandonedRun,
  type AbandonedRunParts,
  canStopRuns,
  stopAbandonedRun,
} from "./abandoned_runs.ts";
import {
  type IncarnationStatus,
  incarnationStatusOf,
} from "./retained_memory.ts";

/** Dependencies of the calls. */
export interface ServerRunsParts extends AbandonedRunParts {
  /** The service of a name in the configuration in force. */
  serviceOf(name: string): Service | undefined;
}

/** The calls about runs at servers. */
export class ServerRuns {
  readonly #parts: ServerRunsParts;

  constructor(parts: ServerRunsParts) {
    this.#parts = parts;
  }

  /** Has a run stopped that no host waits for any more. */
  stop(run: AbandonedRun): void {
    if (this.#answersCalls(run.server)) stopAbandonedRun(run, this.#parts);
  }

  /** Whether a server is still the incarnation of its record. */
  async incarnationStatus(record: ServerRecord): Promise<IncarnationStatus> {
    if (this.#answersCalls(record))
      return incarnationStatusOf(record, this.#parts);
    return record.ended ? "later" : "not_told";
  }

  /** The service of a server in the configuration in force. */
  serviceOf({ entry }: ServerRecord): Service | undefined {
    return this.#parts.serviceOf(entry.service);
  }

  #answersCalls(record: ServerRecord): boolean {
    return canStopRuns(this.serviceOf(record));
  }
}
