// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * The platform's stand-ins and backend servers, in this process.
 *
 * @module
 */
import {
  Cloud,
  DEFAULT_ENGINE_PROFILE,
  Engine,
  type EngineOptions,
  HostList,
  ObjectApi,
  PlainService,
} from "rampswitch-standins";
import type { Resource } from "rampswitch-types";
import { Ownership } from "rampswitch-utils";
import {
  exampleResources,
  type PlatformAddresses,
  SERVICES,
  type StartedServer,
} from "./deployment_plan.ts";

/** What to start. */
export interface LocalPlatformOptions {
  readonly dataHalls: readonly string[];
  readonly engines: number;
  readonly plainServices: number;
  readonly engine?: EngineOptions;
  /** Whether every second engine checks no epochs of orders. */
  readonly halfUnchecked?: boolean;
  /** Requests that each server runs at once. */
  readonly concurrency?: number;
  readonly seed?: number;
}

/** A platform with backend servers. */
export class LocalPlatform implements AsyncDisposable {
  readonly #owned = new Ownership();
  readonly objects: ObjectApi;
  readonly hostList: HostList;
  readonly cloud: Cloud;
  readonly engines: readonly Engine[];
  readonly plainServices: readonly PlainService[];
  readonly servers: readonly StartedServer[];

  private constructor(
    parts: Pick<
      LocalPlatform,
      "objects" | "hostList" | "cloud" | "engines" | "plainServices" | "servers"
    >,
  ) {
    this.objects = this.#owned.own(parts.objects);
    this.hostList = this.#owned.own(parts.hostList);
    this.cloud = this.#owned.own(parts.cloud);
    this.engines = parts.engines.map((engine) => this.#owned.own(engine));
    this.plainServices = parts.plainServices.map((service) =>
      this.#owned.own(service),
    );
    this.servers = parts.servers;
  }

  /** Starts everything. */
  static async start(options: LocalPlatformOptions): Promise<LocalPlatform> {
    const engines = await startMany(options.engines, (index) =>
      Engine.start({
        checksOrderEpoch: checksEpoch(index, options),
        ...options.engine,
        ...(options.concurrency === undefined
          ? {}
          : {
              profile: {
                ...DEFAULT_ENGINE_PROFILE,
                batchSize: options.concurrency,
              },
            }),
      }),
    );
    const plainServices = await startMany(options.plainServices, () =>
      PlainService.start(),
    );
    const hall = (index: number) =>
      options.dataHalls[index % options.dataHalls.length] ?? "hall-a";
    const servers = [
      ...engines.map(({ address }, index) => ({
        name: `engine-${index + 1}`,
        address,
        dataHall: hall(index),
        service: SERVICES.model,
        checksOrderEpoch: checksEpoch(index, options),
        concurrency: options.concurrency ?? DEFAULT_ENGINE_PROFILE.batchSize,
      })),
      ...plainServices.map(({ address }, index) => ({
        name: `report-${index + 1}`,
        address,
        dataHall: hall(index),
        service: SERVICES.plain,
      })),
    ];
    return new LocalPlatform({
      objects: await ObjectApi.start(
        options.seed === undefined ? {} : { seed: options.seed },
      ),
      hostList: await HostList.start(),
      cloud: await Cloud.start(),
      engines,
      plainServices,
      servers,
    });
  }

  /** Addresses for the settings of entry hosts. */
  get addresses(): PlatformAddresses {
    return {
      objects: this.objects.address,
      hostList: this.hostList.address,
      cloud: this.cloud.address,
    };
  }

  /** Example resources for these servers. */
  resources(workspaces?: readonly string[]): readonly Resource[] {
    return exampleResources(this.servers, workspaces);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.#owned[Symbol.asyncDispose]();
  }
}

function startMany<Started>(
  count: number,
  start: (index: number) => Promise<Started>,
): Promise<readonly Started[]> {
  return Promise.all(Array.from({ length: count }, (_, index) => start(index)));
}

function checksEpoch(
  index: number,
  { halfUnchecked }: LocalPlatformOptions,
): boolean {
  return halfUnchecked !== true || index % 2 === 0;
}
