// Copyright 2026 the rampswitch authors. Apache-2.0 license.

import { FaultProxy } from "rampswitch-standins";
import { Ownership, sleep, SYSTEM_CLOCK } from "rampswitch-utils";
import type { Settings } from "rampswitch-validation";
import { EntryChild, StandinsChild } from "./child.ts";
import {
  entrySettings,
  exampleResources,
  type StartedServer,
} from "./deployment_plan.ts";
import type { LocalPlatformOptions } from "./local_platform.ts";
import { countersOf } from "./summed_counters.ts";
import { applyAll, untilInForce } from "./operator.ts";

/** How a deployment is made. */
export interface DeploymentOptions {
  readonly entries: number;
  readonly dataHalls: readonly string[];
  readonly platform: Omit<LocalPlatformOptions, "dataHalls">;
  /** Backend servers beside those of the platform. */
  readonly furtherServers?: readonly StartedServer[];
  readonly workspaces?: readonly string[];
  readonly slots?: number;
  readonly progress?: Settings["slots"]["progress"];
  readonly membership?: Partial<Settings["membership"]>;
  readonly limits?: Partial<Settings["limits"]>;
  readonly machine?: Settings["machine"];
  /** Flags of Node.js for the entry processes. */
  readonly flags?: readonly string[];
  /** Whether peers reach each other through relays that can be cut. */
  readonly relays?: boolean;
}

const IN_FORCE_MILLISECONDS = 15_000;
const SETTLE_POLLS = 100;
const SETTLE_MILLISECONDS = 100;

/** Entry processes with the platform that they run on. */
export class MeasuredDeployment implements AsyncDisposable {
  readonly #owned = new Ownership();
  readonly #options: DeploymentOptions;
  readonly standins: StandinsChild;
  #entries: readonly EntryChild[] = [];
  #listed: ReadonlySet<string> = new Set();
  #relays: ReadonlyMap<string, FaultProxy> = new Map();

  private constructor(options: DeploymentOptions, standins: StandinsChild) {
    this.#options = options;
    this.standins = this.#owned.own(standins);
  }

  /** Starts everything and puts the example resources in force. */
  static async start(options: DeploymentOptions): Promise<MeasuredDeployment> {
    const standins = await StandinsChild.start({
      ...options.platform,
      dataHalls: options.dataHalls,
    });
    const deployment = new MeasuredDeployment(options, standins);
    const names = Array.from(
      { length: options.entries },
      (_, index) => `entry-${index + 1}`,
    );
    await Promise.all(names.map((name) => deployment.startEntry(name)));
    await Promise.all(deployment.entries.map((entry) => entry.line()));
    await deployment.#untilSettled();
    const addresses = deployment.entries.map(
      (entry) => entry.addresses.administration,
    );
    const revision = await applyAll(
      addresses[0] ?? "",
      exampleResources(
        [...standins.listening.servers, ...(options.furtherServers ?? [])],
        options.workspaces,
      ),
    );
    await untilInForce(addresses, revision, {
      milliseconds: IN_FORCE_MILLISECONDS,
    });
    return deployment;
  }

  /** Entry processes that run. */
  get entries(): readonly EntryChild[] {
    return this.#entries.filter((entry) => entry.running);
  }

  /** Starts an entry process; its second line says that it is ready. */
  async startEntry(name: string): Promise<EntryChild> {
    const { dataHalls } = this.#options;
    const number = Number(name.split("-")[1]) - 1;
    const dataHall = dataHalls[number % dataHalls.length] ?? "hall-a";
    const relay =
      this.#options.relays === true ? await FaultProxy.start() : undefined;
    const entry = this.#owned.own(
      await EntryChild.start(
        entrySettings(name, dataHall, {
          ...this.#options,
          platform: this.standins.listening.platform,
          advertise: relay === undefined ? {} : { peers: relay.address },
        }),
        this.#options.flags,
      ),
    );
    if (relay !== undefined) {
      relay.target = entry.addresses.peers;
      this.#relays = new Map(this.#relays).set(name, this.#owned.own(relay));
    }
    this.#entries = [...this.#entries, entry];
    await this.#list(new Set([...this.#listed, name]));
    return entry;
  }

  /** Cuts, or mends, the links over which peers reach a host. */
  cutLinks(name: string, cut: boolean): void {
    this.#relays.get(name)?.setMode(cut ? "reset" : "open");
  }

  /** Takes a host off the platform's list. */
  async unlist(name: string): Promise<void> {
    await this.#list(
      new Set([...this.#listed].filter((listed) => listed !== name)),
    );
  }

  /** Sets faults of a stand-in at its control address. */
  async control(address: string, faults: unknown): Promise<void> {
    await fetch(`http://${address}/control`, {
      method: "POST",
      body: JSON.stringify(faults),
    });
  }

  /** Reads a control path of a stand-in. */
  async read(address: string, path: string): Promise<unknown> {
    return await (await fetch(`http://${address}/control/${path}`)).json();
  }

  /** Waits until all hosts know each other and have backups. */
  async #untilSettled(): Promise<void> {
    const peers = this.entries.length - 1;
    for (let poll = 0; poll < SETTLE_POLLS; poll += 1) {
      const counters = await Promise.all(this.entries.map(countersOf));
      const settled = counters.every(
        (own) =>
          own["members_trusted"] === peers &&
          (peers === 0 || own["slots_without_backup"] === 0),
      );
      if (settled) return;
      await sleep(SYSTEM_CLOCK, SETTLE_MILLISECONDS);
    }
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.#owned[Symbol.asyncDispose]();
  }

  async #list(names: ReadonlySet<string>): Promise<void> {
    this.#listed = names;
    await this.control(this.standins.listening.platform.hostList, {
      hosts: [...names].map((name) => ({ name, state: "live" })),
    });
  }
}
