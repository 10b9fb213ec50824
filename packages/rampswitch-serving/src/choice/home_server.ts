// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * The home servers of a prompt: those that all hosts prefer for the prompts that share
 * a part. Rendezvous hashing lets hosts agree without messages, and a server that
 * comes or goes changes only the homes that it has.
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
 * Returns the servers with the highest scores for a prompt part, highest first. With
 * more homes, those of before are among them.
 */
export function homeServers(
  records: readonly ServerRecord[],
  shared: string | undefined,
  count: number,
): readonly ServerRecord[] {
  if (shared === undefined || count < 1) return [];
  const scores = scoresOf(shared);
  const homes: ServerRecord[] = [];
  const highest: number[] = [];
  for (const record of records) {
    const { id } = record.entry;
    const score = scores.get(id) ?? addScore(scores, shared, id);
    if (homes.length === count && score <= (highest.at(-1) ?? 0)) continue;
    let at = homes.length;
    while (at > 0 && score > (highest[at - 1] ?? Infinity)) at -= 1;
    homes.splice(at, 0, record);
    highest.splice(at, 0, score);
    if (homes.length > count) {
      homes.pop();
      highest.pop();
    }
  }
  return homes;
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
