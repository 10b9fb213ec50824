// Copyright 2026 the rampswitch authors. Apache-2.0 license.

import { describe, expect, test } from "@jest/globals";
import { Result } from "true-myth";
import {
  ManualClock,
  type Random,
  seededRandom,
  SILENT_LOGGER,
  sleep,
} from "rampswitch-utils";
import {
  type Choice,
  ServerDirectory,
  type ServerRecord,
} from "../choice/mod.ts";
import type { BackendServer } from "../model/backend_server.ts";
import type {
  EngineControl,
  RetainedMemory,
  MemoryCopy,
  MemoryCopyError,
} from "../model/engine_control.ts";
import type { MemorySource } from "../model/request.ts";
import { ServingMetrics } from "../observation/mod.ts";
import type { AdmittedRequest } from "./admitted_request.ts";
import { IncarnationChecks } from "./incarnation_checks.ts";
import type { RequestContext } from "./request_context.ts";
import { type MigratableRun, RunMigration } from "./run_migration.ts";
import { RunRecord } from "./run_record.ts";
import { RunStops } from "./run_stops.ts";
import {
  NOTHING_ADVERTISED,
  ignoringAdvertisementReader,
} from "../advertisements/advertisements_standin.ts";

// The memory of a run that was stopped for a migration is named by a handle of the
// server that stopped it. That server may restart at any moment, before or after
// hosts detect it, and then restarts the count of its handles. These tests guard
// against a stream that resumes from the memory of another request, and against
// freeing another request's memory; both happened with real connections. Servers
// restart between any two steps of a migration, and each new incarnation has issued
// the handles of the former one to another request.

const OWN = "own";
const OTHER = "other";

const SERVERS = 4;

/** Maximum time of a copy, and until hosts detect a new incarnation, in ms. */
const COPY_MILLISECONDS = 60;
const DETECTION_MILLISECONDS = 400;

/** Time for which a leaving server still serves, in milliseconds. */
const DRAIN_MILLISECONDS = 2_000;

const STEP_MILLISECONDS = 25;
const STEPS = 120;
const SEEDS = 1_500;

/** Sends below which the seeds would not exercise the rule. */
const MINIMUM_SENDS = 1_000;

/** Events of one step, at most one of each, with their shares of the steps. */
const SHARES = {
  restarts: 0.3,
  migrations: 0.3,
  rejects: 0.6,
  noCapacity: 0.4,
  silent: 0.2,
};

/** A context with checks of incarnations; no server was lost. */
function withChecks(context: RequestContext): RequestContext {
  const incarnations = new IncarnationChecks({
    ...context,
    lostServers: { lostAt: () => -Infinity, onReported: () => undefined },
    streams: { begunByStart: () => undefined },
  });
  return { ...context, incarnations };
}

/** The actual state of one server, which hosts may not have detected. */
class SimulatedServer {
  readonly entry: BackendServer;
  born = 1;
  /** Number of handles that were issued. */
  given = 0;
  /** The request whose memory each handle of this incarnation names. */
  retained = new Map<string, string>();
  /** The same for copies, by source address and handle. */
  copies = new Map<string, string>();

  constructor(id: number) {
    this.entry = {
      id: `s${id}`,
      born: 1,
      service: "models",
      address: `10.0.0.${id}:1`,
      dataHall: "a",
      slots: 8,
      state: "ready",
      version: "v1",
      reclaimable: true,
    };
  }

  restart(): void {
    this.born += 1;
    this.copies = new Map();
    this.retained = new Map(
      Array.from({ length: this.given }, (_, at) => [String(at + 1), OTHER]),
    );
  }

  /** The handle that names a request's memory; the same for all calls. */
  handleOf(attempt: string): string {
    const known = [...this.retained].find(([, of]) => of === attempt)?.[0];
    if (known !== undefined) return known;
    this.given += 1;
    this.retained.set(String(this.given), attempt);
    return String(this.given);
  }

  /** Consumes the memory that a request names; returns whose it was. */
  use({ address, handle }: MemorySource): string | undefined {
    const own = address === this.entry.address;
    const memories = own ? this.retained : this.copies;
    const name = own ? handle : `${address}/${handle}`;
    const of = memories.get(name);
    memories.delete(name);
    return of;
  }
}

/** One run, its servers, and a host that detects their restarts late. */
class Simulation implements EngineControl {
  readonly clock = new ManualClock();
  readonly directory = new ServerDirectory();
  readonly servers = Array.from(
    { length: SERVERS },
    (_, id) => new SimulatedServer(id),
  );
  /** Uses of handles that must never happen. */
  readonly wrong: string[] = [];
  readonly migration: RunMigration;
  sentOn = 0;
  #current: Choice | undefined;
  #ended = false;
  /** The incarnation at which the run actually continues. */
  #runsAt:
    { readonly server: SimulatedServer; readonly born: number } | undefined;
  #stoppedAt: SimulatedServer | undefined;

  readonly #random: Random;

