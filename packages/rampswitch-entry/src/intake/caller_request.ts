// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Reads the headers of a caller's HTTP request.
 *
 * @module
 */
import type { IncomingMessage } from "node:http";
import { Result } from "true-myth";
import type { RoutingTable } from "rampswitch-policy";
import { refused, type RefusedNotRun, type Workspace } from "rampswitch-types";
import { invalidHeaderName, sha256 } from "rampswitch-utils";

/** Header with the caller's idempotency key, which makes retries safe. */
export const IDEMPOTENCY_KEY_HEADER = "idempotency-key";

/** Header that counts how often entry hosts forwarded the request. */
export const HOP_HEADER = "x-rampswitch-hop";

const DEADLINE_HEADER = "x-deadline-milliseconds";
const FINISH_BY_HEADER = "x-finish-by";
const MAXIMUM_KEY_CHARACTERS = 255;

/** Headers handled by entry hosts and not forwarded to backend servers. */
export const ENTRY_HEADERS: readonly string[] = [
  "authorization",
  "host",
  "content-length",
  "expect",
  IDEMPOTENCY_KEY_HEADER,
  HOP_HEADER,
  DEADLINE_HEADER,
  FINISH_BY_HEADER,
  "x-request-id",
  "x-attempt-id",
];

/** The values read from the headers of a caller's request. */
export interface CallerRequest {
  readonly workspace: Workspace;
  /** Idempotency key of the caller; `undefined` if none was sent. */
  readonly key: string | undefined;
  /** Number of the last event that the caller received; -1 for none. */
  readonly lastEvent: number;
  /** Milliseconds until the caller's deadline; `undefined` if none was sent. */
  readonly deadlineMilliseconds: number | undefined;
  /** Time by which background work must end, in milliseconds since the epoch. */
  readonly finishBy: number | undefined;
  /** How often entry hosts have forwarded the request so far. */
  readonly hops: number;
}

const WORKSPACES_BY_ROUTING = new WeakMap<
  RoutingTable,
  ReadonlyMap<string, Workspace>
>();

/**
 * Reads the headers of a request and finds the caller's workspace. The error is
 * a refusal for an unknown API key or a malformed header.
 */
export function readCallerRequest(
  request: IncomingMessage,
  routing: RoutingTable,
): Result<CallerRequest, RefusedNotRun> {
  const workspace = findWorkspace(request, routing);
  if (workspace === undefined) {
    return Result.err(
      refused("unauthorized", "authorization, expected Bearer and a known key"),
    );
  }
  const key = headerText(request, IDEMPOTENCY_KEY_HEADER);
  if (
    key !== undefined &&
    (key === "" || key.length > MAXIMUM_KEY_CHARACTERS)
  ) {
    return Result.err(
      refused(
        "bad_request",
        `${IDEMPOTENCY_KEY_HEADER}, expected 1 to ${MAXIMUM_KEY_CHARACTERS} characters`,
      ),
    );
  }
  const invalidName = invalidHeaderName(request.rawHeaders);
  if (invalidName !== undefined) {
    const name = JSON.stringify(invalidName);
    return Result.err(
      refused("bad_request", `header ${name}, expected a token as name`),
    );
  }
  const numbers = {
    lastEvent: headerNumber(request, "last-event-id"),
    deadlineMilliseconds: headerNumber(request, DEADLINE_HEADER),
    finishBy: headerNumber(request, FINISH_BY_HEADER),
    hops: headerNumber(request, HOP_HEADER),
  };
  const malformed = Object.entries(numbers).find(
    ([, value]) => value !== undefined && !Number.isFinite(value),
  );
  return malformed === undefined
    ? Result.ok({
        workspace,
        key,
        ...numbers,
        lastEvent: numbers.lastEvent ?? -1,
        hops: numbers.hops ?? 0,
      })
    : Result.err(refused("bad_request", `${malformed[0]}, expected a number`));
}

/** The workspace whose API key the request carries. */
function findWorkspace(
  request: IncomingMessage,
  routing: RoutingTable,
): Workspace | undefined {
  const [scheme, key] = (request.headers.authorization ?? "").split(" ");
  if (scheme?.toLowerCase() !== "bearer" || key === undefined) return undefined;
  const workspaces =
    WORKSPACES_BY_ROUTING.get(routing) ?? workspacesByKeyHash(routing);
  WORKSPACES_BY_ROUTING.set(routing, workspaces);
  return workspaces.get(sha256(key));
}

/**
 * Workspaces by the hash of each API key. A look-up compares hashes only, so it
 * reveals nothing about a key.
 */
function workspacesByKeyHash(
  routing: RoutingTable,
): ReadonlyMap<string, Workspace> {
  return new Map(
    [...routing.workspaces.values()].flatMap((workspace) =>
      workspace.keyHashes.map((hash) => [hash, workspace] as const),
    ),
  );
}

function headerText(
  request: IncomingMessage,
  name: string,
): string | undefined {
  const value = request.headers[name];
  return Array.isArray(value) ? value[0] : value;
}

function headerNumber(
  request: IncomingMessage,
  name: string,
): number | undefined {
  const text = headerText(request, name);
  if (text === undefined) return undefined;
  const digits = text.split(":").at(-1) ?? "";
  return /^\d{1,16}$/.test(digits) ? Number(digits) : Number.NaN;
}
