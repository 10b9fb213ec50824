// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * The administration API: resources, changes, status and explanations.
 * docs/references/administration.md defines it.
 *
 * @module
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import { Result } from "true-myth";
import {
  type ChangeOutcome,
  type ChangeRequest,
  type Edit,
  type Freshness,
  TAKES_NEW_WORK,
} from "rampswitch-configuration";
import {
  type Host,
  type RefusedNotRun,
  refused,
  type Resource,
  RESOURCE_KINDS,
  type ResourceKind,
} from "rampswitch-types";
import {
  blockHashes,
  BoundedServer,
  type Clock,
  type IntakeBudgets,
  listen,
  type Listening,
  type Metrics,
  parseJson,
  promptWords,
  readBody,
  secretMatches,
} from "rampswitch-utils";
import {
  checkResource,
  problemText,
  type Settings,
} from "rampswitch-validation";
import type { AnswerCache } from "../outcome/answer_cache.ts";
import {
  BLOCK_TOKENS,
  type BackendDirectory,
} from "../choice/backend_directory.ts";
import type { ConfigurationService } from "../configuration/configuration_service.ts";
import type { MembershipService } from "../membership/membership_service.ts";
import { sendProblem } from "./problem.ts";
import type { SlotService } from "../replication/slot_service.ts";

/** Role of an operator; `change` includes `read`. */
export type OperatorRole = Settings["operators"][number]["role"];

/** Settings and services that the administration server uses. */
export interface AdministrationOptions {
  readonly self: () => Host;
  readonly operators: Settings["operators"];
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly configuration: ConfigurationService;
  readonly membership: MembershipService;
  readonly slots: SlotService;
  readonly directory: BackendDirectory;
  readonly answerCache: AnswerCache;
  readonly intake: IntakeBudgets;
  readonly state: () => string;
  readonly freshness: () => Freshness;
}

interface Call {
  readonly request: IncomingMessage;
  readonly url: URL;
  readonly operator: string;
}

interface Answer {
  readonly status: number;
  readonly body: unknown;
}

interface Route {
  readonly method: string;
  readonly path: RegExp;
  readonly role: OperatorRole;
  readonly handle: (call: Call) => Promise<Result<Answer, RefusedNotRun>>;
}

/** The part of the process's descriptors that operators may take. */
const DESCRIPTOR_SHARE = 1 / 32;

const MAXIMUM_HEADER_BYTES = 16 * 1024;
const MAXIMUM_BODY_BYTES = 1024 * 1024;
const DEFAULT_EXPECTED_TOKENS = 256;

const CHANGE_STATUS: Readonly<Record<ChangeOutcome["kind"], number>> = {
  accepted: 200,
  conflict: 409,
  invalid: 422,
  unknown: 202,
};

/** HTTP server of the administration API. */
export class AdministrationServer {
  readonly #options: AdministrationOptions;
  readonly #routes: readonly Route[];

