// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Encoding of messages between hosts: JSON with short keys, compressed if it does
 * not fit into one packet.
 *
 * @module
 */
import { deflateRawSync, inflateRawSync } from "node:zlib";
import { Result } from "true-myth";
import { decodeSafely, parseJson } from "rampswitch-utils";
import { type FieldChecks, invalidKey, isObject } from "./checks.ts";
import {
  changesOf,
  CONFIGURATION_CHECKS,
  CONFIGURATION_QUERY_CHECKS,
  type EncodedConfiguration,
  type EncodedConfigurationQuery,
  encodedChanges,
  encodedConfigurationQuery,
} from "./configuration_codec.ts";
import {
  DIGEST_CHECKS,
  digestOf,
  encodedDigest,
  type EncodedDigest,
} from "./digest_codec.ts";
import {
  type EncodedLimitAnswer,
  encodedLimitAnswer,
  type EncodedLimitQuery,
  encodedLimitQuery,
  LIMIT_ANSWER_CHECKS,
  LIMIT_QUERY_CHECKS,
  limitAnswerOf,
  limitQueryOf,
} from "./limit_codec.ts";
import type { PeerMessage } from "./peer_messages.ts";
import {
  type EncodedPermitAnswer,
  encodedPermitAnswer,
  type EncodedPermitQuery,
  encodedPermitQuery,
  PERMIT_ANSWER_CHECKS,
  PERMIT_QUERY_CHECKS,
  permitAnswerOf,
  permitQueryOf,
} from "./permit_codec.ts";
import {
  type EncodedStream,
  encodedStream,
  type EncodedStreamAnswer,
  encodedStreamAnswer,
  type EncodedStreamQuery,
  encodedStreamQuery,
  STREAM_ANSWER_CHECKS,
  STREAM_CHECKS,
  STREAM_QUERY_CHECKS,
  streamAnswerOf,
  streamOf,
  streamQueryOf,
} from "./stream_codec.ts";
import {
  decodeUpdates,
  encodedUpdates,
  type EncodedUpdates,
  type IsAppliedUpdate,
} from "./update_codec.ts";

/** Size above which messages are compressed, in bytes: the payload of one packet. */
const COMPRESSED_ABOVE_BYTES = 1_400;

/** Maximum size of a decompressed message, in bytes. */
const MAXIMUM_MESSAGE_BYTES = 1024 * 1024;

/** First byte of a compressed message; the first byte of others is a brace. */
const COMPRESSED_MARK = 1;

/** The fastest compression level; it suffices because names repeat in messages. */
const COMPRESSION = { level: 1, memLevel: 5 };

type EncodedMessage =
  | EncodedUpdates
  | EncodedDigest
  | EncodedLimitQuery
  | EncodedLimitAnswer
  | EncodedPermitQuery
  | EncodedPermitAnswer
  | EncodedStream
  | EncodedStreamQuery
  | EncodedStreamAnswer
  | EncodedConfigurationQuery
  | EncodedConfiguration;

/** Encodes a message for one datagram. */
export function encodeMessage(message: PeerMessage): Buffer {
  const plain = Buffer.from(JSON.stringify(encoded(message)));
  return plain.length <= COMPRESSED_ABOVE_BYTES
    ? plain
    : Buffer.concat([
        Buffer.from([COMPRESSED_MARK]),
        deflateRawSync(plain, COMPRESSION),
      ]);
}

type Encoders = {
  readonly [Kind in PeerMessage["kind"]]: (
    message: Extract<PeerMessage, { readonly kind: Kind }>,
  ) => EncodedMessage;
};

const ENCODERS: Encoders = {
  updates: encodedUpdates,
  digest: ({ digest }) => encodedDigest(digest),
  limit_query: ({ query }) => encodedLimitQuery(query),
  limit_answer: ({ answer }) => encodedLimitAnswer(answer),
  permit_query: ({ query }) => encodedPermitQuery(query),
  permit_answer: ({ answer }) => encodedPermitAnswer(answer),
  stream_begun: ({ record }) => encodedStream(record),
  stream_query: ({ query }) => encodedStreamQuery(query),
  stream_answer: ({ answer }) => encodedStreamAnswer(answer),
  configuration_query: ({ query }) => encodedConfigurationQuery(query),
  configuration: (message) => ({ k: "c", s: encodedChanges(message.changes) }),
};

