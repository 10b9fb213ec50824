// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Advertisements of servers that they leave: received in answers and from other hosts,
 * and reported to other hosts.
 *
 * @module
 */
import type { Clock, Logger } from "rampswitch-utils";
import type {
  LeavingUpdate,
  ServerDirectory,
  ServerRecord,
} from "../choice/mod.ts";
import type { ServerIncarnation } from "../model/backend_server.ts";
import type { ServingMetrics } from "../observation/mod.ts";

/** Dependencies of the handler of leaving servers. */
export interface LeavingAdvertisementsParts {
  /** Monotonic clock, in milliseconds. */
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: ServingMetrics;
  readonly directory: ServerDirectory;
  /** Called when there is an update that other hosts should receive at once. */
  onUpdate(): void;
}

/** Records, logs and reports servers that advertise that they leave. */
export class LeavingAdvertisements {
  readonly #parts: LeavingAdvertisementsParts;

  constructor(parts: LeavingAdvertisementsParts) {
    this.#parts = parts;
  }

  /** Applies the advertisement of a server that leaves, from its answer. */
  read({ entry }: ServerRecord): void {
    const { clock, directory } = this.#parts;
    const now = clock.now();
    const advertised = { since: now, now, origin: "answer" as const };
    if (!directory.advertisedLeaving(entry, advertised)) return;
    this.#log(entry, { from: "answer", age: 0 });
    this.#parts.onUpdate();
  }

  /**
   * Applies a report of another host.
   *
   * @param age age of the report, in milliseconds
   */
  received(incarnations: readonly LeavingUpdate[], age: number): void {
    const { clock, directory } = this.#parts;
    const now = clock.now();
    incarnations
      .map((incarnation) => ({
        incarnation,
        since: now - age - incarnation.age,
      }))
      .filter(({ incarnation, since }) =>
        directory.advertisedLeaving(incarnation, {
          since,
          now,
          origin: "peer",
        }),
      )
      .forEach(({ incarnation, since }) =>
        this.#log(incarnation, { from: "peer", age: now - since }),
      );
  }

  /**
   * Returns what to report to other hosts. With `ownOnly`, leaves out incarnations that
   * other hosts reported.
   */
  updates(options: { readonly ownOnly: boolean }): readonly LeavingUpdate[] {
    const { clock, directory } = this.#parts;
    return directory.leavingUpdates(clock.now(), options);
  }

  #log(
    { id, born }: ServerIncarnation,
    { from, age }: { readonly from: "answer" | "peer"; readonly age: number },
  ): void {
    this.#parts.metrics.event("server_said_leaving");
    this.#parts.logger.info("server says that it leaves", {
      server: id,
      born,
      from,
      ageMilliseconds: Math.round(age),
    });
  }
}
