// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Settings and resources of a deployment on one machine.
 *
 * @module
 */
import type { Resource } from "rampswitch-types";
import { sha256 } from "rampswitch-utils";
import { SETTINGS_SCHEMA, type Settings } from "rampswitch-validation";

/** Key of the example workspaces, by name. */
export function workspaceKey(name: string): string {
  return `key-of-${name}-for-local-use`;
}

/** Token of the example operator. */
export const OPERATOR_TOKEN = "operator-token-for-local-use";

/** Addresses of the platform's stand-ins. */
export interface PlatformAddresses {
  readonly objects: string;
  readonly hostList: string;
  readonly cloud: string;
}

/** Settings of one entry host, changed where a trial needs it. */
export function entrySettings(
  name: string,
  dataHall: string,
  options: {
    readonly platform: PlatformAddresses;
    readonly slots?: number;
    readonly progress?: Settings["slots"]["progress"];
    readonly membership?: Partial<Settings["membership"]>;
    readonly limits?: Partial<Settings["limits"]>;
    readonly log?: Settings["log"]["level"];
    readonly listen?: Partial<Settings["listen"]>;
    readonly advertise?: Settings["advertise"];
    readonly capacity?: Settings["capacity"];
    readonly machine?: Settings["machine"];
  },
): Settings {
  return SETTINGS_SCHEMA.parse({
    host: { name, dataHall },
    listen: {
      callers: "127.0.0.1:0",
      peers: "127.0.0.1:0",
      administration: "127.0.0.1:0",
      ...options.listen,
    },
    advertise: options.advertise ?? {},
    capacity: options.capacity ?? {},
    peerSecret: "a-secret-for-local-use-only",
    platform: options.platform,
    operators: [
      {
        name: "operator",
        role: "change",
        tokenHash: sha256(OPERATOR_TOKEN),
      },
    ],
    slots: {
      count: options.slots ?? 32,
      progress: options.progress ?? "batch",
    },
    limits: options.limits ?? {},
    machine: options.machine ?? {},
    membership: options.membership ?? {},
    log: { level: options.log ?? "warn" },
  });
}

/** A backend server that was started for the deployment. */
export interface StartedServer {
  readonly name: string;
  readonly address: string;
  readonly dataHall: string;
  readonly service: string;
  readonly hostClass?: string;
  readonly concurrency?: number;
  /** Whether it refuses orders of a former holder. */
  readonly checksOrderEpoch?: boolean;
}

/** Names of the example services. */
export const SERVICES = { model: "assistant", plain: "reports" } as const;

/** Example resources: two services, their servers, rules and workspaces. */
export function exampleResources(
  servers: readonly StartedServer[],
  workspaces: readonly string[] = ["cooperative", "landlords"],
): readonly Resource[] {
  const halls = [...new Set(servers.map(({ dataHall }) => dataHall))];
  return [
    {
      kind: "Service",
      name: SERVICES.model,
      labels: { tier: "chat" },
      type: "model",
      calls: [],
      targetMilliseconds: 1_000,
      timeoutMilliseconds: 60_000,
      weights: { cost: 1, recomputedTokens: 1 },
    },
    {
      kind: "Service",
      name: SERVICES.plain,
      labels: { tier: "reports" },
      type: "plain",
      calls: [{ methods: ["GET"], repeatable: true }],
      targetMilliseconds: 500,
      timeoutMilliseconds: 10_000,
      weights: { cost: 1, recomputedTokens: 0 },
    },
    ...halls.flatMap((dataHall): readonly Resource[] => [
      {
        kind: "HostClass",
        name: `spot-${dataHall}`,
        labels: {},
        dataHall,
        reclaimable: true,
        dollarsPerHour: 0.4,
        meanHoursToReclaim: 24,
      },
      {
        kind: "HostClass",
        name: `on-demand-${dataHall}`,
        labels: {},
        dataHall,
        reclaimable: false,
        dollarsPerHour: 1.2,
        meanHoursToReclaim: 8_760,
      },
    ]),
    ...servers.map((server): Resource => ({
      kind: "BackendServer",
      name: server.name,
      labels: { hall: server.dataHall },
      service: server.service,
      host: `host-${server.name}`,
      address: server.address,
      dataHall: server.dataHall,
      hostClass: server.hostClass ?? `spot-${server.dataHall}`,
      concurrency: server.concurrency ?? 16,
      contract: {
        checksOrderEpoch: server.checksOrderEpoch ?? true,
        resumesStreams: true,
        movesKeyValueCache: true,
        tellsNotRun: true,
      },
      draining: false,
    })),
    {
      kind: "RoutingRule",
      name: "everywhere",
      labels: {},
      priority: 100,
      services: {},
      workspaces: {},
      targets: [{ selector: {}, priority: 0 }],
    },
    ...workspaces.map((name): Resource => ({
      kind: "Workspace",
      name,
      labels: {},
      keyHashes: [sha256(workspaceKey(name))],
      weight: 1,
      priority: 0,
    })),
  ];
}
