// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * The home server of a prompt: the server that all hosts prefer for a prompt that no
 * server is known to have cached. Rendezvous hashing on the longest part that requests
 * share lets hosts agree without messages.
 *
 * @module
 */
import { hash32 } from "rampswitch-utils";
import type { ServerRecord } from "./server_record.ts";

/**
 * Maximum number of prompt parts whose scores are retained, in total for as many
 * servers as {@link MAXIMUM_SCORES} allows. Prompts have few parts in common.
 */
const MAXIMUM_PARTS = 64;

/** Maximum number of scores that are retained for one prompt part. */
const MAXIMUM_SCORES = 8_192;

/**
 * Scores by prompt part and server id. They depend on nothing else and never change;
 * hashing all ids for each request took a third of the time of a choice.
 */
const scoresByPart = new Map<string, Map<string, number>>();

/**
 * Returns the id of the home server of the prompts that share a part; `undefined` if
 * they share none.
 */
export function homeServer(
  records: readonly ServerRecord[],
  shared: string | undefined,
): string | undefined {
  if (shared === undefined) return undefined;
  const scores = scoresOf(shared);
  let home: string | undefined;
  let highest = -1;
  for (const { entry } of records) {
    const score = scores.get(entry.id) ?? addScore(scores, shared, entry.id);
    if (score > highest) {
      highest = score;
      home = entry.id;
    }
  }
  return home;
}

function scoresOf(shared: string): Map<string, number> {
  const known = scoresByPart.get(shared);
  if (known !== undefined) return known;
  const [oldest] = scoresByPart.keys();
  if (scoresByPart.size >= MAXIMUM_PARTS && oldest !== undefined) {
    scoresByPart.delete(oldest);
  }
  const scores = new Map<string, number>();
  scoresByPart.set(shared, scores);
  return scores;
}

function addScore(
  scores: Map<string, number>,
  shared: string,
  id: string,
): number {
  if (scores.size >= MAXIMUM_SCORES) scores.clear();
  const score = hash32(`${shared}|${id}`);
  scores.set(id, score);
  return score;
}
