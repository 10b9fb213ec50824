// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Streams and the versions of the servers that began them: a stream continues only at
 * the version that began it, whichever host its caller comes to.
 *
 * @module
 */
export { streamName, type StreamKey } from "./begun_streams.ts";
export { OriginArchive, type OriginArchiveParts } from "./origin_archive.ts";
export type { StreamOrigin } from "./stream_origin.ts";
export { StreamOrigins, type StreamOriginsParts } from "./stream_origins.ts";
export { namesVersion, NO_STREAM_REPLIES } from "./stream_reply.ts";
export type {
  HostReply,
  StreamRecord,
  StreamReplies,
  StreamReply,
} from "./stream_reply.ts";
export { KeeperRings } from "./stream_keepers.ts";
export type { KeeperState, KeeperStates } from "./untold_streams.ts";
