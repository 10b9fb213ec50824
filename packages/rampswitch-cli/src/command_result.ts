// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * What a command comes to.
 *
 * @module
 */
import type { Result } from "true-myth";
import type { ExitCode } from "./exit_codes.ts";

/** A command that failed: the exit code and what to say. */
export interface CommandFailure {
  readonly code: ExitCode;
  readonly message: string;
}

/** What a command shows: lines for people, a value for programs. */
export interface CommandOutput {
  readonly text: string;
  readonly value: unknown;
}

/** The end of a command. */
export type CommandResult = Result<CommandOutput, CommandFailure>;

/** Builds a failure. */
export function failure(code: ExitCode, message: string): CommandFailure {
  return { code, message };
}

/** Prints what a command came to and keeps its exit code. */
export type Finish = (result: CommandResult, output: "table" | "json") => void;
