// Copyright 2026 the rampswitch authors. Apache-2.0 license.

import { describe, expect, test } from "@jest/globals";
import * as fc from "fast-check";
import * as z from "zod";
import { isAddress } from "rampswitch-utils";
import { FINGERPRINT_PATTERN } from "../quarantine/mod.ts";
import { decodeMessage } from "./peer_codec.ts";

// Hosts of different versions exchange messages, and a message that one of them
// refuses loses all of its updates. The checks of the decoder replace a schema, which
// is kept here as the reference for what is accepted.

const name = z.string().min(1).max(256);
// Sending a datagram to anything else throws.
const address = z.string().max(256).refine(isAddress);
const servers = z.record(z.string(), z.number().int().nonnegative());
const rollouts = z
  .array(
    z.tuple([
      name,
      name,
      z.number().positive(),
      z.array(name),
      z.number(),
      z.number(),
      z.enum(["canary", "promoting", "completed", "rolled_back"]),
      z.tuple([z.boolean(), servers, servers]).nullable(),
    ]),
  )
  .optional();
const limits = z
  .array(
    z.tuple([
      name,
      z.number().nullable(),
      z.number().nonnegative().nullable(),
      z.number().nonnegative(),
    ]),
  )
  .optional();
const leaving = z
  .array(z.tuple([name, z.number().nullable(), z.number().nonnegative()]))
  .optional();
const numbers = z.record(z.string(), z.number());
const work = z.record(z.string(), z.tuple([z.number(), z.number()]));
const lease = z.tuple([z.number(), z.number()]);
const followed = z.tuple([z.number(), z.number()]);
const changes = z.tuple([
  z.number(),
  z.number(),
  z.array(z.tuple([z.string(), z.number(), z.string().nullable()])),
]);

const incarnations = numbers.optional();

const quarantine = z
  .array(
    z.tuple([
      z.string().regex(FINGERPRINT_PATTERN),
      numbers,
      z.number().nullable(),
      z.number().nonnegative(),
      z.number().nullable(),
    ]),
  )
  .optional();

const timeEstimate = z.tuple([z.number(), z.number().nonnegative()]).optional();

const UPDATE_SCHEMA = z.object({
  h: z.string(),
  z: z.string(),
  p: z.number(),
  i: z.string(),
  n: z.number(),
  a: address,
  t: z.number(),
  s: z.boolean(),
  c: z.number(),
  f: z.number().optional(),
  v: followed,
  q: numbers,
  b: numbers,
  w: work,
  u: z.record(z.string(), numbers),
  d: z.array(z.tuple([z.string(), z.array(z.tuple([z.string(), z.number()]))])),
  r: numbers,
  l: lease.optional(),
  y: incarnations,
  x: quarantine,
  j: timeEstimate,
  e: rollouts,
  m: limits,
  g: z.record(z.string(), name).optional(),
  o: leaving,
});

const MESSAGE_SCHEMA = z.discriminatedUnion("k", [
  z.object({
    k: z.literal("n"),
    f: z.string(),
    m: z.boolean(),
    o: z.array(z.tuple([z.number(), UPDATE_SCHEMA])),
  }),
  z.object({
    k: z.literal("d"),
    f: z.string(),
    n: z.number(),
    e: z.number(),
    r: z.array(z.string()),
    t: z.number(),
    c: z.number(),
    g: z.number().optional(),
    v: followed,
    b: numbers,
    x: z.number(),
    w: work,
    l: z.array(lease),
    s: changes.optional(),
    y: incarnations,
    o: quarantine,
    j: z.number().nonnegative().optional(),
    p: rollouts,
    m: limits,
    a: leaving,
    h: z.array(z.string()).optional(),
  }),
  z.object({
    k: z.literal("q"),
    i: z.number(),
    a: address,
    w: z.string(),
    t: z.number().nonnegative(),
    p: z.number(),
  }),
  z.object({
    k: z.literal("a"),
    i: z.number(),
    r: z.number().nonnegative().optional(),
  }),
  z.object({
    k: z.literal("u"),
    i: z.number(),
    a: address,
    s: name,
    o: z.array(name),
    p: z.enum(["ordinary", "urgent", "continuation"]),
  }),
  z.object({
    k: z.literal("v"),
    i: z.number(),
    r: z.union([name, z.number().nonnegative()]),
  }),
  z.object({ k: z.literal("w"), a: address }),
  z.object({ k: z.literal("c"), s: changes }),
]);

