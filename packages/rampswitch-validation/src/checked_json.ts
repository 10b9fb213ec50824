// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Decodes JSON text against a schema. An error is one line of bounded length: the
 * location, what was expected there, and the beginning of the value found.
 *
 * @module
 */
import { Result } from "true-myth";
import * as z from "zod";
import {
  decodeSafely,
  isNestedDeeper,
  MAXIMUM_JSON_LEVELS,
  parseJson,
} from "rampswitch-utils";

/** Maximum length of a value or a location in an error, in characters. */
const MAXIMUM_SHOWN_CHARACTERS = 80;

/**
 * Decodes JSON text; `subject` is the location of errors in the top-level value.
 */
export function decodeJson<Schema extends z.ZodType>(
  schema: Schema,
  text: string,
  subject: string,
): Result<z.output<Schema>, string> {
  return parseJson(text)
    .mapErr(() => `${subject}: ${expectedText(text)}, not ${truncated(text)}`)
    .andThen((value) =>
      decodeSafely(() => decodeValue(schema, value, subject)),
    );
}

/** What is expected of a text that can't be parsed; the parser would quote the text. */
function expectedText(text: string): string {
  return isNestedDeeper(text, MAXIMUM_JSON_LEVELS)
    ? `expected at most ${MAXIMUM_JSON_LEVELS} nested levels`
    : "expected JSON";
}

function decodeValue<Schema extends z.ZodType>(
  schema: Schema,
  value: unknown,
  subject: string,
): Result<z.output<Schema>, string> {
  const checked = schema.safeParse(value);
  return checked.success
    ? Result.ok<z.output<Schema>, string>(checked.data)
    : Result.err<z.output<Schema>, string>(
        describeIssue(checked.error.issues[0], value, subject),
      );
}

/**
 * A list whose check ends at the first element that `element` rejects. The library's
 * own list describes each of them, which for a list of another type takes many
 * times the memory of its text.
 */
export function listOf<Element extends z.ZodType>(
  element: Element,
): z.ZodType<z.output<Element>[]> {
  return z.array(z.unknown()).transform((values, context) => {
    const decoded: z.output<Element>[] = [];
    const isAccepted = values.every((value, index) => {
      const checked = element.safeParse(value);
      if (checked.success) decoded.push(checked.data);
      else addIssue(context, checked.error, index);
      return checked.success;
    });
    return isAccepted ? decoded : z.NEVER;
  });
}

/**
 * An object with any keys, whose check ends at the first one that `key` or `value`
 * rejects.
 */
export function recordOf<Value extends z.ZodType>(
  value: Value,
  key: z.ZodType<string> = z.string(),
): z.ZodType<Record<string, z.output<Value>>> {
  return z.looseObject({}).transform((values, context) => {
    const decoded: [string, z.output<Value>][] = [];
    const isAccepted = Object.entries(values).every(([name, field]) => {
      const checkedKey = key.safeParse(name);
      const checked = checkedKey.success ? value.safeParse(field) : checkedKey;
      if (checked.success) decoded.push([name, checked.data]);
      else addIssue(context, checked.error, name);
      return checked.success;
    });
    return isAccepted ? Object.fromEntries(decoded) : z.NEVER;
  });
}

/** Adds the first issue of an element to those of its container. */
function addIssue(
  context: z.RefinementCtx,
  { issues }: z.ZodError,
  key: PropertyKey,
): void {
  const [issue] = issues;
  context.addIssue({
    code: "custom",
    message: issue?.message ?? "expected another format",
    path: [key, ...(issue?.path ?? [])],
  });
}

/** Truncates a text of any length to {@link MAXIMUM_SHOWN_CHARACTERS}. */
export function truncated(text: string): string {
  return text.length <= MAXIMUM_SHOWN_CHARACTERS
    ? text
    : `${text.slice(0, MAXIMUM_SHOWN_CHARACTERS)}…`;
}

function describeIssue(
  issue: z.core.$ZodIssue | undefined,
  value: unknown,
  subject: string,
): string {
  const path = issue?.path ?? [];
  const location = path.length === 0 ? subject : truncated(path.join("."));
  const expected = truncated(issue?.message ?? "expected another format");
  const found = JSON.stringify(valueAt(value, path)) ?? "nothing";
  return `${location}: ${expected}, not ${truncated(found)}`;
}

function valueAt(value: unknown, path: readonly PropertyKey[]): unknown {
  return path.reduce<unknown>(
    (container, key) =>
      typeof container === "object" && container !== null
        ? (container as Readonly<Record<PropertyKey, unknown>>)[key]
        : undefined,
    value,
  );
}
