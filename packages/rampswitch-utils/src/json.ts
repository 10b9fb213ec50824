// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Parses JSON text of other programs. Its nesting is bounded before it is parsed:
 * deeply nested text takes a parser many times as long as flat text of the same
 * length, and overflows the stack of code that descends into its value.
 *
 * @module
 */
import { Result } from "true-myth";

/** Maximum nesting of a JSON value, in lists and objects within one another. */
export const MAXIMUM_JSON_LEVELS = 64;

/** Parses JSON; the error tells why the text is refused. */
export function parseJson(
  text: string,
  maximumLevels = MAXIMUM_JSON_LEVELS,
): Result<unknown, string> {
  if (isNestedDeeper(text, maximumLevels)) {
    return Result.err(`expected at most ${maximumLevels} nested levels`);
  }
  try {
    return Result.ok(JSON.parse(text) as unknown);
  } catch (error) {
    return Result.err(error instanceof Error ? error.message : String(error));
  }
}

/** Whether lists and objects are nested in more than some levels. */
export function isNestedDeeper(text: string, levels: number): boolean {
  const scanner = new JsonScanner(text);
  while (scanner.next() !== undefined) {
    if (scanner.level > levels) return true;
  }
  return false;
}

/**
 * Texts between the commas at the outermost level; `undefined` if brackets or
 * quotation marks don't match.
 */
export function splitAtCommas(text: string): readonly string[] | undefined {
  const scanner = new JsonScanner(text);
  const ends: number[] = [];
  for (let code = scanner.next(); code !== undefined; code = scanner.next()) {
    if (scanner.level < 0) return undefined;
    if (code === COMMA && scanner.level === 0) ends.push(scanner.index);
  }
  if (scanner.level !== 0 || scanner.isWithinString) return undefined;
  return [...ends, text.length].map((end, index) =>
    text.slice(index === 0 ? 0 : (ends[index - 1] ?? 0) + 1, end),
  );
}

/**
 * Whether a text begins with a list or an object whose end is that of the text. Values
 * within it may be malformed if their brackets match.
 */
export function isClosedAtEnd(text: string): boolean {
  if (!/^\s*[[{]/.test(text)) return false;
  const scanner = new JsonScanner(text);
  const closers: number[] = [];
  for (let code = scanner.next(); code !== undefined; code = scanner.next()) {
    if (code === COMMA) continue;
    const closer = CLOSERS.get(code);
    if (closer !== undefined) closers.push(closer);
    else if (closers.pop() !== code) return false;
    if (closers.length === 0) {
      return text.slice(scanner.index + 1).trim() === "";
    }
  }
  return false;
}

/** Texts of the members of an object, by their names; empty if it is no object. */
export function memberTexts(text: string): ReadonlyMap<string, string> {
  const inner = /^\s*\{(.*)\}\s*$/s.exec(text)?.[1];
  const members = inner === undefined ? [] : (splitAtCommas(inner) ?? []);
  return new Map(
    members.flatMap((member) => {
      const [, name, value] = MEMBER_PATTERN.exec(member) ?? [];
      return name === undefined || value === undefined ? [] : [[name, value]];
    }),
  );
}

/** A member whose name needs no escapes. */
const MEMBER_PATTERN = /^\s*"([^"\\]*)"\s*:(.*)$/s;

const QUOTATION_MARK = '"'.charCodeAt(0);
const BACKSLASH = "\\".charCodeAt(0);
const COMMA = ",".charCodeAt(0);

/** Change of the level by the code of a bracket. */
const LEVEL_CHANGES: ReadonlyMap<number, number> = new Map([
  ["[".charCodeAt(0), 1],
  ["{".charCodeAt(0), 1],
  ["]".charCodeAt(0), -1],
  ["}".charCodeAt(0), -1],
]);

/** The closing bracket of each opening one, by their codes. */
const CLOSERS: ReadonlyMap<number, number> = new Map([
  ["[".charCodeAt(0), "]".charCodeAt(0)],
  ["{".charCodeAt(0), "}".charCodeAt(0)],
]);

/** The code of the first bracket; few other characters have a higher one. */
const FIRST_BRACKET = "[".charCodeAt(0);

/** Visits the brackets and commas of JSON text outside its strings. */
class JsonScanner {
  readonly #text: string;
  #at = -1;
  #level = 0;
  #isWithinString = false;

  constructor(text: string) {
    this.#text = text;
  }

  /** Index of the last visited character. */
  get index(): number {
    return this.#at;
  }

  /** Number of lists and objects that are open after it. */
  get level(): number {
    return this.#level;
  }

  /** Whether the text ends within a string. */
  get isWithinString(): boolean {
    return this.#isWithinString;
  }

  /** Goes to the next bracket or comma; `undefined` at the end of the text. */
  next(): number | undefined {
    const text = this.#text;
    for (let at = this.#at + 1; at < text.length; at += 1) {
      const code = text.charCodeAt(at);
      if (code === QUOTATION_MARK) {
        at = this.#endOfString(at);
      } else if (code >= FIRST_BRACKET || code === COMMA) {
        const change = code === COMMA ? 0 : LEVEL_CHANGES.get(code);
        if (change === undefined) continue;
        this.#level += change;
        this.#at = at;
        return code;
      }
    }
    this.#at = text.length;
    return undefined;
  }

  /** Index of the quotation mark that ends a string; the text's length without one. */
  #endOfString(start: number): number {
    const text = this.#text;
    for (let at = start + 1; at < text.length; at += 1) {
      const code = text.charCodeAt(at);
      if (code === QUOTATION_MARK) return at;
      if (code === BACKSLASH) at += 1;
    }
    this.#isWithinString = true;
    return text.length;
  }
}
