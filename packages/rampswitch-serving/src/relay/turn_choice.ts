// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * The choice of a server that names a limit, for one send: with a turn that is taken
 * from all hosts' turns, or not at all.
 *
 * @module
 */
import type { Choice, ServerRecord } from "../choice/mod.ts";
import type { TurnReply, TurnUrgency } from "../server_limits/mod.ts";
import type { AdmittedRequest } from "./admitted_request.ts";
import type { RequestContext } from "./request_context.ts";
import { chooseGiven } from "./send_choice.ts";

/** Rank of the routes whose requests take the last turn. */
const MOST_URGENT_PRIORITY = 0;

/** What needs a turn. */
export interface TurnSend {
  readonly request: AdmittedRequest;
  /** Servers that may take it, the preferred ones first. */
  readonly limited: readonly ServerRecord[];
  /** Whether a run goes on with it that is lost otherwise. */
  readonly continues?: boolean;
}

/** Takes a turn at one of some servers; `undefined` where none is free. */
export async function chooseWithTurn(
  send: TurnSend,
  context: RequestContext,
): Promise<Choice | undefined> {
  if (send.limited.length === 0) return undefined;
  const reply = await context.turns.take({
    service: send.request.service.name,
    servers: send.limited.map(({ entry }) => entry.id),
    urgency: urgencyOf(send),
  });
  return chosenBy(reply, send, context);
}

/**
 * The choice of a limited server that has said nothing for a while, where this host
 * gives its turns; `undefined` where none is due.
 */
export function chooseProbe(
  send: TurnSend,
  context: RequestContext,
): Choice | undefined {
  if (send.limited.length === 0) return undefined;
  const { name } = send.request.service;
  return chosenBy(context.turns.probe(name, send.limited), send, context);
}

function chosenBy(
  reply: TurnReply,
  { request, limited }: TurnSend,
  context: RequestContext,
): Choice | undefined {
  if (reply.kind === "wait") return undefined;
  const record = limited.find(({ entry }) => entry.id === reply.server);
  return record === undefined
    ? undefined
    : chooseGiven(record, request, context);
}

function urgencyOf({ request, continues }: TurnSend): TurnUrgency {
  if (continues === true) return "continuation";
  return request.route.priority === MOST_URGENT_PRIORITY
    ? "urgent"
    : "ordinary";
}