  constructor(random: Random) {
    this.#random = random;
    this.servers.forEach(({ entry }) => this.directory.put(entry, 0));
    const parts = {
      clock: this.clock,
      logger: SILENT_LOGGER,
      metrics: new ServingMetrics(),
      engineControl: this,
      advertisements: ignoringAdvertisementReader(),
      drainMilliseconds: () => DRAIN_MILLISECONDS,
      began: () => undefined,
    } as unknown as RequestContext;
    const context = withChecks(parts);
    this.migration = new RunMigration(this.#run(context), context);
    this.#begin();
  }

  get finished(): boolean {
    return this.#ended;
  }

  /** Plays one step with random events. */
  step(): void {
    const [server] = this.#shuffled();
    if (server !== undefined && this.#draws(SHARES.restarts)) {
      this.#restart(server);
    }
    if (this.#draws(SHARES.migrations)) void this.migration.migrate();
    this.clock.advance(this.#random.below(STEP_MILLISECONDS));
  }

  async report(address: string) {
    const { born } = this.#at(address);
    const report = {
      born,
      endsInMilliseconds: undefined,
      advertised: NOTHING_ADVERTISED,
    };
    return Promise.resolve(this.#draws(SHARES.silent) ? undefined : report);
  }

  async copyMemory(
    copy: MemoryCopy,
  ): Promise<Result<RetainedMemory, MemoryCopyError>> {
    const source = this.#at(copy.from);
    const { born } = source;
    const here = this.#runsAt?.server === source && this.#runsAt.born === born;
    const stopped = this.#stoppedAt === source && source.retained.size > 0;
    if (!here && !stopped) return Result.err("no_run");
    if (copy.stopsRun) {
      this.#runsAt = undefined;
      this.#stoppedAt = source;
    }
    await sleep(this.clock, this.#random.below(COPY_MILLISECONDS));
    if (source.born !== born) return Result.err("no_answer");
    const handle = source.handleOf(OWN);
    const copied = !this.#draws(SHARES.noCapacity);
    if (copied) this.#at(copy.to).copies.set(`${copy.from}/${handle}`, OWN);
    return copied || copy.stopsRun
      ? Result.ok({ handle, copied })
      : Result.err("no_room");
  }

  dropCopy(from: string, handle: string): Promise<boolean> {
    const { retained } = this.#at(from);
    if (retained.get(handle) === OTHER)
      this.wrong.push("freed another request's memory");
    return Promise.resolve(retained.delete(handle));
  }

  #run(parts: RequestContext): MigratableRun {
    const request = {
      head: { attemptId: OWN },
      service: { name: "models" },
    } as AdmittedRequest;
    return {
      attemptId: OWN,
      record: new RunRecord(request, parts),
      stops: new RunStops(parts),
      sentTo: () => this.#current,
      finished: () => this.#ended,
      lastEventId: () => "1",
      remaining: () => Infinity,
      canRunAgain: () => false,
      choose: () => this.#choose(),
      spend: () => ({ granted: true, view: undefined }),
      notRepeated: () => undefined,
      stopped: () => {
        this.#current = undefined;
      },
      canContinueAt: () => true,
      continueAt: (choice, memory) => this.#sendOn(choice, memory),
      memoryLost: () => this.#end(),
      lost: () => this.#end(),
      ended: () => this.#end(),
    };
  }

  #begin(): void {
    this.#current = this.#choose();
    this.#startRun(this.#current);
  }

  #startRun(choice: Choice | undefined): void {
    if (choice === undefined) return;
    const server = this.#at(choice.record.entry.address);
    this.#runsAt = { server, born: server.born };
    this.#stoppedAt = undefined;
  }

  #sendOn(choice: Choice, memory: MemorySource): void {
    this.sentOn += 1;
    this.#current = choice;
    if (choice.record.ended)
      this.wrong.push("sent to an incarnation that ended");
    const rejected = this.#draws(SHARES.rejects);
    const server = this.#at(choice.record.entry.address);
    const of = rejected ? undefined : server.use(memory);
    if (of === OTHER) this.wrong.push("resumed from another request's memory");
    this.clock.after(1, () => {
      if (of === OWN) {
        this.migration.resumption.resumed();
        this.#startRun(choice);
        return;
      }
      this.#current = undefined;
      this.migration.resumption.resumeAfter("rejected");
    });
  }

  /** Restarts a server; the host detects it some time later. */
  #restart(server: SimulatedServer): void {
    server.restart();
    const { born, entry } = server;
    this.clock.after(this.#random.below(DETECTION_MILLISECONDS), () => {
      const outcome = this.directory.put({ ...entry, born }, this.clock.now());
      if (outcome.kind === "started_again") this.#detectRestart(outcome.former);
    });
  }

  #detectRestart(former: ServerRecord): void {
    if (this.#current?.record !== former) return;
    if (this.migration.stopping) this.migration.noteLostWhileStopping();
    else this.#end();
  }

  #end(): void {
    this.#ended = true;
    this.#current = undefined;
    this.#runsAt = undefined;
    this.migration.resumption.drop();
  }

  #choose(): Choice | undefined {
    const records = this.directory
      .of("models")
      .filter((record) => record !== this.#current?.record);
    const record = records[this.#random.below(records.length)];
    return record === undefined
      ? undefined
      : {
          record,
          predictedMilliseconds: 0,
          workMilliseconds: 0,
          slowdown: 1,
          cachedTokens: 0,
          copyFrom: undefined,
          load: 0,
        };
  }

  #at(address: string): SimulatedServer {
    const server = this.servers.find(({ entry }) => entry.address === address);
    if (server === undefined) throw new Error(`no server at ${address}`);
    return server;
  }

  #shuffled(): readonly SimulatedServer[] {
    const at = this.#random.below(SERVERS);
    return [...this.servers.slice(at), ...this.servers.slice(0, at)];
  }

  #draws(share: number): boolean {
    return this.#random.next() < share;
  }
}

