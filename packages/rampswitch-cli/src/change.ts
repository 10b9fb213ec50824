// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Sending changes: a lost answer is settled by asking again with the same id.
 *
 * @module
 */
import { randomUUID } from "node:crypto";
import { Result } from "true-myth";
import type { Resource, ResourceKind } from "rampswitch-types";
import type { AdministrationClient } from "./administration_client.ts";
import {
  type CommandFailure,
  type CommandResult,
  failure,
} from "./command_result.ts";
import { EXIT } from "./exit_codes.ts";

/** One edit of a change. */
export type EditRequest =
  | { readonly kind: "put"; readonly resource: Resource }
  | {
      readonly kind: "delete";
      readonly resourceKind: ResourceKind;
      readonly name: string;
    };

interface ChangeAnswer {
  readonly kind: "accepted" | "conflict" | "invalid" | "unknown";
  readonly revision?: number;
  readonly changeId?: string;
  readonly problems?: readonly string[];
  readonly conflicts?: readonly {
    readonly key: string;
    readonly revision?: number;
    readonly current?: unknown;
  }[];
}

const ATTEMPTS = 4;

/** Sends a change and waits for its end. */
export async function sendChange(
  client: AdministrationClient,
  edits: readonly EditRequest[],
  options: {
    readonly baseRevision: number;
    readonly changeId?: string | undefined;
  },
): Promise<CommandResult> {
  const changeId = options.changeId ?? randomUUID();
  const request = { changeId, baseRevision: options.baseRevision, edits };
  let last: Result<ChangeAnswer, CommandFailure> = Result.err(
    failure(EXIT.unknown, "not sent"),
  );
  for (let attempt = 0; attempt < ATTEMPTS; attempt += 1) {
    last = (await client.post("/v1/changes", request)).map(
      ({ body }) => body as ChangeAnswer,
    );
    const settled = last.isOk && last.value.kind !== "unknown";
    const refused = last.isErr && last.error.code === EXIT.refused;
    if (settled || refused) break;
  }
  return last
    .mapErr((error) =>
      error.code === EXIT.unreachable
        ? failure(EXIT.unknown, unknownText(changeId, error.message))
        : error,
    )
    .andThen((answer) => ENDS[answer.kind](answer, changeId));
}

const ENDS: Readonly<
  Record<
    ChangeAnswer["kind"],
    (answer: ChangeAnswer, changeId: string) => CommandResult
  >
> = {
  accepted: (answer, changeId) =>
    Result.ok({
      text: `accepted as revision ${answer.revision ?? 0}`,
      value: { ...answer, changeId },
    }),
  conflict: (answer) =>
    Result.err(
      failure(
        EXIT.conflict,
        (answer.conflicts ?? [])
          .map(
            ({ key, revision, current }) =>
              `${key}: changed by another operator in revision ` +
              `${revision ?? "(deleted)"}, now ${JSON.stringify(current)}`,
          )
          .join("\n"),
      ),
    ),
  invalid: (answer) =>
    Result.err(failure(EXIT.invalid, (answer.problems ?? []).join("\n"))),
  unknown: (_answer, changeId) =>
    Result.err(failure(EXIT.unknown, unknownText(changeId, "no answer"))),
};

function unknownText(changeId: string, detail: string): string {
  return (
    `${detail}; the change may be in force, ` +
    `ask again with --change-id ${changeId}`
  );
}
