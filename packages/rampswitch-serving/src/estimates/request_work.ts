// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Work of requests: the prompt tokens that an engine reads for them, the tokens that it
 * generates and holds, and how long they occupy a slot. Estimates are learned from
 * answers by service, route and size of the prompt, so a burst on one route does not
 * change the estimates of another. Pure; times are in milliseconds on the monotonic
 * clock of this host.
 *
 * @module
 */
import type { Route, Service } from "../model/configuration.ts";
import type { PromptPart, RequestHead } from "../model/request.ts";
import { LearnedWork } from "./learned_work.ts";
import { type MeasuredPrompt, PrefillRate } from "./prefill_rate.ts";
import { RatioCalibration } from "./ratio_calibration.ts";
import { RunningMix } from "./running_mix.ts";

/** What the estimates use of a request. */
export interface WorkRequest {
  readonly service: Pick<Service, "name" | "engine">;
  readonly route: Pick<Route, "name">;
  readonly head: Pick<
    RequestHead,
    | "promptTokens"
    | "promptParts"
    | "maximumAnswerTokens"
    | "expectedAnswerTokens"
  >;
}

/** Estimated work of one request at a server of usual speed. */
export interface RequestWork {
  /** Prompt tokens that an engine reads; those that it has cached are not among them. */
  readonly prefillTokens: number;
  /** Tokens of the answer. */
  readonly answerTokens: number;
  /** Tokens of memory that the request holds at its end: prompt and answer. */
  readonly memoryTokens: number;
  readonly prefillMilliseconds: number;
  /** Time for which it occupies a slot, without the wait for the slot. */
  readonly holdMilliseconds: number;
}

/** What was measured of one request, at a server of usual speed. */
export interface MeasuredWork {
  /** Time for which it occupied its slot, without the wait for the slot. */
  readonly holdMilliseconds: number;
  /** Prompt tokens that the engine read. */
  readonly prefillTokens?: number | undefined;
  /** Events of a streamed answer. */
  readonly events?: number | undefined;
}

/** Bounds of measured hold times, in milliseconds; others are clamped. */
const HOLD_RANGE = { minimum: 5, maximum: 30_000 };

/**
 * Maximum tokens of a prompt or an answer that count. Callers state them, and a sum that
 * is no finite number would make the means unusable. No engine holds as many.
 */
const MAXIMUM_TOKENS = 10_000_000;

/** Bounds of a length hint, as multiples of the route's mean: hints are often far off. */
const HINT_RANGE = { minimum: 0.25, maximum: 4 };

/**
 * Measurements from which an estimate is compared with the time of an answer. The first
 * answers of a process are slower than usual.
 */
const MINIMUM_COMPARED_MEASUREMENTS = 5;

/** Time for which the estimates of a removed route are retained, in milliseconds. */
const REMOVED_ROUTE_RETENTION_MILLISECONDS = 60_000;

/** Weight of an answer in the mean error of the estimates. */
const ERROR_WEIGHT = 0.02;

/** Estimates of one service. */
interface ServiceWork {
  /** Over all routes; estimates of a new route begin with it. */
  readonly all: LearnedWork;
  readonly routes: Map<string, RouteWork>;
  readonly prefill: PrefillRate;
  readonly mix: RunningMix;
  readonly firstParts: RatioCalibration;
  readonly answers: RatioCalibration;
}

/** Estimates of one route at one service. */
interface RouteWork {
  /** Over all prompts; estimates of a new size begin with it. */
  readonly all: LearnedWork;
  /** By size class; classes without a measurement are absent. */
  readonly sizes: (LearnedWork | undefined)[];
}

/** Estimates of the work of requests. */
export class WorkEstimates {
  readonly #services = new Map<string, ServiceWork>();
  /** Configured routes; `undefined` before the first configuration. */
  #configured: ReadonlySet<string> | undefined;
  /** When routes were removed that still have estimates. */
  readonly #removedAt = new Map<string, number>();
  #errorRatio = 0;

