// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Asking the platform for its host list and for reclaim notices. Few hosts of
 * each data hall do it; what they learn travels by heartbeats.
 *
 * @module
 */
import type { LeavingMark, Member } from "rampswitch-configuration";
import type { PlacementHost } from "rampswitch-protocol";
import type { Host, ListedHost } from "rampswitch-types";
import { type Clock, rendezvousOrder } from "rampswitch-utils";
import type { CloudClient, HostListClient } from "./platform_clients.ts";

const POLLERS_PER_DATA_HALL = 2;

/** What was learned in one round. */
export interface PlatformNews {
  readonly leaving: readonly LeavingMark[];
  /** Members whose hosts vanished from the list and that are silent. */
  readonly gone: readonly Member[];
}

/** How the platform is watched. */
export interface PlatformWatchOptions {
  readonly hostList: HostListClient;
  readonly cloud: CloudClient;
  readonly clock: Clock;
  /** Silence after which a vanished name proves its process gone. */
  readonly silentMilliseconds: number;
}

/** Reads the platform's lists and tells what is news in them. */
export class PlatformWatch {
  readonly #options: PlatformWatchOptions;
  #listedNames: ReadonlySet<string> = new Set();
  #noticeSequence = 0;

  constructor(options: PlatformWatchOptions) {
    this.#options = options;
  }

  /** Reads the list and the notices once. */
  async poll(members: readonly Member[]): Promise<PlatformNews> {
    const { hostList, cloud, clock } = this.#options;
    const [hosts, notices] = await Promise.all([
      hostList.hosts(),
      cloud.notices(this.#noticeSequence),
    ]);
    const now = clock.now();
    const listed = hosts.isOk ? hosts.value : undefined;
    const gone =
      listed === undefined ? [] : this.#vanished(listed, members, now);
    const fresh = notices.isOk ? notices.value : [];
    this.#noticeSequence = fresh.reduce(
      (last, { sequence }) => Math.max(last, sequence),
      this.#noticeSequence,
    );
    return {
      gone,
      leaving: [
        ...(listed ?? []).flatMap((host) => listedMark(host, now)),
        ...fresh.map(({ host, deadline }): LeavingMark => ({
          host,
          source: "cloud_notice",
          since: now,
          deadline,
        })),
      ],
    };
  }

  /** Members that were listed once, are not now, and are silent. */
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

/** Whether a host is one of the few of its data hall that ask the platform. */
export function asksPlatform(
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

function listedMark(
  { name, state, deadline }: ListedHost,
  now: number,
): readonly LeavingMark[] {
  return state === "leaving"
    ? [{ host: name, source: "host_list", since: now, deadline }]
    : [];
}