/** Mostly valid names, and a few with a special meaning in JavaScript. */
const someAddress = fc.oneof(
  fc
    .tuple(fc.ipV4(), fc.integer({ min: 0, max: 70_000 }))
    .map(([ip, port]) => `${ip}:${port}`),
  fc.constantFrom("", "host.example:1", "127.0.0.1", "127.0.0.1:x", "[::1]:7"),
);
const text = fc.oneof(
  { weight: 30, arbitrary: fc.string({ minLength: 1, maxLength: 8 }) },
  {
    weight: 1,
    arbitrary: fc.constantFrom("__proto__", "constructor", "toString"),
  },
  { weight: 1, arbitrary: fc.constantFrom("", "x".repeat(257)) },
);
/** Mostly counts, which all fields accept. */
const number = fc.oneof(
  { weight: 30, arbitrary: fc.nat() },
  {
    weight: 2,
    arbitrary: fc.double({ noNaN: true, noDefaultInfinity: true }),
  },
  { weight: 1, arbitrary: fc.constantFrom(0, -1, 2 ** 53) },
);
const someNumbers = fc.dictionary(text, number, { maxKeys: 3 });
const orNull = <Value>(one: fc.Arbitrary<Value>) => fc.option(one);
const few = <Value>(one: fc.Arbitrary<Value>) =>
  fc.array(one, { maxLength: 2 });
const fingerprint = fc.oneof(
  { weight: 20, arbitrary: fc.constant("0123456789abcdef01234567") },
  { weight: 1, arbitrary: text },
);
const someWork = fc.dictionary(text, fc.tuple(number, number), { maxKeys: 3 });
const someChanges = fc.tuple(
  number,
  number,
  few(fc.tuple(text, number, orNull(text))),
);
const someQuarantine = few(
  fc.tuple(fingerprint, someNumbers, orNull(number), number, orNull(number)),
);
const someCounts = fc.dictionary(text, fc.oneof(fc.nat(), number), {
  maxKeys: 2,
});
const someRollouts = few(
  fc.tuple(
    text,
    text,
    number,
    few(text),
    number,
    number,
    fc.constantFrom("canary", "promoting", "completed", "rolled_back"),
    orNull(fc.tuple(fc.boolean(), someCounts, someCounts)),
  ),
);
const someLimits = few(fc.tuple(text, orNull(number), orNull(number), number));
const someLeaving = few(fc.tuple(text, orNull(number), number));

const update = fc.record(
  {
    h: text,
    z: text,
    p: number,
    i: text,
    n: number,
    a: someAddress,
    t: number,
    s: fc.boolean(),
    c: number,
    v: fc.tuple(number, number),
    q: someNumbers,
    b: someNumbers,
    w: someWork,
    u: fc.dictionary(text, someNumbers, { maxKeys: 2 }),
    d: few(fc.tuple(text, few(fc.tuple(text, number)))),
    r: someNumbers,
    f: number,
    l: fc.tuple(number, number),
    y: someNumbers,
    x: someQuarantine,
    j: fc.tuple(number, number),
    e: someRollouts,
    m: someLimits,
    g: fc.dictionary(text, text, { maxKeys: 2 }),
    o: someLeaving,
    unknown: number,
  },
  { requiredKeys: [..."hzpinatscvqbwudr"] as "h"[] },
);

