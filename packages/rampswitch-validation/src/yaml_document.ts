// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * YAML documents that are validated against a schema.
 *
 * @module
 */
import { Result } from "true-myth";
import { parseDocument } from "yaml";
import type * as z from "zod";
import { check, type Problem, abbreviatedJson } from "./problems.ts";

/** Parses YAML text and validates it against a schema. */
export function checkYaml<Schema extends z.ZodType>(
  schema: Schema,
  text: string,
): Result<z.output<Schema>, readonly Problem[]> {
  const document = parseDocument(text);
  const [error] = document.errors;
  if (error !== undefined) {
    return Result.err([
      {
        path: `line ${error.linePos?.[0].line ?? 1}`,
        value: abbreviatedJson(text.slice(error.pos[0], error.pos[1])),
        expected: "YAML that parses",
      },
    ]);
  }
  return check(schema, document.toJS());
}
