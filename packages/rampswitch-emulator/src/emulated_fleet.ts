// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Hosts that place requests by the decisions of the serving host, before engines
 * in simulated time. What hosts know of each other's work is as late as their
 * news: a quarter of a second in a small fleet, two rounds of the relays in a
 * large one.
 *
 * @module
 */
import {
  chooseServer,
  ArrivalRates,
  WorkEstimates,
  type WorkRequest,
  SlotTotalsCache,
  admittedShare,
  PrefixCacheEstimate,
  ServerRecord,
  type WorkAtServer,
} from "rampswitch-serving";
import { exponential, type Random, seededRandom } from "rampswitch-utils";
import { quantileSorted } from "simple-statistics";
import TinyQueue from "tinyqueue";
import { EmulatedEngine } from "./emulated_engine.ts";
import {
  type DrawnRequest,
  drawRequest,
  type FleetShape,
  type RequestKind,
} from "./fleet_shape.ts";

/** One run of a fleet. */
export interface FleetRun {
  readonly shape: FleetShape;
  readonly engines: number;
  readonly seconds: number;
  readonly seed: number;
  /** Share of the engines that begin to leave at the middle of the run. */
  readonly lostShare?: number;
  /** Share of each kind's requests that have the same shared part. */
  readonly hotShare?: number;
}

/** Times to first parts of one kind of request. */
export interface KindFigures {
  readonly kind: string;
  readonly requests: number;
  readonly inTime: number;
  readonly medianMilliseconds: number;
  readonly p95Milliseconds: number;
}

/** What came of a run. */
export interface FleetFigures {
  /** Share of the worth that was in time. */
  readonly worthInTime: number;
  /** The same of the two worst seconds. */
  readonly worstInTime: number;
  /** Requests that no engine took, as a share of all. */
  readonly refused: number;
  /** Tokens of shared parts that were read again, as a share of all read. */
  readonly readAgain: number;
  /** Requests at all engines, running and waiting, on the mean. */
  readonly meanRunning: number;
  /** Tokens that all engines read in a second. */
  readonly readTokensPerSecond: number;
  readonly kinds: readonly KindFigures[];
}

interface Host {
  readonly dataHall: string;
  readonly records: readonly ServerRecord[];
  readonly prefixes: PrefixCacheEstimate;
  readonly workEstimates: WorkEstimates;
  readonly arrivalRates: ArrivalRates;
  readonly places: SlotTotalsCache;
}

interface Outcome {
  readonly kind: RequestKind;
  readonly at: number;
  /** `undefined`: refused. */
  readonly milliseconds: number | undefined;
}

interface Event {
  readonly at: number;
  run(): void;
}

/** Largest fleet in which every host hears every other. */
const MOST_DIRECT_HOSTS = 16;

/** Rounds of news and how many of them others' work is late, by size. */
const NEWS = {
  direct: { milliseconds: 250, late: 1 },
  relayed: { milliseconds: 400, late: 2 },
};

/** Seconds at the start that are not counted, while engines read first parts. */
const WARM_UP_SECONDS = 5;

/** Seconds of one span of the worst ones. */
const SPAN_SECONDS = 2;

const FLEET = "fleet";
const SERVICE = "models";

/** What the estimates of work see of a request: its kind is its route. */
function workRequest({ name }: RequestKind): WorkRequest {
  return {
    service: { name: SERVICE, engine: undefined },
    route: { name },
    head: {
      promptTokens: undefined,
      promptParts: [],
      maximumAnswerTokens: undefined,
      expectedAnswerTokens: undefined,
    },
  };
}

