// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Outcome of the search for the version that began a stream.
 *
 * @module
 */

/**
 * How the version of a stream was found: this host served the stream (`table`), another
 * host sent its record (`told`), hosts replied to a query, the service has one version
 * alone (`single`), or a host that may have ended had stored it.
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
  /** Another host or the store may name it later. */
  | { readonly kind: "unknown" }
  /** Neither the store nor any host knows it. */
  | { readonly kind: "lost" };

/** The version will not become known. */
export const LOST_ORIGIN: StreamOrigin = { kind: "lost" };

/** The version may become known later. */
export const UNKNOWN_ORIGIN: StreamOrigin = { kind: "unknown" };
