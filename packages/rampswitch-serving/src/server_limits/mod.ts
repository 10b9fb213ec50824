// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Rate limits that backend servers advertise, enforced by all hosts together.
 *
 * @module
 */
export { LimitTable, type LimitUpdate } from "./limit_table.ts";
export {
  type LimitedServer,
  ServerPermits,
  type PermitUpdate,
  type PermitReply,
  type PermitRequest,
} from "./server_permits.ts";
export {
  MINIMUM_PERMITS_PER_SECOND,
  PermitLedger,
  type PermitOutcome,
  type PermitUrgency,
} from "./permit_ledger.ts";
export {
  type LendingIntervals,
  type HoldersByService,
  PermitLenders,
} from "./permit_lenders.ts";
export { PermitWaits } from "./permit_waits.ts";
