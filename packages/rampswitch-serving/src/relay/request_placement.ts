// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Where the rules of placement by delay and memory take effect: at services whose
 * servers report their speed. At others, servers are chosen without regard to them.
 *
 * @module
 */
import {
  type Placement,
  type ServerRecord,
  SubjectRates,
} from "../choice/mod.ts";
import { promptTokensOf } from "../estimates/mod.ts";
import type { AdmittedRequest } from "./admitted_request.ts";
import type { RequestContext } from "./request_context.ts";

/** Time for which it is known whether servers report their speed, in milliseconds. */
const KNOWN_MILLISECONDS = 200;

/** The parts of the request context that a placement uses. */
export type PlacementContext = Pick<
  RequestContext,
  "clock" | "directory" | "hosts" | "workEstimates"
>;

/** Decides how requests are placed. */
export class RequestPlacement {
  readonly #rates = new SubjectRates();
  readonly #speedReports = new Map<
    string,
    { readonly reports: boolean; readonly until: number }
  >();

  /** Returns how a request is placed; `undefined` where no new rule applies. */
  of(
    request: AdmittedRequest,
    context: PlacementContext,
  ): Placement | undefined {
    if (!this.#appliesTo(request, context)) return undefined;
    const { service } = request;
    return {
      homes: this.#homes(request, context),
      meanHoldMilliseconds: context.workEstimates.meanHoldMilliseconds(
        service.name,
      ),
      memoryTokens: this.memoryTokens(request, context),
    };
  }

  /** Returns the tokens that a request will hold; 0 where memory is not counted. */
  memoryTokens(request: AdmittedRequest, context: PlacementContext): number {
    const isCounted =
      request.service.engine !== undefined && this.#appliesTo(request, context);
    return isCounted ? context.workEstimates.of(request).memoryTokens : 0;
  }

  #appliesTo({ service }: AdmittedRequest, context: PlacementContext): boolean {
    return this.reportsSpeed(service.name, context);
  }

  /** Counts a request for the rate of its subject. */
  count(request: AdmittedRequest, context: PlacementContext): void {
    const subject = subjectOf(request);
    if (subject === undefined) return;
    const { name } = request.service;
    const [own] = request.head.promptParts.slice(-1);
    const tokens = Math.min(own?.tokens ?? 0, promptTokensOf(request.head));
    const milliseconds = tokens / context.workEstimates.prefillRate(name);
    this.#rates.add(subject, milliseconds, context.clock.now());
  }

  /** Whether any server of a service has reported its speed. */
  reportsSpeed(
    service: string,
    { clock, directory }: Pick<PlacementContext, "clock" | "directory">,
  ): boolean {
    const now = clock.now();
    const known = this.#speedReports.get(service);
    if (known !== undefined && now < known.until) return known.reports;
    const reports = directory.of(service).some(hasReportedSpeed);
    const until = now + KNOWN_MILLISECONDS;
    this.#speedReports.set(service, { reports, until });
    return reports;
  }

  #homes(request: AdmittedRequest, context: PlacementContext): number {
    const subject = subjectOf(request);
    if (subject === undefined) return 1;
    return this.#rates.homes(subject, context.clock.now(), {
      hosts: context.hosts(),
      servers: context.directory.of(request.service.name).length,
    });
  }
}

function hasReportedSpeed({ speed }: ServerRecord): boolean {
  return speed.hasReported;
}

/** The longest part of a prompt that others share, at its service. */
function subjectOf({ service, head }: AdmittedRequest): string | undefined {
  const shared = head.promptParts.at(-2)?.id;
  return service.engine === undefined || shared === undefined
    ? undefined
    : `${service.name}|${shared}`;
}
