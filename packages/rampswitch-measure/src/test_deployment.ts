// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * A deployment within one process, for tests.
 *
 * @module
 */
import { EntryProcess } from "rampswitch-entry";
import type { Resource } from "rampswitch-types";
import {
  type Clock,
  Ownership,
  SILENT_LOGGER,
  sleep,
  SYSTEM_CLOCK,
} from "rampswitch-utils";
import type { Settings } from "rampswitch-validation";
import { Caller } from "./caller.ts";
import { entrySettings } from "./deployment_plan.ts";
import { LocalPlatform, type LocalPlatformOptions } from "./local_platform.ts";
import { applyAll, untilInForce } from "./operator.ts";

/** What to start. */
export interface TestDeploymentOptions {
  readonly entries?: number;
  readonly platform?: Partial<LocalPlatformOptions>;
  readonly limits?: Partial<Settings["limits"]>;
  readonly capacity?: Settings["capacity"];
  /** Clock of the entry hosts; that of the system when left out. */
  readonly clock?: Clock;
  /** Changes the example resources. */
  readonly resources?: (resources: readonly Resource[]) => readonly Resource[];
}

const DATA_HALLS = ["hall-a", "hall-b"] as const;
const MEMBERSHIP = { heartbeatMilliseconds: 100, suspectMilliseconds: 600 };
const WAIT_MILLISECONDS = 20_000;
const POLL_MILLISECONDS = 20;

/** Entry processes, callers of each, and the platform. */
export class TestDeployment implements AsyncDisposable {
  readonly #owned = new Ownership();
  readonly platform: LocalPlatform;
  readonly #options: TestDeploymentOptions;
  entries: readonly EntryProcess[] = [];
  callers: readonly Caller[] = [];

  private constructor(platform: LocalPlatform, options: TestDeploymentOptions) {
    this.platform = this.#owned.own(platform);
    this.#options = options;
  }

  /** Starts everything and puts the resources in force. */
  static async start(
    options: TestDeploymentOptions = {},
  ): Promise<TestDeployment> {
    const platform = await LocalPlatform.start({
      dataHalls: DATA_HALLS,
      engines: 2,
      plainServices: 2,
      engine: { timeScale: 4 },
      ...options.platform,
    });
    const deployment = new TestDeployment(platform, options);
    await Promise.all(
      Array.from({ length: options.entries ?? 1 }, (_, index) =>
        deployment.startEntry(index),
      ),
    );
    await until(() => deployment.entries.every(isSettled(deployment)));
    const resources = platform.resources();
    const revision = await applyAll(
      deployment.administration(0),
      options.resources?.(resources) ?? resources,
    );
    await untilInForce(
      deployment.entries.map((_, index) => deployment.administration(index)),
      revision,
      { milliseconds: WAIT_MILLISECONDS },
    );
    return deployment;
  }

  /** Administration address of an entry host. */
  administration(index: number): string {
    return this.entries[index]?.addresses.administration ?? "";
  }

  /** A caller of an entry host. */
  caller(index = 0): Caller {
    const caller = this.callers[index];
    if (caller === undefined) throw new Error(`no entry host ${index}`);
    return caller;
  }

  /** Starts an entry host. */
  async startEntry(index: number): Promise<EntryProcess> {
    const entry = await EntryProcess.start(
      entrySettings(
        `entry-${index + 1}`,
        DATA_HALLS[index % DATA_HALLS.length] ?? "hall-a",
        {
          platform: this.platform.addresses,
          membership: MEMBERSHIP,
          slots: 16,
          limits: { stopMilliseconds: 5_000, ...this.#options.limits },
          capacity: this.#options.capacity ?? { enabled: false },
        },
      ),
      { clock: this.#options.clock ?? SYSTEM_CLOCK, logger: SILENT_LOGGER },
    );
    this.#owned.own(entry);
    const caller = this.#owned.own(new Caller(entry.addresses.callers));
    await entry.untilReady();
    this.entries = [...this.entries, entry];
    this.callers = [...this.callers, caller];
    return entry;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.#owned[Symbol.asyncDispose]();
  }
}

/** Whether a host knows its peers and has backups for its slots. */
function isSettled(deployment: TestDeployment) {
  const peers = deployment.entries.length - 1;
  return ({ metrics }: EntryProcess): boolean => {
    const totals = metrics.totals();
    return (
      totals["members_trusted"] === peers &&
      (peers === 0 || totals["slots_without_backup"] === 0)
    );
  };
}

/** Waits until something holds. */
export async function until(holds: () => boolean): Promise<void> {
  const deadline = SYSTEM_CLOCK.now() + WAIT_MILLISECONDS;
  while (!holds()) {
    if (SYSTEM_CLOCK.now() > deadline) throw new Error("never came to hold");
    await sleep(SYSTEM_CLOCK, POLL_MILLISECONDS);
  }
}