  /** Estimates the work of a request. */
  of(request: WorkRequest): RequestWork {
    const { service, head } = request;
    const known = this.#services.get(service.name);
    const prompt = promptTokensOf(head);
    const learned = learnedFor(known, request, prompt);
    if (service.engine === undefined) {
      const holdMilliseconds = boundedHold(learned.answerMilliseconds);
      return { ...NO_TOKENS, holdMilliseconds };
    }
    const prefillTokens = prompt * learned.prefillShare;
    const prefillMilliseconds = prefillTokens / this.prefillRate(service.name);
    const answerTokens = boundedTokens(
      expectedTokens(learned.answerTokens, head),
    );
    const answerShare =
      learned.answerTokens > 0 ? answerTokens / learned.answerTokens : 1;
    return {
      prefillTokens,
      answerTokens,
      memoryTokens: prompt + answerTokens,
      prefillMilliseconds,
      holdMilliseconds: boundedHold(
        prefillMilliseconds + learned.answerMilliseconds * answerShare,
      ),
    };
  }

  /**
   * Returns the estimated hold time of a request; `undefined` if its route has too few
   * measurements to compare an answer with it.
   */
  comparableHold(request: WorkRequest): number | undefined {
    const known = this.#services.get(request.service.name);
    const route = known?.routes.get(request.route.name);
    return route === undefined ||
      route.all.measurements < MINIMUM_COMPARED_MEASUREMENTS
      ? undefined
      : this.of(request).holdMilliseconds;
  }

  /** Returns the tokens that an engine of the service reads in a millisecond. */
  prefillRate(service: string): number {
    return (this.#services.get(service)?.prefill ?? UNKNOWN.prefill)
      .tokensPerMillisecond;
  }

  /**
   * Adds the time to the first part of an answer, at a server of usual speed that had
   * no other prompt to read.
   */
  addPrefill(service: string, measured: MeasuredPrompt): void {
    const tokens = boundedTokens(measured.tokens);
    this.#service(service).prefill.add({ ...measured, tokens });
  }

  /**
   * Returns the expected time to the first part for a predicted time of work, which
   * doesn't include what each answer takes beside the work.
   */
  expectedFirstPart(service: string, predictedMilliseconds: number): number {
    const prefill = this.#services.get(service)?.prefill ?? UNKNOWN.prefill;
    return predictedMilliseconds + prefill.overheadMilliseconds;
  }

  /** Records a send, which adds the request to the running mix of its service. */
  sent(request: WorkRequest, now: number): void {
    const { holdMilliseconds } = this.of(request);
    const service = this.#service(request.service.name);
    service.mix.add(holdMilliseconds, now);
  }

  /**
   * Returns the mean hold time over the sends of the two seconds up to the service's
   * newest send.
   */
  meanHoldMilliseconds(service: string): number {
    const known = this.#services.get(service);
    return (
      known?.mix.mean ?? boundedHold((known ?? UNKNOWN).all.answerMilliseconds)
    );
  }

  /** Adds what was measured of a request after its answer. */
  addMeasurement(request: WorkRequest, measured: MeasuredWork): void {
    const hold = boundedHold(measured.holdMilliseconds);
    const estimated = this.of(request).holdMilliseconds;
    this.#errorRatio +=
      ERROR_WEIGHT *
      (Math.abs(hold - estimated) / estimated - this.#errorRatio);
    const service = this.#service(request.service.name);
    const prompt = promptTokensOf(request.head);
    const prefillTokens = boundedTokens(measured.prefillTokens ?? 0);
    const sample = {
      answerMilliseconds: Math.max(
        0,
        hold - prefillTokens / service.prefill.tokensPerMillisecond,
      ),
      prefillShare:
        measured.prefillTokens !== undefined && prompt > 0
          ? Math.min(1, prefillTokens / prompt)
          : undefined,
      events: measured.events,
      hintedTokens: request.head.expectedAnswerTokens,
    };
    service.all.add(sample);
    const route = this.#route(service, request.route.name);
    if (route === undefined) return;
    route.all.add(sample);
    const size = sizeClassOf(prompt);
    (route.sizes[size] ??= new LearnedWork()).add(sample);
  }

  /**
   * Returns the ratio of an answer's time to the expected one, relative to the service's
   * usual ratio, and adds it to that.
   */
  comparedRatio(
    service: string,
    compared: {
      readonly kind: "first_part" | "answer";
      readonly ratio: number;
    },
  ): number {
    const { firstParts, answers } = this.#service(service);
    const calibration = compared.kind === "answer" ? answers : firstParts;
    return calibration.calibrated(compared.ratio);
  }

  /** Mean deviation of hold times from their estimates, as a share of the estimates. */
  get errorRatio(): number {
    return this.#errorRatio;
  }

  /** Applies the names of all configured routes. */
  configured(routes: readonly string[], now: number): void {
    const configured = new Set(routes);
    this.#configured?.forEach((name) => {
      if (!configured.has(name)) this.#removedAt.set(name, now);
    });
    configured.forEach((name) => this.#removedAt.delete(name));
    this.#configured = configured;
  }

  /** Drops the estimates of routes that were removed a while ago. */
  dropRemoved(now: number): void {
    this.#removedAt.forEach((removedAt, name) => {
      if (now - removedAt < REMOVED_ROUTE_RETENTION_MILLISECONDS) return;
      this.#removedAt.delete(name);
      this.#services.forEach(({ routes }) => routes.delete(name));
    });
  }

  #service(name: string): ServiceWork {
    const known = this.#services.get(name);
    if (known !== undefined) return known;
    const created = newServiceWork();
    this.#services.set(name, created);
    return created;
  }

  /** Returns the estimates of a route; `undefined` if it was removed and dropped. */
  #route(service: ServiceWork, name: string): RouteWork | undefined {
    const known = service.routes.get(name);
    if (known !== undefined) return known;
    if (this.#configured?.has(name) === false) return undefined;
    const created: RouteWork = { all: new LearnedWork(), sizes: [] };
    service.routes.set(name, created);
    return created;
  }
}

