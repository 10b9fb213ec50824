// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Limits that backend servers name, kept by all hosts together.
 *
 * @module
 */
export { LimitBook, type LimitNews } from "./limit_table.ts";
export {
  type LimitedServer,
  ServerTurns,
  type TurnNews,
  type TurnReply,
  type TurnRequest,
} from "./server_permits.ts";
export {
  LEAST_PER_SECOND,
  TurnLedger,
  type TurnOutcome,
  type TurnUrgency,
} from "./permit_ledger.ts";
export { type LendingPace, type LentTo, TurnLenders } from "./permit_lenders.ts";
export { TurnWaits } from "./permit_waits.ts";
