// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Queries of a host to its relay: does a request fit into the limits of its
 * workspace?
 *
 * @module
 */
import type { Clock } from "rampswitch-utils";
import type { LimitDecision, LimitRequest } from "../admission/mod.ts";
import type { LimitAnswer } from "./peer_messages.ts";
import { PendingQueries } from "./pending_queries.ts";

/**
 * Timeout of an answer, in milliseconds: a few event-loop iterations of a busy
 * relay in the same data hall, and well below the shortest latency targets of
 * requests.
 */
const ANSWER_TIMEOUT_MILLISECONDS = 60;

/** Limit queries that wait for an answer. */
export class LimitQueries extends PendingQueries<LimitRequest, LimitDecision> {
  /** Calls `onUnusedAdmission` for each admission that arrived after the timeout. */
  constructor(
    clock: Clock,
    onUnusedAdmission: (request: LimitRequest) => void,
  ) {
    super(clock, {
      answerTimeoutMilliseconds: ANSWER_TIMEOUT_MILLISECONDS,
      onLate: (request, decision) => {
        if (decision.kind === "admitted") onUnusedAdmission(request);
      },
    });
  }

  /** Resolves the query that an answer belongs to. */
  receiveAnswer({ id, decision }: LimitAnswer): void {
    this.receiveReply(id, decision);
  }
}