function encoded(message: PeerMessage): EncodedMessage {
  const encode = ENCODERS[message.kind] as (
    message: PeerMessage,
  ) => EncodedMessage;
  return encode(message);
}

/** Decodes a datagram, or returns the reason why it is malformed. */
export function decodeMessage(
  datagram: Buffer,
  isApplied: IsAppliedUpdate = () => false,
): Result<PeerMessage, string> {
  const plain = plainOf(datagram);
  if (plain.isErr) return Result.err(plain.error);
  const parsed = parseJson(plain.value.toString("utf8"));
  if (parsed.isErr) return Result.err(parsed.error);
  const message = parsed.value;
  if (!isObject(message)) return Result.err("a message is no object");
  const decode =
    typeof message["k"] === "string" ? DECODERS.get(message["k"]) : undefined;
  return decode === undefined
    ? Result.err("a message is of no known kind")
    : decodeSafely(() => decode(message, isApplied));
}

type Decoder = (
  message: Readonly<Record<string, unknown>>,
  isApplied: IsAppliedUpdate,
) => Result<PeerMessage, string>;

/** Decoders by the message's key `k`. */
const DECODERS: ReadonlyMap<string, Decoder> = new Map([
  ["n", decodeUpdates],
  [
    "d",
    decoder(DIGEST_CHECKS, (message) => ({
      kind: "digest",
      digest: digestOf(message),
    })),
  ],
  [
    "q",
    decoder(LIMIT_QUERY_CHECKS, (message) => ({
      kind: "limit_query",
      query: limitQueryOf(message),
    })),
  ],
  [
    "a",
    decoder(LIMIT_ANSWER_CHECKS, (message) => ({
      kind: "limit_answer",
      answer: limitAnswerOf(message),
    })),
  ],
  [
    "u",
    decoder(PERMIT_QUERY_CHECKS, (message) => ({
      kind: "permit_query",
      query: permitQueryOf(message),
    })),
  ],
  [
    "v",
    decoder(PERMIT_ANSWER_CHECKS, (message) => ({
      kind: "permit_answer",
      answer: permitAnswerOf(message),
    })),
  ],
  [
    "b",
    decoder(STREAM_CHECKS, (message) => ({
      kind: "stream_begun",
      record: streamOf(message),
    })),
  ],
  [
    "e",
    decoder(STREAM_QUERY_CHECKS, (message) => ({
      kind: "stream_query",
      query: streamQueryOf(message),
    })),
  ],
  [
    "f",
    decoder(STREAM_ANSWER_CHECKS, (message) => ({
      kind: "stream_answer",
      answer: streamAnswerOf(message),
    })),
  ],
  [
    "w",
    decoder(CONFIGURATION_QUERY_CHECKS, ({ a }) => ({
      kind: "configuration_query",
      query: { address: a },
    })),
  ],
  [
    "c",
    decoder(CONFIGURATION_CHECKS, ({ s }) => ({
      kind: "configuration",
      changes: changesOf(s),
    })),
  ],
]);

function decoder<Encoded>(
  checks: FieldChecks<Encoded>,
  messageOf: (encoded: Encoded) => PeerMessage,
): Decoder {
  return (message) => {
    const invalid = invalidKey(checks, message);
    return invalid === undefined
      ? Result.ok(messageOf(message as unknown as Encoded))
      : Result.err(`unexpected value of "${invalid}" in a message`);
  };
}

function plainOf(datagram: Buffer): Result<Buffer, string> {
  if (datagram[0] !== COMPRESSED_MARK) return Result.ok(datagram);
  try {
    return Result.ok(
      inflateRawSync(datagram.subarray(1), {
        maxOutputLength: MAXIMUM_MESSAGE_BYTES,
      }),
    );
  } catch (error) {
    return Result.err(String(error));
  }
}
