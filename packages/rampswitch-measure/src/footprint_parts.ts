// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Slopes of single parts of an entry host, measured within this process.
 *
 * @module
 */
import { create, toBinary } from "@bufbuild/protobuf";
import {
  applyDeltas,
  type ConfigurationState,
  decideChange,
  type Delta,
  digestsToSend,
  EMPTY_CONFIGURATION,
  EMPTY_HEAD,
  type Head,
  type HostDigest,
  type Members,
  mergeDigests,
  snapshotParts,
} from "rampswitch-configuration";
import { HeartbeatRequestSchema, HostDigestSchema } from "rampswitch-peer";
import { RoutingTable } from "rampswitch-policy";
import {
  decidePlacement,
  firstEntry,
  type PlacementHost,
  type SlotEntry,
  SlotReplica,
} from "rampswitch-protocol";
import type { Resource } from "rampswitch-types";
import { seededRandom } from "rampswitch-utils";
import { exampleResources, SERVICES } from "./deployment_plan.ts";
import { fitSlope, heapBytes, microseconds, type Slope } from "./slopes.ts";

const SERVERS = [100, 400, 1_600, 6_600] as const;
const HOSTS = [9, 36, 90, 360] as const;
const KEYS = [1_000, 4_000, 16_000, 64_000] as const;
const RULES = [10, 40, 160, 640] as const;
const CHANGES = [8, 32, 128, 256] as const;
const SLOTS_PER_HOST = 4;
const DIGESTS_PER_MESSAGE = 8;
const SLOTS_PER_OBJECT = 16;
const TIMES = { retention: 900_000, clockSkew: 2_000 };

/** All slopes of parts, by name. */
export function partSlopes(): Readonly<Record<string, Slope>> {
  return {
    ...serverSlopes(),
    ...ruleSlopes(),
    ...changeSlopes(),
    ...memberSlopes(),
    ...slotSlopes(),
    ...keySlopes(),
  };
}

function serverSlopes(): Readonly<Record<string, Slope>> {
  const per = "backend servers";
  return {
    revisionTakenIn: fitSlope(
      SERVERS.map((size) => {
        const state = stateOf(servers(size));
        const delta = labelChange(state.revision + 1);
        const value = microseconds(() => {
          const next = applyDeltas(state, [delta]);
          new RoutingTable(resourcesIn(next));
        });
        return { size, value };
      }),
      { unit: "microseconds", per },
    ),
    configurationHeap: fitSlope(
      SERVERS.map((size) => ({
        size,
        value: heapBytes(() => {
          const state = stateOf(servers(size));
          return [state, new RoutingTable(resourcesIn(state))];
        }),
      })),
      { unit: "bytes", per },
    ),
    snapshotSize: fitSlope(
      SERVERS.map((size) => ({
        size,
        value: snapshotParts(stateOf(servers(size))).join("").length,
      })),
      { unit: "bytes", per },
    ),
  };
}

function ruleSlopes(): Readonly<Record<string, Slope>> {
  return {
    routeCompiled: fitSlope(
      RULES.map((size) => {
        const rules = Array.from({ length: size }, (_, index): Resource => ({
          kind: "RoutingRule",
          name: `rule-${index}`,
          labels: {},
          priority: index,
          services: { matchLabels: { tier: `none-${index}` } },
          workspaces: {},
          targets: [{ selector: {}, priority: 0 }],
        }));
        const resources = [...servers(100), ...rules];
        const value = microseconds(() => {
          const table = new RoutingTable(resources);
          const service = table.services.get(SERVICES.model);
          const workspace = table.workspaces.get("landlords");
          if (service !== undefined && workspace !== undefined) {
            table.route(service, workspace);
          }
        });
        return { size, value };
      }),
      { unit: "microseconds", per: "routing rules" },
    ),
  };
}

