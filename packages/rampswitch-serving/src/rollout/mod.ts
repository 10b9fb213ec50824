// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Roll-outs: a service's traffic is shifted to servers of another version. The
 * version is evaluated on the way, and rolled back if it is bad.
 *
 * @module
 */
export type {
  ExposureTerms,
  RolloutSpec as RolloutOrder,
  RolloutSpecAdapter as RolloutOrders,
  StoredRollout,
  StoredRolloutState,
} from "./rollout_spec.ts";
export type {
  RolloutUpdate as RolloutNews,
  RolloutProgress as RolloutWork,
  SendObserver as SentRequest,
} from "./rollout.ts";
export { type DueState, Rollouts, type VersionChoice } from "./rollouts.ts";
export {
  type CountedAnswers,
  countedAnswers,
  type VersionArm,
  type VersionCounts,
} from "./version_counts.ts";
export {
  type Evaluator as Judge,
  type EvaluatedStep as JudgedStep,
  type VersionEvidence,
  type VersionFault,
  VersionEvaluator as VersionJudge,
} from "./version_evaluator.ts";
export { RolloutStore } from "./rollout_store.ts";
