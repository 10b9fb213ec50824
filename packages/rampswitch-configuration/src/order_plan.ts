// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Which orders bring backend servers to what their service asks for: a model,
 * adapter and version to load, and a role, as the service's labels say.
 *
 * @module
 */
import type { BackendServer, Service } from "rampswitch-types";
import type { OrderKind } from "./lease.ts";

/** Labels of a service that ask for something, and the order that brings it. */
export const ORDER_LABELS: Readonly<Record<string, OrderKind>> = {
  "order/model": "load_model",
  "order/adapter": "load_adapter",
  "order/version": "load_version",
  "order/role": "change_role",
};

/** An order that is due at a server. */
export interface DueOrder {
  readonly server: BackendServer;
  readonly kind: OrderKind;
  readonly name: string;
}

/** Orders that were answered under the present lease, as `server kind name`. */
export type AnsweredOrders = ReadonlySet<string>;

/** Key of an order among those that are done. */
export function orderKey(order: DueOrder): string {
  return `${order.server.name} ${order.kind} ${order.name}`;
}

/**
 * Orders to send now: those not done yet, at most `atOnce`, so that a change
 * of version never takes all servers away together. A server's own label goes
 * before its service's.
 */
export function planOrders(
  service: Service,
  servers: readonly BackendServer[],
  options: { readonly done: AnsweredOrders; readonly atOnce: number },
): readonly DueOrder[] {
  return servers
    .flatMap((server) =>
      Object.entries(ORDER_LABELS).flatMap(([label, kind]) => {
        const name = server.labels[label] ?? service.labels[label];
        return name === undefined ? [] : [{ server, kind, name }];
      }),
    )
    .filter((order) => !options.done.has(orderKey(order)))
    .slice(0, options.atOnce);
}
