// Copyright 2026 the rampswitch authors. Apache-2.0 license.

import { describe, expect, test } from "@jest/globals";
import { seededRandom } from "rampswitch-utils";
import { ServerRecord } from "./server_record.ts";
import { backendServerStandin } from "../model/backend_server_standin.ts";

const LIFETIME_MILLISECONDS = 1_500;

describe("work of peers at a server", () => {
  // The totals are retained between updates: one that outlives a peer's work would
  // keep a server out of use after that peer has ended.
  test("is the sum of what each reported last, until that expires", () => {
    const random = seededRandom(11);
    const record = new ServerRecord(backendServerStandin());
    const reported = new Map<string, { running: number; at: number }>();
    let now = 0;
    Array.from({ length: 2_000 }).forEach(() => {
      now += random.below(400);
      const peer = `h${random.below(6)}`;
      const running = random.below(4);
      const change = random.below(3);
      if (change === 0) {
        const work = { running, pendingPrefillTokens: 100 * running };
        record.receivePeerWork(peer, work, now);
        reported.set(peer, { running, at: now });
      } else if (change === 1) {
        record.receivePeerWork(peer, undefined, now);
        reported.delete(peer);
      }
      const expected = [...reported.values()]
        .filter(({ at }) => now - at < LIFETIME_MILLISECONDS)
        .reduce((sum, work) => sum + work.running, 0);
      expect(record.load(now)).toBe(expected);
      expect(record.pendingPrefillTokens(now)).toBe(100 * expected);
    });
  });
});
