// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Speed of one incarnation of a backend server: by which factor work there currently
 * takes longer than usual. It follows from what the server reports, from the times of
 * this host's own answers, and from what other hosts learned from theirs. Pure; times
 * are in milliseconds on the monotonic clock of this host.
 *
 * @module
 */

/** Bounds of a slowdown. */
const SLOWDOWN_RANGE = { minimum: 0.25, maximum: 8 };

/** Reported figure of a server at its usual speed. */
const USUAL_FIGURE = 100;

/** Bounds of valid reported figures. */
const FIGURE_RANGE = { minimum: 20, maximum: 2_000 };

/**
 * Time over which a reported figure fades, in milliseconds. Servers change their speed
 * several times per second.
 */
const FIGURE_LIFETIME_MILLISECONDS = 600;

/** Weight of an answer in the learned value. */
const ANSWER_WEIGHT = 0.2;

/** Time in which a learned value decays to 1 by a factor of e, in milliseconds. */
const LEARNED_DECAY_MILLISECONDS = 5_000;

/**
 * Learned slowdown from which a learned value counts. Times of single answers vary, so
 * that smaller values say little about the server.
 */
const NOTABLE_SLOWDOWN = 1.5;

/** Deviation from 1 from which a learned value is reported to peers. */
const REPORTED_RATIO = 1.25;

/** Time for which a value of a peer counts, in milliseconds. */
const PEER_VALUE_LIFETIME_MILLISECONDS = 3_000;

/**
 * Time for which a relay passes values on, and for which a value from a relay counts, in
 * milliseconds: together the lifetime of a peer's value.
 */
const RELAYED_VALUE_LIFETIME_MILLISECONDS = 1_500;

/** Time after which the greatest learned value has decayed to a minor one. */
const LEARNED_LIFETIME_MILLISECONDS =
  LEARNED_DECAY_MILLISECONDS *
  Math.log(Math.log(SLOWDOWN_RANGE.maximum) / Math.log(REPORTED_RATIO));

const LOG_NOTABLE = Math.log(NOTABLE_SLOWDOWN);
const LOG_REPORTED = Math.log(REPORTED_RATIO);

/** A slowdown as hosts learned it. */
export interface LearnedSlowdown {
  readonly slowdown: number;
  /** Number of hosts that learned a value; the slowdown is their median. */
  readonly hosts: number;
}

/** Where a peer's value came from. */
export interface SlowdownSource {
  /** Name of the sender; its later values replace earlier ones. */
  readonly from: string;
  /** Whether a relay sent it, as the median of several hosts. */
  readonly relayed: boolean;
}

interface PeerValue extends LearnedSlowdown {
  readonly until: number;
  readonly relayableUntil: number;
}

/** Speed of one incarnation of a backend server as this host knows it. */
export class ServerSpeed {
  /** Until when anything that was reported, learned or received may count. */
  #activeUntil = -Infinity;
  /** Factor by which work takes longer, as last reported; it fades to 1. */
  #reported = 1;
  #reportedAt = -Infinity;
  /** When the request was sent whose answer had the report. */
  #reportedSentAt = -Infinity;
  /** Factor before the last change, and until when it applied. */
  #former = 1;
  #formerUntil = -Infinity;
  /** Logarithm of the learned slowdown at `#learnedAt`. */
  #learnedLog = 0;
  #learnedAt = 0;
  /** Values of peers by sender; absent before the first one. */
  #peers: Map<string, PeerValue> | undefined;
  /** Median of the peers' values. */
  #peerMedian: (LearnedSlowdown & { readonly until: number }) | undefined;

