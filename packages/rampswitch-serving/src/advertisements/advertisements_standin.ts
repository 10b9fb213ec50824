// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Advertised state of servers for tests that do not depend on it.
 *
 * @module
 */
import { SILENT_LOGGER } from "rampswitch-utils";
import type { ServerAdvertisements } from "../model/request.ts";
import { ServingMetrics } from "../observation/mod.ts";
import { AdvertisementReader } from "./server_advertisements.ts";

/** The state of an answer that advertises nothing. */
export const NOTHING_ADVERTISED: ServerAdvertisements = {
  limit: { kind: "nothing" },
  leaving: { kind: "nothing" },
  rest: { kind: "nothing" },
  brittle: { kind: "nothing" },
};

/** Creates a reader whose handlers ignore all advertisements. */
export function ignoringAdvertisementReader(): AdvertisementReader {
  const ignored = { appliesLate: false, receive: () => undefined };
  return new AdvertisementReader({
    logger: SILENT_LOGGER,
    metrics: new ServingMetrics(),
    handlers: {
      limit: ignored,
      leaving: ignored,
      rest: ignored,
      brittle: ignored,
    },
  });
}
