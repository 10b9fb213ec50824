// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Chooses the servers for the sends of one request, one after the other. A limited
 * server advertises how many requests per second it takes; a send to it needs a
 * permit, which takes time to get. Other servers are chosen at once.
 *
 * @module
 */
import { runInBackground, sleep } from "rampswitch-utils";
import type { Choice, ChoiceOutcome, ServerRecord } from "../choice/mod.ts";
import type { RefusalReason } from "../model/outcome.ts";
import type { WaitingPlace } from "../room/mod.ts";
import {
  type AdmittedRequest,
  timeLimitMilliseconds,
} from "./admitted_request.ts";
import { canEndBeforeStop } from "./end_before_stop.ts";
import { chooseProbe, chooseWithPermit } from "./permit_choice.ts";
import type { RequestContext } from "./request_context.ts";
import type { NotRepeatedReason } from "./run_record.ts";
import {
  chooseForSend,
  type RoomRefusal,
  type SendChoice,
  type SendTerms,
  withPresentRanks,
} from "./send_choice.ts";
import type { StreamVersion } from "./stream_version.ts";

/** Maximum number of waits for a permit for a run that is lost without one. */
const MAXIMUM_PERMIT_WAITS = 3;

/** Time between two queries for a permit, in milliseconds. */
const PERMIT_WAIT_MILLISECONDS = 300;

/**
 * Share of the route's target for which a request may wait for a place at brittle
 * servers. A longer wait would cost its caller the chance to return in time.
 */
const SHARE_WAIT_SHARE = 1 / 8;

/**
 * Time for which a stream that continues waits for a server of its version, in
 * milliseconds: a server that crashed is often back by then, and callers give a stream
 * up only after seconds.
 */
const VERSION_WAIT_MILLISECONDS = 600;

/** Time between two choices during that wait, in milliseconds. */
const VERSION_POLL_MILLISECONDS = 30;

/**
 * Time after its removal for which a server may return under its version, in
 * milliseconds.
 */
const SERVER_RETURN_MILLISECONDS = 3_000;

/** Outcome of a choice without a server. */
type WithoutServer = Exclude<ChoiceOutcome["kind"], "chosen">;

/** Reason to refuse a first send, by the outcome of the choice. */
const REFUSAL_BY_OUTCOME = {
  none: "no_server",
  full: "servers_full",
  resting: "servers_resting",
} as const satisfies Readonly<Record<WithoutServer, RefusalReason>>;

/** How long a stream waits for a server of its version, and which may be chosen. */
interface VersionWait {
  /** On the monotonic clock. */
  readonly latestAt: number;
  /** Whether a server that was tried may be chosen again. */
  readonly mayReturn: boolean;
}

/** Receives the result of a choice. */
export interface ChoiceListener<Reason> {
  chosen(choice: Choice): void;
  none(reason: Reason): void;
}

/** The run of the request whose servers are chosen. */
export interface ChooserRun {
  readonly request: AdmittedRequest;
  /** Server incarnations that the request was sent to. */
  readonly tried: ReadonlySet<string>;
  /** Version that the stream has to continue at, and whether it can't be told. */
  readonly stream: Pick<StreamVersion, "required" | "isUncertain" | "settled">;
  /** Whether its caller has a final answer. */
  finished(): boolean;
  /** Notes that capacity is short for the first send. */
  shortOfRoom(refusal: RoomRefusal): void;
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
  #leaveShareWait: (() => void) | undefined;
  #refusal: RoomRefusal | undefined;

  constructor(run: ChooserRun, context: RequestContext) {
    this.#run = run;
    this.#context = context;
  }

  /** Why admission refused the first send, if it did. */
  get refusal(): RoomRefusal | undefined {
    return this.#refusal;
  }

  /** Frees the place of a request that waits for room. */
  stopWaiting(): void {
    this.#leaveShareWait?.();
    this.#waitingPlace?.leave();
    this.#waitingPlace = undefined;
  }

