// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Read-only types shared by all packages.
 *
 * @module
 */
export * from "./hosts.ts";
export * from "./outcome.ts";
export * from "./resources.ts";
