// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Reads the state that backend servers advertise in their answers and passes it to
 * handlers.
 *
 * @module
 */
import type { Logger } from "rampswitch-utils";
import type { ServerRecord } from "../choice/mod.ts";
import type { ServerAdvertisements, Advertised } from "../model/request.ts";
import type { ServingMetrics } from "../observation/mod.ts";

/** Name of one kind of advertisement. */
type AdvertisementName = keyof ServerAdvertisements;

type ValueOf<Name extends AdvertisementName> =
  ServerAdvertisements[Name] extends Advertised<infer Value> ? Value : never;

/** Handler of one kind of advertisement. */
interface AdvertisementHandler<Value> {
  /** Whether the advertisement also applies in an answer to an earlier request. */
  readonly appliesLate: boolean;
  /** Applies the value in an answer; `undefined` if the answer has none. */
  receive(record: ServerRecord, value: Value | undefined): void;
}

/** Handlers by kind of advertisement. */
export type AdvertisementHandlers = {
  readonly [Name in AdvertisementName]: AdvertisementHandler<ValueOf<Name>>;
};

/** Dependencies of the reader. */
export interface AdvertisementReaderParts {
  readonly logger: Logger;
  readonly metrics: ServingMetrics;
  readonly handlers: AdvertisementHandlers;
}

/**
 * Maximum pairs of server and kind for which an unreadable advertisement is logged;
 * each pair is logged once.
 */
const MAXIMUM_LOGGED_UNREADABLE = 1_000;

/** Reads the state that servers advertise. */
export class AdvertisementReader {
  readonly #parts: AdvertisementReaderParts;
  readonly #unreadable = new Set<string>();

  constructor(parts: AdvertisementReaderParts) {
    this.#parts = parts;
  }

  /** Passes all advertisements of one answer to their handlers. */
  read(
    record: ServerRecord,
    advertised: ServerAdvertisements,
    options: {
      /** Whether the answer belongs to another request than the waiting one. */
      readonly isLate: boolean;
    } = { isLate: false },
  ): void {
    const names = Object.keys(advertised) as AdvertisementName[];
    names
      .filter(
        (name) => !options.isLate || this.#parts.handlers[name].appliesLate,
      )
      .forEach((name) => this.#readOne(name, record, advertised[name]));
  }

  #readOne(
    name: AdvertisementName,
    record: ServerRecord,
    advertisement: Advertised<unknown>,
  ): void {
    if (advertisement.kind === "unreadable") {
      this.#logUnreadable(name, record, advertisement.text);
      return;
    }
    const value =
      advertisement.kind === "said" ? advertisement.value : undefined;
    const handler = this.#parts.handlers[name] as AdvertisementHandler<unknown>;
    handler.receive(record, value);
  }

  #logUnreadable(
    name: AdvertisementName,
    { entry: { id, born } }: ServerRecord,
    text: string,
  ): void {
    this.#parts.metrics.event(`server_${name}_unreadable`);
    const key = `${name} ${id}`;
    if (this.#unreadable.size >= MAXIMUM_LOGGED_UNREADABLE) return;
    if (this.#unreadable.has(key)) return;
    this.#unreadable.add(key);
    this.#parts.logger.info(`server ${name} can't be read`, {
      server: id,
      born,
      text,
    });
  }
}
