// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Conversion between the types of the protocol and the messages on the wire.
 *
 * @module
 */
import { create } from "@bufbuild/protobuf";
import type {
  HostDigest,
  LeavingMark,
  LeavingSource,
} from "rampswitch-configuration";
import { LEAVING_SOURCES } from "rampswitch-configuration";
import type {
  ClaimAnswer,
  KeyRecord,
  KeyStatus,
  SlotMessage,
} from "rampswitch-protocol";
import {
  type HostDigest as WireDigest,
  HostDigestSchema,
  type KeyRecord as WireRecord,
  KeyRecordSchema,
  type LeavingMark as WireMark,
  LeavingMarkSchema,
  type ReplicaEntry,
  ReplicaEntrySchema,
  type SlotMessage as WireSlotMessage,
  SlotMessageSchema,
} from "rampswitch-peer";

type SlotBody = WireSlotMessage["body"];

/** Wraps a slot message as a replica entry. */
export function slotEntry(message: SlotMessage): ReplicaEntry {
  return create(ReplicaEntrySchema, {
    entry: { case: "slotMessage", value: slotMessageToWire(message) },
  });
}

/** Converts a slot message for the wire. */
export function slotMessageToWire(message: SlotMessage): WireSlotMessage {
  const build = BODY_BUILDERS[message.kind] as (
    message: SlotMessage,
  ) => SlotBody;
  return create(SlotMessageSchema, {
    slot: message.slot,
    epoch: BigInt(message.epoch),
    body: build(message) as never,
  });
}

const BODY_BUILDERS: {
  readonly [Kind in SlotMessage["kind"]]: (
    message: Extract<SlotMessage, { readonly kind: Kind }>,
  ) => unknown;
} = {
  claim: ({ record }) => ({
    case: "claim",
    value: { record: recordToWire(record) },
  }),
  claim_answer: ({ key, answer }) => ({
    case: "claimAnswer",
    value: { key, answer },
  }),
  status: ({ key, status }) => ({ case: "status", value: { key, status } }),
  learn: ({ records }) => ({
    case: "learn",
    value: { records: records.map(recordToWire) },
  }),
  learned: () => ({ case: "learned", value: {} }),
  promote: () => ({ case: "promote", value: {} }),
};

/**
 * Converts a slot message from the wire; `undefined` if it has no known body or
 * is a claim without a record.
 */
export function slotMessageFromWire(
  wire: WireSlotMessage,
): SlotMessage | undefined {
  const header = { slot: wire.slot, epoch: Number(wire.epoch) };
  const { body } = wire;
  switch (body.case) {
    case "claim":
      return body.value.record === undefined
        ? undefined
        : {
            kind: "claim",
            ...header,
            record: recordFromWire(body.value.record),
          };
    case "claimAnswer":
      return {
        kind: "claim_answer",
        ...header,
        key: body.value.key,
        answer: body.value.answer as ClaimAnswer,
      };
    case "status":
      return {
        kind: "status",
        ...header,
        key: body.value.key,
        status: body.value.status as KeyStatus,
      };
    case "learn":
      return {
        kind: "learn",
        ...header,
        records: body.value.records.map(recordFromWire),
      };
    case "learned":
      return { kind: "learned", ...header };
    case "promote":
      return { kind: "promote", ...header };
    default:
      return undefined;
  }
}

function recordToWire(record: KeyRecord): WireRecord {
  return create(KeyRecordSchema, {
    key: record.key,
    status: record.status,
    guarded: record.guarded,
    claimant: record.claimant,
    recordedAt: BigInt(Math.round(record.recordedAt)),
  });
}

function recordFromWire(wire: WireRecord): KeyRecord {
  return {
    key: wire.key,
    status: wire.status as KeyStatus,
    guarded: wire.guarded,
    claimant: wire.claimant,
    recordedAt: Number(wire.recordedAt),
  };
}

/** Converts a host digest for the wire. */
export function digestToWire(digest: HostDigest): WireDigest {
  return create(HostDigestSchema, {
    host: { ...digest.host, startedAt: BigInt(digest.host.startedAt) },
    heartbeat: BigInt(digest.heartbeat),
    revision: BigInt(digest.revision),
    confirmedAge: BigInt(Math.round(digest.confirmedAge)),
    reachesStore: digest.reachesStore,
    leaving: digest.leaving,
    load: digest.load,
  });
}

/** Converts host digests from the wire; those without a host are left out. */
export function digestsFromWire(
  wires: readonly (WireDigest | undefined)[],
): readonly HostDigest[] {
  return wires.flatMap((wire) => {
    if (wire?.host === undefined) return [];
    const { id, name, dataHall, peerAddress, callerAddress, startedAt } =
      wire.host;
    return [
      {
        host: {
          id,
          name,
          dataHall,
          peerAddress,
          callerAddress,
          startedAt: Number(startedAt),
        },
        heartbeat: Number(wire.heartbeat),
        revision: Number(wire.revision),
        confirmedAge: Number(wire.confirmedAge),
        reachesStore: wire.reachesStore,
        leaving: wire.leaving,
        load: wire.load,
      },
    ];
  });
}

/** Converts a leaving mark for the wire; 0 stands for no deadline. */
export function markToWire(mark: LeavingMark): WireMark {
  return create(LeavingMarkSchema, {
    host: mark.host,
    source: mark.source,
    since: BigInt(Math.round(mark.since)),
    deadline: BigInt(Math.round(mark.deadline ?? 0)),
  });
}

/** Converts leaving marks from the wire; those of unknown source are left out. */
export function marksFromWire(
  wires: readonly WireMark[],
): readonly LeavingMark[] {
  return wires.flatMap((wire) => {
    const source = LEAVING_SOURCES.find(
      (known): known is LeavingSource => known === wire.source,
    );
    return source === undefined
      ? []
      : [
          {
            host: wire.host,
            source,
            since: Number(wire.since),
            deadline: wire.deadline === 0n ? undefined : Number(wire.deadline),
          },
        ];
  });
}