const message: fc.Arbitrary<unknown> = fc.oneof(
  fc.record({
    k: fc.constant("n"),
    f: text,
    m: fc.boolean(),
    o: few(fc.tuple(number, update)),
  }),
  fc.record(
    {
      k: fc.constant("d"),
      f: text,
      n: number,
      e: number,
      r: few(text),
      t: number,
      c: number,
      v: fc.tuple(number, number),
      b: someNumbers,
      x: number,
      w: someWork,
      l: few(fc.tuple(number, number)),
      g: number,
      s: someChanges,
      y: someNumbers,
      o: someQuarantine,
      j: number,
      p: someRollouts,
      m: someLimits,
      a: someLeaving,
      h: few(text),
    },
    { requiredKeys: [..."kfnertcvbxwl"] as "k"[] },
  ),
  fc.record({
    k: fc.constant("q"),
    i: number,
    a: someAddress,
    w: text,
    t: number,
    p: number,
  }),
  fc.record(
    { k: fc.constant("a"), i: number, r: number },
    { requiredKeys: ["k", "i"] },
  ),
  fc.record({
    k: fc.constant("u"),
    i: number,
    a: someAddress,
    s: text,
    o: few(text),
    p: fc.constantFrom("ordinary", "urgent", "continuation"),
  }),
  fc.record({ k: fc.constant("v"), i: number, r: fc.oneof(text, number) }),
  fc.record({ k: fc.constant("w"), a: someAddress }),
  fc.record({ k: fc.constant("c"), s: someChanges }),
);

/** A change of one value somewhere in a message. */
interface Mutation {
  /** Selects a key or an index at each level; ends early at a plain value. */
  readonly path: readonly number[];
  /** JSON text in place of the value; `undefined` removes it. */
  readonly json: string | undefined;
}

const mutation: fc.Arbitrary<Mutation> = fc.record({
  path: fc.array(fc.nat(30), { minLength: 1, maxLength: 5 }),
  json: fc.option(
    fc.oneof(
      fc.json({ maxDepth: 2 }),
      fc.constantFrom(
        "null",
        "[]",
        "{}",
        '""',
        "-1",
        "1e999",
        '"n"',
        "[1,2]",
        "[1,2,3]",
        '{"__proto__":"x","a":1}',
        '{"constructor":{"prototype":1}}',
      ),
    ),
    { nil: undefined },
  ),
});

/** JSON that stands for a marked value until it is replaced in the text. */
const MARK = "\u0001mark";

function mutated(value: unknown, { path, json }: Mutation): string {
  const root = { root: structuredClone(value) } as Record<string, unknown>;
  let parent = root;
  let key = "root";
  for (const step of path) {
    const child = parent[key];
    if (typeof child !== "object" || child === null) break;
    const keys = Object.keys(child);
    const next = keys[step % Math.max(1, keys.length)];
    if (next === undefined) break;
    parent = child as Record<string, unknown>;
    key = next;
  }
  if (json === undefined) {
    if (Array.isArray(parent)) parent.splice(Number(key), 1);
    else Reflect.deleteProperty(parent, key);
  } else parent[key] = MARK;
  const written = JSON.stringify(root["root"] ?? null);
  return written.replace(JSON.stringify(MARK), () => json ?? "");
}

/** The message without the keys that the schema removes; `undefined` if refused. */
function cleanedBySchema(json: string): unknown {
  const checked = MESSAGE_SCHEMA.safeParse(JSON.parse(json));
  return checked.success ? checked.data : undefined;
}

function decoded(json: string): unknown {
  return decodeMessage(Buffer.from(json)).unwrapOr(undefined);
}

function expectAgreement(json: string): void {
  const cleaned = cleanedBySchema(json);
  const result = decoded(json);
  expect(result === undefined).toBe(cleaned === undefined);
  if (cleaned !== undefined) {
    expect(result).toEqual(decoded(JSON.stringify(cleaned)));
  }
}

describe("the decoder and the schema of earlier versions", () => {
  test("accept the same messages", () => {
    fc.assert(
      fc.property(message, (one) => expectAgreement(JSON.stringify(one))),
      { numRuns: 2_000, seed: 1 },
    );
  });

  test("accept the same changed messages", () => {
    fc.assert(
      fc.property(message, mutation, (one, change) =>
        expectAgreement(mutated(one, change)),
      ),
      { numRuns: 5_000, seed: 2 },
    );
  });
});

describe("a datagram that is no message", () => {
  test("is refused and does not throw", () => {
    fc.assert(
      fc.property(fc.uint8Array({ maxLength: 64 }), (bytes) => {
        expect(decodeMessage(Buffer.from(bytes)).isErr).toBe(true);
      }),
      { seed: 3 },
    );
    ["null", "[]", "5", "{}", '{"k":"__proto__"}', '{"k":["n"]}'].forEach(
      (json) => expect(decodeMessage(Buffer.from(json)).isErr).toBe(true),
    );
  });
});
