// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Builds the message that a request's send carries to its server.
 *
 * @module
 */
import type { OutgoingRequest } from "../attempt/mod.ts";
import type { Choice } from "../choice/mod.ts";
import type { MemorySource, WireCodec } from "../model/request.ts";
import { type AdmittedRequest, enginePriority } from "./admitted_request.ts";

/** State of the run at a send. */
export interface SendPosition {
  /** Time until the request's time limit, in milliseconds. */
  readonly remainingMilliseconds: number;
  /** Id of the last event that the caller has. */
  readonly lastEventId: string | undefined;
  /** Memory from which the run continues. */
  readonly memorySource: MemorySource | undefined;
}

/** Builds the message of one send. */
export function outgoingRequest(
  request: AdmittedRequest,
  choice: Choice,
  {
    codec,
    ...position
  }: SendPosition & { readonly codec: Pick<WireCodec, "encodeSend"> },
): OutgoingRequest {
  const { attemptId, method, target } = request.head;
  const { remainingMilliseconds, lastEventId, memorySource } = position;
  return {
    attemptId,
    method,
    target,
    body: request.body,
    needsConfirmation: lastEventId !== undefined,
    headers: codec.encodeSend(request.head, {
      serverId: choice.record.entry.id,
      workspace: request.workspace?.name,
      remainingMilliseconds: Math.max(1, Math.floor(remainingMilliseconds)),
      enginePriority: enginePriority(request),
      lastEventId,
      memorySource,
      copyCachedPartsFrom:
        memorySource === undefined ? choice.copyFrom?.entry.address : undefined,
    }),
  };
}
