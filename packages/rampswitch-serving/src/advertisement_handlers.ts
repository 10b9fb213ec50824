// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Connects each kind of advertisement in servers' answers with the part of a host that
 * applies it.
 *
 * @module
 */
import type {
  AdvertisementHandlers,
  BackOffAdvertisements,
  LeavingAdvertisements,
} from "./advertisements/mod.ts";
import type { BrittleServers } from "./brittle/mod.ts";
import type { ServerPermits } from "./server_limits/mod.ts";

/** The parts of a host that apply advertisements. */
export interface AdvertisementTargets {
  readonly permits: Pick<ServerPermits, "recordAdvertised">;
  readonly leaving: Pick<LeavingAdvertisements, "read">;
  readonly brittle: Pick<BrittleServers, "recordAdvertised">;
  readonly backOffs: Pick<BackOffAdvertisements, "read">;
}

/** Creates the handlers of one host. */
export function advertisementHandlers({
  permits,
  leaving,
  brittle,
  backOffs,
}: AdvertisementTargets): AdvertisementHandlers {
  return {
    limit: {
      appliesLate: false,
      receive: (record, perSecond) =>
        permits.recordAdvertised(record, perSecond),
    },
    leaving: {
      appliesLate: true,
      receive: (record, leaves) => {
        if (leaves !== undefined) leaving.read(record);
      },
    },
    brittle: {
      appliesLate: false,
      receive: (record, bound) => brittle.recordAdvertised(record, bound),
    },
    rest: {
      appliesLate: false,
      receive: (record, milliseconds) => {
        if (milliseconds !== undefined) backOffs.read(record, milliseconds);
      },
    },
  };
}
