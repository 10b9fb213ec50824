// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Encoding of the object in the store that tells which versions of each service may have
 * begun streams in progress.
 *
 * @module
 */
import type { Result } from "true-myth";
import { decodeJson, listOf, recordOf } from "rampswitch-validation";
import * as z from "zod";
import type { ServiceVersions } from "./version_history.ts";

/** The versions of each service, as a host stored them. */
export interface StoredVersions {
  /**
   * Era of the store in which the writer knew that there were no others; `undefined`
   * if it had started too recently to know.
   */
  readonly completeInEra: number | undefined;
  readonly services: ServiceVersions;
}

const VERSIONS_SCHEMA = z.object({
  completeInEra: z.number().nullable(),
  services: recordOf(listOf(z.string())),
});

/** Encodes the versions of the services. */
export function encodeVersions({
  completeInEra,
  services,
}: StoredVersions): string {
  return JSON.stringify({
    completeInEra: completeInEra ?? null,
    services: Object.fromEntries(services),
  });
}

/** Decodes the versions of the services; an error states what can't be read. */
export function decodeVersions(value: string): Result<StoredVersions, string> {
  return decodeJson(VERSIONS_SCHEMA, value, "versions").map(
    ({ completeInEra, services }) => ({
      completeInEra: completeInEra ?? undefined,
      services: new Map(Object.entries(services)),
    }),
  );
}
