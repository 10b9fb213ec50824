// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Rate limits that backend servers advertise, enforced by all hosts together.
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
  MINIMUM_PERMITS_PER_SECOND,
  TurnLedger,
  type PermitOutcome,
  type TurnUrgency,
} from "./permit_ledger.ts";
export {
  type LendingIntervals,
  type LentTo,
  TurnLenders,
} from "./permit_lenders.ts";
export { TurnWaits } from "./permit_waits.ts";