const NO_TOKENS = {
  prefillTokens: 0,
  answerTokens: 0,
  memoryTokens: 0,
  prefillMilliseconds: 0,
};

/** Estimates of a service without measurements. */
const UNKNOWN = newServiceWork();

function newServiceWork(): ServiceWork {
  return {
    all: new LearnedWork(),
    routes: new Map(),
    prefill: new PrefillRate(),
    mix: new RunningMix(),
    firstParts: new RatioCalibration(),
    answers: new RatioCalibration(),
  };
}

/** Returns the most specific estimates that have a measurement. */
function learnedFor(
  service: ServiceWork | undefined,
  { route: { name } }: WorkRequest,
  promptTokens: number,
): LearnedWork {
  const { all, routes } = service ?? UNKNOWN;
  const route = routes.get(name);
  if (route === undefined) return all;
  return route.sizes[sizeClassOf(promptTokens)] ?? route.all;
}

/**
 * Returns the expected tokens of an answer: the mean of the route's answers and, as one
 * sample beside it, the caller's hint.
 */
function expectedTokens(
  mean: number,
  {
    expectedAnswerTokens: hint,
    maximumAnswerTokens: maximum = Infinity,
  }: WorkRequest["head"],
): number {
  const isUsable = hint !== undefined && hint > 0;
  if (!isUsable) return Math.min(mean, maximum);
  if (mean === 0) return Math.min(hint, maximum);
  const bounded = Math.min(
    mean * HINT_RANGE.maximum,
    Math.max(mean * HINT_RANGE.minimum, hint),
  );
  return Math.min((mean + bounded) / 2, maximum);
}

function boundedHold(milliseconds: number): number {
  return Math.min(
    HOLD_RANGE.maximum,
    Math.max(HOLD_RANGE.minimum, milliseconds),
  );
}

/** Returns the tokens of a request's prompt, as far as its head gives them. */
export function promptTokensOf({
  promptTokens,
  promptParts,
}: Pick<RequestHead, "promptTokens" | "promptParts">): number {
  return boundedTokens(promptTokens ?? promptParts.reduce(addTokens, 0));
}

/** Bounds a number of tokens; what is no number counts as none. */
function boundedTokens(tokens: number): number {
  return tokens > 0 ? Math.min(tokens, MAXIMUM_TOKENS) : 0;
}

function addTokens(sum: number, { tokens }: PromptPart): number {
  return sum + tokens;
}

/** Size class of a prompt: each covers four times the tokens of the one before. */
function sizeClassOf(promptTokens: number): number {
  if (promptTokens < 512) return 0;
  if (promptTokens < 2_048) return 1;
  if (promptTokens < 8_192) return 2;
  return promptTokens < 32_768 ? 3 : 4;
}
