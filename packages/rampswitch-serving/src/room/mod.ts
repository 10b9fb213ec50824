// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Admission of requests when the capacity of a service is short.
 *
 * @module
 */
export {
  type ClassRoom,
  RoomAdmission,
  type RoomDecision,
  type RoomRequest,
  type RoomReservations,
  type RoomSource,
} from "./room_admission.ts";
export { type ClassRates, RoomCounts, type RoomReport } from "./room_counts.ts";
export type { ServerRoom } from "./service_room.ts";
export {
  classKey,
  type RoomClass,
  rankLabel,
  rankOf,
  roomClassOf,
} from "./room_class.ts";
export {
  MAXIMUM_DELAY_MILLISECONDS,
  type RequestFingerprint,
  type ReservationListener,
  type ReservationUpdate,
  Reservations,
} from "./reservations.ts";
export { type ReturnTime, ReturnTimes } from "./return_times.ts";
export {
  type WaitingPlace,
  type WaitingRequest,
  WaitingRequests,
} from "./waiting_requests.ts";