function changeSlopes(): Readonly<Record<string, Slope>> {
  const heads = CHANGES.map((size) => ({ size, head: headOf(size) }));
  return {
    headSize: fitSlope(
      heads.map(({ size, head }) => ({
        size,
        value: JSON.stringify(head).length,
      })),
      { unit: "bytes", per: "changes since the last snapshot" },
    ),
    headParsed: fitSlope(
      heads.map(({ size, head }) => {
        const text = JSON.stringify(head);
        return { size, value: microseconds(() => JSON.parse(text) as unknown) };
      }),
      { unit: "microseconds", per: "changes since the last snapshot" },
    ),
  };
}

function memberSlopes(): Readonly<Record<string, Slope>> {
  const per = "entry hosts";
  const random = seededRandom(1);
  const sent = (members: Members) =>
    digestsToSend(members, 0, { count: DIGESTS_PER_MESSAGE, random });
  return {
    heartbeatSize: fitSlope(
      HOSTS.map((size) => ({
        size,
        value: heartbeatBytes(sent(membersOf(size))),
      })),
      { unit: "bytes", per },
    ),
    heartbeatTakenIn: fitSlope(
      HOSTS.map((size) => {
        const members = membersOf(size);
        const heard = sent(members).map((digest) => ({
          ...digest,
          heartbeat: 2,
        }));
        const value = microseconds(() => {
          mergeDigests(members, heard, 1);
          sent(members);
        }, 50);
        return { size, value };
      }),
      { unit: "microseconds", per },
    ),
    memberHeap: fitSlope(
      HOSTS.map((size) => ({ size, value: heapBytes(() => membersOf(size)) })),
      { unit: "bytes", per },
    ),
  };
}

function slotSlopes(): Readonly<Record<string, Slope>> {
  const per = "entry hosts";
  return {
    slotRound: fitSlope(
      HOSTS.map((size) => {
        const hosts = placementHosts(size);
        const replicas = replicasOf(hosts);
        const view = {
          now: 1,
          hosts,
          isGone: () => false,
          reachesStore: true,
        };
        const value = microseconds(
          () => replicas.forEach((replica) => decidePlacement(replica, view)),
          20,
        );
        return { size, value };
      }),
      { unit: "microseconds", per },
    ),
    slotHeap: fitSlope(
      HOSTS.map((size) => ({
        size,
        value: heapBytes(() => replicasOf(placementHosts(size))),
      })),
      { unit: "bytes", per },
    ),
    slotTableSize: fitSlope(
      HOSTS.map((size) => {
        const entries = entriesOf(placementHosts(size)).slice(
          0,
          SLOTS_PER_OBJECT,
        );
        const objects = Math.ceil((size * SLOTS_PER_HOST) / SLOTS_PER_OBJECT);
        return {
          size,
          value: JSON.stringify([...entries.entries()]).length * objects,
        };
      }),
      { unit: "bytes in all objects", per },
    ),
  };
}

function keySlopes(): Readonly<Record<string, Slope>> {
  const per = "keys remembered";
  return {
    keyHeap: fitSlope(
      KEYS.map((size) => ({ size, value: heapBytes(() => claimed(size)) })),
      { unit: "bytes at both holders", per },
    ),
    claimDecided: fitSlope(
      KEYS.map((size) => ({
        size,
        value: microseconds(() => claimed(size), 3),
      })),
      { unit: "microseconds at both holders", per: "claims" },
    ),
  };
}

/** Runs claims through a primary and its backup, to their ends. */
function claimed(keys: number): readonly SlotReplica[] {
  const entry: SlotEntry = {
    epoch: 1,
    primary: "a~1",
    backup: "b~1",
    knownSince: 0,
  };
  const primary = new SlotReplica("a~1", 0, { times: TIMES });
  const backup = new SlotReplica("b~1", 0, { times: TIMES });
  [primary, backup].forEach((replica) => replica.observe(entry));
  Array.from({ length: keys }, (_, index) => {
    const key = `landlords/01900000-0000-7000-8000-${index}`;
    const request = { key, keyTime: undefined, guarded: true };
    primary
      .open(request, 1)
      .flatMap((effect) =>
        effect.kind === "send" ? backup.receive("a~1", effect.message) : [],
      )
      .forEach((effect) => {
        if (effect.kind === "send") primary.receive("b~1", effect.message);
      });
    primary.finish(key, "done").forEach((effect) => {
      if (effect.kind === "send") backup.receive("a~1", effect.message);
    });
  });
  return [primary, backup];
}

