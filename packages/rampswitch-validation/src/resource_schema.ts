// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Schemas of the resources that operators apply.
 *
 * @module
 */
import type {
  Labels,
  Resource,
  ResourceKind,
  Selector,
} from "rampswitch-types";
import { RESOURCE_KINDS } from "rampswitch-types";
import { Result } from "true-myth";
import { parseAllDocuments } from "yaml";
import * as z from "zod";
import { check, type Problem } from "./problems.ts";

const NAME_PATTERN = /^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$/;
const ADDRESS_PATTERN = /^(\d{1,3}\.){3}\d{1,3}:\d{1,5}$/;
const HASH_PATTERN = /^[0-9a-f]{64}$/;
const MAXIMUM_LABEL_CHARACTERS = 63;

/** Schema of a resource's name. */
export const NAME_SCHEMA = z.string().regex(NAME_PATTERN, {
  message: "expected lower-case letters, digits and hyphens, at most 63",
});

/** Schema of an IPv4 address and port. */
export const ADDRESS_SCHEMA = z.string().regex(ADDRESS_PATTERN, {
  message: "expected an IP number and port such as 10.0.0.1:8080",
});

/** Schema of a SHA-256 in lower-case hexadecimal. */
export const HASH_SCHEMA = z.string().regex(HASH_PATTERN, {
  message: "expected a SHA-256 as 64 lower-case hexadecimal digits",
});

const LABELS_SCHEMA: z.ZodType<Labels> = z.record(
  z.string().min(1).max(MAXIMUM_LABEL_CHARACTERS),
  z.string().max(MAXIMUM_LABEL_CHARACTERS),
);

const EXPRESSION_SCHEMA = z
  .strictObject({
    key: z.string().min(1),
    operator: z.enum(["In", "NotIn", "Exists", "DoesNotExist"]),
    values: z.array(z.string()).exactOptional(),
  })
  .refine(
    (expression) =>
      expression.operator.endsWith("In") ===
      (expression.values?.length ?? 0) > 0,
    { message: "expected values for In and NotIn, and none for the others" },
  );

const SELECTOR_SCHEMA: z.ZodType<Selector> = z.strictObject({
  matchLabels: LABELS_SCHEMA.exactOptional(),
  matchExpressions: z.array(EXPRESSION_SCHEMA).exactOptional(),
});

const HEADER_FIELDS = { name: NAME_SCHEMA, labels: LABELS_SCHEMA.default({}) };
const POSITIVE = z.number().positive();
const NOT_NEGATIVE = z.number().nonnegative();

const SCHEMAS = {
  Service: z.strictObject({
    kind: z.literal("Service"),
    ...HEADER_FIELDS,
    type: z.enum(["model", "plain"]),
    calls: z
      .array(
        z.strictObject({
          methods: z.array(z.string().regex(/^[A-Z]+$/)).exactOptional(),
          pathPrefix: z.string().startsWith("/").exactOptional(),
          repeatable: z.boolean(),
        }),
      )
      .default([]),
    targetMilliseconds: POSITIVE.default(1000),
    timeoutMilliseconds: POSITIVE.default(120_000),
    weights: z
      .strictObject({
        cost: NOT_NEGATIVE,
        recomputedTokens: NOT_NEGATIVE,
      })
      .default({ cost: 1, recomputedTokens: 1 }),
  }),
  BackendServer: z.strictObject({
    kind: z.literal("BackendServer"),
    ...HEADER_FIELDS,
    service: NAME_SCHEMA,
    host: NAME_SCHEMA,
    address: ADDRESS_SCHEMA,
    dataHall: NAME_SCHEMA,
    hostClass: NAME_SCHEMA,
    concurrency: z.int().positive().default(8),
    contract: z
      .strictObject({
        checksOrderEpoch: z.boolean().default(false),
        resumesStreams: z.boolean().default(false),
        movesKeyValueCache: z.boolean().default(false),
        tellsNotRun: z.boolean().default(false),
      })
      .prefault({}),
    draining: z.boolean().default(false),
  }),
  RoutingRule: z.strictObject({
    kind: z.literal("RoutingRule"),
    ...HEADER_FIELDS,
    priority: z.int().default(100),
    services: SELECTOR_SCHEMA.default({}),
    workspaces: SELECTOR_SCHEMA.default({}),
    targets: z
      .array(
        z.strictObject({
          selector: SELECTOR_SCHEMA,
          priority: z.int().default(0),
        }),
      )
      .min(1),
  }),
  Workspace: z.strictObject({
    kind: z.literal("Workspace"),
    ...HEADER_FIELDS,
    keyHashes: z.array(HASH_SCHEMA).default([]),
    weight: POSITIVE.default(1),
    priority: z.int().default(0),
  }),
  HostClass: z.strictObject({
    kind: z.literal("HostClass"),
    ...HEADER_FIELDS,
    dataHall: NAME_SCHEMA,
    reclaimable: z.boolean(),
    dollarsPerHour: NOT_NEGATIVE,
    meanHoursToReclaim: POSITIVE.default(8760),
  }),
} as const satisfies Readonly<Record<ResourceKind, z.ZodType<Resource>>>;

/** Validates one resource. */
export function checkResource(
  value: unknown,
): Result<Resource, readonly Problem[]> {
  const kind = (value as { readonly kind?: unknown } | null)?.kind;
  const known = RESOURCE_KINDS.find((candidate) => candidate === kind);
  return known === undefined
    ? Result.err([
        {
          path: "kind",
          value: JSON.stringify(kind) ?? "nothing",
          expected: `one of ${RESOURCE_KINDS.join(", ")}`,
        },
      ])
    : check<z.ZodType<Resource>>(SCHEMAS[known], value);
}

/** Parses a YAML stream and validates each document as a resource. */
export function checkResources(
  text: string,
): Result<readonly Resource[], readonly Problem[]> {
  const documents = parseAllDocuments(text);
  const list = Array.isArray(documents) ? documents : [];
  const results = list.map((document, index) => {
    const [error] = document.errors;
    const result: Result<Resource, readonly Problem[]> =
      error === undefined
        ? checkResource(document.toJS())
        : Result.err([
            {
              path: `line ${error.linePos?.[0].line ?? 1}`,
              value: "text",
              expected: `YAML that parses: ${error.code}`,
            },
          ]);
    return result.mapErr((problems) =>
      problems.map((problem) => ({
        ...problem,
        path: `document ${index + 1}: ${problem.path}`,
      })),
    );
  });
  const problems = results.flatMap((result) =>
    result.isErr ? result.error : [],
  );
  return problems.length > 0
    ? Result.err(problems)
    : Result.ok(
        results.flatMap((result) => (result.isOk ? [result.value] : [])),
      );
}