/** A fleet in simulated time. */
export class EmulatedFleet {
  readonly #run: FleetRun;
  readonly #random: Random;
  /** Draws of their own, so that ways to admit meet the same requests. */
  readonly #admitted: Random;
  readonly #events = new TinyQueue<Event>(
    [],
    (left, right) => left.at - right.at,
  );
  readonly #engines: readonly EmulatedEngine[];
  readonly #stepping = new Set<EmulatedEngine>();
  readonly #hosts: readonly Host[];
  readonly #outcomes: Outcome[] = [];
  #work: readonly (readonly (readonly WorkAtServer[])[])[] = [];
  readonly #running = { sum: 0, samples: 0 };
  #now = 0;

  constructor(run: FleetRun) {
    this.#run = run;
    this.#random = seededRandom(run.seed);
    this.#admitted = seededRandom(run.seed + 1);
    const everRead = new Set<string>();
    this.#engines = Array.from(
      { length: run.engines },
      () => new EmulatedEngine(run.shape.engine, everRead),
    );
    const shared = new PrefixCacheEstimate();
    this.#hosts = Array.from({ length: run.shape.hosts }, (_, index) => ({
      dataHall: this.#hall(index),
      records: this.#engines.map((_engine, at) => this.#record(at)),
      prefixes: this.#isDirect ? shared : new PrefixCacheEstimate(),
      workEstimates: new WorkEstimates(),
      arrivalRates: new ArrivalRates(0),
      places: new SlotTotalsCache(),
    }));
  }

  /** Runs the fleet to its end. */
  play(): FleetFigures {
    this.#run.shape.kinds.forEach((kind) => this.#arriveLater(kind));
    this.#tellLater();
    this.#loseLater();
    const end = this.#run.seconds * 1_000;
    for (;;) {
      const event = this.#events.pop();
      if (event === undefined || event.at > end) return this.#figures();
      this.#now = event.at;
      event.run();
    }
  }

  get #isDirect(): boolean {
    return this.#run.shape.hosts <= MOST_DIRECT_HOSTS;
  }

  #hall(index: number): string {
    return `hall-${index % this.#run.shape.dataHalls}`;
  }

  #record(at: number): ServerRecord {
    return new ServerRecord({
      id: `engine-${at}`,
      service: SERVICE,
      address: `10.0.0.${at}:1`,
      dataHall: this.#hall(at),
      slots: this.#run.shape.engine.slots,
      state: "ready",
      version: "v1",
      reclaimable: false,
      born: undefined,
    });
  }

  #later(milliseconds: number, run: () => void): void {
    this.#events.push({ at: this.#now + milliseconds, run });
  }

  #arriveLater(kind: RequestKind): void {
    this.#later(exponential(this.#random, 1_000 / kind.perSecond), () => {
      this.#arrive(drawRequest(kind, this.#random, this.#run.hotShare ?? 0));
      this.#arriveLater(kind);
    });
  }

  /** Some engines leave; all hosts hear of it at once. */
  #loseLater(): void {
    const { lostShare, seconds } = this.#run;
    if (lostShare === undefined) return;
    this.#later(seconds * 500, () => {
      const lost = Math.floor(this.#engines.length * lostShare);
      this.#hosts.forEach(({ records }) =>
        records.slice(0, lost).forEach((record) => {
          record.entry = { ...record.entry, state: "leaving" };
        }),
      );
    });
  }

  #arrive(drawn: DrawnRequest): void {
    const host = this.#hosts[this.#random.below(this.#hosts.length)];
    if (host === undefined) return;
    const at = this.#now;
    const { engine } = this.#run.shape;
    const parts = [
      { id: drawn.sharedPart, tokens: drawn.sharedTokens },
      { id: `own-${at}`, tokens: drawn.ownTokens },
    ];
    const promptTokens = drawn.sharedTokens + drawn.ownTokens;
    if (this.#admitted.next() >= this.#share(host, drawn)) {
      this.#outcomes.push({ kind: drawn.kind, at, milliseconds: undefined });
      return;
    }
    const outcome = chooseServer(host.records, host.prefixes, {
      now: at,
      dataHall: host.dataHall,
      engine: {
        slots: engine.slots,
        memoryTokens: engine.memoryTokens,
        migratable: true,
        copyTokensPerMillisecond: undefined,
      },
      parts,
      promptTokens,
      readingRate: engine.readTokensPerMillisecond,
      excluded: new Set(),
      maximumOwnRequests: Infinity,
      leavingGraceMilliseconds: 0,
      receivesDispatches: this.#isDirect,
      draw: () => this.#random.next(),
    });
    if (outcome.kind !== "chosen") {
      this.#outcomes.push({ kind: drawn.kind, at, milliseconds: undefined });
      return;
    }
    const { record, cachedTokens: keptTokens } = outcome.choice;
    const chosen = this.#engines[host.records.indexOf(record)];
    if (chosen === undefined) return;
    host.prefixes.stored(record.entry.id, parts, engine.memoryTokens);
    host.workEstimates.sent(workRequest(drawn.kind), at);
    let beganAt = at;
    const work = record.started(Math.max(0, promptTokens - keptTokens));
    chosen.take({
      drawn,
      priority: drawn.kind.priority,
      onFirstPart: (firstAt) => {
        work.prefillEnded();
        beganAt = firstAt;
        this.#outcomes.push({
          kind: drawn.kind,
          at,
          milliseconds: firstAt - at,
        });
        if (!engine.tellsLoad) return;
        const { running, waiting } = chosen;
        record.reported({ running, waiting, slots: engine.slots }, this.#now);
      },
      onEnd: (endedAt) => {
        work.ended();
        host.workEstimates.addMeasurement(workRequest(drawn.kind), {
          holdMilliseconds: endedAt - beganAt,
        });
      },
    });
    this.#step(chosen);
  }

  /** Share of the requests that a host takes now. */
  #share(host: Host, { kind }: DrawnRequest): number {
    const news = this.#isDirect ? NEWS.direct : NEWS.relayed;
    const arrivals = host.arrivalRates.addArrival(SERVICE, this.#now);
    return admittedShare(
      host.places.of(SERVICE, this.#now, () =>
        host.records
          .filter((record) => record.isReady)
          .map((record) => ({
            slots: record.entry.slots,
            load: record.load(this.#now),
          })),
      ),
      {
        arrivalsPerMillisecond: arrivals * this.#hosts.length,
        holdMilliseconds: host.workEstimates.meanHoldMilliseconds(SERVICE),
        targetMilliseconds: kind.targetMilliseconds,
        lagMilliseconds: news.milliseconds * news.late,
      },
    );
  }

  #step(engine: EmulatedEngine): void {
    if (this.#stepping.has(engine)) return;
    this.#stepping.add(engine);
    this.#later(engine.stepMilliseconds(), () => {
      engine.endStep(this.#now);
      this.#stepping.delete(engine);
      if (engine.isBusy) this.#step(engine);
    });
  }

  #tellLater(): void {
    const news = this.#isDirect ? NEWS.direct : NEWS.relayed;
    this.#later(news.milliseconds, () => {
      const now = this.#hosts.map(({ records }) =>
        records.map((record) => record.ownWork),
      );
      this.#work = [...this.#work, now].slice(-news.late);
      this.#countRunning();
      const told = this.#work[0];
      if (told !== undefined && this.#work.length === news.late)
        this.#tell(told);
      this.#tellLater();
    });
  }

  #countRunning(): void {
    this.#running.samples += 1;
    this.#running.sum += this.#engines.reduce(
      (sum, { running, waiting }) => sum + running + waiting,
      0,
    );
  }

  /** Tells each host the work of all others at each engine, as it was. */
  #tell(told: readonly (readonly WorkAtServer[])[]): void {
    const sums = this.#engines.map((_, at) =>
      told.reduce<WorkAtServer>(
        (sum, host) => ({
          running: sum.running + (host[at]?.running ?? 0),
          pendingPrefillTokens:
            sum.pendingPrefillTokens + (host[at]?.pendingPrefillTokens ?? 0),
        }),
        { running: 0, pendingPrefillTokens: 0 },
      ),
    );
    this.#hosts.forEach(({ records }, host) =>
      records.forEach((record, at) => {
        const own = told[host]?.[at];
        const sum = sums[at];
        if (own === undefined || sum === undefined) return;
        const beside = {
          running: sum.running - own.running,
          pendingPrefillTokens:
            sum.pendingPrefillTokens - own.pendingPrefillTokens,
        };
        record.receivePeerWork(FLEET, beside, this.#now);
      }),
    );
  }

  /** Outcomes by span of the run. */
  #spans(outcomes: readonly Outcome[]): readonly (readonly Outcome[])[] {
    const length = SPAN_SECONDS * 1_000;
    const count = Math.ceil((this.#run.seconds * 1_000) / length);
    return Array.from({ length: count }, (_, span) =>
      outcomes.filter(({ at }) => Math.floor(at / length) === span),
    ).filter((span) => span.length > 0);
  }

  #figures(): FleetFigures {
    const counted = this.#outcomes.filter(
      ({ at }) => at >= WARM_UP_SECONDS * 1_000,
    );
    const read = this.#engines.reduce(
      (sum, { tokens }) => sum + tokens.read,
      0,
    );
    const again = this.#engines.reduce(
      (sum, { tokens }) => sum + tokens.readAgain,
      0,
    );
    const worst = this.#spans(counted)
      .map(worthInTime)
      .toSorted((left, right) => left - right);
    const refused = counted.filter(
      ({ milliseconds }) => milliseconds === undefined,
    );
    return {
      worthInTime: worthInTime(counted),
      worstInTime: ((worst[0] ?? 0) + (worst[1] ?? 0)) / 2,
      refused: refused.length / Math.max(1, counted.length),
      readAgain: again / Math.max(1, read),
      meanRunning: this.#running.sum / Math.max(1, this.#running.samples),
      readTokensPerSecond: read / this.#run.seconds,
      kinds: this.#run.shape.kinds.map((kind) => kindFigures(kind, counted)),
    };
  }
}

function isInTime({ kind, milliseconds }: Outcome): boolean {
  return milliseconds !== undefined && milliseconds <= kind.targetMilliseconds;
}

function worthInTime(outcomes: readonly Outcome[]): number {
  const worth = (some: readonly Outcome[]) =>
    some.reduce((sum, { kind }) => sum + kind.worth, 0);
  return worth(outcomes.filter(isInTime)) / Math.max(1, worth(outcomes));
}

function kindFigures(
  kind: RequestKind,
  outcomes: readonly Outcome[],
): KindFigures {
  const own = outcomes.filter((outcome) => outcome.kind === kind);
  const times = own
    .map(({ milliseconds }) => milliseconds ?? Infinity)
    .toSorted((left, right) => left - right);
  const quantile = (share: number) =>
    times.length === 0 ? 0 : Math.round(quantileSorted(times, share));
  return {
    kind: kind.name,
    requests: own.length,
    inTime: own.filter(isInTime).length / Math.max(1, own.length),
    medianMilliseconds: quantile(0.5),
    p95Milliseconds: quantile(0.95),
  };
}
