// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Polls the platform for its host list and for reclaim notices. Only a few
 * hosts of each data hall poll; the others receive the results by heartbeats.
 *
 * @module
 */
import type { LeavingMark, Member } from "rampswitch-configuration";
import type { PlacementHost } from "rampswitch-protocol";
import type { Host, ListedHost } from "rampswitch-types";
import { type Clock, rendezvousOrder } from "rampswitch-utils";
import type { CloudClient, HostListClient } from "./platform_clients.ts";

const POLLERS_PER_DATA_HALL = 2;

/** The changes that one poll of the platform found. */
export interface PlatformUpdate {
  readonly leaving: readonly LeavingMark[];
  /** Silent members whose hosts are no longer in the list. */
  readonly gone: readonly Member[];
}

/** Options of {@link PlatformWatch}. */
export interface PlatformWatchOptions {
  readonly hostList: HostListClient;
  readonly cloud: CloudClient;
  readonly clock: Clock;
  /**
   * Silence, in milliseconds, after which a name that is missing from the list
   * proves that its process is gone.
   */
  readonly silentMilliseconds: number;
}

/** Reads the platform's host list and notices and reports what changed. */
export class PlatformWatch {
  readonly #options: PlatformWatchOptions;
  #listedNames: ReadonlySet<string> = new Set();
  #noticeSequence = 0;

  constructor(options: PlatformWatchOptions) {
    this.#options = options;
  }

  /** Reads the host list and the new notices once. */
  async poll(members: readonly Member[]): Promise<PlatformUpdate> {
    const { hostList, cloud, clock } = this.#options;
    const [hosts, notices] = await Promise.all([
      hostList.hosts(),
      cloud.notices(this.#noticeSequence),
    ]);
    const now = clock.now();
    const listed = hosts.isOk ? hosts.value : undefined;
    const gone =
      listed === undefined ? [] : this.#vanished(listed, members, now);
    const newNotices = notices.isOk ? notices.value : [];
    this.#noticeSequence = newNotices.reduce(
      (last, { sequence }) => Math.max(last, sequence),
      this.#noticeSequence,
    );
    return {
      gone,
      leaving: [
        ...(listed ?? []).flatMap((host) => leavingMarks(host, now)),
        ...newNotices.map(({ host, deadline }): LeavingMark => ({
          host,
          source: "cloud_notice",
          since: now,
          deadline,
        })),
      ],
    };
  }

  /** Silent members that were listed before and are no longer listed. */
  #vanished(
    listed: readonly ListedHost[],
    members: readonly Member[],
    now: number,
  ): readonly Member[] {
    const present = new Set(listed.map(({ name }) => name));
    const missing = members.filter(
      ({ digest }) =>
        this.#listedNames.has(digest.host.name) &&
        !present.has(digest.host.name),
    );
    this.#listedNames = new Set([
      ...present,
      ...missing.map(({ digest }) => digest.host.name),
    ]);
    return missing.filter(
      ({ receivedAt: heardAt }) =>
        now - heardAt > this.#options.silentMilliseconds,
    );
  }
}

/** Whether a host is one of the few of its data hall that poll the platform. */
export function isPlatformPoller(
  self: Host,
  hosts: readonly PlacementHost[],
): boolean {
  const names = hosts
    .filter(({ dataHall, leaving }) => dataHall === self.dataHall && !leaving)
    .map(({ name }) => name);
  return rendezvousOrder("platform-poller", names)
    .slice(0, POLLERS_PER_DATA_HALL)
    .includes(self.name);
}

function leavingMarks(
  { name, state, deadline }: ListedHost,
  now: number,
): readonly LeavingMark[] {
  return state === "leaving"
    ? [{ host: name, source: "host_list", since: now, deadline }]
    : [];
}
