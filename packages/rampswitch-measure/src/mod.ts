// Copyright 2026 the rampswitch authors. Apache-2.0 license.

export * from "./demo.ts";
export * from "./run_measure.ts";
export * from "./standins_process.ts";
