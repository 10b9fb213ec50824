// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * The servers for the sends of one request, one after the other: those that need no
 * turn at once, limited ones with a turn that takes a moment.
 *
 * @module
 */
import { sleep } from "rampswitch-utils";
import type { Choice, ChoiceOutcome, ServerRecord } from "../choice/mod.ts";
import type { RefusalReason } from "../model/outcome.ts";
import type { AdmittedRequest } from "./admitted_request.ts";
import type { RequestContext } from "./request_context.ts";
import type { NotRepeatedReason } from "./run_record.ts";
import { chooseFor, type SendChoice } from "./send_choice.ts";
import { chooseProbe, chooseWithTurn } from "./turn_choice.ts";

/** Waits for a turn of a run that is lost without one, at most. */
const MOST_TURN_WAITS = 3;

/** Time between them, in milliseconds. */
const TURN_WAIT_MILLISECONDS = 300;

/** Why a first send is refused, by the choice that was not made. */
const REASONS = {
  none: "no_server",
  full: "servers_full",
  resting: "servers_resting",
} as const satisfies Readonly<
  Record<Exclude<ChoiceOutcome["kind"], "chosen">, RefusalReason>
>;

/** What follows a choice: a send, or the reason why there is none. */
export interface ChoiceListener<Reason> {
  chosen(choice: Choice): void;
  none(reason: Reason): void;
}

/** What is known of the request whose servers are chosen. */
export interface ChooserRun {
  readonly request: AdmittedRequest;
  /** Lives of servers that were sent the request. */
  readonly tried: ReadonlySet<string>;
  /** Whether its caller has a final answer. */
  finished(): boolean;
}

/** Chooses for one request. */
export class SendChooser {
  readonly #run: ChooserRun;
  readonly #context: RequestContext;
  /** The choice whose turn at a limited server is taken and not used yet. */
  #withTurn: Choice | undefined;

  constructor(run: ChooserRun, context: RequestContext) {
    this.#run = run;
    this.#context = context;
  }

  /** Whether a server that needs no turn takes the request now. */
  get hasOther(): boolean {
    return this.#choose().outcome.kind === "chosen";
  }

  /** Chooses for the first send. */
  first(listener: ChoiceListener<RefusalReason>): void {
    const choice = this.#choose();
    const { outcome, limited } = choice;
    if (outcome.kind !== "chosen" || limited.length === 0) {
      this.#firstOf(choice, listener);
      return;
    }
    const unheard = this.#context.turns.unheard(limited);
    const send = { request: this.#run.request, limited };
    const probe = chooseProbe(send, this.#context);
    if (probe !== undefined) listener.chosen(probe);
    else if (unheard.length > 0) void this.#probeOr(unheard, listener);
    else listener.chosen(outcome.choice);
  }

  /** Chooses for a further send. */
  again(listener: ChoiceListener<NotRepeatedReason>): void {
    const { outcome, limited } = this.#choose();
    if (outcome.kind === "chosen") listener.chosen(outcome.choice);
    else if (limited.length === 0) listener.none("no_server");
    else void this.#withTurnOf(limited, listener, "no_turn");
  }

  /** Chooses where a run may move to; a turn is taken with it. */
  forMove(): Choice | undefined | Promise<Choice | undefined> {
    const { outcome, limited } = this.#choose();
    if (outcome.kind === "chosen") return outcome.choice;
    return limited.length === 0 ? undefined : this.#takeForMove(limited);
  }

  /** A run may go on at a server; resolves to whether it has a turn, if it needs one. */
  mayGoOnAt(choice: Choice): boolean | Promise<boolean> {
    const hasTurn = this.#withTurn === choice;
    this.#withTurn = undefined;
    const isLimited = this.#context.turns.limitOf(choice.record) !== undefined;
    return hasTurn || !isLimited || this.#waitForTurn(choice.record, 0);
  }

  #choose(): SendChoice {
    return chooseFor(this.#run.request, this.#run.tried, this.#context);
  }

  #firstOf(
    { outcome, limited }: SendChoice,
    listener: ChoiceListener<RefusalReason>,
  ): void {
    if (outcome.kind === "chosen") listener.chosen(outcome.choice);
    else if (limited.length > 0) {
      void this.#withTurnOf(limited, listener, "servers_limited");
    } else {
      listener.none(REASONS[outcome.kind]);
    }
  }

  /** Asks a server that nobody has heard for long, or goes where it would have. */
  async #probeOr(
    limited: readonly ServerRecord[],
    listener: ChoiceListener<RefusalReason>,
  ): Promise<void> {
    const probe = await this.#take({ limited });
    if (this.#run.finished()) return;
    if (probe === undefined) this.#firstOf(this.#choose(), listener);
    else listener.chosen(probe);
  }

  async #withTurnOf<Reason>(
    limited: readonly ServerRecord[],
    listener: ChoiceListener<Reason>,
    without: Reason,
  ): Promise<void> {
    const choice = await this.#take({ limited });
    if (this.#run.finished()) return;
    if (choice === undefined) listener.none(without);
    else listener.chosen(choice);
  }

  async #takeForMove(
    limited: readonly ServerRecord[],
  ): Promise<Choice | undefined> {
    this.#withTurn = await this.#take({ limited, continues: true });
    return this.#withTurn;
  }

  async #waitForTurn(record: ServerRecord, waits: number): Promise<boolean> {
    const taken = await this.#take({ limited: [record], continues: true });
    if (taken !== undefined) return true;
    if (waits >= MOST_TURN_WAITS || this.#run.finished()) return false;
    await sleep(this.#context.clock, TURN_WAIT_MILLISECONDS);
    return this.#waitForTurn(record, waits + 1);
  }

  #take(send: {
    readonly limited: readonly ServerRecord[];
    readonly continues?: boolean;
  }): Promise<Choice | undefined> {
    const { request } = this.#run;
    return chooseWithTurn({ ...send, request }, this.#context);
  }
}
