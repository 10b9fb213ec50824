// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Calls to engines of a host whose requests may go through others. To the host that a
 * run's answer comes through, a stop that this host orders looks like a lost answer. It
 * is told before, since it would stop the run too, and free the memory that it goes on
 * from.
 *
 * @module
 */
import type { EngineControl, MemoryCopy } from "../model/engine_control.ts";
import type { ForwardingClient } from "./forwarding_client.ts";

/** Calls to engines that announce stops to the hosts that pass the answers on. */
export class AnnouncedStops implements EngineControl {
  readonly #control: EngineControl;
  readonly #forwarding: Pick<ForwardingClient, "announceStop">;

  constructor(
    control: EngineControl,
    forwarding: Pick<ForwardingClient, "announceStop">,
  ) {
    this.#control = control;
    this.#forwarding = forwarding;
  }

  report(address: string): ReturnType<EngineControl["report"]> {
    return this.#control.report(address);
  }

  async copyMemory(
    copy: MemoryCopy,
  ): Promise<Awaited<ReturnType<EngineControl["copyMemory"]>>> {
    if (copy.stopsRun) {
      const { attemptId, from } = copy;
      await this.#forwarding.announceStop({ attemptId, address: from });
    }
    return this.#control.copyMemory(copy);
  }

  dropCopy(from: string, handle: string): Promise<boolean> {
    return this.#control.dropCopy(from, handle);
  }
}
