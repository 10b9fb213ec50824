// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Schemas that check settings and resources before they are used.
 *
 * @module
 */
export * from "./checked_json.ts";
export * from "./problems.ts";
export * from "./resource_schema.ts";
export * from "./settings_schema.ts";
export * from "./yaml_document.ts";
