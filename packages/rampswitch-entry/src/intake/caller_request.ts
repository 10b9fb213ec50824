// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * What a caller's HTTP request says besides its body.
 *
 * @module
 */
import type { IncomingMessage } from "node:http";
import { Result } from "true-myth";
import type { RoutingTable } from "rampswitch-policy";
import { refused, type RefusedNotRun, type Workspace } from "rampswitch-types";
import { sha256 } from "rampswitch-utils";

/** Header by which a caller makes retries safe. */
export const KEY_HEADER = "idempotency-key";

/** Header that counts passes between entry hosts. */
export const HOP_HEADER = "x-rampswitch-hop";

const DEADLINE_HEADER = "x-deadline-milliseconds";
const FINISH_BY_HEADER = "x-finish-by";
const MAXIMUM_KEY = 255;

/** Headers of the system's own that are not passed to backend servers. */
export const OWN_HEADERS: readonly string[] = [
  "authorization",
  "host",
  "content-length",
  "expect",
  KEY_HEADER,
  HOP_HEADER,
  DEADLINE_HEADER,
  FINISH_BY_HEADER,
  "x-request-id",
  "x-attempt-id",
];

/** A caller's request without its body. */
export interface CallerRequest {
  readonly workspace: Workspace;
  /** The caller's key; absent where none was sent. */
  readonly key: string | undefined;
  /** Number of the last event that the caller has; -1 for none. */
  readonly lastEvent: number;
  /** Milliseconds until the caller's deadline; absent where none was sent. */
  readonly deadlineMilliseconds: number | undefined;
  /** Time by which long work must be done, in milliseconds since the epoch. */
  readonly finishBy: number | undefined;
  /** Passes between entry hosts so far. */
  readonly hops: number;
}

const KEYS_BY_ROUTING = new WeakMap<
  RoutingTable,
  ReadonlyMap<string, Workspace>
>();

/** Reads the head of a request and finds the caller's workspace. */
export function readCallerRequest(
  request: IncomingMessage,
  routing: RoutingTable,
): Result<CallerRequest, RefusedNotRun> {
  const workspace = workspaceOf(request, routing);
  if (workspace === undefined) {
    return Result.err(
      refused("unauthorized", "authorization, expected Bearer and a known key"),
    );
  }
  const key = headerText(request, KEY_HEADER);
  if (key !== undefined && (key === "" || key.length > MAXIMUM_KEY)) {
    return Result.err(
      refused(
        "bad_request",
        `${KEY_HEADER}, expected 1 to ${MAXIMUM_KEY} characters`,
      ),
    );
  }
  const numbers = {
    lastEvent: headerNumber(request, "last-event-id"),
    deadlineMilliseconds: headerNumber(request, DEADLINE_HEADER),
    finishBy: headerNumber(request, FINISH_BY_HEADER),
    hops: headerNumber(request, HOP_HEADER),
  };
  const wrong = Object.entries(numbers).find(
    ([, value]) => value !== undefined && !Number.isFinite(value),
  );
  return wrong === undefined
    ? Result.ok({
        workspace,
        key,
        ...numbers,
        lastEvent: numbers.lastEvent ?? -1,
        hops: numbers.hops ?? 0,
      })
    : Result.err(refused("bad_request", `${wrong[0]}, expected a number`));
}

/** The workspace whose key the request carries. */
function workspaceOf(
  request: IncomingMessage,
  routing: RoutingTable,
): Workspace | undefined {
  const [scheme, key] = (request.headers.authorization ?? "").split(" ");
  if (scheme?.toLowerCase() !== "bearer" || key === undefined) return undefined;
  const known = KEYS_BY_ROUTING.get(routing) ?? workspaceKeys(routing);
  KEYS_BY_ROUTING.set(routing, known);
  return known.get(sha256(key));
}

/** Workspaces by the hash of each key; a look-up tells nothing of the key. */
function workspaceKeys(routing: RoutingTable): ReadonlyMap<string, Workspace> {
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
  const last = text.split(":").at(-1) ?? "";
  return /^\d{1,16}$/.test(last) ? Number(last) : Number.NaN;
}
