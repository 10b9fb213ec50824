// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Encoding of the fields that updates of hosts and digests of the fleet both carry,
 * under the same keys.
 *
 * @module
 */
import { brittleOf, encodedBrittle, isBrittle } from "./brittle_codec.ts";
import {
  type FieldChecks,
  isNonnegative,
  optional,
  recordOf,
} from "./checks.ts";
import { demandOf, encodedDemand, isDemand } from "./demand_codec.ts";
import type { ArrivalReport } from "../demand/mod.ts";
import {
  encodedIncarnationAges,
  incarnationAgesOf,
  isIncarnationAges,
} from "./incarnation_ages_codec.ts";
import type { FleetView, PeerUpdate } from "./peer_messages.ts";
import { encodedLimits, isLimits, limitsOf } from "./permit_codec.ts";
import {
  encodedQuarantine,
  isQuarantine,
  quarantineOf,
} from "./quarantine_codec.ts";
import { encodedReturns, isReturns, returnsOf } from "./returns_codec.ts";
import { encodedSlowdowns, isSlowdowns, slowdownsOf } from "./speed_codec.ts";

/** Fields of both kinds of messages. */
type CommonFields = Pick<
  PeerUpdate & FleetView,
  | "limits"
  | "slowdowns"
  | "room"
  | "returns"
  | "brittle"
  | "lostServers"
  | "promptParts"
  | "arrivals"
>;

/** Their short keys. */
export interface EncodedCommon {
  readonly m?: ReturnType<typeof encodedLimits>;
  readonly sp?: ReturnType<typeof encodedSlowdowns>;
  readonly rm?: ReturnType<typeof encodedDemand>;
  readonly rt?: ReturnType<typeof encodedReturns>;
  readonly br?: ReturnType<typeof encodedBrittle>;
  readonly ls?: ReturnType<typeof encodedIncarnationAges>;
  readonly pp?: ReturnType<typeof encodedQuarantine>;
  readonly ar?: ArrivalReport | undefined;
}

/** Checks of the encoded fields. */
export const COMMON_CHECKS: FieldChecks<EncodedCommon> = {
  m: isLimits,
  sp: isSlowdowns,
  rm: isDemand,
  rt: isReturns,
  br: isBrittle,
  ls: isIncarnationAges,
  pp: isQuarantine,
  ar: optional(recordOf(isNonnegative)),
};

/** Encodes the fields. */
export function encodedCommon(fields: CommonFields): EncodedCommon {
  return {
    m: encodedLimits(fields.limits),
    sp: encodedSlowdowns(fields.slowdowns),
    rm: encodedDemand(fields.room),
    rt: encodedReturns(fields.returns),
    br: encodedBrittle(fields.brittle),
    ls: encodedIncarnationAges(fields.lostServers),
    pp: encodedQuarantine(fields.promptParts),
    ar: fields.arrivals,
  };
}

/** Decodes the fields. */
export function commonOf(encoded: EncodedCommon): CommonFields {
  return {
    limits: limitsOf(encoded.m),
    slowdowns: slowdownsOf(encoded.sp),
    room: demandOf(encoded.rm),
    returns: returnsOf(encoded.rt),
    brittle: brittleOf(encoded.br),
    lostServers: incarnationAgesOf(encoded.ls),
    promptParts: quarantineOf(encoded.pp),
    arrivals: encoded.ar,
  };
}
