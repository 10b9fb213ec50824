// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Roll-outs by the decisions of the serving host, on fleets in simulated time: news
 * that is late and lost, hosts that die, a store that is away, and versions that are
 * bad in one way or another.
 *
 * @module
 */
import {
  type BackendServer,
  type DueState,
  type RolloutUpdate,
  Rollouts,
  type SendObserver,
  ServerDirectory,
  type ServerRecord,
  ServingMetrics,
  type StoredRolloutState,
  VersionEvaluator,
} from "rampswitch-serving";
import {
  type RolloutFigures,
  type RolloutRun,
  type Route,
  ROUTES,
  type TroubleParts,
  TROUBLES,
} from "./rollout_shape.ts";
import {
  exponential,
  type Random,
  seededRandom,
  SILENT_LOGGER,
} from "rampswitch-utils";
import TinyQueue from "tinyqueue";

/** Share and slack that a version may get before it is judged. */
const TERMS = { share: 0.1, slack: 50 };

/** Bad answers, and the time after them until nothing more may be sent, in ms. */
const BAD_ANSWERS = 50;
const ROLLBACK_MILLISECONDS = 5_000;

const SERVICE = "models";
const ORDER_AT = 4_000;
const LISTED_AFTER_MILLISECONDS = 600;
const NEWS_MILLISECONDS = 300;
const LOST_NEWS_SHARE = 0.05;
const ACT_MILLISECONDS = 250;
const LOOK_MILLISECONDS = 100;
const STORE_MILLISECONDS = 4;
const LEASE_MILLISECONDS = 4_000;
const OVERTIME_MILLISECONDS = 12_000;
const REQUESTS_PER_SERVER = 7;
const RELAYS = 8;
const DIRECT_HOSTS = 24;

interface Host {
  readonly name: string;
  life: number;
  alive: boolean;
  directory: ServerDirectory;
  rollouts: Rollouts;
  readonly runs: Set<Run>;
}

interface Run {
  readonly host: Host;
  readonly life: number;
  readonly route: Route;
  record: ServerRecord;
  work: { ended(): void };
  sent: SendObserver | undefined;
  ended: boolean;
}

interface Timed {
  readonly at: number;
  readonly act: () => void;
}

