/**
 * Measurements and the local demonstration.
 *
 * @module
 */
export * from "./demo.ts";
export * from "./run_measure.ts";
export * from "./standins_process.ts";
