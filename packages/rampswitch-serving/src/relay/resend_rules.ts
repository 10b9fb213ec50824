// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * What forbids a further send of a request, wherever it would go.
 *
 * @module
 */
import type { AttemptTruth } from "../attempt/mod.ts";
import type { ServerRecord } from "../choice/mod.ts";
import type { Quarantine } from "../quarantine/mod.ts";
import type { AdmittedRequest } from "./admitted_request.ts";
import type { NotRepeatedReason } from "./run_record.ts";
import { LEAST_USEFUL_MILLISECONDS } from "./run_move.ts";

/** Sends of one request that ask for a further run, at most. */
const MAXIMUM_REPEATS = 4;

/** Further runs of a stream that broke midway at a server that ended. */
const RESUME_EXTRA_RUNS = 1;

/** The rules of one request's further sends. */
export class ResendRules {
  readonly #request: AdmittedRequest;
  readonly #truth: AttemptTruth;
  readonly #quarantine: Quarantine;
  /** Servers whose answer was lost. */
  readonly #lostAt: ServerRecord[] = [];
  /** Sends that asked for a further run. */
  #repeats = 0;

  constructor(
    request: AdmittedRequest,
    truth: AttemptTruth,
    { quarantine }: { readonly quarantine: Quarantine },
  ) {
    this.#request = request;
    this.#truth = truth;
    this.#quarantine = quarantine;
  }

  /** Notes that a server's answer was lost. */
  lostAt(record: ServerRecord): void {
    this.#lostAt.push(record);
  }

  /** Notes a send that asks for a further run. */
  repeated(): void {
    this.#repeats += 1;
  }

  /** Whether the current run may be left for another one. */
  get mayLeaveRun(): boolean {
    const { route, fingerprint } = this.#request;
    const repeatable = route.resumable || route.repeatability === "repeatable";
    return (
      repeatable &&
      this.#truth.possibleRuns < route.maximumRuns &&
      // No other run would follow, so that a slow trial had come to nothing.
      !this.#quarantine.forbidsRepeat(fingerprint)
    );
  }

  /** What forbids a further send; `undefined` for nothing. */
  whyNotAgain(remainingMilliseconds: number): NotRepeatedReason | undefined {
    const { route, fingerprint } = this.#request;
    const extra = this.#brokeAtEnd() ? RESUME_EXTRA_RUNS : 0;
    if (!this.#truth.maySend(route.maximumRuns + extra)) {
      return "may_not_run_again";
    }
    if (this.#quarantine.forbidsRepeat(fingerprint)) return "quarantined";
    if (remainingMilliseconds <= LEAST_USEFUL_MILLISECONDS) return "too_late";
    return this.#repeats < MAXIMUM_REPEATS ? undefined : "too_many_sends";
  }

  /** Whether a part of the stream ran at a server that has ended or will. */
  #brokeAtEnd(): boolean {
    // A lost connection alone does not tell that its server ended.
    return (
      this.#truth.relayed &&
      this.#lostAt.some(({ entry }) => entry.state === "leaving")
    );
  }
}
