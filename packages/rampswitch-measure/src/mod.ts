// Copyright 2026 the rampswitch authors. Apache-2.0 license.
/**
 * Measurements and the local demonstration.
 *
 * @module
 */
export * from "./demo.ts";
