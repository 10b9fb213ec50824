// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Problems in a document, each with its path, the value found and what was
 * expected.
 *
 * @module
 */
import { Result } from "true-myth";
import type * as z from "zod";

/** One invalid value in a document. */
export interface Problem {
  /** Path within the document, such as `listen.callers`. */
  readonly path: string;
  /** The value found at the path, as truncated JSON. */
  readonly value: string;
  /** Description of a valid value. */
  readonly expected: string;
}

const MAXIMUM_VALUE_CHARACTERS = 80;

/** Formats a problem as one line. */
export function problemText(problem: Problem): string {
  return (
    `${problem.path}: found ${problem.value}, ` + `expected ${problem.expected}`
  );
}

/** Validates a value against a schema. */
export function check<Schema extends z.ZodType>(
  schema: Schema,
  value: unknown,
): Result<z.output<Schema>, readonly Problem[]> {
  const parsed = schema.safeParse(value);
  if (parsed.success) return Result.ok(parsed.data);
  return Result.err(
    parsed.error.issues.flatMap((issue) => issueProblems(issue, value)),
  );
}

function issueProblems(
  issue: z.core.$ZodIssue,
  root: unknown,
): readonly Problem[] {
  if (issue.code === "unrecognized_keys") {
    return issue.keys.map((key) => ({
      path: pathText([...issue.path, key]),
      value: abbreviatedJson(valueAt(root, [...issue.path, key])),
      expected: "no such name here; see the reference for the known ones",
    }));
  }
  return [
    {
      path: pathText(issue.path),
      value: abbreviatedJson(valueAt(root, issue.path)),
      expected: expectedText(issue),
    },
  ];
}

function expectedText(issue: z.core.$ZodIssue): string {
  const detail = issue.message.replace(/^Invalid (input|option): /, "");
  return detail.replace(/^expected /, "").replace(/, received .*$/, "");
}

function pathText(path: readonly PropertyKey[]): string {
  return path.length === 0 ? "(document)" : path.map(String).join(".");
}

function valueAt(root: unknown, path: readonly PropertyKey[]): unknown {
  return path.reduce<unknown>(
    (value, key) =>
      typeof value === "object" && value !== null
        ? (value as Record<PropertyKey, unknown>)[key]
        : undefined,
    root,
  );
}

/** Formats a value as JSON, truncated to {@link MAXIMUM_VALUE_CHARACTERS}. */
export function abbreviatedJson(value: unknown): string {
  const text = value === undefined ? "nothing" : JSON.stringify(value);
  return text.length <= MAXIMUM_VALUE_CHARACTERS
    ? text
    : `${text.slice(0, MAXIMUM_VALUE_CHARACTERS)}…`;
}
