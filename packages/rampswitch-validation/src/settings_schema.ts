// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Schema of the settings file of `rampswitchd`.
 *
 * @module
 */
import { type Result } from "true-myth";
import { LOG_LEVELS } from "rampswitch-utils";
import * as z from "zod";
import type { Problem } from "./problems.ts";
import { checkYaml } from "./yaml_document.ts";
import { ADDRESS_SCHEMA, HASH_SCHEMA, NAME_SCHEMA } from "./resource_schema.ts";

const MINIMUM_SECRET_CHARACTERS = 16;
const KIBIBYTE = 1024;
const MEBIBYTE = KIBIBYTE * KIBIBYTE;
const milliseconds = z.int().positive();
const bytes = z.int().positive();
const count = z.int().positive();

const LIMITS_SCHEMA = z.strictObject({
  headerBytes: bytes.default(16 * KIBIBYTE),
  bodyBytes: bytes.default(4 * MEBIBYTE),
  headerMilliseconds: milliseconds.default(10_000),
  bodyMilliseconds: milliseconds.default(60_000),
  answerBytes: bytes.default(MEBIBYTE),
  answersBytes: bytes.default(48 * MEBIBYTE),
  answerRetentionMilliseconds: milliseconds.default(120_000),
  keyRetentionMilliseconds: milliseconds.default(900_000),
  clockSkewMilliseconds: milliseconds.default(2_000),
  queueRequests: count.default(512),
  stopMilliseconds: milliseconds.default(120_000),
});

/** What the process may take; by default what the system tells of its machine. */
const MACHINE_SCHEMA = z.strictObject({
  memoryBytes: bytes.optional(),
  descriptors: count.optional(),
});

const MEMBERSHIP_SCHEMA = z.strictObject({
  heartbeatMilliseconds: milliseconds.default(1_000),
  heartbeatPeers: count.default(3),
  suspectMilliseconds: milliseconds.default(4_000),
  freshnessMilliseconds: milliseconds.default(5_000),
  minorityServes: z.boolean().default(false),
  leaseMilliseconds: milliseconds.default(15_000),
});

/** Schema of the settings of one entry process. */
export const SETTINGS_SCHEMA = z.strictObject({
  host: z.strictObject({
    name: NAME_SCHEMA,
    dataHall: NAME_SCHEMA,
    hostClass: NAME_SCHEMA.default("entry"),
  }),
  listen: z.strictObject({
    callers: ADDRESS_SCHEMA,
    peers: ADDRESS_SCHEMA,
    administration: ADDRESS_SCHEMA,
  }),
  advertise: z
    .strictObject({
      callers: ADDRESS_SCHEMA.optional(),
      peers: ADDRESS_SCHEMA.optional(),
    })
    .prefault({}),
  peers: z
    .array(
      z.strictObject({
        name: NAME_SCHEMA,
        dataHall: NAME_SCHEMA,
        address: ADDRESS_SCHEMA,
      }),
    )
    .default([]),
  peerSecret: z.string().min(MINIMUM_SECRET_CHARACTERS, {
    message: `expected at least ${MINIMUM_SECRET_CHARACTERS} characters`,
  }),
  platform: z.strictObject({
    objects: ADDRESS_SCHEMA,
    hostList: ADDRESS_SCHEMA,
    cloud: ADDRESS_SCHEMA,
  }),
  operators: z
    .array(
      z.strictObject({
        name: NAME_SCHEMA,
        role: z.enum(["read", "change"]),
        tokenHash: HASH_SCHEMA,
      }),
    )
    .default([]),
  slots: z
    .strictObject({
      count: count.default(64),
      progress: z.enum(["each", "batch", "none"]).default("batch"),
    })
    .prefault({}),
  statistics: z
    .strictObject({
      host: z.string().min(1),
      port: z.int().min(1).max(65_535),
    })
    .optional(),
  limits: LIMITS_SCHEMA.prefault({}),
  machine: MACHINE_SCHEMA.prefault({}),
  membership: MEMBERSHIP_SCHEMA.prefault({}),
  log: z
    .strictObject({ level: z.enum(LOG_LEVELS).default("info") })
    .prefault({}),
  capacity: z
    .strictObject({ enabled: z.boolean().default(false) })
    .prefault({}),
});

/** Validated settings of one entry process. */
export type Settings = z.output<typeof SETTINGS_SCHEMA>;

/** Limits within {@link Settings}. */
export type Limits = Settings["limits"];

/** Parses and validates the text of a settings file. */
export function checkSettings(
  text: string,
): Result<Settings, readonly Problem[]> {
  return checkYaml(SETTINGS_SCHEMA, text);
}
