// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * The configuration that is in force on the host.
 *
 * @module
 */
export * from "./configuration_service.ts";
