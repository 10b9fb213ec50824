// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Chooses a limited server for one send. A limited server takes a request only with
 * a permit, and all hosts share its permits.
 *
 * @module
 */
import type { Choice, ServerRecord } from "../choice/mod.ts";
import type { PermitReply, PermitUrgency } from "../server_limits/mod.ts";
import type { AdmittedRequest } from "./admitted_request.ts";
import type { RequestContext } from "./request_context.ts";
import { choosePermitted } from "./send_choice.ts";

/** Priority of the routes whose requests may take the last permit. */
const MOST_URGENT_PRIORITY = 0;

/** A send that needs a permit. */
export interface SendNeedingPermit {
  readonly request: AdmittedRequest;
  /** Servers that may take the request, preferred ones first. */
  readonly limited: readonly ServerRecord[];
  /** Whether the send continues a run that would be lost without it. */
  readonly continues?: boolean;
}

/** Takes a permit at one of the servers; `undefined` if none is free. */
export async function chooseWithPermit(
  send: SendNeedingPermit,
  context: RequestContext,
): Promise<Choice | undefined> {
  if (send.limited.length === 0) return undefined;
  const reply = await context.permits.acquire({
    service: send.request.service.name,
    servers: send.limited.map(({ entry }) => entry.id),
    urgency: urgencyOf(send),
  });
  return choiceFromReply(reply, send, context);
}

/**
 * Chooses a limited server that has been silent for a while, if this host gives its
 * permits; `undefined` if no probe is due. The answer shows whether the server still
 * has its limit.
 */
export function chooseProbe(
  send: SendNeedingPermit,
  context: RequestContext,
): Choice | undefined {
  if (send.limited.length === 0) return undefined;
  const { name } = send.request.service;
  return choiceFromReply(
    context.permits.probe(name, send.limited),
    send,
    context,
  );
}

function choiceFromReply(
  reply: PermitReply,
  { request, limited }: SendNeedingPermit,
  context: RequestContext,
): Choice | undefined {
  if (reply.kind === "wait") return undefined;
  const record = limited.find(({ entry }) => entry.id === reply.server);
  return record === undefined
    ? undefined
    : choosePermitted(record, request, context);
}

function urgencyOf({ request, continues }: SendNeedingPermit): PermitUrgency {
  if (continues === true) return "continuation";
  return request.route.priority === MOST_URGENT_PRIORITY
    ? "urgent"
    : "ordinary";
}
