// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Encoding of refused callers' reservations in messages between hosts: 14 bytes
 * each, in base64, since a burst of refusals has many of them.
 *
 * @module
 */
import type { ReservationUpdate } from "../room/mod.ts";
import { isString, optional } from "./checks.ts";

/** The list has a message key of its own, which hosts of an earlier version ignore. */
export const isReturns = optional(isString);

/** Layout of one reservation. The rank's first bit tells whether it was kept. */
const OFFSETS = { key: 0, id: 8, dueIn: 10, rank: 12 };

const BYTES_PER_RESERVATION = 14;

const KEPT_BIT = 0x80_00;

/** Range of the time until a reservation falls due, in milliseconds. */
const DUE_RANGE = { minimum: -0x80_00, maximum: 0x7f_ff };

/** Encodes reservations; `undefined` when there are none. */
export function encodedReturns(
  reservations: readonly ReservationUpdate[],
): string | undefined {
  if (reservations.length === 0) return undefined;
  const bytes = Buffer.alloc(reservations.length * BYTES_PER_RESERVATION);
  reservations.forEach(({ key, id, dueIn, rank, kept }, index) => {
    const start = index * BYTES_PER_RESERVATION;
    bytes.write(key, start + OFFSETS.key, "hex");
    bytes.writeUInt16BE(id, start + OFFSETS.id);
    const bounded = Math.min(
      DUE_RANGE.maximum,
      Math.max(DUE_RANGE.minimum, Math.round(dueIn)),
    );
    bytes.writeInt16BE(bounded, start + OFFSETS.dueIn);
    const flags = kept ? KEPT_BIT : 0;
    bytes.writeUInt16BE(rank + flags, start + OFFSETS.rank);
  });
  return bytes.toString("base64");
}

/** Decodes reservations; an incomplete one at the end is left out. */
export function returnsOf(
  encoded: string | undefined,
): readonly ReservationUpdate[] {
  if (encoded === undefined) return [];
  const bytes = Buffer.from(encoded, "base64");
  const count = Math.floor(bytes.length / BYTES_PER_RESERVATION);
  return Array.from({ length: count }, (_, index) => {
    const start = index * BYTES_PER_RESERVATION;
    const rank = bytes.readUInt16BE(start + OFFSETS.rank);
    return {
      key: bytes.toString("hex", start + OFFSETS.key, start + OFFSETS.id),
      id: bytes.readUInt16BE(start + OFFSETS.id),
      dueIn: bytes.readInt16BE(start + OFFSETS.dueIn),
      rank: rank & ~KEPT_BIT,
      kept: rank >= KEPT_BIT,
    };
  });
}
