// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Hosts that keep the limits of servers by the decisions of the serving host, in
 * simulated time: news is late or lost, hosts end, start and are cut off.
 *
 * @module
 */
import {
  LimitTable,
  ServingMetrics,
  PermitLedger,
  PermitLenders,
  type PermitUrgency,
  PermitWaits,
} from "rampswitch-serving";
import { LEARNT_MILLISECONDS, NamedLimits } from "rampswitch-standins";
import {
  exponential,
  type Random,
  seededRandom,
  SILENT_LOGGER,
} from "rampswitch-utils";
import TinyQueue from "tinyqueue";
import type { LimitsFigures, LimitsRun } from "./limits_shape.ts";

/** Pace of the news and how late it is, by the size of the fleet. */
const PACES = {
  direct: { interval: 250, silence: 700, soonest: 1, latest: 20, gone: 1_500 },
  relayed: {
    interval: 400,
    silence: 2_000,
    soonest: 100,
    latest: 900,
    gone: 3_000,
  },
} as const;

/** Largest fleet in which every host hears every other. */
const MOST_DIRECT_HOSTS = 16;

/** Hosts that may give turns in a fleet with relays. */
const RELAYS = 8;

const SERVERS = 3;
const SERVICE = "models";

/** Time to a server and back, with its work, in milliseconds. */
const SERVER_MILLISECONDS = { there: 3, work: 40 };

/** Time of a question to the host that gives turns, one way, in milliseconds. */
const QUESTION_MILLISECONDS = { soonest: 0.5, latest: 20, longest: 150 };

/** Share of the messages that is lost at any time, and while news is bad. */
const LOST = { usual: 0.005, bad: 0.2 };

/** When servers name their limits first, and when troubles begin, in ms. */
const NAMED_AT = 3_000;
const TROUBLE_AT = 15_000;
const TROUBLE_FOR = 8_000;

/** Time from its end until a host is back, in milliseconds. */
const DOWN_MILLISECONDS = 2_000;

/** Time between the ends of hosts, and between changes of a server, in ms. */
const STEP_MILLISECONDS = 1_500;

/** Share of the hosts that is cut off. */
const CUT_SHARE = 1 / 3;

/** What limits become one after the other, as multiples of the first one. */
const MOVES: readonly (number | undefined)[] = [2, 0.5, undefined, 1, 0.2, 1];

interface Host {
  readonly name: string;
  readonly index: number;
  state: HostState | undefined;
  /** Requests that an even share of the limits allows, by server. */
  readonly own: Map<string, number>;
}

interface HostState {
  readonly book: LimitTable;
  readonly lenders: PermitLenders;
  readonly ledger: PermitLedger;
  readonly waits: PermitWaits;
  readonly heard: Map<string, number>;
}

interface Server {
  readonly id: string;
  born: number;
  readonly limits: NamedLimits;
  perSecond: number | undefined;
}

interface Event {
  readonly at: number;
  run(): void;
}

