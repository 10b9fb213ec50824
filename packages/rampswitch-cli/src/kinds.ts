// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Names of kinds as people type them.
 *
 * @module
 */
import { Result } from "true-myth";
import { RESOURCE_KINDS, type ResourceKind } from "rampswitch-types";
import { type CommandFailure, failure } from "./command_result.ts";
import { EXIT } from "./exit_codes.ts";

/** Reads a kind: any case, singular or plural, with or without hyphens. */
export function readKind(text: string): Result<ResourceKind, CommandFailure> {
  const plain = (word: string) => word.toLowerCase().replaceAll("-", "");
  const found = RESOURCE_KINDS.find((kind) =>
    [plain(kind), `${plain(kind)}s`, `${plain(kind)}es`].includes(plain(text)),
  );
  return found === undefined
    ? Result.err(
        failure(
          EXIT.usage,
          `kind ${text}, expected one of ${RESOURCE_KINDS.join(", ")}`,
        ),
      )
    : Result.ok(found);
}