/** One play of a roll-out. */
export class EmulatedRollout {
  readonly #run: RolloutRun;
  readonly #random: Random;
  readonly #queue = new TinyQueue<Timed>(
    [],
    (left, right) => left.at - right.at,
  );
  readonly #hosts: readonly Host[];
  readonly #servers: BackendServer[] = [];
  readonly #loads = new Map<string, number>();
  readonly #failing: string;
  #now = 0;
  #storeVersion = 10;
  #stored: StoredRolloutState | undefined;
  #ordered = false;
  #endedAt = Infinity;
  #holder = 0;
  #storeAway = false;
  #sentToTarget = 0;
  #sentToDeadline = 0;
  #targetToDeadline = 0;
  #badAnswers = 0;
  #lastBadAt = Infinity;
  #sentTooLate = 0;
  #cutAtEnd = 0;
  #cutOnce = 0;

  constructor(run: RolloutRun) {
    this.#run = run;
    this.#random = seededRandom(run.seed);
    this.#hosts = Array.from({ length: run.hosts }, (_, index) =>
      this.#newHost(`h${index}`),
    );
    this.#failing = `${this.#random.next() < 0.5 ? "v1" : "v2"}-1`;
  }

  /** Plays it to its end. */
  play(): RolloutFigures {
    this.#prepare();
    const { seconds, trouble } = this.#run;
    // Hosts that all are new take the order's time to begin when they read it.
    const begun = trouble === "all_die" ? 2 : 1;
    const end = ORDER_AT + begun * seconds * 1_000 + OVERTIME_MILLISECONDS;
    for (
      let next = this.#queue.pop();
      next !== undefined && next.at <= end && !this.#isSettled(next.at);
      next = this.#queue.pop()
    ) {
      this.#now = next.at;
      next.act();
    }
    const allowed = TERMS.share * this.#sentToDeadline + TERMS.slack;
    return {
      state: this.#stored ?? "running",
      endedAt: this.#endedAt - ORDER_AT,
      overExposed: Math.max(0, this.#targetToDeadline - allowed),
      badAnswers: this.#badAnswers,
      sentTooLate: this.#sentTooLate,
      cutAtEnd: this.#cutAtEnd,
      cutOnce: this.#cutOnce,
      sentToTarget: this.#sentToTarget,
    };
  }

  /** Some seconds after the end nothing more can be broken. */
  #isSettled(now: number): boolean {
    return now > this.#endedAt + ROLLBACK_MILLISECONDS + 1_500;
  }

  get #deadline(): number {
    return ORDER_AT + this.#run.seconds * 1_000;
  }

  #at(at: number, act: () => void): void {
    this.#queue.push({ at, act });
  }

  #after(milliseconds: number, act: () => void): void {
    this.#at(this.#now + milliseconds, act);
  }

  #prepare(): void {
    const servers = Math.max(
      4,
      Math.ceil(this.#run.requestsPerSecond / REQUESTS_PER_SERVER),
    );
    this.#list("v1", servers);
    this.#hosts.forEach((host, index) => {
      this.#at((index / this.#hosts.length) * NEWS_MILLISECONDS, () =>
        this.#tell(host),
      );
    });
    this.#at(1, () => this.#arrive());
    this.#at(ORDER_AT, () => {
      this.#ordered = true;
      this.#storeVersion += 1;
      this.#readOrder(this.#holding());
    });
    this.#at(ORDER_AT + LISTED_AFTER_MILLISECONDS, () =>
      this.#list("v2", servers),
    );
    this.#at(ORDER_AT, () => this.#act());
    TROUBLES[this.#run.trouble](this.#troubleParts());
  }

  #troubleParts(): TroubleParts {
    const at = ORDER_AT + this.#random.next() * this.#run.seconds * 1_000;
    return {
      die: (share) =>
        this.#hosts
          .filter(() => this.#random.next() < share)
          .forEach((host) =>
            this.#at(
              ORDER_AT + this.#random.next() * 1_000 * this.#run.seconds,
              () => this.#die(host),
            ),
          ),
      dieTogether: () =>
        this.#at(at, () => this.#hosts.forEach((host) => this.#die(host))),
      holderDies: () => this.#at(at, () => this.#die(this.#holding())),
      storeAway: () => {
        this.#at(at, () => (this.#storeAway = true));
        this.#at(at + 4_000, () => (this.#storeAway = false));
      },
    };
  }

  #list(version: string, count: number): void {
    const listed = Array.from({ length: count }, (_, index) =>
      serverOf(version, index),
    );
    this.#servers.push(...listed);
    this.#hosts.forEach((host) => this.#listAt(host, listed));
  }

  #listAt(host: Host, servers: readonly BackendServer[]): void {
    servers.forEach((server) => {
      host.directory.put(server, this.#now);
      host.rollouts.listed(server, this.#now);
    });
  }

  #newHost(name: string): Host {
    const directory = new ServerDirectory();
    return {
      name,
      life: 1,
      alive: true,
      directory,
      rollouts: this.#newRollouts(name, directory),
      runs: new Set(),
    };
  }

  #newRollouts(name: string, directory: ServerDirectory): Rollouts {
    return new Rollouts(
      {
        directory,
        logger: SILENT_LOGGER,
        metrics: METRICS,
        terms: () => TERMS,
        fleetPosition: () => ({
          rank: Number(name.slice(1)),
          hosts: this.#run.hosts,
        }),
        createEvaluator: this.#run.judge ?? (() => new VersionEvaluator()),
        onPromoting: () =>
          this.#after(LOOK_MILLISECONDS, () => this.#leave(name)),
        onUnknownVersion: () =>
          this.#at(this.#now + 900, () => this.#ask(name)),
      },
      this.#now,
    );
  }

  #ask(name: string): void {
    const host = this.#hostOf(name);
    if (host === undefined || !Number.isFinite(host.rollouts.heldBackSince)) {
      return;
    }
    if (this.#storeAway) this.#after(500, () => this.#ask(name));
    else {
      this.#readOrder(host);
      host.rollouts.specsRead();
    }
  }

  #readOrder(host: Host): void {
    if (!this.#ordered) return;
    host.rollouts.stored(
      { spec: this.#order, state: this.#stored },
      this.#storeVersion,
      this.#now,
    );
  }

  get #order(): DueState["spec"] {
    return {
      service: SERVICE,
      toVersion: "v2",
      durationMilliseconds: this.#run.seconds * 1_000,
    };
  }

  #hostOf(name: string): Host | undefined {
    return this.#hosts.find((host) => host.name === name && host.alive);
  }

  /** Hosts that hear of all others. */
  #hearing(): readonly Host[] {
    return this.#hosts.length <= DIRECT_HOSTS
      ? this.#hosts
      : this.#hosts.slice(0, RELAYS);
  }

  #holding(): Host {
    return this.#hearing()[this.#holder] as Host;
  }

  #tell(host: Host): void {
    this.#after(NEWS_MILLISECONDS * (0.8 + 0.4 * this.#random.next()), () =>
      this.#tell(host),
    );
    if (host.alive) this.#tellNow(host);
  }

  #tellNow(host: Host): void {
    const news = host.rollouts.updates(this.#now);
    const life = `${host.name}/${host.life}`;
    this.#hearing()
      .filter((other) => other !== host)
      .forEach((other) => this.#deliver(other, news, life));
    if (!this.#hearing().includes(host)) return;
    const word = host.rollouts.relayUpdates(this.#now);
    this.#hosts
      .slice(this.#hearing().length)
      // Each member hears two relays.
      .filter((_, index) =>
        [0, 1].some((one) => this.#hearing()[(index + one) % RELAYS] === host),
      )
      .forEach((member) => this.#deliver(member, word, undefined));
  }

  #deliver(
    host: Host,
    news: readonly RolloutUpdate[],
    life: string | undefined,
  ): void {
    if (news.length === 0 || this.#random.next() < LOST_NEWS_SHARE) return;
    this.#after(5 + 60 * this.#random.next(), () => {
      if (!host.alive) return;
      host.rollouts.received(news, {
        now: this.#now,
        ...(life === undefined ? {} : { incarnation: life }),
      });
    });
  }

  /** The holder of the duties stores what is due. */
  #act(): void {
    this.#after(ACT_MILLISECONDS, () => this.#act());
    const holder = this.#holding();
    if (!holder.alive) return;
    const others = this.#hosts
      .filter((host) => host !== holder)
      .map((host) => `${host.name}/${host.life}`);
    const due = holder.rollouts.dueStates(this.#now, others);
    if (this.#storeAway) return;
    due.forEach(({ state, storeVersion }) => {
      if (storeVersion === this.#storeVersion) this.#store(state);
      this.#after(STORE_MILLISECONDS, () => this.#readOrder(holder));
    });
  }

  #store(state: StoredRolloutState): void {
    this.#stored = state;
    this.#storeVersion += 1;
    if (state === "running") return;
    this.#endedAt = Math.min(this.#endedAt, this.#now);
    if (state === "completed") this.#endBaseline();
  }

  #endBaseline(): void {
    const left = this.#hosts.flatMap((host) =>
      [...host.runs].filter(({ record }) => record.entry.version === "v1"),
    );
    this.#cutAtEnd += left.length;
    this.#cutOnce += left.filter(({ route }) => !route.movable).length;
    this.#servers
      .filter(({ version }) => version === "v1")
      .forEach(({ id }) =>
        this.#hosts.forEach((host) => host.directory.remove(id, this.#now)),
      );
  }

  #die(host: Host): void {
    if (!host.alive) return;
    host.alive = false;
    [...host.runs].forEach((run) => this.#end(run));
    if (host === this.#holding()) {
      this.#after(LEASE_MILLISECONDS, () => {
        this.#holder = (this.#holder + 1) % this.#hearing().length;
        if (!this.#storeAway) this.#readOrder(this.#holding());
      });
    }
    this.#after(700 + 600 * this.#random.next(), () => this.#start(host));
  }

  #start(host: Host): void {
    host.life += 1;
    host.alive = true;
    host.directory = new ServerDirectory();
    host.rollouts = this.#newRollouts(host.name, host.directory);
    const gone = this.#stored === "completed";
    this.#listAt(
      host,
      this.#servers.filter(({ version }) => !gone || version === "v2"),
    );
  }

  #arrive(): void {
    this.#after(
      exponential(this.#random, 1_000 / this.#run.requestsPerSecond),
      () => this.#arrive(),
    );
    const host = this.#hosts[this.#random.below(this.#hosts.length)] as Host;
    if (host.alive) this.#begin(host, this.#drawRoute());
  }

  #drawRoute(): Route {
    const drawn = this.#random.next();
    const index = ROUTES.findIndex(
      (_, at) =>
        drawn <
        ROUTES.slice(0, at + 1).reduce((sum, { share }) => sum + share, 0),
    );
    return ROUTES[Math.max(0, index)] as Route;
  }

  #begin(host: Host, route: Route): void {
    const record = this.#choose(host, true);
    if (record === undefined) return;
    const run: Run = {
      host,
      life: host.life,
      route,
      record,
      work: { ended: () => undefined },
      sent: undefined,
      ended: false,
    };
    host.runs.add(run);
    this.#send(run, record);
    const load = this.#loads.get(record.entry.id) ?? 0;
    const { bad, factor } = this.#behaviour(record, route, load);
    const first = route.firstMilliseconds * lognormal(this.#random) * factor;
    if (bad) this.#after(first, () => this.#noteBad());
    this.#after(first, () => this.#answered(run, record, bad));
  }

  #answered(run: Run, record: ServerRecord, bad: boolean): void {
    if (run.ended || run.host.life !== run.life || !run.host.alive) return;
    const isFailure =
      (bad && this.#run.version?.slower === "failing") ||
      this.#failsAlone(record);
    if (run.record === record) {
      run.sent?.answered({ failed: isFailure, now: this.#now });
    }
    if (isFailure) {
      record.failed(this.#now, { surelyDown: false });
      this.#end(run);
      const next = this.#choose(run.host, false);
      if (next !== undefined) this.#count(next);
    } else {
      record.succeeded();
      const rest = Math.max(
        1,
        run.route.holdMilliseconds - run.route.firstMilliseconds,
      );
      this.#after(rest * lognormal(this.#random), () => this.#end(run));
    }
  }

  #failsAlone(record: ServerRecord): boolean {
    return (
      this.#run.trouble === "server_fails" &&
      record.entry.id === this.#failing &&
      this.#random.next() < 0.6
    );
  }

  #behaviour(
    record: ServerRecord,
    route: Route,
    load: number,
  ): { readonly bad: boolean; readonly factor: number } {
    const { version } = this.#run;
    const hall = this.#isHallSlow(record) ? 3 : 1;
    // The caches of a new version are empty for a while.
    const cold =
      record.entry.version === "v2" && route.name === "reviews" ? 1.3 : 1;
    const started =
      ORDER_AT + (version?.after ?? 0) * this.#run.seconds * 1_000;
    const bad =
      version !== undefined &&
      record.entry.version === "v2" &&
      this.#now >= started &&
      load > version.aboveLoad &&
      (version.route === undefined || version.route === route.name) &&
      this.#random.next() < version.share;
    const slower = bad && version.slower !== "failing" ? version.slower : 1;
    return { bad, factor: hall * cold * slower };
  }

  /** One hall in four is slow for some seconds, for both versions. */
  #isHallSlow(record: ServerRecord): boolean {
    const since = this.#now - ORDER_AT;
    return (
      this.#run.trouble === "hall_slow" &&
      record.entry.dataHall === "d1" &&
      since > this.#run.seconds * 300 &&
      since < this.#run.seconds * 300 + 3_000
    );
  }

  #choose(host: Host, isFirst: boolean): ServerRecord | undefined {
    const { first, fallback: otherwise } = host.rollouts.choice(SERVICE, {
      isFirst,
      now: this.#now,
    });
    return this.#leastLoaded(first) ?? this.#leastLoaded(otherwise ?? []);
  }

  /** The less loaded of two drawn ones. */
  #leastLoaded(records: readonly ServerRecord[]): ServerRecord | undefined {
    const open = records.filter(
      (record) => record.isReady && !record.isEjected(this.#now),
    );
    const [one, other] = [0, 1].map(
      () => open[this.#random.below(Math.max(1, open.length))],
    );
    if (one === undefined || other === undefined) return one;
    const load = (record: ServerRecord) =>
      this.#loads.get(record.entry.id) ?? 0;
    return load(other) < load(one) ? other : one;
  }

  #send(run: Run, record: ServerRecord): void {
    run.record = record;
    run.work = record.started(0);
    const { id } = record.entry;
    this.#loads.set(id, (this.#loads.get(id) ?? 0) + 1);
    this.#count(record);
    run.sent?.ended();
    run.sent = run.host.rollouts.sent(record, {
      route: run.route.name,
      sentAt: this.#now,
    });
  }

  #count(record: ServerRecord): void {
    const isTarget = record.entry.version === "v2";
    if (isTarget) this.#sentToTarget += 1;
    if (this.#now >= ORDER_AT && this.#now <= this.#deadline) {
      this.#sentToDeadline += 1;
      if (isTarget) this.#targetToDeadline += 1;
    }
    const isLate = this.#now > this.#lastBadAt + ROLLBACK_MILLISECONDS;
    if (isTarget && isLate) this.#sentTooLate += 1;
  }

  #noteBad(): void {
    this.#badAnswers += 1;
    if (this.#badAnswers === BAD_ANSWERS) this.#lastBadAt = this.#now;
  }

  #end(run: Run): void {
    if (run.ended) return;
    run.ended = true;
    run.sent?.ended();
    run.host.runs.delete(run);
    run.work.ended();
    const { id } = run.record.entry;
    this.#loads.set(id, (this.#loads.get(id) ?? 1) - 1);
  }

  /** Follows a promotion until no request is left at the former version. */
  #leave(name: string): void {
    const host = this.#hostOf(name);
    if (host === undefined) return;
    const { isPromoting: goesOn, hasChanged: isNews } =
      host.rollouts.promotionProgress(this.#now);
    if (isNews) this.#tellNow(host);
    if (goesOn) this.#after(LOOK_MILLISECONDS, () => this.#leave(name));
  }
}

const METRICS = new ServingMetrics();

const DATA_HALLS = 4;

function serverOf(version: string, index: number): BackendServer {
  return {
    id: `${version}-${index}`,
    born: undefined,
    service: SERVICE,
    address: `10.0.0.${index}:1`,
    dataHall: `d${index % DATA_HALLS}`,
    version,
    slots: 12,
    state: "ready",
    reclaimable: false,
  };
}

/** A draw with a median of 1. */
function lognormal(random: Random): number {
  const normal =
    Math.sqrt(-2 * Math.log(1 - random.next())) *
    Math.cos(2 * Math.PI * random.next());
  return Math.exp(0.5 * normal);
}
