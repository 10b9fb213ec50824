// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Chooses the servers for the sends of one request, one after the other. A limited
 * server advertises how many requests per second it takes; a send to it needs a
 * permit, which takes time to get. Other servers are chosen at once.
 *
 * @module
 */
import { sleep } from "rampswitch-utils";
import type { Choice, ChoiceOutcome, ServerRecord } from "../choice/mod.ts";
import type { RefusalReason } from "../model/outcome.ts";
import type { WaitingPlace } from "../room/mod.ts";
import {
  type AdmittedRequest,
  timeLimitMilliseconds,
} from "./admitted_request.ts";
import { chooseProbe, chooseWithPermit } from "./permit_choice.ts";
import type { RequestContext } from "./request_context.ts";
import type { NotRepeatedReason } from "./run_record.ts";
import {
  chooseCandidate,
  chooseForAdmitted,
  chooseForSend,
  type RoomRefusal,
  type SendChoice,
  withPresentRanks,
} from "./send_choice.ts";

/** Maximum number of waits for a permit for a run that is lost without one. */
const MAXIMUM_PERMIT_WAITS = 3;

/** Time between two queries for a permit, in milliseconds. */
const PERMIT_WAIT_MILLISECONDS = 300;

/** Reason to refuse a first send, by the outcome of the choice. */
const REFUSAL_BY_OUTCOME = {
  none: "no_server",
  full: "servers_full",
  resting: "servers_resting",
} as const satisfies Readonly<
  Record<Exclude<ChoiceOutcome["kind"], "chosen">, RefusalReason>
>;

/** Receives the result of a choice. */
export interface ChoiceListener<Reason> {
  chosen(choice: Choice): void;
  none(reason: Reason): void;
}

/** How a long prompt was placed. */
export interface PromptPlacing {
  /** Requests at the engine that was chosen for its first send. */
  readonly load: number;
  /** Time for which its send waited for the load of candidates, if it did. */
  readonly queryMilliseconds: number | undefined;
}

/** The run of the request whose servers are chosen. */
export interface ChooserRun {
  readonly request: AdmittedRequest;
  /** Server incarnations that the request was sent to. */
  readonly tried: ReadonlySet<string>;
  /** Whether its caller has a final answer. */
  finished(): boolean;
  /** Notes that capacity is short for the first send. */
  shortOfRoom(refusal: RoomRefusal): void;
  /** Notes how a long prompt was placed. */
  placed(placing: PromptPlacing): void;
}

/** Chooses servers for one request. */
export class SendChooser {
  readonly #run: ChooserRun;
  readonly #context: RequestContext;
  /** The choice of a limited server whose permit is not used yet. */
  #permittedChoice: Choice | undefined;
  /** Whether room was taken for the first send. */
  #hasRoom = false;
  #waitingPlace: WaitingPlace | undefined;
  #refusal: RoomRefusal | undefined;

  constructor(run: ChooserRun, context: RequestContext) {
    this.#run = run;
    this.#context = context;
  }

  /** Whether another server takes the request now without a permit. */
  get hasAlternative(): boolean {
    return this.#choose().outcome.kind === "chosen";
  }

  /** Why admission refused the first send, if it did. */
  get refusal(): RoomRefusal | undefined {
    return this.#refusal;
  }

  /** Frees the place of a request that waits for room. */
  stopWaiting(): void {
    this.#waitingPlace?.leave();
    this.#waitingPlace = undefined;
  }

  /** Chooses a server for the first send, which may wait at this host. */
  chooseForFirstSend(listener: ChoiceListener<RefusalReason>): void {
    const choice = this.#choose();
    const { outcome, limited } = choice;
    const candidates = this.#candidatesToAsk(choice);
    if (candidates !== undefined) {
      void this.#askAndChoose(candidates, listener);
      return;
    }
    if (outcome.kind !== "chosen" || limited.length === 0) {
      if (isOfLongPrompt(outcome)) this.#recordPlacing(outcome.choice);
      this.#chooseOrTakePermit(choice, listener);
      return;
    }
    const overdue = this.#context.permits.withoutRecentReport(limited);
    const send = { request: this.#run.request, limited };
    const probe = chooseProbe(send, this.#context);
    if (probe !== undefined) listener.chosen(probe);
    else if (overdue.length > 0) void this.#probeOrChoose(overdue, listener);
    else listener.chosen(outcome.choice);
  }

  /** Chooses a server for a further send. */
  chooseForResend(listener: ChoiceListener<NotRepeatedReason>): void {
    const { outcome, limited } = this.#choose();
    if (outcome.kind === "chosen") listener.chosen(outcome.choice);
    else if (limited.length === 0) listener.none("no_server");
    else void this.#chooseWithPermit(limited, listener, "no_turn");
  }

  /** Chooses the target of a migration, and takes a permit if the target needs one. */
  chooseForMigration(): Choice | undefined | Promise<Choice | undefined> {
    const { outcome, limited } = this.#choose();
    if (outcome.kind === "chosen") return outcome.choice;
    return limited.length === 0
      ? undefined
      : this.#takeMigrationPermit(limited);
  }

  /** Whether a run can continue at a server: it needs no permit, has one, or gets one. */
  canContinueAt(choice: Choice): boolean | Promise<boolean> {
    const hasPermit = this.#permittedChoice === choice;
    this.#permittedChoice = undefined;
    const isLimited =
      this.#context.permits.limitOf(choice.record) !== undefined;
    return hasPermit || !isLimited || this.#waitForPermit(choice.record, 0);
  }

  /** Returns the candidates for a long prompt, if they report their load and speed. */
  #candidatesToAsk({
    outcome,
    limited,
  }: SendChoice): LoadQueryTargets | undefined {
    if (!isOfLongPrompt(outcome) || limited.length > 0) return undefined;
    const { name, healthPath } = this.#run.request.service;
    const { candidates } = outcome;
    return healthPath !== undefined &&
      candidates.length > 1 &&
      this.#context.placement.reportsSpeed(name, this.#context)
      ? { candidates, path: healthPath }
      : undefined;
  }