  constructor(options: AdministrationOptions) {
    this.#options = options;
    this.#routes = [
      {
        method: "GET",
        path: /^\/v1\/resources$/,
        role: "read",
        handle: (call) => Promise.resolve(this.#listResources(call)),
      },
      {
        method: "POST",
        path: /^\/v1\/changes$/,
        role: "change",
        handle: (call) => this.#applyChange(call),
      },
      {
        method: "GET",
        path: /^\/v1\/status$/,
        role: "read",
        handle: () => Promise.resolve(ok(this.#readStatus())),
      },
      {
        method: "GET",
        path: /^\/v1\/revisions\/\d+$/,
        role: "read",
        handle: (call) => Promise.resolve(ok(this.#readRevision(call))),
      },
      {
        method: "POST",
        path: /^\/v1\/explain$/,
        role: "read",
        handle: (call) => this.#explainChoice(call),
      },
    ];
  }

  /** Starts to listen at an address. */
  listen(address: string): Promise<Listening> {
    const server = new BoundedServer(
      {
        budgets: this.#options.intake,
        connectionShare: DESCRIPTOR_SHARE,
        headerBytes: () => MAXIMUM_HEADER_BYTES,
      },
      {
        request: (request, response) => {
          response.on("error", () => undefined);
          // Without an answer the operator's command reports a closed connection.
          this.#handle(request, response).catch(() => {
            this.#options.metrics.count("administration_failed");
            response.destroy();
          });
        },
      },
    );
    return listen(server.http, address);
  }

  async #handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const url = new URL(request.url ?? "/", "http://administration");
    const route = this.#routes.find(
      ({ method, path }) =>
        method === request.method && path.test(url.pathname),
    );
    const answer =
      route === undefined
        ? Result.err<Answer, RefusedNotRun>(
            refused(
              "bad_request",
              `${request.method} ${url.pathname}: no such call`,
            ),
          )
        : await this.#handleAuthorized(route, request, url);
    if (answer.isErr) {
      this.#options.metrics.count(
        "administration_refusal",
        answer.error.reason,
      );
      sendProblem(response, answer.error);
      return;
    }
    response.writeHead(answer.value.status, {
      "content-type": "application/json",
    });
    response.end(JSON.stringify(answer.value.body));
  }

  async #handleAuthorized(
    route: Route,
    request: IncomingMessage,
    url: URL,
  ): Promise<Result<Answer, RefusedNotRun>> {
    const token = (request.headers.authorization ?? "").replace(
      /^Bearer /i,
      "",
    );
    const matches = this.#options.operators.filter(({ tokenHash }) =>
      secretMatches(token, tokenHash),
    );
    const [operator] = matches;
    if (operator === undefined) {
      return Result.err(
        refused("unauthorized", "authorization, expected an operator's token"),
      );
    }
    return route.role === "change" && operator.role !== "change"
      ? Result.err(
          refused(
            "forbidden",
            `operator ${operator.name}, expected role change`,
          ),
        )
      : await route.handle({ request, url, operator: operator.name });
  }

  #listResources({ url }: Call): Result<Answer, RefusedNotRun> {
    const kind = url.searchParams.get("kind");
    const name = url.searchParams.get("name");
    const known = RESOURCE_KINDS.find((candidate) => candidate === kind);
    if (kind !== null && known === undefined) {
      return Result.err(
        refused(
          "bad_request",
          `kind ${kind}, expected one of ${RESOURCE_KINDS.join(", ")}`,
        ),
      );
    }
    const { state } = this.#options.configuration;
    const resources = [...state.resources.values()]
      .filter(({ resource }) => known === undefined || resource.kind === known)
      .filter(({ resource }) => name === null || resource.name === name)
      .toSorted((left, right) =>
        resourceSortKey(left.resource) < resourceSortKey(right.resource)
          ? -1
          : 1,
      );
    return ok({ revision: state.revision, resources });
  }

  async #applyChange(call: Call): Promise<Result<Answer, RefusedNotRun>> {
    const body = await jsonBody(call.request);
    const request = body.andThen((value) => readChange(value, call.operator));
    if (request.isErr) return Result.err(request.error);
    const outcome = await this.#options.configuration.change(request.value);
    return Result.ok({ status: CHANGE_STATUS[outcome.kind], body: outcome });
  }

  #readStatus(): unknown {
    const {
      configuration,
      slots,
      directory,
      answerCache: book,
      clock,
      metrics,
    } = this.#options;
    const membership = this.#options.membership;
    const { candidates } = configuration.routing;
    return {
      host: this.#options.self(),
      state: this.#options.state(),
      freshness: this.#options.freshness(),
      revision: configuration.state.revision,
      reachesStore: configuration.reachesStore,
      slots: { count: slots.count, primary: slots.primarySlots.length },
      keys: slots.keys,
      answers: book.size,
      members: [...membership.members.values()].map(
        ({ digest, suspected, receivedAt: heardAt }) => ({
          id: digest.host.id,
          name: digest.host.name,
          dataHall: digest.host.dataHall,
          revision: digest.revision,
          leaving: digest.leaving,
          suspected,
          heardMillisecondsAgo: clock.now() - heardAt,
        }),
      ),
      leaving: [...membership.marks.values()],
      backendServers: [...candidates.values()].map(({ server }) => ({
        name: server.name,
        service: server.service,
        dataHall: server.dataHall,
        health: directory.healthOf(server.name),
        excluded: directory.exclusion(server),
        inProgress: directory.inProgress(server.name),
      })),
      counters: metrics.totals(),
    };
  }

  #readRevision({ url }: Call): unknown {
    const requested = Number(url.pathname.split("/").at(-1));
    const { configuration, self } = this.#options;
    const members = [...this.#options.membership.members.values()];
    const hosts = [
      { name: self().name, revision: configuration.state.revision },
      ...members.map(({ digest }) => ({
        name: digest.host.name,
        revision: digest.revision,
      })),
    ].map((host) => ({ ...host, inForce: host.revision >= requested }));
    return {
      revision: requested,
      inForceEverywhere: hosts.every(({ inForce }) => inForce),
      revisionHere: configuration.state.revision,
      takesNewWork:
        this.#options.state() === "serving" &&
        TAKES_NEW_WORK[this.#options.freshness()],
      inForceHereSince: configuration.inForceSince(requested),
      hosts,
    };
  }

  async #explainChoice(call: Call): Promise<Result<Answer, RefusedNotRun>> {
    const body = await jsonBody(call.request);
    if (body.isErr) return Result.err(body.error);
    const query = body.value as {
      readonly service?: string;
      readonly workspace?: string;
      readonly prompt?: string;
      readonly tokens?: number;
    };
    const { routing } = this.#options.configuration;
    const service = routing.services.get(query.service ?? "");
    const workspace = routing.workspaces.get(query.workspace ?? "");
    if (service === undefined || workspace === undefined) {
      return Result.err(
        refused(
          "bad_request",
          `service ${query.service}, workspace ${query.workspace}: ` +
            "expected names of both",
        ),
      );
    }
    const route = routing.route(service, workspace);
    const words = promptWords(query.prompt ?? "");
    const choice = this.#options.directory.choose(route, {
      blocks: blockHashes(words, BLOCK_TOKENS),
      promptTokens: words.length,
      expectedTokens: query.tokens ?? DEFAULT_EXPECTED_TOKENS,
      targetMilliseconds: service.targetMilliseconds,
      weights: service.weights,
      avoid: new Set(),
    });
    return ok({
      revision: this.#options.configuration.state.revision,
      rule: route.rule ?? null,
      groups: route.groups.map(({ priority, candidates }) => ({
        priority,
        servers: candidates.length,
      })),
      ...choice,
    });
  }
}

