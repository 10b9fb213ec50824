// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Options shared by all commands that call an entry host.
 *
 * @module
 */
import { type Command, Option } from "commander";
import { AdministrationClient } from "./administration_client.ts";

/** Where and as whom to call. */
export interface ConnectionOptions {
  readonly address: string;
  readonly token: string;
  readonly output: "table" | "json";
}

/** Adds the shared options to a command. */
export function withConnection(command: Command): Command {
  return command
    .addOption(
      new Option("--address <ip:port>", "administration address")
        .env("RAMPSWITCH_ADDRESS")
        .makeOptionMandatory(),
    )
    .addOption(
      new Option("--token <token>", "operator's token")
        .env("RAMPSWITCH_TOKEN")
        .makeOptionMandatory(),
    )
    .addOption(outputOption());
}

/** The option for the form of the output. */
export function outputOption(): Option {
  return new Option("--output <form>", "form of the output")
    .choices(["table", "json"])
    .default("table");
}

/** A client for the shared options. */
export function clientOf(options: ConnectionOptions): AdministrationClient {
  return new AdministrationClient(options.address, options.token);
}
