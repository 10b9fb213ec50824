// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * The configuration in force.
 *
 * @module
 */
export * from "./configuration_service.ts";
