// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Running a request at the primary of its slot: here, or by passing it on to
 * the host that is.
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

/** How hops are made. */
export interface PrimaryForwardingOptions {
  readonly self: HostId;
  readonly slots: SlotService;
  readonly client: BackendClient;
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly callerAddressOf: (host: HostId) => string | undefined;
  /** Longest time that a passed request may take without a byte. */
  readonly idleMilliseconds: number;
}

/** Something to run at a slot's primary. */
export interface AtPrimary {
  readonly slot: number;
  /** The body that was read already; absent where there is none. */
  readonly body: Buffer | undefined;
  /** Runs it here. */
  readonly here: () => Promise<void>;
}

const MAXIMUM_HOPS = 2;
const ATTEMPTS = 20;
const WAIT_MILLISECONDS = 200;
const RETRY_AFTER = { retryAfterMilliseconds: 500 };

/** Passes requests to the primaries of their slots. */
export class PrimaryForwarding {
  readonly #options: PrimaryForwardingOptions;

  constructor(options: PrimaryForwardingOptions) {
    this.#options = options;
  }

  /** Runs a request at its slot's primary; waits while the slot moves. */
  async run(exchange: Exchange, work: AtPrimary): Promise<void> {
    const { slots, self, clock, metrics } = this.#options;
    for (let attempt = 0; attempt < ATTEMPTS; attempt += 1) {
      const primary = slots.primaryOf(work.slot);
      if (primary === self) {
        await work.here();
        return;
      }
      if (exchange.response.destroyed) return;
      if (await this.#pass(exchange, primary, work.body)) return;
      metrics.count("forward", "waiting");
      await sleep(clock, WAIT_MILLISECONDS);
    }
    const detail = `slot ${work.slot}: its primary cannot be reached`;
    refuseWithEarlierUnknown(
      exchange,
      refused("slot_unavailable", detail, RETRY_AFTER),
      metrics,
    );
  }

  /** Passes a request on; false where it surely was not taken. */
  async #pass(
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