/** A fleet before limited servers. */
export class EmulatedLimits {
  readonly #run: LimitsRun;
  readonly #random: Random;
  readonly #events = new TinyQueue<Event>(
    [],
    (left, right) => left.at - right.at,
  );
  readonly #hosts: readonly Host[];
  readonly #servers: readonly Server[];
  readonly #counts = { served: 0, refused: 0, waited: 0, questions: 0 };
  #now = 0;

  constructor(run: LimitsRun) {
    this.#run = run;
    this.#random = seededRandom(run.seed);
    this.#hosts = Array.from({ length: run.hosts }, (_, index) => ({
      name: `host-${index}`,
      index,
      state: undefined,
      own: new Map(),
    }));
    this.#servers = Array.from({ length: SERVERS }, (_, index) => ({
      id: `server-${index}`,
      born: 1,
      limits: new NamedLimits(),
      perSecond: undefined,
    }));
  }

  /** Runs the fleet to its end. */
  play(): LimitsFigures {
    this.#hosts.forEach((host) => this.#start(host));
    this.#at(NAMED_AT, () =>
      this.#servers.forEach((server) => this.#name(server, 1)),
    );
    this.#at(TROUBLE_AT, () => this.#begin());
    this.#arriveLater();
    const end = this.#run.seconds * 1_000;
    for (;;) {
      const event = this.#events.pop();
      if (event === undefined || event.at > end) return this.#figures(end);
      this.#now = event.at;
      event.run();
    }
  }

  get #pace(): (typeof PACES)[keyof typeof PACES] {
    return this.#run.hosts <= MOST_DIRECT_HOSTS ? PACES.direct : PACES.relayed;
  }

  get #inTrouble(): boolean {
    return this.#now >= TROUBLE_AT && this.#now < TROUBLE_AT + TROUBLE_FOR;
  }

  #at(at: number, run: () => void): void {
    this.#events.push({ at, run });
  }

  #later(milliseconds: number, run: () => void): void {
    this.#at(this.#now + milliseconds, run);
  }

  #between(soonest: number, latest: number): number {
    return soonest + (latest - soonest) * this.#random.next();
  }

  #start(host: Host): void {
    const state: HostState = {
      book: new LimitTable({
        logger: SILENT_LOGGER,
        metrics: new ServingMetrics(),
        onLowered: () => this.#tell(host, state),
      }),
      lenders: new PermitLenders(host.name),
      ledger: new PermitLedger(),
      waits: new PermitWaits(),
      heard: new Map(),
    };
    host.state = state;
    this.#hosts
      .filter((other) => other !== host)
      .forEach(({ name }) => state.lenders.expectHost(name, this.#now));
    this.#tellLater(host, state);
  }

  /** The hosts that a host takes for those that may give turns. */
  #holders(host: Host, { heard }: HostState): readonly string[] {
    const present = [
      host.name,
      ...[...heard]
        .filter(([, at]) => this.#now - at < this.#pace.gone)
        .map(([name]) => name),
    ];
    return this.#run.hosts <= MOST_DIRECT_HOSTS
      ? present
      : present.toSorted().slice(0, RELAYS);
  }

  #tellLater(host: Host, state: HostState): void {
    this.#later(this.#pace.interval * this.#between(0.9, 1.1), () => {
      if (host.state !== state) return;
      this.#tell(host, state);
      this.#tellLater(host, state);
    });
  }

  #tell(host: Host, state: HostState): void {
    const { book, lenders } = state;
    const limited = book.isEmpty ? [] : [SERVICE];
    const holders = this.#holders(host, state);
    const seen = { services: limited, holders };
    lenders.updateLoans(seen, this.#now, this.#pace);
    const news = book.updates(this.#now, { ownOnly: false });
    const said = { at: this.#now, lentTo: lenders.lentTo };
    this.#hosts
      .filter((other) => other !== host && this.#reaches(host, other))
      .filter(() => this.#random.next() >= this.#lost)
      .forEach((other) =>
        this.#later(
          this.#between(this.#pace.soonest, this.#pace.latest),
          () => {
            if (other.state === undefined) return;
            other.state.heard.set(host.name, said.at);
            const pace = this.#pace;
            const word = { lentTo: said.lentTo, stopping: false };
            other.state.lenders.receive(host.name, word, { at: said.at, pace });
            const late = this.#now - said.at;
            other.state.book.receive(
              news.map((one) => ({ ...one, age: one.age + late })),
              this.#now,
            );
          },
        ),
      );
  }

  get #lost(): number {
    const bad = this.#inTrouble && this.#run.trouble === "bad_news";
    return bad ? LOST.bad : LOST.usual;
  }

  /** Whether messages get from one host to another. */
  #reaches(from: Host, to: Host): boolean {
    if (!this.#inTrouble) return true;
    const isCut = ({ index }: Host) => index < this.#run.hosts * CUT_SHARE;
    const cuts: Readonly<Record<string, () => boolean>> = {
      cut: () => isCut(from) === isCut(to),
      cut_one_way: () => !isCut(from),
      alone: () => false,
    };
    return cuts[this.#run.trouble]?.() ?? true;
  }

  #begin(): void {
    const begins: Readonly<Record<string, () => void>> = {
      deaths: () => this.#endInTurn(0),
      all_end: () => this.#hosts.forEach((host) => this.#end(host)),
      moving: () => this.#move(0),
      reborn: () => this.#bearAgain(),
    };
    begins[this.#run.trouble]?.();
  }

  #end(host: Host): void {
    host.state = undefined;
    this.#later(DOWN_MILLISECONDS, () => this.#start(host));
  }

  #endInTurn(index: number): void {
    const host = this.#hosts[index % this.#hosts.length];
    if (host === undefined || !this.#inTrouble) return;
    this.#end(host);
    this.#later(STEP_MILLISECONDS, () => this.#endInTurn(index + 1));
  }

  #move(index: number): void {
    if (index >= MOVES.length) return;
    this.#servers.forEach((server) => this.#name(server, MOVES[index]));
    this.#later(2 * STEP_MILLISECONDS, () => this.#move(index + 1));
  }

  #bearAgain(): void {
    if (!this.#inTrouble) return;
    this.#servers.forEach((server) => {
      const { born } = server;
      this.#name(server, undefined);
      server.born = born + 1;
      this.#later(STEP_MILLISECONDS / 2, () => this.#name(server, 1));
    });
    this.#later(2 * STEP_MILLISECONDS, () => this.#bearAgain());
  }

  #name(server: Server, multiple: number | undefined): void {
    const { perSecond } = this.#run;
    server.perSecond =
      multiple === undefined ? undefined : multiple * perSecond;
    server.limits.name(server.perSecond?.toFixed(3), this.#now);
  }

  #arriveLater(): void {
    const { perSecond, demand } = this.#run;
    const mean = 1_000 / (perSecond * demand * SERVERS);
    this.#later(exponential(this.#random, mean), () => {
      const host = this.#hosts[this.#random.below(this.#hosts.length)];
      if (host?.state !== undefined) this.#arrive(host, host.state);
      this.#arriveLater();
    });
  }

  #arrive(host: Host, state: HostState): void {
    const open = this.#servers.filter(
      (server) => state.book.limitOf(server, this.#now) === undefined,
    );
    const free = open[this.#random.below(Math.max(1, open.length))];
    if (free !== undefined) {
      this.#send(host, free);
      return;
    }
    this.#take[this.#run.way](host, state);
  }

  readonly #take: Readonly<
    Record<LimitsRun["way"], (host: Host, state: HostState) => void>
  > = {
    one_host: (host, state) => {
      const isHolder = state.lenders.holder(SERVICE) === host.name;
      this.#sendOrRefuse(host, isHolder ? this.#give(host) : undefined, 0);
    },
    own_slots: (host, state) => {
      const { hosts } = state.lenders.owners(SERVICE, this.#now, this.#pace);
      const lenders = new Set([host.name]);
      // Slots of one host seldom follow one another, so that none can be left.
      const server = this.#giveFrom(state, { hosts, lenders }, "urgent");
      this.#sendOrRefuse(host, server, 0);
    },
    even_share: (host, state) => {
      const second = Math.floor(this.#now / 1_000);
      const server = this.#servers.find((one) => {
        const perSecond = state.book.limitOf(one, this.#now) ?? 0;
        const used = host.own.get(`${one.id}/${second}`) ?? 0;
        return used < Math.max(1, perSecond / this.#hosts.length);
      });
      if (server !== undefined) {
        const key = `${server.id}/${second}`;
        host.own.set(key, (host.own.get(key) ?? 0) + 1);
      }
      this.#sendOrRefuse(host, server, 0);
    },
    asked: (host, state) => this.#ask(host, state),
  };

  #ask(host: Host, state: HostState): void {
    const holder = state.lenders.holder(SERVICE);
    const asked = this.#hosts.find(({ name }) => name === holder);
    if (asked === host) {
      this.#sendOrRefuse(host, this.#give(host), 0);
      return;
    }
    if (asked === undefined || !state.waits.canQuery(SERVICE, this.#now)) {
      this.#sendOrRefuse(host, undefined, 0);
      return;
    }
    this.#counts.questions += 1;
    const askedAt = this.#now;
    let answered = false;
    const trip = () =>
      this.#between(
        QUESTION_MILLISECONDS.soonest,
        QUESTION_MILLISECONDS.latest,
      );
    const arrives = (from: Host, to: Host) =>
      this.#reaches(from, to) && this.#random.next() >= this.#lost;
    this.#later(QUESTION_MILLISECONDS.longest, () => {
      if (answered) return;
      answered = true;
      state.waits.recordNoAnswer(SERVICE, this.#now);
      this.#sendOrRefuse(host, undefined, this.#now - askedAt);
    });
    if (!arrives(host, asked)) return;
    this.#later(trip(), () => {
      if (asked.state === undefined) return;
      const server = this.#give(asked);
      const wait = this.#nextOf(asked);
      if (!arrives(asked, host)) return;
      this.#later(trip(), () => {
        if (answered || host.state !== state) return;
        answered = true;
        if (server === undefined) {
          state.waits.recordRefusal(SERVICE, wait, this.#now);
        }
        this.#sendOrRefuse(host, server, this.#now - askedAt);
      });
    });
  }

  #give({ state }: Host): Server | undefined {
    if (state === undefined) return undefined;
    const owners = state.lenders.owners(SERVICE, this.#now, this.#pace);
    return this.#giveFrom(state, owners);
  }

  #giveFrom(
    state: HostState,
    owners: ReturnType<PermitLenders["owners"]>,
    urgency: PermitUrgency = "ordinary",
  ): Server | undefined {
    return this.#servers.find((server) => {
      const perSecond = state.book.limitOf(server, this.#now);
      if (perSecond === undefined) return false;
      const incarnationName = `${server.id}/${server.born}`;
      const terms = { incarnationName, perSecond, time: this.#now, owners };
      return state.ledger.grant(terms, urgency).kind === "given";
    });
  }

  /** Time until the next turn of any server, in milliseconds. */
  #nextOf({ state }: Host): number {
    const rates = this.#servers.flatMap(
      (server) => state?.book.limitOf(server, this.#now) ?? [],
    );
    return 1_000 / Math.max(0.25, ...rates);
  }

  #sendOrRefuse(host: Host, server: Server | undefined, waited: number): void {
    if (server !== undefined) {
      this.#send(host, server);
      return;
    }
    this.#counts.refused += 1;
    this.#counts.waited += waited;
  }

  #send(host: Host, server: Server): void {
    this.#counts.served += 1;
    const { state } = host;
    this.#later(SERVER_MILLISECONDS.there, () => {
      server.limits.arrived(this.#now);
      const said = { ...server };
      const answers = SERVER_MILLISECONDS.there + SERVER_MILLISECONDS.work;
      this.#later(answers, () => {
        if (host.state === state) {
          state?.book.recordAdvertised(said, said.perSecond, this.#now);
        }
      });
    });
  }

  #figures(end: number): LimitsFigures {
    const { served, refused, waited, questions } = this.#counts;
    const learnt =
      this.#pace === PACES.direct
        ? LEARNT_MILLISECONDS / 2
        : LEARNT_MILLISECONDS;
    const from = NAMED_AT + 2 * LEARNT_MILLISECONDS;
    const used = this.#servers.map(({ limits }) => {
      const arrived = limits.arrivals.filter((at) => at >= from).length;
      return arrived / ((this.#run.perSecond * (end - from)) / 1_000);
    });
    return {
      mostBeyond: Math.max(
        ...this.#servers.map(({ limits }) => limits.mostBeyond(learnt)),
      ),
      mostOverRule: Math.max(
        ...this.#servers.map(({ limits }) =>
          mostOverRule(limits.arrivals, this.#run.perSecond),
        ),
      ),
      used: used.reduce((sum, share) => sum + share, 0) / SERVERS,
      served,
      refused,
      refusalMilliseconds: waited / Math.max(1, refused),
      questions: questions / (this.#run.seconds * this.#run.hosts),
    };
  }
}

/** Window of the rule on limits, in milliseconds, and what it allows. */
const RULE = { milliseconds: 4_000, multiple: 1.5, more: 5, after: 3_000 };

/** Most requests in any window beyond what the rule allows; below 0 when kept. */
function mostOverRule(arrivals: readonly number[], perSecond: number): number {
  const counted = arrivals.filter((at) => at >= NAMED_AT + RULE.after);
  const allowed =
    (RULE.multiple * perSecond * RULE.milliseconds) / 1_000 + RULE.more;
  return counted.reduce((most, at, index) => {
    const last = counted.findIndex((other) => other > at + RULE.milliseconds);
    const count = (last < 0 ? counted.length : last) - index;
    return Math.max(most, count - allowed);
  }, -Infinity);
}
