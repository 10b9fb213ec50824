// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * What is told of one request: its log lines, its counters, and the count of
 * requests that began to run.
 *
 * @module
 */
import type { ServerRecord } from "../choice/mod.ts";
import type { ResendReason } from "../model/outcome.ts";
import type { AdmittedRequest } from "./admitted_request.ts";
import type { RequestContext } from "./request_context.ts";

/** The record of one request. */
export class RunRecord {
  readonly #request: AdmittedRequest;
  readonly #context: RequestContext;
  readonly #servers: string[] = [];
  readonly #reasons: ResendReason[] = [];
  #began = false;
  #firstPartAt: number | undefined;

  constructor(request: AdmittedRequest, context: RequestContext) {
    this.#request = request;
    this.#context = context;
  }

  /** Sends so far. */
  get sends(): number {
    return this.#servers.length;
  }

  /** Sends that repeated another. */
  get resends(): number {
    return this.#reasons.length;
  }

  /** The request goes to a server. */
  sentTo(record: ServerRecord): void {
    this.#servers.push(record.entry.id);
  }

  /** The request is to be sent once more. */
  resent(reason: ResendReason): void {
    this.#reasons.push(reason);
    this.#context.metrics.resend(reason);
  }

  /** The request began to run; counts once for its workspace. */
  began(): void {
    if (this.#began) return;
    this.#began = true;
    const { workspace } = this.#request;
    if (workspace !== undefined) this.#context.began(workspace.name);
  }

  /** The caller gets the first part of the answer. */
  firstPart(): void {
    this.#firstPartAt ??= this.#context.clock.now();
    this.#context.metrics.firstPart(
      this.#firstPartAt - this.#request.arrivedAt,
    );
  }

  /** A send ended without a usable answer. */
  lost(
    reason: ResendReason,
    inputs: {
      readonly detail: string;
      readonly server: ServerRecord | undefined;
      /** Whether the caller has a part of the answer. */
      readonly relayed: boolean;
    },
  ): void {
    this.#context.logger.info("send lost", {
      request: this.#request.head.attemptId,
      reason,
      detail: inputs.detail,
      server: inputs.server?.entry.id,
      relayed: inputs.relayed,
    });
  }

  /** A move of the run's memory ended. */
  moved(target: ServerRecord, outcome: string): void {
    this.#context.metrics.event(`move_${outcome}`);
    this.#context.logger.info("memory move", {
      request: this.#request.head.attemptId,
      target: target.entry.id,
      outcome,
    });
  }

  /** The request ended. */
  ended(outcome: string): void {
    const request = this.#request;
    const milliseconds = this.#context.clock.now() - request.arrivedAt;
    this.#context.metrics.outcome(outcome);
    this.#context.metrics.whole(milliseconds);
    this.#context.logger.info("request ended", {
      request: request.head.attemptId,
      outcome,
      route: request.route.name,
      service: request.service.name,
      workspace: request.workspace?.name,
      servers: this.#servers.join(","),
      resends: this.#reasons.join(","),
      configuration: request.configurationVersion,
      promptTokens: request.head.promptTokens,
      firstPartMilliseconds:
        this.#firstPartAt === undefined
          ? undefined
          : Math.round(this.#firstPartAt - request.arrivedAt),
      milliseconds: Math.round(milliseconds),
    });
  }
}
