// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Supervision of work that nobody awaits. An error in it is reported and ends
 * neither the process nor other work.
 *
 * @module
 */
import type { ServerResponse } from "node:http";
import { Result } from "true-myth";
import { abortResponse } from "./abort_response.ts";
import type { Logger } from "./log.ts";

/** Maximum length of a reported error, in characters. */
const MAXIMUM_ERROR_CHARACTERS = 2_000;

/** Receives the errors of work, by the work's name. */
export type ReportFailure = (work: string, error: unknown) => void;

/** Work that is done again and again. */
export interface SupervisedWork {
  /** Name in reports. */
  readonly name: string;
  readonly reportFailure: ReportFailure;
  run(): Promise<unknown>;
}

/** Where failures are reported. */
export interface FailureReports {
  readonly logger: Logger;
  /** Counts an event by its name. */
  readonly metrics?: { event(name: string): void } | undefined;
}

/** Reports failures as log lines, and counts them. */
export function failureReporter({
  logger,
  metrics,
}: FailureReports): ReportFailure {
  return (work, error) => {
    metrics?.event("work_failed");
    logger.error("work failed", { work, detail: errorText(error) });
  };
}

/** Starts work that nobody awaits; returns before it ends. */
export function runInBackground(
  name: string,
  reports: FailureReports,
  run: () => Promise<unknown>,
): void {
  const reportFailure = failureReporter(reports);
  started(run).catch((error: unknown) => reportFailure(name, error));
}

/**
 * Handles a request in the background; a defect that it meets closes its connection
 * alone.
 */
export function handleInBackground(
  name: string,
  reports: FailureReports,
  exchange: {
    readonly response: ServerResponse;
    handle(): Promise<void>;
  },
): void {
  runInBackground(name, reports, async () => {
    try {
      await exchange.handle();
    } catch (error) {
      abortResponse(exchange.response);
      throw error;
    }
  });
}

/**
 * Decodes bytes of a neighbour. A decoder that throws is a defect, but costs only
 * what it decodes.
 */
export function decodeSafely<Value>(
  decode: () => Result<Value, string>,
): Result<Value, string> {
  try {
    return decode();
  } catch (error) {
    return Result.err(`decoder failed: ${String(error)}`);
  }
}

/** Returns a bounded description of an error, with its stack if it has one. */
export function errorText(error: unknown): string {
  const text = error instanceof Error ? error.stack : undefined;
  return (text ?? String(error)).slice(0, MAXIMUM_ERROR_CHARACTERS);
}

/** Starts work; an error that it throws before its first wait rejects as well. */
async function started(run: () => Promise<unknown>): Promise<void> {
  await run();
}
