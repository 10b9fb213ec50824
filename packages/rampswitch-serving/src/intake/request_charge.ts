// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * What a request is charged to the limit of its workspace.
 *
 * @module
 */
import type { Workspace } from "../model/configuration.ts";
import type { RequestHead } from "../model/request.ts";

/** Tokens, or one for each request, by what the workspace's limit counts. */
export function chargeOf(head: RequestHead, workspace: Workspace): number {
  if (!workspace.countsTokens) return 1;
  return head.promptTokens === undefined
    ? workspace.tokensWithoutEstimate
    : head.promptTokens + (head.maximumAnswerTokens ?? 0);
}
