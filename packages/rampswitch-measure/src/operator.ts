// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * An operator's program: sends changes to an entry host.
 *
 * @module
 */
import { randomUUID } from "node:crypto";
import { request } from "undici";
import type { ChangeOutcome, Edit } from "rampswitch-configuration";
import type { Resource } from "rampswitch-types";
import { sleep, SYSTEM_CLOCK } from "rampswitch-utils";
import { OPERATOR_TOKEN } from "./deployment_plan.ts";

const CALL_MILLISECONDS = 10_000;
const POLL_MILLISECONDS = 20;

/** Calls the administration API; `undefined` where there was no answer. */
export async function administration(
  address: string,
  path: string,
  body?: unknown,
): Promise<unknown> {
  try {
    const answer = await request(`http://${address}${path}`, {
      method: body === undefined ? "GET" : "POST",
      headers: { authorization: `Bearer ${OPERATOR_TOKEN}` },
      body: body === undefined ? null : JSON.stringify(body),
      signal: AbortSignal.timeout(CALL_MILLISECONDS),
    });
    return await answer.body.json();
  } catch {
    return undefined;
  }
}

/** Sends a change once. */
export async function change(
  address: string,
  edits: readonly Edit[],
  options: { readonly baseRevision: number; readonly changeId?: string },
): Promise<ChangeOutcome> {
  const changeId = options.changeId ?? randomUUID();
  const answer = await administration(address, "/v1/changes", {
    changeId,
    baseRevision: options.baseRevision,
    edits,
  });
  const outcome = answer as ChangeOutcome | undefined;
  return outcome?.kind === undefined ? { kind: "unknown", changeId } : outcome;
}

/** Puts resources in force; resolves with the revision. */
export async function applyAll(
  address: string,
  resources: readonly Resource[],
): Promise<number> {
  const changeId = randomUUID();
  const edits = resources.map((resource): Edit => ({ kind: "put", resource }));
  for (let attempt = 0; attempt < 20; attempt += 1) {
    const outcome = await change(address, edits, { baseRevision: 0, changeId });
    if (outcome.kind === "accepted") return outcome.revision;
    if (outcome.kind !== "unknown") {
      throw new Error(`resources were refused: ${JSON.stringify(outcome)}`);
    }
  }
  throw new Error("resources were not accepted");
}

/** Waits until all hosts have a revision in force. */
export async function untilInForce(
  addresses: readonly string[],
  revision: number,
  options: { readonly milliseconds: number },
): Promise<boolean> {
  const until = SYSTEM_CLOCK.now() + options.milliseconds;
  while (SYSTEM_CLOCK.now() < until) {
    const statuses = await Promise.all(
      addresses.map((address) => administration(address, "/v1/status")),
    );
    const everywhere = statuses.every(
      (status) =>
        ((status as { readonly revision?: number } | undefined)?.revision ??
          -1) >= revision,
    );
    if (everywhere) return true;
    await sleep(SYSTEM_CLOCK, POLL_MILLISECONDS);
  }
  return false;
}
