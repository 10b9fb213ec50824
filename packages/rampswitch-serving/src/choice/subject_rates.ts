// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Rates of subjects, which are the prompts that share a part. A subject that gets much
 * of the traffic has as many home servers as its prefill fills. Pure; times are in
 * milliseconds on the monotonic clock of this host.
 *
 * @module
 */

/** Time in which earlier work decays by a factor of e, in milliseconds. */
const DECAY_MILLISECONDS = 10_000;

/**
 * Share of a home server's time that the prefill of one subject may take. Other
 * subjects have the same home, and a queue forms long before all time is taken.
 */
const MAXIMUM_HOME_SHARE = 0.5;

/** Maximum number of homes of one subject. */
const MAXIMUM_HOMES = 16;

/** Homes of one subject, as a share of all servers. */
const MAXIMUM_SERVER_SHARE = 0.25;

/** Maximum number of subjects; the one with the oldest request is forgotten first. */
const MAXIMUM_SUBJECTS = 256;

interface SubjectWork {
  /** Prefill time of its requests, each less by its age, in milliseconds. */
  readonly milliseconds: number;
  readonly at: number;
}

/** How often this host gets requests of each subject. */
export class SubjectRates {
  readonly #subjects = new Map<string, SubjectWork>();

  /** Adds a request's prefill time, without its shared parts. */
  add(subject: string, milliseconds: number, now: number): void {
    const known = this.#milliseconds(subject, now);
    this.#subjects.delete(subject);
    this.#subjects.set(subject, {
      milliseconds: known + milliseconds,
      at: now,
    });
    if (this.#subjects.size <= MAXIMUM_SUBJECTS) return;
    const [oldest] = this.#subjects.keys();
    if (oldest !== undefined) this.#subjects.delete(oldest);
  }

  /** Returns the number of home servers of a subject; each host gets an equal part. */
  homes(
    subject: string,
    now: number,
    fleet: { readonly hosts: number; readonly servers: number },
  ): number {
    const share =
      (this.#milliseconds(subject, now) * fleet.hosts) / DECAY_MILLISECONDS;
    const maximum = Math.min(
      MAXIMUM_HOMES,
      Math.floor(fleet.servers * MAXIMUM_SERVER_SHARE),
    );
    return Math.max(
      1,
      Math.min(maximum, Math.ceil(share / MAXIMUM_HOME_SHARE)),
    );
  }

  #milliseconds(subject: string, now: number): number {
    const known = this.#subjects.get(subject);
    if (known === undefined) return 0;
    return known.milliseconds * Math.exp((known.at - now) / DECAY_MILLISECONDS);
  }
}
