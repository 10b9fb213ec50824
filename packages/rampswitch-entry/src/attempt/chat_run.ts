// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * The state of one chat request that runs on this host.
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

/** One chat request, from its first attempt to its end. */
export interface Run {
  readonly answer: Answer;
  readonly request: ChatRequest;
  readonly service: Service;
  readonly workspace: Workspace;
  readonly repeatable: boolean;
  readonly avoid: Set<string>;
  attempts: number;
  /** Attempts in a row that brought nothing of the answer. */
  fruitless: number;
  server: BackendServer | undefined;
  attempt: string;
  abort: AbortController;
  /** Server that the work is being moved to. */
  moveTo: BackendServer | undefined;
  /**
   * Whether the attempt is ended to move the work. A new attempt clears it, so
   * that a move begun between attempts doesn't hide the failure of the next one
   * from the limit and the budget of retries.
   */
  moving: boolean;
  cancelled: boolean;
  /**
   * Whether an attempt got past the point where it surely did not run. A host
   * calls the engine before others know of the attempt, so that what was taken
   * over may have run even where no attempt is known.
   */
  mayHaveRun: boolean;
}

/** Whether a run begins here, or goes on with what a lost host may have run. */
export type RunOrigin = "new" | "taken_over";

/** Whether a chat request of a service may run twice. */
export function chatRepeatable(service: Service): boolean {
  return service.calls[0]?.repeatable ?? true;
}

/** Prepares the run of an answer; `undefined` where its service is gone. */
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
    fruitless: 0,
    server: undefined,
    attempt: "",
    abort: new AbortController(),
    moveTo: undefined,
    moving: false,
    cancelled: false,
    mayHaveRun: origin === "taken_over",
  };
}

/** What a choice needs of a chat request. */
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

/** Why a run finds no server. */
export function noServerText(run: Run): string {
  return `service ${run.service.name}: no backend server takes new work`;
}

/** An outcome that does not say "not run" once an attempt may have run. */
export function told(
  run: Pick<Run, "mayHaveRun">,
  outcome: Exclude<Outcome, { readonly kind: "completed" }>,
): Outcome {
  return run.mayHaveRun && outcome.kind === "refused_not_run"
    ? inDoubt("backend_lost", outcome.detail)
    : outcome;
}
