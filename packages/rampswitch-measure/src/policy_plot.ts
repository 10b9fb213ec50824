// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Plots of the policy measurement as SVG files.
 *
 * @module
 */
import { mkdirSync, readFileSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import { parse, View } from "vega";
import { compile, type TopLevelSpec } from "vega-lite";
import type { DeploymentFigures } from "./policy_measure.ts";
import type { PolicyFigures } from "./policy_simulation.ts";

interface Plot {
  readonly file: string;
  readonly figure: keyof PolicyFigures;
  readonly title: string;
}

const PLOTS: readonly Plot[] = [
  {
    file: "policy-recomputed-tokens.svg",
    figure: "recomputedTokens",
    title: "tokens computed again",
  },
  {
    file: "policy-cost.svg",
    figure: "costPerThousandAnswersAtTarget",
    title: "dollars for a thousand answers at the target",
  },
  {
    file: "policy-first-token.svg",
    figure: "firstTokenMillisecondsP95",
    title: "first token, p95 (ms)",
  },
  {
    file: "policy-between-tokens.svg",
    figure: "betweenTokensMillisecondsP95",
    title: "between tokens, p95 (ms)",
  },
];

/** Draws the plots of a result that `measure policy` printed into a file. */
export async function plotPolicy(
  resultFile: string,
  folder: string,
): Promise<readonly string[]> {
  const lines = readFileSync(resultFile, "utf8").trim().split("\n");
  const { deployments } = JSON.parse(lines.at(-1) ?? "{}") as {
    readonly deployments: readonly DeploymentFigures[];
  };
  mkdirSync(folder, { recursive: true });
  return await Promise.all(
    PLOTS.map(async (plot) => {
      const file = join(folder, plot.file);
      const view = new View(parse(compile(specOf(plot, deployments)).spec));
      writeFileSync(file, `${await view.toSVG()}\n`);
      return file;
    }),
  );
}

function specOf(
  plot: Plot,
  deployments: readonly DeploymentFigures[],
): TopLevelSpec {
  const values = deployments.flatMap(({ deployment, policies }) =>
    Object.entries(policies).map(([policy, figures]) => ({
      deployment,
      policy,
      value: figures[plot.figure],
    })),
  );
  return {
    data: { values },
    mark: "bar",
    width: 220,
    encoding: {
      column: { field: "deployment", type: "nominal", title: null },
      y: { field: "policy", type: "nominal", title: null, sort: null },
      x: { field: "value", type: "quantitative", title: plot.title },
    },
  };
}
