// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Replays a pattern of requests at a few engines, without a network: hosts choose
 * servers by their own records, and engines step as plain objects.
 *
 * @module
 */
import { exponential, seededRandom, type Random } from "rampswitch-utils";
import {
  type ChoiceInputs,
  chooseServer,
  type Choice,
} from "./choose_server.ts";
import { PrefixCacheEstimate } from "./prefix_cache_estimate.ts";
import type { Placement } from "./prompt_placement.ts";
import { ServerRecord, type StartedWork } from "./server_record.ts";

/** One kind of requests. */
export interface ReplayedKind {
  readonly perSecond: number;
  readonly promptTokens: number;
  /** Tokens of the prompt's part that the requests of a subject share. */
  readonly sharedTokens: number;
  readonly answerTokens: number;
}

/** A pattern of requests and how hosts choose. */
export interface ReplayedLoad {
  readonly seed: number;
  readonly seconds: number;
  readonly engines: number;
  readonly hosts: number;
  readonly kinds: readonly ReplayedKind[];
  /** Subjects, and the share of requests that the first one gets. */
  readonly subjects: number;
  readonly largestShare: number;
  /** How prompts are placed; `undefined` for services without the new rules. */
  placement(host: number, part: string, now: number): Placement | undefined;
  /** Whether hosts ask candidates for their load. */
  readonly queries: boolean;
  /** Data hall of an engine and of a host. */
  hallOfEngine?(index: number): string;
  hallOfHost?(index: number): string;
  /** Called before each choice; may end engines. */
  onArrival?(now: number, engines: ReplayedEngines): void;
}

/** Access to the engines during a replay. */
export interface ReplayedEngines {
  /** Ends an engine, whose requests are lost, for all hosts. */
  end(id: string): void;
}

/** What became of one request. */
export interface ReplayedAnswer {
  readonly kind: ReplayedKind;
  readonly at: number;
  readonly part: string;
  readonly engine: string;
  readonly load: number;
  /** Prompt tokens that the engine reads. */
  readonly prefillTokens: number;
  firstPartAt: number | undefined;
  /** Most steps in a row with other prompts' prefill while the engine was slow. */
  longestDelay: number;
}

interface Run {
  readonly answer: ReplayedAnswer;
  readonly work: StartedWork;
  readonly host: Host;
  readonly record: ServerRecord;
  readonly part: string;
  prefillTokens: number;
  tokensLeft: number;
  delayedSteps: number;
}

interface Engine {
  readonly id: string;
  readonly prompts: Run[];
  readonly streams: Run[];
  readonly cached: Set<string>;
  readonly slowFrom: readonly number[];
  nextStep: number;
  ended: boolean;
}

interface Host {
  readonly hall: string;
  readonly records: readonly ServerRecord[];
  readonly prefixes: PrefixCacheEstimate;
}

const SLOTS = 64;
const MEMORY_TOKENS = 559_203;
const CHUNK_TOKENS = 1_024;
const READING_RATE = 48.2;
const COPY_RATE = 1_000;
const COPY_MILLISECONDS = 5;
const TOKEN_MILLISECONDS = 6;
const SLOW = { factor: 2.5, share: 0.15, milliseconds: 600 };
const GOSSIP_MILLISECONDS = 500;

/** Replays a load; returns the answers to all requests. */
export function replayLoad(load: ReplayedLoad): readonly ReplayedAnswer[] {
  return new Replay(load).run();
}

class Replay {
  readonly #load: ReplayedLoad;
  readonly #random: Random;
  readonly #engines: readonly Engine[];
  readonly #hosts: readonly Host[];
  readonly #answers: ReplayedAnswer[] = [];
  /** Work of all hosts, one gossip interval ago. */
  #former: readonly Readonly<Record<string, Work>>[] = [];

