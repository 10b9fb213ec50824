// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Runs a request at the primary of its slot: locally if this host is the
 * primary, or else by forwarding the request to the primary.
 *
 * @module
 */
import { type HostId, refused } from "rampswitch-types";
import { type Clock, type Metrics, sleep } from "rampswitch-utils";
import type { BackendClient } from "../attempt/backend_client.ts";
import { HOP_HEADER } from "../intake/caller_request.ts";
import {
  type Exchange,
  refuse,
  refuseWithEarlierUnknown,
} from "../intake/exchange.ts";
import { forwardAnswer, forwardedHeaders } from "../attempt/http_forward.ts";
import type { SlotService } from "./slot_service.ts";

/** Options of {@link PrimaryForwarding}. */
export interface PrimaryForwardingOptions {
  readonly self: HostId;
  readonly slots: SlotService;
  readonly client: BackendClient;
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly callerAddressOf: (host: HostId) => string | undefined;
  /**
   * Maximum time that a forwarded request may take without a byte, in
   * milliseconds. A longer deadline of the caller replaces it.
   */
  readonly idleMilliseconds: number;
}

/** Work to run at the primary of a slot. */
export interface PrimaryWork {
  readonly slot: number;
  /** The request body, already read; `undefined` if there is none. */
  readonly body: Buffer | undefined;
  /** Runs the work at this host. */
  readonly runHere: () => Promise<void>;
}

const MAXIMUM_HOPS = 2;
const MAXIMUM_ATTEMPTS = 20;
const RETRY_INTERVAL_MILLISECONDS = 200;
const RETRY_AFTER = { retryAfterMilliseconds: 500 };

/** Forwards requests to the primaries of their slots. */
export class PrimaryForwarding {
  readonly #options: PrimaryForwardingOptions;

  constructor(options: PrimaryForwardingOptions) {
    this.#options = options;
  }

  /**
   * Runs a request at the primary of its slot. Retries while the slot has no
   * primary or the primary cannot be reached, for example during a handover;
   * refuses the request with `slot_unavailable` after the last attempt.
   */
  async run(exchange: Exchange, work: PrimaryWork): Promise<void> {
    const { slots, self, clock, metrics } = this.#options;
    for (let attempt = 0; attempt < MAXIMUM_ATTEMPTS; attempt += 1) {
      const primary = slots.primaryOf(work.slot);
      if (primary === self) {
        await work.runHere();
        return;
      }
      if (exchange.response.destroyed) return;
      if (await this.#forward(exchange, primary, work.body)) return;
      metrics.count("forward", "waiting");
      await sleep(clock, RETRY_INTERVAL_MILLISECONDS);
    }
    const detail = `slot ${work.slot}: its primary cannot be reached`;
    refuseWithEarlierUnknown(
      exchange,
      refused("slot_unavailable", detail, RETRY_AFTER),
      metrics,
    );
  }

  /**
   * Forwards a request to the primary. Returns false only if it is certain that
   * the request did not run there, so that it can be sent again.
   */
  async #forward(
    exchange: Exchange,
    primary: HostId | undefined,
    body: Buffer | undefined,
  ): Promise<boolean> {
    const { request, response, caller, url } = exchange;
    const { client, metrics, callerAddressOf } = this.#options;
    const address =
      primary === undefined ? undefined : callerAddressOf(primary);
    if (address === undefined || caller.hops >= MAXIMUM_HOPS) return false;
    const reply = await client.call(address, {
      method: request.method ?? "GET",
      path: `${url.pathname}${url.search}`,
      headers: forwardedHeaders(request.headers, {
        drop: ["host", "content-length", "expect"],
        add: { [HOP_HEADER]: String(caller.hops + 1) },
      }),
      body,
      timeoutMilliseconds: Math.max(
        caller.deadlineMilliseconds ?? 0,
        this.#options.idleMilliseconds,
      ),
    });
    metrics.count("forward", reply.isOk ? "answered" : reply.error.kind);
    if (reply.isOk) {
      await forwardAnswer(reply.value, response, {});
      return true;
    }
    if (reply.error.kind === "refused_not_run") return false;
    refuse(response, reply.error, { metrics });
    return true;
  }
}