  /**
   * Asks candidates for their load and chooses the best of them. If all of them left or
   * were filled meanwhile, the request goes where it would go without candidates.
   */
  async #askAndChoose(
    { candidates, path }: LoadQueryTargets,
    listener: ChoiceListener<RefusalReason>,
  ): Promise<void> {
    const { clock, loadQueries } = this.#context;
    const { request } = this.#run;
    const askedAt = clock.now();
    await loadQueries.ask(candidates, path);
    if (this.#run.finished()) return;
    const outcome = chooseCandidate(request, candidates, this.#context);
    if (outcome.kind === "chosen") {
      this.#recordPlacing(outcome.choice, clock.now() - askedAt);
      listener.chosen(outcome.choice);
      return;
    }
    const choice = chooseForAdmitted(request, this.#context);
    this.#chooseOrTakePermit(choice, listener);
  }

  #recordPlacing({ load }: Choice, queryMilliseconds?: number): void {
    const { metrics } = this.#context;
    metrics.event("long_prompts");
    if (load === 0) metrics.event("long_prompts_at_idle_engine");
    this.#run.placed({ load, queryMilliseconds });
  }

  #choose(): SendChoice {
    const { request, tried } = this.#run;
    const send = { tried, hasRoom: this.#hasRoom };
    const choice = chooseForSend(request, send, this.#context);
    // Admission decides once on a request, however often its choice is made.
    if (choice.outcome.kind === "chosen") this.#hasRoom = true;
    return choice;
  }

  #chooseOrTakePermit(
    { outcome, limited, refusal }: SendChoice,
    listener: ChoiceListener<RefusalReason>,
  ): void {
    if (outcome.kind === "chosen") listener.chosen(outcome.choice);
    else if (limited.length > 0) {
      void this.#chooseWithPermit(limited, listener, "servers_limited");
    } else if (refusal !== undefined) {
      this.#waitForRoom(refusal, listener);
    } else {
      listener.none(REFUSAL_BY_OUTCOME[outcome.kind]);
    }
  }

  /** Has the request wait for room, or refuses it if it would wait too long. */
  #waitForRoom(
    refusal: RoomRefusal,
    listener: ChoiceListener<RefusalReason>,
  ): void {
    const { request } = this.#run;
    const refuse = () => {
      this.#refusal = refusal;
      this.#run.shortOfRoom(refusal);
      listener.none("servers_full");
    };
    this.#waitingPlace = this.#context.waiting.add({
      arrivedAt: request.arrivedAt,
      endsAt: request.arrivedAt + timeLimitMilliseconds(request),
      bytes: request.body?.length ?? 0,
      room: () => withPresentRanks(refusal.request, request, this.#context),
      send: () => {
        this.#hasRoom = true;
        this.chooseForFirstSend(listener);
      },
      refuse,
    });
    if (this.#waitingPlace === undefined) refuse();
  }

  /**
   * Probes a limited server that has sent nothing for long; without a permit for
   * it, the request goes where it would have gone without a probe.
   */
  async #probeOrChoose(
    limited: readonly ServerRecord[],
    listener: ChoiceListener<RefusalReason>,
  ): Promise<void> {
    const probe = await this.#takePermit({ limited });
    if (this.#run.finished()) return;
    if (probe === undefined) this.#chooseOrTakePermit(this.#choose(), listener);
    else listener.chosen(probe);
  }

  async #chooseWithPermit<Reason>(
    limited: readonly ServerRecord[],
    listener: ChoiceListener<Reason>,
    reasonWithout: Reason,
  ): Promise<void> {
    const choice = await this.#takePermit({ limited });
    if (this.#run.finished()) return;
    if (choice === undefined) listener.none(reasonWithout);
    else listener.chosen(choice);
  }

  /** Takes a permit for a migration; {@link canContinueAt} uses it up. */
  async #takeMigrationPermit(
    limited: readonly ServerRecord[],
  ): Promise<Choice | undefined> {
    this.#permittedChoice = await this.#takePermit({
      limited,
      continues: true,
    });
    return this.#permittedChoice;
  }

  /** Tries to get a permit at a server, several times; `false` if it gets none. */
  async #waitForPermit(record: ServerRecord, waits: number): Promise<boolean> {
    const taken = await this.#takePermit({
      limited: [record],
      continues: true,
    });
    if (taken !== undefined) return true;
    if (waits >= MAXIMUM_PERMIT_WAITS || this.#run.finished()) return false;
    await sleep(this.#context.clock, PERMIT_WAIT_MILLISECONDS);
    return this.#waitForPermit(record, waits + 1);
  }

  #takePermit(send: {
    readonly limited: readonly ServerRecord[];
    readonly continues?: boolean;
  }): Promise<Choice | undefined> {
    const { request } = this.#run;
    return chooseWithPermit({ ...send, request }, this.#context);
  }
}

/** Servers that are asked for their load. */
interface LoadQueryTargets {
  readonly candidates: readonly ServerRecord[];
  readonly path: string;
}

/** Whether an outcome is the choice of an engine for a long prompt. */
function isOfLongPrompt(outcome: ChoiceOutcome): outcome is ChoiceOutcome & {
  readonly kind: "chosen";
  readonly candidates: readonly ServerRecord[];
} {
  return outcome.kind === "chosen" && outcome.candidates !== undefined;
}
