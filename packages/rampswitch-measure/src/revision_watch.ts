// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Watches which revision each entry host has in force, from outside.
 *
 * @module
 */
import { sleep, SYSTEM_CLOCK } from "rampswitch-utils";
import type { EntryChild } from "./child.ts";
import type { MeasuredDeployment } from "./measured_deployment.ts";
import { administration } from "./operator.ts";

const POLL_MILLISECONDS = 50;

interface Sighting {
  readonly at: number;
  readonly revision: number;
  readonly takesWork: boolean;
}

/** What the watch found. */
export interface WatchFindings {
  /** Times that a host showed a lower revision than before. */
  readonly reverted: number;
  /** Longest time that a host took new work behind the newest revision. */
  readonly staleServedMilliseconds: number;
}

/** Polls all hosts until it is stopped. */
export class RevisionWatch {
  readonly #deployment: MeasuredDeployment;
  readonly #sightings = new Map<EntryChild, Sighting[]>();
  readonly #running: Promise<void>;
  #stopped = false;

  constructor(deployment: MeasuredDeployment) {
    this.#deployment = deployment;
    this.#running = this.#run();
  }

  /** Stops and returns what was found. */
  async stop(): Promise<WatchFindings> {
    this.#stopped = true;
    await this.#running;
    const hosts = [...this.#sightings.values()];
    return {
      reverted: hosts.reduce((sum, sightings) => sum + falls(sightings), 0),
      staleServedMilliseconds: Math.round(
        hosts.reduce((most, own) => Math.max(most, this.#stale(own)), 0),
      ),
    };
  }

  /**
   * Milliseconds from the acceptance of a revision until the last host that
   * was answering had it; `undefined` if one never had.
   */
  inForceMilliseconds(
    revision: number,
    acceptedAt: number,
  ): number | undefined {
    const delays = [...this.#sightings.values()].flatMap((sightings) => {
      const seen = sightings.find((sighting) => sighting.revision >= revision);
      const answeredLater = sightings.some(({ at }) => at > acceptedAt);
      const startedLater = (sightings[0]?.at ?? 0) > acceptedAt;
      if (!answeredLater || startedLater) return [];
      return [
        seen === undefined
          ? undefined
          : this.#delay(sightings, seen.at, acceptedAt),
      ];
    });
    const known = delays.filter((delay) => delay !== undefined);
    return known.length < delays.length ? undefined : Math.max(0, ...known);
  }

  /** Time behind, not counting the time in which a host answered nothing. */
  #delay(
    sightings: readonly Sighting[],
    seenAt: number,
    acceptedAt: number,
  ): number {
    const before = sightings.filter(({ at }) => at <= seenAt);
    const silent = before.reduce((sum, { at }, index) => {
      const from = Math.max(acceptedAt, before[index - 1]?.at ?? at);
      const gap = at - from;
      return gap > SILENCE_MILLISECONDS ? sum + gap : sum;
    }, 0);
    return Math.max(0, seenAt - acceptedAt - silent);
  }

  #stale(own: readonly Sighting[]): number {
    const newest = this.#newestByTime();
    let since: number | undefined;
    let longest = 0;
    own.forEach(({ at, revision, takesWork }) => {
      const behind = takesWork && revision < newest(at - POLL_MILLISECONDS * 2);
      if (!behind) since = undefined;
      else {
        since ??= at;
        longest = Math.max(longest, at - since);
      }
    });
    return longest;
  }

  /** The highest revision that any host had shown by a time. */
  #newestByTime(): (at: number) => number {
    const all = [...this.#sightings.values()]
      .flat()
      .toSorted((left, right) => left.at - right.at);
    return (at) =>
      all.reduce(
        (most, sighting) =>
          sighting.at <= at ? Math.max(most, sighting.revision) : most,
        0,
      );
  }

  async #run(): Promise<void> {
    while (!this.#stopped) {
      await Promise.all(
        this.#deployment.entries.map((entry) => this.#look(entry)),
      );
      await sleep(SYSTEM_CLOCK, POLL_MILLISECONDS);
    }
  }

  async #look(entry: EntryChild): Promise<void> {
    const answer = (await Promise.race([
      administration(entry.addresses.administration, "/v1/revisions/0"),
      sleep(SYSTEM_CLOCK, SILENCE_MILLISECONDS),
    ])) as
      | {
          readonly revisionHere?: number;
          readonly takesNewWork?: boolean;
        }
      | undefined;
    if (answer?.revisionHere === undefined) return;
    const known = this.#sightings.get(entry) ?? [];
    known.push({
      at: SYSTEM_CLOCK.now(),
      revision: answer.revisionHere,
      takesWork: answer.takesNewWork ?? false,
    });
    this.#sightings.set(entry, known);
  }
}

const SILENCE_MILLISECONDS = 300;

function falls(sightings: readonly Sighting[]): number {
  return sightings.filter(
    ({ revision }, index) =>
      revision < (sightings[index - 1]?.revision ?? revision),
  ).length;
}
