// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Encoding of store changes and of queries for the configuration in messages between
 * hosts.
 *
 * @module
 */
import type { ChangeBatch } from "rampswitch-store";
import {
  type FieldChecks,
  isNumber,
  isNumberPair,
  isPeerAddress,
  isString,
  listOf,
  nullable,
  oneOf,
  tupleOf,
} from "./checks.ts";
import type { ConfigurationQuery, PeerUpdate } from "./peer_messages.ts";

type EncodedChange = [string, number, string | null];

/** Version before the changes, version after them, and the changes. */
export type EncodedChanges = [number, number, EncodedChange[]];

/** Versions of the newest configuration and servers that a host has applied. */
export type EncodedVersions = readonly [number, number];

/** Query for the configuration. */
export interface EncodedConfigurationQuery {
  readonly k: "w";
  readonly a: string;
}

/** The configuration. */
export interface EncodedConfiguration {
  readonly k: "c";
  readonly s: EncodedChanges;
}

/** Checks encoded store changes. */
export const isChanges = tupleOf<EncodedChanges>(
  isNumber,
  isNumber,
  listOf(tupleOf<EncodedChange>(isString, isNumber, nullable(isString))),
);

/** Checks encoded versions. */
export const isVersions = isNumberPair;

/** Checks of a query for the configuration. */
export const CONFIGURATION_QUERY_CHECKS: FieldChecks<EncodedConfigurationQuery> =
  { k: oneOf("w"), a: isPeerAddress };

/** Checks of the configuration. */
export const CONFIGURATION_CHECKS: FieldChecks<EncodedConfiguration> = {
  k: oneOf("c"),
  s: isChanges,
};

/** Encodes a query for the configuration. */
export function encodedConfigurationQuery(
  query: ConfigurationQuery,
): EncodedConfigurationQuery {
  return { k: "w", a: query.address };
}

/** Encodes store changes. */
export function encodedChanges(batch: ChangeBatch): EncodedChanges {
  return [
    batch.after,
    batch.version,
    batch.events.map(({ key, version, value }) => [
      key,
      version,
      value ?? null,
    ]),
  ];
}

/** Decodes store changes. */
export function changesOf([
  after,
  version,
  events,
]: EncodedChanges): ChangeBatch {
  return {
    after,
    version,
    events: events.map(([key, changed, value]) => ({
      key,
      version: changed,
      ...(value === null ? {} : { value }),
    })),
  };
}

/** Decodes versions. */
export function versionsOf([
  configuration,
  servers,
]: EncodedVersions): PeerUpdate["followed"] {
  return { configuration, servers };
}
