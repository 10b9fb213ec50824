// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Plans the orders that bring backend servers to the state that the labels of
 * their service require: a model, an adapter and a version to load, and a role.
 *
 * @module
 */
import type { BackendServer, Service } from "rampswitch-types";
import type { OrderKind } from "./lease.ts";

/** Labels of a service that require an order, with the kind of that order. */
export const ORDER_LABELS: Readonly<Record<string, OrderKind>> = {
  "order/model": "load_model",
  "order/adapter": "load_adapter",
  "order/version": "load_version",
  "order/role": "change_role",
};

/** An order that a server is to get. */
export interface DueOrder {
  readonly server: BackendServer;
  readonly kind: OrderKind;
  readonly name: string;
}

/** Keys of the orders that were answered under the current lease. */
export type AnsweredOrders = ReadonlySet<string>;

/** Key of an order: `server kind name`. */
export function orderKey(order: DueOrder): string {
  return `${order.server.name} ${order.kind} ${order.name}`;
}

/**
 * Orders to send now: those not answered yet, up to a maximum number, so that a
 * change of version never makes all servers unavailable at the same time. A
 * server's own label takes precedence over the label of its service.
 */
export function planOrders(
  service: Service,
  servers: readonly BackendServer[],
  options: { readonly done: AnsweredOrders; readonly maximumOrders: number },
): readonly DueOrder[] {
  return servers
    .flatMap((server) =>
      Object.entries(ORDER_LABELS).flatMap(([label, kind]) => {
        const name = server.labels[label] ?? service.labels[label];
        return name === undefined ? [] : [{ server, kind, name }];
      }),
    )
    .filter((order) => !options.done.has(orderKey(order)))
    .slice(0, options.maximumOrders);
}