function servers(count: number): readonly Resource[] {
  return exampleResources(
    Array.from({ length: count }, (_, index) => ({
      name: `engine-${index}`,
      address: "10.0.0.1:8000",
      dataHall: `hall-${index % 8}`,
      service: SERVICES.model,
    })),
  );
}

function stateOf(resources: readonly Resource[]): ConfigurationState {
  return applyDeltas(EMPTY_CONFIGURATION, [
    {
      revision: 1,
      changeId: "first",
      operator: "operator",
      acceptedAt: 0,
      edits: resources.map((resource) => ({ kind: "put", resource })),
    },
  ]);
}

function resourcesIn(state: ConfigurationState): readonly Resource[] {
  return [...state.resources.values()].map(({ resource }) => resource);
}

function labelChange(revision: number): Delta {
  const [service] = servers(1);
  return {
    revision,
    changeId: `change-${revision}`,
    operator: "operator",
    acceptedAt: 0,
    edits: service === undefined ? [] : [{ kind: "put", resource: service }],
  };
}

function headOf(changes: number): Head {
  return Array.from({ length: changes }, (_, index) => index).reduce<Head>(
    (head, index) => {
      const decision = decideChange(
        head,
        { revision: head.revision, resources: new Map() },
        {
          now: 0,
          request: {
            changeId: `01900000-0000-7000-8000-${index}`,
            operator: "operator",
            baseRevision: index,
            edits: labelChange(index).edits,
          },
        },
      );
      return decision.kind === "append" ? decision.head : head;
    },
    EMPTY_HEAD,
  );
}

function digestOf(index: number): HostDigest {
  return {
    host: {
      id: `entry-${index}~0a1b2c3d`,
      name: `entry-${index}`,
      dataHall: `hall-${index % 8}`,
      peerAddress: "10.0.0.1:7001",
      callerAddress: "10.0.0.1:7000",
      startedAt: 1_780_000_000_000,
    },
    heartbeat: 1,
    revision: 4_000,
    confirmedAge: 800,
    reachesStore: true,
    leaving: false,
    load: 30,
  };
}

function membersOf(count: number): Members {
  const digests = Array.from({ length: count }, (_, index) => digestOf(index));
  return mergeDigests(new Map(), digests, 0).members;
}

function heartbeatBytes(digests: readonly HostDigest[]): number {
  const wire = [digestOf(0), ...digests].map((digest) =>
    create(HostDigestSchema, {
      ...digest,
      host: { ...digest.host, startedAt: BigInt(digest.host.startedAt) },
      heartbeat: BigInt(digest.heartbeat),
      revision: BigInt(digest.revision),
      confirmedAge: BigInt(digest.confirmedAge),
    }),
  );
  const [sender, ...others] = wire;
  const request = create(HeartbeatRequestSchema, {
    others,
    ...(sender === undefined ? {} : { sender }),
  });
  return toBinary(HeartbeatRequestSchema, request).length;
}

function placementHosts(count: number): readonly PlacementHost[] {
  return Array.from({ length: count }, (_, index) => ({
    id: `entry-${index}~0a1b2c3d`,
    name: `entry-${index}`,
    dataHall: `hall-${index % 8}`,
    leaving: false,
  }));
}

function entriesOf(hosts: readonly PlacementHost[]): readonly SlotEntry[] {
  return Array.from({ length: hosts.length * SLOTS_PER_HOST }, (_, slot) =>
    firstEntry(slot, hosts),
  ).filter((entry) => entry !== undefined);
}

function replicasOf(hosts: readonly PlacementHost[]): readonly SlotReplica[] {
  const self = hosts[0]?.id ?? "";
  return entriesOf(hosts).map((entry, slot) => {
    const replica = new SlotReplica(self, slot, { times: TIMES });
    replica.observe(entry);
    return replica;
  });
}
