// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * `rampswitch explain`: why a request would go where.
 *
 * @module
 */
import type { Command } from "commander";
import { readFileSync } from "node:fs";
import type { CommandResult } from "../command_result.ts";
import {
  clientOf,
  type ConnectionOptions,
  withConnection,
} from "../connection.ts";
import type { Finish } from "../command_result.ts";
import { table } from "../table.ts";
import { logLines } from "./log_line.ts";
import { refusalRows, type RefusedRank, refusalsByRank } from "./refusals.ts";

interface ExplainOptions extends ConnectionOptions {
  readonly service: string;
  readonly workspace: string;
  readonly prompt: string;
  readonly tokens: string;
  readonly logs?: readonly string[];
}

interface Explanation {
  readonly revision: number;
  readonly rule: string | null;
  readonly chosen?: { readonly server: string };
  readonly scores: readonly {
    readonly server: string;
    readonly priority: number;
    readonly predictedMilliseconds: number;
    readonly cachedTokens: number;
    readonly meetsTarget: boolean;
    readonly cost: number;
  }[];
  readonly exclusions: readonly {
    readonly server: string;
    readonly reason: string;
  }[];
}

const DOLLARS_SHOWN = 1_000_000;

/** Adds the command. */
export function addExplain(program: Command, finish: Finish): void {
  withConnection(
    program
      .command("explain")
      .description("why a request would go where")
      .requiredOption("--service <name>")
      .requiredOption("--workspace <name>")
      .option("--prompt <text>", "prompt of the request", "")
      .option("--tokens <n>", "tokens to generate", "256")
      .option(
        "--logs <files...>",
        "logs of hosts, whose refusals of such requests are summed up",
      ),
  ).action(async (options: ExplainOptions) =>
    finish(await explain(options), options.output),
  );
}

async function explain(options: ExplainOptions): Promise<CommandResult> {
  const { service, workspace, prompt } = options;
  const answer = await clientOf(options).post("/v1/explain", {
    service,
    workspace,
    prompt,
    tokens: Number(options.tokens),
  });
  const refusals = refusalsByRank(
    (options.logs ?? []).flatMap((file) =>
      logLines(readFileSync(file, "utf8")),
    ),
    { service, workspace },
  );
  return answer.map(({ body }) => {
    const explanation = body as Explanation;
    return options.logs === undefined
      ? { text: explanationText(explanation, []), value: explanation }
      : {
          text: explanationText(explanation, refusals),
          value: { ...explanation, refusals },
        };
  });
}

function explanationText(
  explanation: Explanation,
  refusals: readonly RefusedRank[],
): string {
  const { rule, chosen, scores, exclusions } = explanation;
  return [
    `rule ${rule ?? "(none matched: all servers of the service)"}, ` +
      `chosen ${chosen?.server ?? "(none)"}`,
    table(
      ["server", "priority", "first token", "cached", "in time", "cost (µ$)"],
      scores.map((score) => [
        score.server,
        score.priority,
        `${score.predictedMilliseconds.toFixed(1)} ms`,
        score.cachedTokens,
        score.meetsTarget ? "yes" : "no",
        (score.cost * DOLLARS_SHOWN).toFixed(3),
      ]),
    ),
    table(
      ["excluded", "reason"],
      exclusions.map(({ server, reason }) => [server, reason]),
    ),
    ...(refusals.length === 0
      ? []
      : [
          table(
            ["refused", "rank", "requests", "share admitted", "room expected"],
            refusalRows(refusals),
          ),
        ]),
  ].join("\n\n");
}
