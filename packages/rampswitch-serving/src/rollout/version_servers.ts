// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Selects the servers that are used for a version. Pure.
 *
 * @module
 */
import { rendezvousOrder } from "rampswitch-utils";
import type { ServerRecord } from "../choice/mod.ts";
import type { Rollout } from "./rollout.ts";
import type { VersionChoice } from "./rollouts.ts";

/**
 * Minimum number of canary servers: a failure of one server alone is not a
 * fault of its version.
 */
const MINIMUM_CANARY_SERVERS = 2;

/**
 * Servers of the version with the most servers; on a tie, of the version that
 * is first by name.
 */
export function serversOfMostCommonVersion(
  records: readonly ServerRecord[],
): readonly ServerRecord[] {
  const versions = [...new Set(records.map(({ entry }) => entry.version))];
  const [most = []] = versions
    .toSorted()
    .map((version) => records.filter(({ entry }) => entry.version === version))
    .toSorted((left, right) => right.length - left.length);
  return most;
}

/**
 * Leaves out the servers of some versions, unless no other one that may be chosen is
 * usable.
 */
export function withoutVersions(
  { first, fallback }: VersionChoice,
  versions: ReadonlySet<string>,
  isUsable: (record: ServerRecord) => boolean,
): VersionChoice {
  const isOther = ({ entry }: ServerRecord) => !versions.has(entry.version);
  const others = {
    first: first.filter(isOther),
    fallback: fallback?.filter(isOther),
  };
  return [...others.first, ...(others.fallback ?? [])].some(isUsable)
    ? others
    : { first, fallback };
}

/**
 * The canary's servers, the same on all hosts. There are just enough of them
 * that each carries the load that it would carry after the promotion.
 */
export function canaryServers(
  rollout: Rollout,
  records: readonly ServerRecord[],
  now: number,
): readonly ServerRecord[] {
  const working = records.filter(
    (record) => record.isReady && !record.isEjected(now),
  );
  const count = Math.max(
    MINIMUM_CANARY_SERVERS,
    Math.ceil(rollout.share * records.length),
  );
  const byId = new Map(working.map((record) => [record.entry.id, record]));
  return rendezvousOrder(rollout.spec.toVersion, [...byId.keys()])
    .slice(0, count)
    .flatMap((id) => byId.get(id) ?? []);
}
