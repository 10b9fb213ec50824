// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Checks of decoded JSON values in messages between hosts. They are plain type
 * predicates: a host that has just started runs them uncompiled, where a schema
 * library takes half of the time of a message.
 *
 * @module
 */
import { isAddress } from "rampswitch-utils";

/** Whether a decoded JSON value has the structure of `Value`. */
export type Check<Value> = (value: unknown) => value is Value;

/** Maximum length of a name, in characters. */
const MAXIMUM_NAME_CHARACTERS = 256;

/** Whether a value is a string. */
export function isString(value: unknown): value is string {
  return typeof value === "string";
}

/** Whether a value is the name of a host, a service, a version or a server. */
export function isName(value: unknown): value is string {
  return (
    typeof value === "string" &&
    value.length > 0 &&
    value.length <= MAXIMUM_NAME_CHARACTERS
  );
}

/** Whether a value is a string of at most the length of a name; it may be empty. */
export function isShortText(value: unknown): value is string {
  return isString(value) && value.length <= MAXIMUM_NAME_CHARACTERS;
}

/**
 * Whether a value is an IP address and a port. Sending to anything else throws, or
 * looks a name up.
 */
export function isPeerAddress(value: unknown): value is string {
  return (
    isString(value) &&
    value.length <= MAXIMUM_NAME_CHARACTERS &&
    isAddress(value)
  );
}

/** Whether a value is a boolean. */
export function isBoolean(value: unknown): value is boolean {
  return typeof value === "boolean";
}

/** Whether a value is a finite number; JSON can also express infinite ones. */
export function isNumber(value: unknown): value is number {
  return Number.isFinite(value);
}

/** Whether a value is a finite number that is not negative. */
export function isNonnegative(value: unknown): value is number {
  return isNumber(value) && value >= 0;
}

/** Whether a value is an integer that is not negative and is exactly represented. */
export function isCount(value: unknown): value is number {
  return Number.isSafeInteger(value) && (value as number) >= 0;
}

/** Whether a value is a pair of finite numbers. */
export function isNumberPair(value: unknown): value is [number, number] {
  return (
    Array.isArray(value) &&
    value.length === 2 &&
    isNumber(value[0]) &&
    isNumber(value[1])
  );
}

/** Whether a value is an object and no list. */
export function isObject(value: unknown): value is Record<string, unknown> {
  return typeof value === "object" && value !== null && !Array.isArray(value);
}

/** Whether a value is an object whose values are all finite numbers. */
export const isNumbers = recordOf(isNumber);

/** Accepts what `check` accepts, and an absent value. */
export function optional<Value>(check: Check<Value>): Check<Value | undefined> {
  return (value): value is Value | undefined =>
    value === undefined || check(value);
}

/** Accepts what `check` accepts, and `null`. */
export function nullable<Value>(check: Check<Value>): Check<Value | null> {
  return (value): value is Value | null => value === null || check(value);
}

/** Accepts one of some strings. */
export function oneOf<Value extends string>(
  ...accepted: readonly Value[]
): Check<Value> {
  return (value): value is Value => accepted.includes(value as Value);
}

/** Accepts lists of what `check` accepts. */
export function listOf<Value>(check: Check<Value>): Check<Value[]> {
  return (value): value is Value[] =>
    Array.isArray(value) && value.every((item) => check(item));
}

/**
 * Accepts objects whose values `check` accepts. The key `__proto__` is no name, and
 * assigning it replaces the prototype of an object, so it is removed.
 */
export function recordOf<Value>(
  check: Check<Value>,
): Check<Record<string, Value>> {
  return (value): value is Record<string, Value> => {
    if (!isObject(value)) return false;
    for (const key of Object.keys(value)) {
      if (key === "__proto__") Reflect.deleteProperty(value, key);
      else if (!check(value[key])) return false;
    }
    return true;
  };
}

/** Accepts lists with one value for each check. */
export function tupleOf<Values extends readonly unknown[]>(
  ...checks: { readonly [Index in keyof Values]: Check<Values[Index]> }
): Check<Values> {
  return (value): value is Values =>
    Array.isArray(value) &&
    value.length === checks.length &&
    checks.every((check, index) => check(value[index]));
}

/** Checks of the fields of an object, by key. */
export type FieldChecks<Fields> = {
  readonly [Key in keyof Fields]-?: Check<Fields[Key]>;
};

/**
 * Returns the first key whose value its check rejects; `undefined` if there is none.
 * Keys without a check are ignored, since later versions add some.
 */
export function invalidKey<Fields>(
  checks: FieldChecks<Fields>,
  value: Readonly<Record<string, unknown>>,
): string | undefined {
  for (const key in checks) {
    if (!checks[key](value[key])) return key;
  }
  return undefined;
}
