// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Judges which version began a stream from what hosts know of it. Pure.
 *
 * @module
 */
import {
  namesVersion,
  type StreamReplies,
  type StreamReply,
} from "./stream_reply.ts";

/** Hosts that missed changes of their lists and together vouch for the past. */
const GAP_VOUCHERS = 2;

/** What the replies of hosts show of the version that began a stream. */
export type StreamVerdict =
  | {
      readonly kind: "known";
      readonly version: string;
      readonly source: "queried" | "single";
    }
  /**
   * All that replied have seen one version alone, but a host that knows more may be
   * silent: this host's list of servers has to be confirmed.
   */
  | { readonly kind: "unconfirmed" }
  | { readonly kind: "unknown" }
  /** A host knows that the version is uncertain, or two hosts name different ones. */
  | { readonly kind: "lost" };

/**
 * Judges the reply of this host and those of the others. One version alone counts if
 * somebody knows the past, nobody has seen another version, and no host is silent that
 * may have been sent the stream's version. A host that knows that the version is
 * uncertain outweighs one that names it, whose list may be old. A host that receives
 * updates from few others may be cut off from those that know more. That all of them lack
 * a record shows nothing if they have just started, or if their lists are old.
 */
export function judgeReplies(
  own: StreamReply,
  { replies, isComplete, isMajority }: StreamReplies,
  { hasReadStored }: { readonly hasReadStored: boolean },
): StreamVerdict {
  const all = [own, ...replies];
  const [known, ...otherKnown] = knownVersions(all);
  const isUncertain = all.some(({ kind }) => kind === "uncertain");
  if (isUncertain || otherKnown.length > 0) return { kind: "lost" };
  if (known !== undefined) {
    return { kind: "known", version: known, source: "queried" };
  }
  const version = agreedVersion(own, replies);
  if (version === undefined) return { kind: "unknown" };
  // A host that knows no version yet is no better than a silent one.
  const isHeard = replies.every(({ kind }) => kind !== "none");
  const isEveryoneHeard =
    isComplete && isMajority && isHeard && replies.length > 0;
  return isEveryoneHeard && isVouchedFor(all, hasReadStored)
    ? { kind: "known", version, source: "single" }
    : { kind: "unconfirmed" };
}

/**
 * The only version that this host and all others that know one name; `undefined` if there
 * is none.
 */
export function agreedVersion(
  own: StreamReply,
  replies: readonly StreamReply[],
): string | undefined {
  const known = replies.filter(({ kind }) => kind !== "none");
  const [version, ...others] = new Set([own, ...known].map(versionIn));
  return others.length > 0 ? undefined : version;
}

/**
 * Whether somebody knows the past. Of hosts that missed changes of their lists, two
 * have to agree, and what is stored has to be read: others may have stored a version
 * that these two missed.
 */
function isVouchedFor(
  replies: readonly StreamReply[],
  hasReadStored: boolean,
): boolean {
  const countOf = (kind: StreamReply["kind"]) =>
    replies.filter((reply) => reply.kind === kind).length;
  const haveGap = countOf("single_since_gap") >= GAP_VOUCHERS;
  return countOf("single") > 0 || (hasReadStored && haveGap);
}

/** The versions that hosts know of the stream, each once. */
function knownVersions(replies: readonly StreamReply[]): ReadonlySet<string> {
  return new Set(
    replies
      .filter((reply) => reply.kind === "known")
      .map(({ version }) => version),
  );
}

function versionIn(reply: StreamReply): string | undefined {
  return namesVersion(reply) ? reply.version : undefined;
}
