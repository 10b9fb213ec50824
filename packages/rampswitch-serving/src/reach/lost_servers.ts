// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Incarnations of servers whose process may have ended since they were listed, as this
 * host noticed or another one reported. A server may be back under its id as another version
 * before its new entry is read, and a host without a connection to it notices nothing.
 *
 * @module
 */
import type { Clock, Logger } from "rampswitch-utils";
import type { ContactLoss } from "../attempt/mod.ts";
import {
  incarnationId,
  type ServerIncarnation,
} from "../model/backend_server.ts";

/** A lost incarnation in a message to another host; hosts have no common clock. */
export interface LostServerUpdate extends ServerIncarnation {
  /** Milliseconds since a host lost it. */
  readonly age: number;
}

/** Dependencies of the lost servers. */
export interface LostServersParts {
  /** A monotonic clock. */
  readonly clock: Clock;
  readonly logger: Logger;
  /** Whether an incarnation is listed and has not announced that it leaves. */
  isExpected(incarnation: ServerIncarnation): boolean;
  /** Called when there is an update that other hosts should receive at once. */
  onUpdate(): void;
}

/** Who lost an incarnation. */
type LossOrigin =
  /** This host, in a way in which servers that run end no connections. */
  | "here"
  /** This host, maybe at a server that runs on. */
  | "here_unsure"
  /** Another host reported it. */
  | "reported";

interface Loss extends ServerIncarnation {
  /** On the monotonic clock. */
  readonly at: number;
  readonly origin: LossOrigin;
}

/** Time for which a loss is reported to other hosts, in milliseconds. */
const REPORT_LIFETIME_MILLISECONDS = 10_000;

/** Maximum incarnations in one message. */
const MAXIMUM_UPDATES_PER_MESSAGE = 64;

/** Maximum incarnations that are kept. */
const MAXIMUM_INCARNATIONS = 16_384;

/** Time in which the losses of this host are counted, in milliseconds. */
const COUNT_MILLISECONDS = 1_000;

/** More losses of this host in that time are probably due to its own links. */
const MAXIMUM_LOSSES = 32;

/**
 * Time within which several reports are of the same loss, in milliseconds; shorter than a
 * server takes to start again and end once more.
 */
const SAME_LOSS_MILLISECONDS = 200;

/** Incarnations of servers whose process may have ended. */
export class LostServers {
  readonly #parts: LostServersParts;
  /** By incarnation, the latest loss last. */
  readonly #losses = new Map<string, Loss>();
  /** The latest losses of this host that servers which run don't cause. */
  #sure: readonly Loss[] = [];
  #onReported: (incarnation: ServerIncarnation) => void = () => undefined;

  constructor(parts: LostServersParts) {
    this.#parts = parts;
  }

  /** Registers the listener to losses that other hosts report. */
  onReported(listener: (incarnation: ServerIncarnation) => void): void {
    this.#onReported = listener;
  }

  /** When an incarnation was last lost, on the monotonic clock. */
  lostAt(incarnation: ServerIncarnation): number {
    return this.#losses.get(incarnationId(incarnation))?.at ?? -Infinity;
  }

  /** Notes that this host lost an incarnation. */
  lost({ id, born }: ServerIncarnation, { isUnusual }: ContactLoss): void {
    const now = this.#parts.clock.now();
    const isSure = isUnusual && this.#parts.isExpected({ id, born });
    const known = this.#losses.get(incarnationId({ id, born }));
    const origin = isSure ? "here" : "here_unsure";
    const loss = { id, born, at: now, origin } as const;
    this.#add(loss);
    if (!isSure || this.#areMany(loss)) return;
    const isReported =
      known !== undefined &&
      known.origin !== "here_unsure" &&
      isRecent(known, now);
    if (isReported) return;
    this.#parts.logger.info("server lost", { server: id, born });
    this.#parts.onUpdate();
  }

  /** Applies the losses that another host reports, which are `age` milliseconds old. */
  received(updates: readonly LostServerUpdate[], age: number): void {
    const now = this.#parts.clock.now();
    updates
      .slice(0, MAXIMUM_UPDATES_PER_MESSAGE)
      .map(({ id, born, age: own }) => ({ id, born, at: now - age - own }))
      .filter((loss) => loss.at - this.lostAt(loss) > SAME_LOSS_MILLISECONDS)
      .forEach((loss) => {
        this.#add({ ...loss, origin: "reported" });
        this.#onReported(loss);
      });
  }

  /**
   * Returns what to report to other hosts. With `ownOnly`, leaves out what other hosts
   * reported.
   */
  updates({
    ownOnly,
  }: {
    readonly ownOnly: boolean;
  }): readonly LostServerUpdate[] {
    if (this.#losses.size === 0) return [];
    const now = this.#parts.clock.now();
    const recent = [...this.#losses.values()].filter((loss) =>
      isRecent(loss, now),
    );
    const own = recent.filter(({ origin }) => origin === "here");
    const reported = ownOnly
      ? []
      : recent.filter(({ origin }) => origin === "reported");
    return [...reported, ...own]
      .slice(-MAXIMUM_UPDATES_PER_MESSAGE)
      .map(({ id, born, at }) => ({ id, born, age: now - at }));
  }

  /**
   * Whether so many losses came in a short time that this host's links are the likely
   * cause. They are not reported then, also not later.
   */
  #areMany(loss: Loss): boolean {
    this.#sure = [
      ...this.#sure.filter(({ at }) => loss.at - at < COUNT_MILLISECONDS),
      loss,
    ].slice(-MAXIMUM_LOSSES - 1);
    if (this.#sure.length <= MAXIMUM_LOSSES) return false;
    this.#sure.forEach((one) =>
      this.#losses.set(incarnationId(one), { ...one, origin: "here_unsure" }),
    );
    return true;
  }

  #add(loss: Loss): void {
    const name = incarnationId(loss);
    // Deleted first, so that it moves to the end of the order.
    this.#losses.delete(name);
    this.#losses.set(name, loss);
    const [oldest] = this.#losses.keys();
    if (this.#losses.size <= MAXIMUM_INCARNATIONS || oldest === undefined)
      return;
    this.#losses.delete(oldest);
  }
}

function isRecent({ at }: Loss, now: number): boolean {
  return now - at < REPORT_LIFETIME_MILLISECONDS;
}
