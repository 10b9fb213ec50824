// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Streams and the versions of the servers that began them: a stream continues only at
 * the version that began it, whichever host its caller comes to.
 *
 * @module
 */
export { BegunStreams, streamName, type StreamKey } from "./begun_streams.ts";
export {
  type StreamOrigin,
  type StreamOriginSource,
  StreamOrigins,
  type StreamOriginsParts,
} from "./stream_origins.ts";
export type { StreamRecord, StreamReply } from "./stream_reply.ts";
export { KeeperRings } from "./stream_keepers.ts";
export { VersionHistory } from "./version_history.ts";
