// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Which backend server a request goes to.
 *
 * @module
 */
export * from "./asked_rest.ts";
export * from "./choose_server.ts";
export * from "./leaving_lives.ts";
export * from "./place_admission.ts";
export * from "./prefix_knowledge.ts";
export * from "./server_directory.ts";
export * from "./server_record.ts";
