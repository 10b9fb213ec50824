// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Orders that an engine stand-in takes, with or without a check of the epoch.
 *
 * @module
 */

/** An order as it arrives. */
export interface TakenOrder {
  readonly epoch: number;
  readonly holder: string;
  readonly kind: string;
  readonly name: string;
}

/** Orders taken by one backend server. */
export class OrderBook {
  readonly #checksEpoch: boolean;
  #highestEpoch = 0;
  #taken: readonly TakenOrder[] = [];

  constructor(checksEpoch: boolean) {
    this.#checksEpoch = checksEpoch;
  }

  /** Orders that were carried out, oldest first. */
  get taken(): readonly TakenOrder[] {
    return this.#taken;
  }

  /** Carries out an order, or refuses it for its epoch. */
  take(body: unknown): { readonly status: number; readonly body: unknown } {
    const order = body as TakenOrder;
    if (this.#checksEpoch && order.epoch < this.#highestEpoch) {
      return { status: 409, body: { highestEpoch: this.#highestEpoch } };
    }
    this.#highestEpoch = Math.max(this.#highestEpoch, order.epoch);
    this.#taken = [...this.#taken, order];
    return { status: 200, body: { epoch: order.epoch } };
  }
}
