// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Servers that say themselves that they leave: heard in answers and of other hosts,
 * and told to those.
 *
 * @module
 */
import type { Clock, Logger } from "rampswitch-utils";
import type {
  LeavingNews,
  ServerDirectory,
  ServerRecord,
} from "../choice/mod.ts";
import type { ServerLife } from "../model/backend_server.ts";
import type { ServingMetrics } from "../observation/mod.ts";

/** What such statements are taken in with. */
export interface LeavingStatementsParts {
  /** A steady clock. */
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: ServingMetrics;
  readonly directory: ServerDirectory;
  /** Something is new that the other hosts should hear at once. */
  onNews(): void;
}

/** Takes in that servers leave by their own word. */
export class LeavingStatements {
  readonly #parts: LeavingStatementsParts;

  constructor(parts: LeavingStatementsParts) {
    this.#parts = parts;
  }

  /** An answer of a server said so. */
  read({ entry }: ServerRecord): void {
    const { clock, directory } = this.#parts;
    const now = clock.now();
    const statement = { since: now, now, origin: "answer" as const };
    if (!directory.saidLeaving(entry, statement)) return;
    this.#tell(entry, { from: "answer", age: 0 });
    this.#parts.onNews();
  }

  /** Another host told of some, so many milliseconds ago. */
  heard(lives: readonly LeavingNews[], age: number): void {
    const { clock, directory } = this.#parts;
    const now = clock.now();
    lives
      .map((life) => ({ life, since: now - age - life.age }))
      .filter(({ life, since }) =>
        directory.saidLeaving(life, { since, now, origin: "peer" }),
      )
      .forEach(({ life, since }) =>
        this.#tell(life, { from: "peer", age: now - since }),
      );
  }

  /** What to tell other hosts; of what they told themselves, only if asked. */
  news(options: { readonly ownOnly: boolean }): readonly LeavingNews[] {
    const { clock, directory } = this.#parts;
    return directory.leavingNews(clock.now(), options);
  }

  #tell(
    { id, born }: ServerLife,
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
