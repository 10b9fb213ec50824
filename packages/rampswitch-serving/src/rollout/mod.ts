// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Roll-outs: a service's traffic is shifted to servers of another version. The
 * version is evaluated on the way, and rolled back if it is bad.
 *
 * @module
 */
export type {
  ExposureTerms,
  RolloutSpec,
  RolloutSpecAdapter,
  StoredRollout,
  StoredRolloutState,
} from "./rollout_spec.ts";
export type {
  RolloutUpdate,
  RolloutProgress,
  SendObserver,
} from "./rollout.ts";
export { type DueState, Rollouts, type VersionChoice } from "./rollouts.ts";
export {
  type CountedAnswers,
  countedAnswers,
  type VersionArm,
  type VersionCounts,
} from "./version_counts.ts";
export {
  type Evaluator,
  type EvaluatedStep,
  type VersionEvidence,
  type VersionFault,
  VersionEvaluator,
} from "./version_evaluator.ts";
export { RolloutStore } from "./rollout_store.ts";
export { withoutVersions } from "./version_servers.ts";