/** Resolves once all pending answers were handled. */
async function settled(): Promise<void> {
  for (let turn = 0; turn < 20; turn += 1) await Promise.resolve();
}

describe("migrations of a run between servers that restart", () => {
  test("use and free a handle only at the incarnation that issued it", async () => {
    const wrong: Record<string, readonly string[]> = {};
    let sentOn = 0;
    for (let seed = 0; seed < SEEDS; seed += 1) {
      const simulation = new Simulation(seededRandom(seed));
      for (let step = 0; step < STEPS && !simulation.finished; step += 1) {
        simulation.step();
        await settled();
      }
      simulation.migration.resumption.drop();
      await settled();
      if (simulation.wrong.length > 0) wrong[seed] = simulation.wrong;
      sentOn += simulation.sentOn;
    }
    expect(wrong).toEqual({});
    expect(sentOn).toBeGreaterThan(MINIMUM_SENDS);
  });
});

// Guards against a run that is moved to a server of the version that the list gives its
// server, which is back as another one.
test("a run is not moved from a server that is another incarnation than the listed one", async () => {
  const stops: boolean[] = [];
  const clock = new ManualClock();
  const directory = new ServerDirectory();
  [1, 2].forEach((id) => directory.put(new SimulatedServer(id).entry, 0));
  const [source, target] = directory.of("models").map((record) => ({ record }));
  const context = {
    clock,
    logger: SILENT_LOGGER,
    metrics: new ServingMetrics(),
    advertisements: ignoringAdvertisementReader(),
    engineControl: {
      report: () =>
        Promise.resolve({ born: 2, advertised: NOTHING_ADVERTISED }),
      copyMemory: ({ stopsRun }: MemoryCopy) => {
        stops.push(stopsRun);
        return Promise.resolve(Result.ok({ handle: "1", copied: true }));
      },
      dropCopy: () => Promise.resolve(true),
    },
    drainMilliseconds: () => DRAIN_MILLISECONDS,
  } as unknown as RequestContext;
  const request = { head: { attemptId: OWN }, service: { name: "models" } };
  const continuations: Choice[] = [];
  const run = {
    attemptId: OWN,
    record: new RunRecord(request as AdmittedRequest, context),
    stops: new RunStops(context),
    sentTo: () => source,
    finished: () => false,
    lastEventId: () => "1",
    remaining: () => Infinity,
    choose: () => target,
    notRepeated: () => undefined,
    stopped: () => undefined,
    canContinueAt: () => true,
    continueAt: (choice: Choice) => continuations.push(choice),
    memoryLost: () => undefined,
  } as unknown as MigratableRun;
  const migrating = new RunMigration(run, withChecks(context)).migrate();
  clock.advance(COPY_MILLISECONDS);
  await migrating;
  expect([stops.includes(true), continuations]).toEqual([false, []]);
});

// Guards against as many calls at once to a server that leaves as it has runs, each on a
// connection of its own, before any of them is moved.
test("runs that leave one server together share the question which incarnation it is", async () => {
  let asked = 0;
  const directory = new ServerDirectory();
  [1, 2].forEach((id) => directory.put(new SimulatedServer(id).entry, 0));
  const [source] = directory.of("models").map((record) => ({ record }));
  const context = {
    clock: new ManualClock(),
    logger: SILENT_LOGGER,
    metrics: new ServingMetrics(),
    advertisements: ignoringAdvertisementReader(),
    engineControl: {
      report: () => {
        asked += 1;
        return Promise.resolve({ born: 1, advertised: NOTHING_ADVERTISED });
      },
    },
    drainMilliseconds: () => DRAIN_MILLISECONDS,
  } as unknown as RequestContext;
  const run = {
    sentTo: () => source,
    finished: () => false,
    choose: () => undefined,
    notRepeated: () => undefined,
  } as unknown as MigratableRun;
  const shared = withChecks(context);
  const moves = Array.from({ length: 128 }, () =>
    new RunMigration(run, shared).migrate(),
  );
  await Promise.all(moves);
  expect(asked).toBe(1);
});