  constructor(load: ReplayedLoad) {
    this.#load = load;
    this.#random = seededRandom(load.seed);
    this.#engines = Array.from({ length: load.engines }, (_, at) => ({
      id: `e${at}`,
      prompts: [],
      streams: [],
      cached: new Set<string>(),
      slowFrom: slowPeriods(this.#random, load.seconds * 1_000),
      nextStep: Infinity,
      ended: false,
    }));
    this.#hosts = Array.from({ length: load.hosts }, (_, at) => ({
      hall: load.hallOfHost?.(at) ?? "a",
      records: this.#engines.map(({ id }, index) =>
        recordOf(id, load.hallOfEngine?.(index) ?? "a"),
      ),
      prefixes: new PrefixCacheEstimate(),
    }));
  }

  run(): readonly ReplayedAnswer[] {
    const end = this.#load.seconds * 1_000;
    const arrivals = this.#load.kinds
      .flatMap((kind) => this.#arrivals(kind, end))
      .toSorted((left, right) => left.at - right.at);
    let next = 0;
    let gossipAt = 0;
    for (;;) {
      const engine = this.#engines.reduce((first, other) =>
        other.nextStep < first.nextStep ? other : first,
      );
      const arrival = arrivals[next];
      const at = Math.min(engine.nextStep, arrival?.at ?? Infinity);
      if (at === Infinity) return this.#answers;
      if (gossipAt <= at) {
        this.#gossip(gossipAt);
        gossipAt += GOSSIP_MILLISECONDS;
      } else if (arrival !== undefined && arrival.at <= engine.nextStep) {
        next += 1;
        this.#arrive(arrival);
      } else this.#step(engine);
    }
  }

  #arrivals(kind: ReplayedKind, end: number): readonly Arrival[] {
    const arrivals: Arrival[] = [];
    const gap = 1_000 / kind.perSecond;
    let at = exponential(this.#random, gap);
    while (at < end) {
      arrivals.push({ at, kind });
      at += exponential(this.#random, gap);
    }
    return arrivals;
  }

  #gossip(now: number): void {
    const current = this.#hosts.map(({ records }) =>
      Object.fromEntries(
        records.map((record) => [record.entry.id, record.ownWork]),
      ),
    );
    const former = this.#former;
    this.#former = current;
    if (former.length === 0) return;
    const totals = this.#engines.map(({ id }) => sumOf(former, id));
    this.#hosts.forEach(({ records }, host) =>
      records.forEach((record, index) => {
        const own = former[host]?.[record.entry.id];
        const all = totals[index];
        record.receivePeerWork("fleet", difference(all, own), now);
      }),
    );
  }

  #arrive({ at, kind }: Arrival): void {
    this.#load.onArrival?.(at, { end: (id) => this.#end(id) });
    const index = this.#random.below(this.#hosts.length);
    const host = this.#hosts[index];
    const isLargest = this.#random.next() < this.#load.largestShare;
    const subject = isLargest
      ? 0
      : 1 + this.#random.below(this.#load.subjects - 1);
    const part = `${kind.promptTokens}-${subject}`;
    if (host === undefined) return;
    const choice = this.#choose(host, {
      now: at,
      kind,
      part,
      placement: this.#load.placement(index, part, at),
    });
    if (choice !== undefined) this.#send(host, choice, { at, kind, part });
  }

  #choose(
    host: Host,
    {
      now,
      kind,
      part,
      placement,
    }: {
      readonly now: number;
      readonly kind: ReplayedKind;
      readonly part: string;
      readonly placement: Placement | undefined;
    },
  ): Choice | undefined {
    const inputs: ChoiceInputs = {
      now,
      dataHall: host.hall,
      engine: {
        slots: SLOTS,
        memoryTokens: MEMORY_TOKENS,
        migratable: true,
        copyTokensPerMillisecond: COPY_RATE,
      },
      parts: [
        { id: part, tokens: kind.sharedTokens },
        {
          id: `own-${now}`,
          tokens: kind.promptTokens - kind.sharedTokens,
        },
      ],
      promptTokens: kind.promptTokens,
      readingRate: READING_RATE,
      excluded: new Set(),
      maximumOwnRequests: 100,
      receivesDispatches: false,
      leavingGraceMilliseconds: 0,
      placement,
      draw: () => this.#random.next(),
    };
    const outcome = chooseServer(host.records, host.prefixes, inputs);
    if (outcome.kind !== "chosen") return undefined;
    const { candidates } = outcome;
    if (candidates === undefined || !this.#load.queries) return outcome.choice;
    candidates.forEach((record) => this.#report(record, now));
    const again = chooseServer(host.records, host.prefixes, {
      ...inputs,
      among: candidates,
    });
    return again.kind === "chosen" ? again.choice : outcome.choice;
  }

  /** An engine reports its load and its speed to a host. */
  #report(record: ServerRecord, now: number): void {
    const engine = this.#engineOf(record);
    if (engine.ended) return;
    const running = engine.streams.length + engine.prompts.length;
    record.reported({ running, waiting: 0, slots: SLOTS }, now);
    record.speed.reported(100 * slowdownAt(engine, now), now);
  }

  #send(host: Host, choice: Choice, { at, kind, part }: Sent): void {
    const { record } = choice;
    const engine = this.#engineOf(record);
    const shared = [{ id: part, tokens: kind.sharedTokens }];
    host.prefixes.stored(record.entry.id, shared, MEMORY_TOKENS);
    const unread = Math.max(0, kind.promptTokens - choice.cachedTokens);
    const prefillTokens = this.#prefillTokens(engine, choice, { kind, part });
    const answer: ReplayedAnswer = {
      kind,
      at,
      part,
      engine: engine.id,
      load: engine.streams.length + engine.prompts.length,
      prefillTokens,
      firstPartAt: undefined,
      longestDelay: 0,
    };
    this.#answers.push(answer);
    const run: Run = {
      answer,
      work: record.started(unread),
      host,
      record,
      part,
      prefillTokens,
      tokensLeft: kind.answerTokens,
      delayedSteps: 0,
    };
    if (engine.ended) return run.work.ended();
    engine.prompts.push(run);
    if (engine.nextStep === Infinity) engine.nextStep = at;
  }

  /** Prompt tokens that the engine reads: those that are neither cached nor copied. */
  #prefillTokens(
    engine: Engine,
    { copyFrom }: Choice,
    { kind, part }: Pick<Sent, "kind" | "part">,
  ): number {
    if (engine.cached.has(part)) return kind.promptTokens - kind.sharedTokens;
    const source =
      copyFrom === undefined ? undefined : this.#engineOf(copyFrom);
    const isCopied = source?.cached.has(part) === true && !source.ended;
    if (!isCopied) return kind.promptTokens;
    const milliseconds = COPY_MILLISECONDS + kind.sharedTokens / COPY_RATE;
    return kind.promptTokens - kind.sharedTokens + milliseconds * READING_RATE;
  }

  #step(engine: Engine): void {
    const now = engine.nextStep;
    const [prompt] = engine.prompts;
    const chunk = Math.min(CHUNK_TOKENS, prompt?.prefillTokens ?? 0);
    const slowdown = slowdownAt(engine, now);
    const milliseconds = slowdown * (TOKEN_MILLISECONDS + chunk / READING_RATE);
    engine.streams.forEach((run) => {
      run.tokensLeft -= 1;
      run.delayedSteps = chunk > 0 && slowdown > 1 ? run.delayedSteps + 1 : 0;
      const { answer } = run;
      answer.longestDelay = Math.max(answer.longestDelay, run.delayedSteps);
    });
    engine.streams
      .filter(({ tokensLeft }) => tokensLeft <= 0)
      .forEach((run) => {
        run.work.ended();
        engine.streams.splice(engine.streams.indexOf(run), 1);
      });
    if (prompt !== undefined) {
      prompt.prefillTokens -= chunk;
      if (prompt.prefillTokens <= 0) {
        engine.prompts.shift();
        engine.streams.push(prompt);
        engine.cached.add(prompt.part);
        prompt.answer.firstPartAt = now + milliseconds;
        prompt.work.prefillEnded();
        this.#report(prompt.record, now);
      }
    }
    const isIdle = engine.streams.length + engine.prompts.length === 0;
    engine.nextStep = isIdle ? Infinity : now + milliseconds;
  }

  #end(id: string): void {
    const engine = this.#engines.find((other) => other.id === id);
    if (engine === undefined || engine.ended) return;
    engine.ended = true;
    engine.nextStep = Infinity;
    [...engine.prompts, ...engine.streams].forEach(({ work }) => work.ended());
    this.#hosts.forEach(({ records }) =>
      records.find(({ entry }) => entry.id === id)?.end(),
    );
  }

  #engineOf({ entry }: ServerRecord): Engine {
    const engine = this.#engines.find(({ id }) => id === entry.id);
    if (engine === undefined) throw new Error(`no engine ${entry.id}`);
    return engine;
  }
}

