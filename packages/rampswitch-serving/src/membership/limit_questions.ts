// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Questions of one host to its relay whether requests fit into the limits of
 * workspaces.
 *
 * @module
 */
import type { Clock } from "rampswitch-utils";
import type { LimitDecision } from "../admission/mod.ts";
import type { LimitAnswer, LimitQuestion } from "./peer_news.ts";
import { Questions } from "./questions.ts";

/** What is asked of a relay. */
export type LimitRequest = Pick<
  LimitQuestion,
  "workspace" | "tokens" | "priority"
>;

/**
 * Time for an answer, in milliseconds: some turns of the loop of a busy relay in
 * the same data hall, and well below the shortest targets of requests.
 */
const ANSWER_MILLISECONDS = 60;

/** Questions that are not answered yet. */
export class LimitQuestions extends Questions<LimitRequest, LimitDecision> {
  /** `onUnused` hears of admissions that came too late to be used. */
  constructor(clock: Clock, onUnused: (request: LimitRequest) => void) {
    super(clock, {
      answerMilliseconds: ANSWER_MILLISECONDS,
      onLate: (request, decision) => {
        if (decision.kind === "admitted") onUnused(request);
      },
    });
  }

  /** Takes in an answer. */
  answered({ id, decision }: LimitAnswer): void {
    this.replied(id, decision);
  }
}