  /**
   * Applies a figure that the server reported; returns whether it is valid. A figure
   * from an answer to an earlier send than that of the figure in force has no effect.
   */
  reported(
    figure: number,
    now: number,
    { sentAt }: { readonly sentAt: number } = { sentAt: now },
  ): boolean {
    const isValid =
      figure >= FIGURE_RANGE.minimum && figure <= FIGURE_RANGE.maximum;
    if (!isValid) return false;
    const isInForce = now - this.#reportedAt < FIGURE_LIFETIME_MILLISECONDS;
    if (isInForce && sentAt < this.#reportedSentAt) return true;
    this.#former = this.reportedFactor(now);
    this.#formerUntil = now;
    this.#reported = boundedSlowdown(figure / USUAL_FIGURE);
    this.#reportedAt = now;
    this.#reportedSentAt = sentAt;
    this.#extendActivity(now + FIGURE_LIFETIME_MILLISECONDS);
    return true;
  }

  /**
   * Adds the time of one of this host's own answers, as a ratio to the time that was
   * expected at a server of usual speed.
   */
  observed(
    ratio: number,
    now: number,
    { sentAt }: { readonly sentAt: number } = { sentAt: now },
  ): void {
    if (!(ratio > 0)) return;
    const unexplained = Math.log(
      boundedSlowdown(this.#unexplained(ratio, now, sentAt)),
    );
    const known = this.#learnedLogAt(now);
    this.#learnedLog = known + ANSWER_WEIGHT * (unexplained - known);
    this.#learnedAt = now;
    if (Math.abs(this.#learnedLog) >= LOG_REPORTED) {
      this.#extendActivity(now + LEARNED_LIFETIME_MILLISECONDS);
    }
  }

  /** Applies a value that other hosts learned; values out of bounds have no effect. */
  received(value: LearnedSlowdown, now: number, source: SlowdownSource): void {
    const { slowdown, hosts } = value;
    if (!(hosts >= 1) || slowdown !== boundedSlowdown(slowdown)) return;
    const lifetime = source.relayed
      ? RELAYED_VALUE_LIFETIME_MILLISECONDS
      : PEER_VALUE_LIFETIME_MILLISECONDS;
    this.#peers ??= new Map();
    this.#peers.set(source.from, {
      slowdown,
      // Only the values of relays stand for several hosts.
      hosts: source.relayed ? hosts : 1,
      until: now + lifetime,
      relayableUntil: source.relayed
        ? now
        : now + RELAYED_VALUE_LIFETIME_MILLISECONDS,
    });
    this.#updatePeerMedian(now);
    this.#extendActivity(now + lifetime);
  }

  /** Whether anything may be known about the speed; cheap, for most servers. */
  isActive(now: number): boolean {
    return now < this.#activeUntil;
  }

  /** Returns the factor by which work currently takes longer; 1 if nothing is known. */
  slowdown(now: number): number {
    if (now >= this.#activeUntil) return 1;
    const reported = this.reportedFactor(now);
    const learned = this.#learnedByHosts(now);
    if (learned >= LOG_NOTABLE)
      return boundedSlowdown(reported * Math.exp(learned));
    // A server that reports too high figures is no slower than usual.
    if (learned <= -LOG_NOTABLE && reported > 1) {
      return Math.max(1, reported * Math.exp(learned));
    }
    return reported;
  }

  /** Whether anything is known about the speed: a report, or a notable learned value. */
  isKnown(now: number): boolean {
    return (
      this.isReported(now) || Math.abs(this.#learnedByHosts(now)) >= LOG_NOTABLE
    );
  }

  /** Whether a reported figure is in force. */
  isReported(now: number): boolean {
    return now - this.#reportedAt < FIGURE_LIFETIME_MILLISECONDS;
  }

  /** Returns the slowdown by the server's report alone, which fades to 1. */
  reportedFactor(now: number): number {
    const age = now - this.#reportedAt;
    return age < FIGURE_LIFETIME_MILLISECONDS
      ? 1 + (this.#reported - 1) * (1 - age / FIGURE_LIFETIME_MILLISECONDS)
      : 1;
  }

  /** Returns what this host learned, for its peers; `undefined` if it is near 1. */
  ownLearned(now: number): number | undefined {
    if (Math.abs(this.#learnedLog) < LOG_REPORTED) return undefined;
    const learned = this.#learnedLogAt(now);
    return Math.abs(learned) < LOG_REPORTED ? undefined : Math.exp(learned);
  }

  /** Returns the median over this host and its peers, for the members of a relay. */
  learnedByAll(now: number): LearnedSlowdown | undefined {
    const own = this.ownLearned(now);
    const values = [...(this.#peers?.values() ?? [])].filter(
      ({ relayableUntil }) => now < relayableUntil,
    );
    return medianOf(
      own === undefined ? values : [...values, { slowdown: own, hosts: 1 }],
    );
  }

  /**
   * Returns the part of a ratio that the server's reports don't explain. The speed may
   * change while a request runs, so reports explain any ratio between the lowest and
   * the highest factor since its send.
   */
  #unexplained(ratio: number, now: number, sentAt: number): number {
    const current = this.reportedFactor(now);
    const former = this.#formerUntil > sentAt ? this.#former : current;
    const highest = Math.max(current, former);
    const lowest = Math.min(current, former);
    if (ratio > highest) return ratio / highest;
    return ratio < lowest ? ratio / lowest : 1;
  }

  #extendActivity(until: number): void {
    this.#activeUntil = Math.max(this.#activeUntil, until);
  }

  #learnedLogAt(now: number): number {
    return this.#learnedLog === 0
      ? 0
      : this.#learnedLog *
          Math.exp((this.#learnedAt - now) / LEARNED_DECAY_MILLISECONDS);
  }

  /**
   * Logarithm of the learned slowdown over all hosts. The median of several peers takes
   * precedence over this host's own value; that of a single peer, which may be wrong, does
   * not count.
   */
  #learnedByHosts(now: number): number {
    // The value only decays, so small ones need no computation.
    const own =
      Math.abs(this.#learnedLog) < LOG_NOTABLE ? 0 : this.#learnedLogAt(now);
    const peers = this.#peerMedian;
    if (peers === undefined || now >= peers.until || peers.hosts < 2) {
      return own;
    }
    return Math.log(peers.slowdown);
  }

  #updatePeerMedian(now: number): void {
    const peers = this.#peers;
    if (peers === undefined) return;
    peers.forEach(({ until }, name) => {
      if (now >= until) peers.delete(name);
    });
    const values = [...peers.values()];
    const median = medianOf(values);
    this.#peerMedian =
      median === undefined
        ? undefined
        : { ...median, until: Math.max(...values.map(({ until }) => until)) };
  }
}

/** Bounds a slowdown. */
export function boundedSlowdown(slowdown: number): number {
  return Math.min(
    SLOWDOWN_RANGE.maximum,
    Math.max(SLOWDOWN_RANGE.minimum, slowdown),
  );
}

/** Returns the median by hosts; of two middle values, the one nearer to 1. */
function medianOf(
  values: readonly LearnedSlowdown[],
): LearnedSlowdown | undefined {
  if (values.length === 0) return undefined;
  const sorted = values.toSorted(
    (left, right) => left.slowdown - right.slowdown,
  );
  const hosts = sorted.reduce((sum, value) => sum + value.hosts, 0);
  const at = (position: number) => {
    const found = sorted.findIndex(
      (_, index) =>
        sorted
          .slice(0, index + 1)
          .reduce((sum, value) => sum + value.hosts, 0) >= position,
    );
    return sorted[found]?.slowdown ?? 1;
  };
  const lower = at(Math.ceil(hosts / 2));
  const upper = at(Math.floor(hosts / 2) + 1);
  const isLowerNearer = Math.abs(Math.log(lower)) <= Math.abs(Math.log(upper));
  return { slowdown: isLowerNearer ? lower : upper, hosts };
}
