// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Builds what one host knows of the versions that began streams, and the archive in
 * which it survives the host.
 *
 * @module
 */
import type { Ownership } from "rampswitch-utils";
import {
  OriginArchive,
  type OriginArchiveParts,
  StreamOrigins,
  type StreamOriginsParts,
} from "./streams/mod.ts";

/** Dependencies of a host's streams. */
export interface HostStreamsParts
  extends
    Omit<StreamOriginsParts, "readStored">,
    Omit<OriginArchiveParts, "origins" | "prefix"> {
  /** Prefix of the keys of what the store keeps of streams. */
  readonly streamsPrefix: string;
}

/** What one host knows of the versions that began streams. */
export interface HostStreams {
  readonly origins: StreamOrigins;
  readonly archive: OriginArchive;
}

/** Creates the origins of streams; `ownership` ends their archive with the host. */
export function createStreams(
  parts: HostStreamsParts,
  ownership: Ownership,
): HostStreams {
  const origins: StreamOrigins = new StreamOrigins({
    ...parts,
    tell: (record) => {
      parts.tell(record);
      // What others are told of is what the store has to keep.
      archive.storeSoon();
    },
    readStored: () => archive.read(),
  });
  const archive: OriginArchive = ownership.own(
    new OriginArchive({ ...parts, origins, prefix: parts.streamsPrefix }),
  );
  return { origins, archive };
}