function resourceSortKey(resource: Resource): string {
  return `${RESOURCE_KINDS.indexOf(resource.kind)} ${resource.name}`;
}

function ok(body: unknown): Result<Answer, RefusedNotRun> {
  return Result.ok({ status: 200, body });
}

async function jsonBody(
  request: IncomingMessage,
): Promise<Result<unknown, RefusedNotRun>> {
  const body = await readBody(request, MAXIMUM_BODY_BYTES);
  return body
    .mapErr((error) =>
      refused(
        error === "too_large" ? "body_too_large" : "bad_request",
        `body, expected at most ${MAXIMUM_BODY_BYTES} bytes, whole`,
      ),
    )
    .andThen((bytes) =>
      parseJson(bytes.toString("utf8")).mapErr((error) =>
        refused("bad_request", `body is not JSON: ${error}`),
      ),
    );
}

function readChange(
  value: unknown,
  operator: string,
): Result<ChangeRequest, RefusedNotRun> {
  const { changeId, baseRevision, edits } = (value ?? {}) as {
    readonly changeId?: unknown;
    readonly baseRevision?: unknown;
    readonly edits?: unknown;
  };
  if (typeof changeId !== "string" || !/^[\w-]{8,64}$/.test(changeId)) {
    return badChange("changeId, expected 8 to 64 letters, digits and hyphens");
  }
  if (typeof baseRevision !== "number" || !Number.isInteger(baseRevision)) {
    return badChange("baseRevision, expected an integer");
  }
  if (!Array.isArray(edits)) return badChange("edits, expected a list");
  const read = edits.map(readEdit);
  const problems = read.flatMap((edit) => (edit.isErr ? [edit.error] : []));
  return problems.length > 0
    ? badChange(problems.join("; "))
    : Result.ok({
        changeId,
        operator,
        baseRevision,
        edits: read.flatMap((edit) => (edit.isOk ? [edit.value] : [])),
      });
}

function readEdit(value: unknown): Result<Edit, string> {
  const edit = (value ?? {}) as {
    readonly kind?: unknown;
    readonly resource?: unknown;
    readonly resourceKind?: unknown;
    readonly name?: unknown;
  };
  if (edit.kind === "put") {
    return checkResource(edit.resource)
      .map((resource): Edit => ({ kind: "put", resource }))
      .mapErr((problems) => problems.map(problemText).join("; "));
  }
  const resourceKind = RESOURCE_KINDS.find(
    (kind): kind is ResourceKind => kind === edit.resourceKind,
  );
  return edit.kind === "delete" &&
    resourceKind !== undefined &&
    typeof edit.name === "string"
    ? Result.ok({ kind: "delete", resourceKind, name: edit.name })
    : Result.err("edit, expected a put of a resource or a delete by name");
}

function badChange(detail: string): Result<ChangeRequest, RefusedNotRun> {
  return Result.err(refused("bad_request", detail));
}
