// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * What backend servers say of themselves in their answers, and who takes it in.
 *
 * @module
 */
import type { Logger } from "rampswitch-utils";
import type { ServerRecord } from "../choice/mod.ts";
import type { ServerStatements, Statement } from "../model/request.ts";
import type { ServingMetrics } from "../observation/mod.ts";

/** Name of a thing that servers say of themselves. */
type StatementName = keyof ServerStatements;

type ValueOf<Name extends StatementName> =
  ServerStatements[Name] extends Statement<infer Value> ? Value : never;

/** What is done with one kind of statement. */
interface StatementHandler<Value> {
  /** Whether an answer to an earlier request tells it as well. */
  readonly holdsLate: boolean;
  /** Takes in what an answer says; `undefined`: it says nothing of it. */
  take(record: ServerRecord, value: Value | undefined): void;
}

/** What is done with each kind. */
export type StatementHandlers = {
  readonly [Name in StatementName]: StatementHandler<ValueOf<Name>>;
};

/** What statements are read with. */
export interface StatementParts {
  readonly logger: Logger;
  readonly metrics: ServingMetrics;
  readonly handlers: StatementHandlers;
}

/** Statements that can't be read are told once for each server, of so many servers. */
const MOST_UNREADABLE = 1_000;

/** Reads what servers say of themselves. */
export class StatementReader {
  readonly #parts: StatementParts;
  readonly #unreadable = new Set<string>();

  constructor(parts: StatementParts) {
    this.#parts = parts;
  }

  /** Takes in all that one answer of a server says. */
  read(
    record: ServerRecord,
    says: ServerStatements,
    options: {
      /** Whether the answer is to another request than the one that is waiting. */
      readonly isLate: boolean;
    } = { isLate: false },
  ): void {
    const names = Object.keys(says) as StatementName[];
    names
      .filter((name) => !options.isLate || this.#parts.handlers[name].holdsLate)
      .forEach((name) => this.#readOne(name, record, says[name]));
  }

  #readOne(
    name: StatementName,
    record: ServerRecord,
    statement: Statement<unknown>,
  ): void {
    if (statement.kind === "unreadable") {
      this.#tellUnreadable(name, record, statement.text);
      return;
    }
    const value = statement.kind === "said" ? statement.value : undefined;
    const handler = this.#parts.handlers[name] as StatementHandler<unknown>;
    handler.take(record, value);
  }

  #tellUnreadable(
    name: StatementName,
    { entry: { id, born } }: ServerRecord,
    text: string,
  ): void {
    this.#parts.metrics.event(`server_${name}_unreadable`);
    const key = `${name} ${id}`;
    if (this.#unreadable.size >= MOST_UNREADABLE) return;
    if (this.#unreadable.has(key)) return;
    this.#unreadable.add(key);
    this.#parts.logger.info(`server ${name} can't be read`, {
      server: id,
      born,
      text,
    });
  }
}
