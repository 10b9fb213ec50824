// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Roll-outs for tests of parts that depend on them but don't test them.
 *
 * @module
 */
import { SILENT_LOGGER } from "rampswitch-utils";
import { ServerDirectory } from "../choice/mod.ts";
import { ServingMetrics } from "../observation/mod.ts";
import { Rollouts } from "./rollouts.ts";
import { VersionEvaluator } from "./version_evaluator.ts";

/** Roll-outs of a fleet of one host. */
export function singleHostRollouts(
  directory = new ServerDirectory(),
): Rollouts {
  return new Rollouts(
    {
      directory,
      logger: SILENT_LOGGER,
      metrics: new ServingMetrics(),
      terms: () => ({ share: 0.1, slack: 0 }),
      fleetPosition: () => ({ rank: 0, hosts: 1 }),
      createEvaluator: () => new VersionEvaluator(),
      onPromoting: () => undefined,
      onUnknownVersion: () => undefined,
    },
    0,
  );
}

/** A roll-out store without specs. */
export const EMPTY_ROLLOUT_STORE = {
  follow: () => undefined,
  store: () => Promise.resolve(),
};