interface Arrival {
  readonly at: number;
  readonly kind: ReplayedKind;
}

interface Sent extends Arrival {
  readonly part: string;
}

interface Work {
  readonly running: number;
  readonly pendingPrefillTokens: number;
}

function sumOf(
  hosts: readonly Readonly<Record<string, Work>>[],
  id: string,
): Work {
  return hosts.reduce<Work>(
    (sum, work) => ({
      running: sum.running + (work[id]?.running ?? 0),
      pendingPrefillTokens:
        sum.pendingPrefillTokens + (work[id]?.pendingPrefillTokens ?? 0),
    }),
    { running: 0, pendingPrefillTokens: 0 },
  );
}

function difference(all: Work | undefined, own: Work | undefined): Work {
  return {
    running: (all?.running ?? 0) - (own?.running ?? 0),
    pendingPrefillTokens:
      (all?.pendingPrefillTokens ?? 0) - (own?.pendingPrefillTokens ?? 0),
  };
}

function recordOf(id: string, dataHall: string): ServerRecord {
  return new ServerRecord({
    id,
    service: "models",
    address: `${id}:80`,
    dataHall,
    slots: SLOTS,
    state: "ready",
    version: "v1",
    reclaimable: true,
    born: 1,
  });
}

/** Starts of an engine's slow periods. */
function slowPeriods(random: Random, end: number): readonly number[] {
  const gap = (SLOW.milliseconds * (1 - SLOW.share)) / SLOW.share;
  const periods: number[] = [];
  let at = exponential(random, gap);
  while (at < 2 * end) {
    periods.push(at);
    at += SLOW.milliseconds + exponential(random, gap);
  }
  return periods;
}

function slowdownAt({ slowFrom }: Engine, now: number): number {
  return slowFrom.some((from) => now >= from && now < from + SLOW.milliseconds)
    ? SLOW.factor
    : 1;
}