  /** Chooses a server for the first send, which may wait at this host. */
  chooseForFirstSend(asked: ChoiceListener<RefusalReason>): void {
    const listener = this.#beforeStop<RefusalReason>(asked);
    if (listener === undefined) return;
    const version = this.#run.stream.required;
    if (version !== undefined) {
      this.#inBackground(() =>
        this.#chooseAtVersion(version, {
          chosen: (choice) => listener.chosen(choice),
          none: (kind) => listener.none(this.#refusalOf(kind, version)),
        }),
      );
      return;
    }
    const choice = this.#choose();
    const { outcome, limited } = choice;
    if (outcome.kind !== "chosen" || limited.length === 0) {
      this.#chooseOrTakePermit(choice, listener);
      return;
    }
    const overdue = this.#context.permits.withoutRecentReport(limited);
    const send = { request: this.#run.request, limited };
    const probe = chooseProbe(send, this.#context);
    if (probe !== undefined) listener.chosen(probe);
    else if (overdue.length > 0) {
      this.#inBackground(() => this.#probeOrChoose(overdue, listener));
    } else listener.chosen(outcome.choice);
  }

  /** Chooses a server for a further send. */
  chooseForResend(asked: ChoiceListener<NotRepeatedReason>): void {
    const listener = this.#beforeStop(asked);
    if (listener === undefined) return;
    const version = this.#run.stream.required;
    if (version !== undefined) {
      this.#inBackground(() =>
        this.#chooseAtVersion(version, {
          chosen: (choice) => listener.chosen(choice),
          none: () => listener.none("no_server"),
        }),
      );
      return;
    }
    const { outcome, limited } = this.#choose();
    if (outcome.kind === "chosen") listener.chosen(outcome.choice);
    else if (limited.length === 0) listener.none("no_server");
    else {
      this.#inBackground(() =>
        this.#chooseWithPermit(limited, listener, "no_turn"),
      );
    }
  }

  /** Chooses another server for a run that is kept meanwhile; it waits for none. */
  chooseForReplacement(asked: ChoiceListener<NotRepeatedReason>): void {
    const listener = this.#beforeStop(asked);
    if (listener === undefined) return;
    this.#inBackground(async () => {
      const { required: version, settled } = this.#run.stream;
      const { outcome } = this.#choose({ version });
      const found = outcome.kind === "chosen" ? outcome.choice : undefined;
      await settled;
      const isConfirmed = found === undefined || version === undefined;
      const choice = isConfirmed ? found : await this.#confirmed(found);
      if (this.#run.stream.isUncertain) listener.none("version_unknown");
      else if (choice === undefined) listener.none("no_server");
      else listener.chosen(choice);
    });
  }

  /**
   * Has a choice count only if the request can end before this host does, also after
   * the waits of the choice; `undefined` if it can't any more.
   */
  #beforeStop<Reason>(
    listener: ChoiceListener<Reason | "stopping">,
  ): ChoiceListener<Reason> | undefined {
    const { request, stream } = this.#run;
    const isContinued = stream.required !== undefined;
    const canEnd = () =>
      canEndBeforeStop({ request, isContinued }, this.#context);
    const refuse = () => listener.none("stopping");
    if (!canEnd()) {
      refuse();
      return undefined;
    }
    return {
      chosen: (choice) => (canEnd() ? listener.chosen(choice) : refuse()),
      none: (reason) => listener.none(reason),
    };
  }

  /**
   * Chooses the target of a migration, and takes a permit if the target needs one. The
   * memory that one version writes is of no use to another one.
   */
  chooseForMigration(
    version: string,
  ): Choice | undefined | Promise<Choice | undefined> {
    const { outcome, limited } = this.#choose({ version });
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

  /**
   * Chooses a server of the version that began the stream. The caller has a part of the
   * answer, so the choice waits a little for a server instead of failing at once.
   */
  async #chooseAtVersion(
    version: string,
    listener: ChoiceListener<WithoutServer>,
    { latestAt, mayReturn }: VersionWait = this.#newVersionWait(),
  ): Promise<void> {
    const { outcome, limited } = this.#choose({ version, mayReturn });
    // It was admitted with the first choice, whether that found a server or not.
    this.#hasRoom = true;
    const found =
      outcome.kind === "chosen"
        ? outcome.choice
        : await this.#takePermit({ limited, continues: true });
    await this.#run.stream.settled;
    // Last, since the way to the server may change meanwhile.
    const choice = found && (await this.#confirmed(found));
    if (this.#run.finished()) return;
    // The server that began the stream may have been listed as another version meanwhile.
    if (this.#run.stream.isUncertain) {
      listener.none("none");
      return;
    }
    if (choice !== undefined) {
      listener.chosen(choice);
      return;
    }
    const isOver = this.#context.clock.now() >= latestAt;
    if (isOver || !this.#mayHaveServer(version)) {
      listener.none(outcome.kind === "chosen" ? "none" : outcome.kind);
      return;
    }
    await sleep(this.#context.clock, VERSION_POLL_MILLISECONDS);
    if (this.#run.finished()) return;
    // A server that was tried has had a moment by now.
    const next = { latestAt, mayReturn: true };
    await this.#chooseAtVersion(version, listener, next);
  }

  #newVersionWait(): VersionWait {
    const latestAt = this.#context.clock.now() + VERSION_WAIT_MILLISECONDS;
    return { latestAt, mayReturn: false };
  }

  #inBackground(choose: () => Promise<void>): void {
    runInBackground("choice of a server", this.#context, choose);
  }

  /**
   * The choice of a server, unless another incarnation answers in its place. Another host
   * asks a server that this one doesn't reach.
   */
  async #confirmed(choice: Choice): Promise<Choice | undefined> {
    const { client, incarnations } = this.#context;
    const { record } = choice;
    const { service } = this.#run.request;
    const isConfirmed =
      client.isConfirmedElsewhere(record.entry.id) ||
      (await incarnations.mayContinueAt(record, service));
    return isConfirmed ? choice : undefined;
  }

  /** Whether a version has a server, or lost its last one so lately that it may return. */
  #mayHaveServer(version: string): boolean {
    const { clock, directory } = this.#context;
    const now = clock.now();
    return directory
      .allOf(this.#run.request.service.name)
      .filter(({ entry }) => entry.version === version)
      .some(
        ({ isReady, leavingSince = -Infinity }) =>
          isReady || now - leavingSince < SERVER_RETURN_MILLISECONDS,
      );
  }

  /** Reason to refuse a stream that can't continue at the version that began it. */
  #refusalOf(outcome: WithoutServer, version: string): RefusalReason {
    if (this.#run.stream.isUncertain) return "stream_origin_lost";
    const { name: service } = this.#run.request.service;
    const isGone =
      this.#context.streams.goneMilliseconds({ service, version }) >=
      SERVER_RETURN_MILLISECONDS;
    return isGone ? "stream_version_gone" : REFUSAL_BY_OUTCOME[outcome];
  }

  #choose(held: Pick<SendTerms, "version" | "mayReturn"> = {}): SendChoice {
    const { request, tried } = this.#run;
    const send = { tried, hasRoom: this.#hasRoom, ...held };
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
      this.#inBackground(() =>
        this.#chooseWithPermit(limited, listener, "servers_limited"),
      );
    } else if (refusal !== undefined) {
      this.#waitForRoom(refusal, listener);
    } else if (outcome.kind === "full") {
      this.#waitForShare(listener);
    } else {
      listener.none(REFUSAL_BY_OUTCOME[outcome.kind]);
    }
  }

  /** Has the request wait for a place at brittle servers, for a short time. */
  #waitForShare(listener: ChoiceListener<RefusalReason>): void {
    const { request } = this.#run;
    const { brittle } = this.#context;
    const refuse = () => listener.none(REFUSAL_BY_OUTCOME.full);
    this.#leaveShareWait = brittle.isBrittleService(request.service.name)
      ? brittle.waits.add({
          latestAt:
            request.arrivedAt +
            Math.min(
              request.route.targetMilliseconds * SHARE_WAIT_SHARE,
              timeLimitMilliseconds(request),
            ),
          attempt: () => {
            const { outcome } = this.#choose();
            if (outcome.kind === "chosen") listener.chosen(outcome.choice);
            return outcome.kind === "chosen";
          },
          refuse,
        })
      : undefined;
    if (this.#leaveShareWait === undefined) refuse();
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
