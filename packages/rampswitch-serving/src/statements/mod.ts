// Copyright 2026 the rampswitch authors. Apache-2.0 license.

export * from "./server_statements.ts";
export * from "./leaving_statements.ts";
export * from "./told_report.ts";
export * from "./rest_statements.ts";
