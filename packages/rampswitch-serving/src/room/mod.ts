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
