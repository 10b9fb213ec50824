// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * The rules that forbid a further send of a request, whichever server it would
 * go to.
 *
 * @module
 */
import type { AttemptTracker } from "../attempt/mod.ts";
import type { ServerRecord } from "../choice/mod.ts";
import type { CrashQuarantine } from "../quarantine/mod.ts";
import type { AdmittedRequest } from "./admitted_request.ts";
import type { NotRepeatedReason } from "./run_record.ts";
import { MINIMUM_USEFUL_MILLISECONDS } from "./run_resumption.ts";

/** Maximum number of sends of one request that ask for a further run. */
const MAXIMUM_REPEATS = 4;

/** The same while the present send is only silent; one is left for its loss. */
const MAXIMUM_REPLACEMENTS = MAXIMUM_REPEATS - 1;

/** Runs beyond the route's maximum for a stream that broke at a leaving server. */
const EXTRA_RESUME_RUNS = 1;

/** The rules for further sends of one request. */
export class ResendRules {
  readonly #request: AdmittedRequest;
  readonly #tracker: AttemptTracker;
  readonly #quarantine: Pick<CrashQuarantine, "forbidsResend">;
  /** Servers at which an answer to the request was lost. */
  readonly #serversOfLosses: ServerRecord[] = [];
  /** Number of sends that asked for a further run. */
  #repeats = 0;

  constructor(
    request: AdmittedRequest,
    tracker: AttemptTracker,
    {
      quarantine,
    }: { readonly quarantine: Pick<CrashQuarantine, "forbidsResend"> },
  ) {
    this.#request = request;
    this.#tracker = tracker;
    this.#quarantine = quarantine;
  }

  /** Records that a server's answer was lost. */
  recordLoss(record: ServerRecord): void {
    this.#serversOfLosses.push(record);
  }

  /** Records a send that asks for a further run. */
  recordRepeat(): void {
    this.#repeats += 1;
  }

  /** Whether the current run may be abandoned for another one. */
  get canAbandonRun(): boolean {
    const { route, fingerprint } = this.#request;
    const repeatable = route.resumable || route.repeatability === "repeatable";
    return (
      repeatable &&
      this.#tracker.possibleRuns < route.maximumRuns &&
      // A quarantined request gets no further run in this attempt: abandoning a slow
      // trial would leave it without a result.
      !this.#quarantine.forbidsResend(fingerprint)
    );
  }

  /** Why no other server may get a silent send's request; `undefined` if one may. */
  reasonAgainstReplacement(
    remainingMilliseconds: number,
  ): NotRepeatedReason | undefined {
    if (!this.canAbandonRun) return "may_not_run_again";
    if (remainingMilliseconds <= MINIMUM_USEFUL_MILLISECONDS) return "too_late";
    return this.#repeats < MAXIMUM_REPLACEMENTS ? undefined : "too_many_sends";
  }

  /** Why a further send is forbidden; `undefined` if it is allowed. */
  reasonAgainstResend(
    remainingMilliseconds: number,
  ): NotRepeatedReason | undefined {
    const { route, fingerprint } = this.#request;
    const extra = this.#brokeAtEndingServer() ? EXTRA_RESUME_RUNS : 0;
    if (!this.#tracker.canSend(route.maximumRuns + extra)) {
      return "may_not_run_again";
    }
    if (this.#quarantine.forbidsResend(fingerprint)) return "quarantined";
    if (remainingMilliseconds <= MINIMUM_USEFUL_MILLISECONDS) return "too_late";
    return this.#repeats < MAXIMUM_REPEATS ? undefined : "too_many_sends";
  }

  /** Whether the stream was relayed in part and broke at a leaving or ended server. */
  #brokeAtEndingServer(): boolean {
    // A lost connection alone does not mean that its server has ended.
    return (
      this.#tracker.relayed &&
      this.#serversOfLosses.some(({ entry }) => entry.state === "leaving")
    );
  }
}
