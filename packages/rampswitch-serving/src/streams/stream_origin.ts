// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Outcome of the search for the version that began a stream.
 *
 * @module
 */

/**
 * How the version of a stream was found: this host served the stream, another one told
 * of it, hosts replied to a query, the service has one version alone, or a host that may
 * have ended had stored it.
 */
export type StreamOriginSource =
  "table" | "told" | "queried" | "single" | "stored";

/** The version that began a stream, if it is known. */
export type StreamOrigin =
  | {
      readonly kind: "known";
      readonly version: string;
      readonly source: StreamOriginSource;
      /** Id of the server that began it, if a record names one. */
      readonly serverId?: string | undefined;
    }
  /** Somebody may know it later. */
  | { readonly kind: "unknown" }
  /** Neither the store nor any host knows it. */
  | { readonly kind: "lost" };

/** Nobody will ever know the version. */
export const LOST_ORIGIN: StreamOrigin = { kind: "lost" };

/** Somebody may know the version later. */
export const UNKNOWN_ORIGIN: StreamOrigin = { kind: "unknown" };
