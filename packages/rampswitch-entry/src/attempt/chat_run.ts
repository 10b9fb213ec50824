// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * State of one chat request that runs on this host.
 *
 * @module
 */
import type { ChoiceRequest, RoutingTable } from "rampswitch-policy";
import {
  type BackendServer,
  inDoubt,
  type Outcome,
  type Service,
  type Workspace,
} from "rampswitch-types";
import type { Answer } from "../outcome/answer_cache.ts";
import { type ChatRequest, parseChatRequest } from "../intake/chat_request.ts";

/** A chat request from its first attempt to its outcome. */
export interface Run {
  readonly answer: Answer;
  readonly request: ChatRequest;
  readonly service: Service;
  readonly workspace: Workspace;
  readonly repeatable: boolean;
  readonly avoid: Set<string>;
  attempts: number;
  /**
   * Consecutive failed attempts. Counting restarts at 1 with a failed attempt
   * that delivered a part of the answer.
   */
  failuresSinceProgress: number;
  server: BackendServer | undefined;
  attempt: string;
  abort: AbortController;
  /** Server that the run is being migrated to. */
  migrationTarget: BackendServer | undefined;
  /**
   * Whether the current attempt is being ended for a migration. A new attempt
   * resets it. Otherwise a migration started between two attempts would exempt
   * the failure of the second from the retry limit and the retry budget.
   */
  migrating: boolean;
  cancelled: boolean;
  /**
   * Whether an attempt may have run. It is true from the start for a request
   * taken over from another host: a host calls the engine before other hosts
   * know of the attempt, so the request may have run without a known attempt.
   */
  mayHaveRun: boolean;
}

/**
 * Whether a run begins on this host or continues a request that a lost host may
 * have run.
 */
export type RunOrigin = "new" | "taken_over";

/** Whether a chat request to a service may run twice. */
export function chatRepeatable(service: Service): boolean {
  return service.calls[0]?.repeatable ?? true;
}

/**
 * Prepares the run for an answer. Returns `undefined` if its service or
 * workspace no longer exists or its body can't be parsed.
 */
export function prepareRun(
  answer: Answer,
  origin: RunOrigin,
  routing: RoutingTable,
): Run | undefined {
  const { envelope } = answer;
  const service = routing.services.get(envelope.service);
  const workspace = routing.workspaces.get(envelope.workspace);
  const request = parseChatRequest(envelope.body);
  if (service === undefined || workspace === undefined || request.isErr) {
    return undefined;
  }
  return {
    answer,
    request: request.value,
    service,
    workspace,
    repeatable: chatRepeatable(service),
    avoid: new Set(),
    attempts: 0,
    failuresSinceProgress: 0,
    server: undefined,
    attempt: "",
    abort: new AbortController(),
    migrationTarget: undefined,
    migrating: false,
    cancelled: false,
    mayHaveRun: origin === "taken_over",
  };
}

/** The values of a chat request that the choice of a server needs. */
export function choiceRequest(
  request: ChatRequest,
  service: Service,
  avoid: ReadonlySet<string>,
): ChoiceRequest {
  return {
    blocks: request.blocks,
    conversation: request.conversation,
    earlierTokens: request.earlierTokens,
    promptTokens: request.promptTokens,
    expectedTokens: request.maximumTokens,
    targetMilliseconds: service.targetMilliseconds,
    weights: service.weights,
    avoid,
  };
}

/** Detail of the refusal of a run for which no server is available. */
export function noServerDetail(run: Run): string {
  return `service ${run.service.name}: no backend server takes new work`;
}

/** Turns "not run" into "in doubt" if an earlier attempt may have run. */
export function outcomeWithCertainty(
  run: Pick<Run, "mayHaveRun">,
  outcome: Exclude<Outcome, { readonly kind: "completed" }>,
): Outcome {
  return run.mayHaveRun && outcome.kind === "refused_not_run"
    ? inDoubt("backend_lost", outcome.detail)
    : outcome;
}
