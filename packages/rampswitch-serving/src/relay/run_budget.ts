// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * The resend budget of a service, as one request uses it.
 *
 * @module
 */
import type { ResendContext, ResendKind } from "../admission/mod.ts";
import type { AdmittedRequest } from "./admitted_request.ts";
import type { RequestContext } from "./request_context.ts";
import type { BudgetDecision } from "./run_resumption.ts";

/** The budget that further sends of one request are taken from. */
export class RunBudget {
  readonly #service: string;
  readonly #context: Pick<RequestContext, "budget" | "clock" | "listedHosts">;

  constructor(
    { service }: AdmittedRequest,
    context: Pick<RequestContext, "budget" | "clock" | "listedHosts">,
  ) {
    this.#service = service.name;
    this.#context = context;
  }

  /** Counts the request, which adds to the budget. */
  recordRequest(): void {
    this.#context.budget.recordRequest(this.#service, this.#query());
  }

  /** Whether the budget has a further run left. */
  get allowsRepeat(): boolean {
    return this.#context.budget.allows(this.#service, this.#query());
  }

  /** Takes one further send from the budget, if it has one left. */
  spend(kind: ResendKind): BudgetDecision {
    const { budget } = this.#context;
    const asked = this.#query();
    const state = budget.state(this.#service, asked);
    return {
      granted: budget.spend(this.#service, { ...asked, kind }),
      view: { ...state, hosts: asked.hosts },
    };
  }

  #query(): ResendContext {
    const { clock } = this.#context;
    return { now: clock.now(), hosts: this.#context.listedHosts() };
  }
}
