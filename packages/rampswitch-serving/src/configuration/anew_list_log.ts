// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Logs and counts lists that were read in place of a lost history.
 *
 * @module
 */
import { type AnewList, eraOf, revisionOf } from "rampswitch-store";
import type { Logger } from "rampswitch-utils";
import type { ServingMetrics } from "../observation/mod.ts";

/** Lists that are read from the store. */
export type ListName = "configuration" | "servers";

/** Logs a list that was read in place of a lost history. */
export function logAnewList(
  list: ListName,
  { after, version, origin, mayHaveMissed, changed, missing }: AnewList,
  parts: { readonly metrics: ServingMetrics; readonly logger: Logger },
): void {
  const { metrics, logger } = parts;
  const fields = {
    list,
    era: eraOf(version),
    after: revisionOf(after),
    revision: revisionOf(version),
    mayHaveMissed,
    changed,
    missing,
  };
  if (origin === "copy") {
    metrics.event(`store_era_${list}_listed`);
    logger.warn("listed anew in an era of the store", fields);
    return;
  }
  // Stores forget their history in normal operation.
  metrics.event(`history_lost_${list}_listed`);
  logger.info("listed anew after a lost history", fields);
}
