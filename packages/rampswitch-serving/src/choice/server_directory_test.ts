// Copyright 2026 the rampswitch authors. Apache-2.0 license.

import { describe, expect, test } from "@jest/globals";
import { type Random, seededRandom } from "rampswitch-utils";
import type { BackendServer } from "../model/backend_server.ts";
import { ServerDirectory } from "./server_directory.ts";
import type { ServerRecord } from "./server_record.ts";
import { backendServerStandin } from "../model/backend_server_standin.ts";

// A restarted server keeps its id and its address, but none of its former state. With
// one record per id, `leavingSince` of the former incarnation was never cleared, and
// its reported load, ejection and failures counted for the new incarnation. Each test
// compares a record with the inputs about its own incarnation only.

const ENTRY: BackendServer = backendServerStandin({ born: 1_000 });

const RESTARTED: BackendServer = { ...ENTRY, born: 2_000 };

const DOWN = { surelyDown: true };

/** A directory with one server that has work, a load report and a failure. */
function directoryWithWork(): {
  readonly directory: ServerDirectory;
  readonly former: ServerRecord;
} {
  const directory = new ServerDirectory();
  directory.put(ENTRY, 0);
  const former = directory.get("s1");
  if (former === undefined) throw new Error("the server is not listed");
  former.started(500);
  former.reported({ running: 6, waiting: 3, slots: 8 }, 0);
  former.failed(0, DOWN);
  const work = { running: 4, pendingPrefillTokens: 900, born: ENTRY.born };
  directory.receivePeerWork("b", { s1: work }, 0);
  return { directory, former };
}

describe("a restarted server", () => {
  test("has a record that takes over nothing", () => {
    const { directory, former } = directoryWithWork();
    directory.put({ ...ENTRY, state: "leaving" }, 0);
    expect(directory.put(RESTARTED, 1)).toEqual({
      kind: "started_again",
      former,
    });
    const record = directory.get("s1");
    expect(record).not.toBe(former);
    expect(record?.load(1)).toBe(0);
    expect(record?.pendingPrefillTokens(1)).toBe(0);
    expect(record?.ownRunning).toBe(0);
    expect(record?.failureShare).toBe(0);
    expect(record?.isEjected(1)).toBe(false);
    expect(record?.leavingSince).toBeUndefined();
    expect(record?.isReady).toBe(true);
    expect(former.ended).toBe(true);
    expect(former.isReady).toBe(false);
    expect(directory.of("models")).toEqual([record]);
  });

  test("ends its former incarnation even if that one's entry was removed", () => {
    const { directory, former } = directoryWithWork();
    directory.remove("s1", 1);
    expect(former.ended).toBe(false);
    directory.put(RESTARTED, 2);
    expect(former.ended).toBe(true);
  });

  test("is not changed by an entry of its former incarnation", () => {
    const { directory } = directoryWithWork();
    directory.put(RESTARTED, 1);
    const record = directory.get("s1");
    expect(directory.put(ENTRY, 2).kind).toBe("former_life");
    expect(directory.get("s1")).toBe(record);
    expect(record?.entry).toEqual(RESTARTED);
    directory.remove("s1", 3);
    expect(directory.put(ENTRY, 4).kind).toBe("former_life");
    expect(directory.get("s1")).toBeUndefined();
  });

  test("is listed for its new service only", () => {
    const { directory } = directoryWithWork();
    directory.put({ ...RESTARTED, service: "other" }, 1);
    expect(directory.of("models")).toEqual([]);
    expect(directory.of("other")).toEqual([directory.get("s1")]);
  });

  test("ignores peers' work at its former incarnation or at an unnamed one", () => {
    const { directory } = directoryWithWork();
    directory.put(RESTARTED, 1);
    const loadAfterUpdate = (born: number | undefined) => {
      directory.receivePeerWork("b", { s1: { ...PEER_WORK, born } }, 1);
      return directory.get("s1")?.load(1);
    };
    expect(
      [ENTRY.born, undefined, RESTARTED.born, 3_000].map(loadAfterUpdate),
    ).toEqual([0, 0, PEER_WORK.running, 0]);
  });
});

const PEER_WORK = { running: 4, pendingPrefillTokens: 900 };

describe("an incarnation whose entry lapsed", () => {
  test("keeps its record and its work", () => {
    const { directory, former } = directoryWithWork();
    directory.remove("s1", 1);
    directory.put(ENTRY, 2);
    expect(directory.get("s1")).toBe(former);
    expect(former).toMatchObject({ isReady: true, leavingSince: undefined });
    expect(directory.of("models")).toEqual([former]);
  });

  test("gets a new record if its entries name no incarnation", () => {
    const directory = new ServerDirectory();
    const entry = { ...ENTRY, born: undefined };
    directory.put(entry, 0);
    const former = directory.get("s1");
    directory.remove("s1", 1);
    directory.put(entry, 2);
    expect(directory.get("s1")).not.toBe(former);
    expect(former?.ended).toBe(false);
  });
});

describe("a deployment that names incarnations", () => {
  test("treats the first named incarnation as a restart", () => {
    const directory = new ServerDirectory();
    directory.put({ ...ENTRY, born: undefined }, 0);
    const former = directory.get("s1");
    expect(directory.put(ENTRY, 1)).toEqual({ kind: "started_again", former });
  });

  test("reports that later entries without an incarnation can't be read", () => {
    const { directory, former } = directoryWithWork();
    const outcome = directory.put({ ...ENTRY, born: undefined }, 1);
    expect(outcome).toEqual({ kind: "without_life", known: former });
  });
});

describe("work that a peer reports", () => {
  // A server that a peer no longer names is idle as far as that peer is concerned.
  test("ends when the peer no longer names the server, also after a lapse of its entry", () => {
    const work = { running: 4, pendingPrefillTokens: 900, born: ENTRY.born };
    const directory = new ServerDirectory();
    directory.put(ENTRY, 0);
    directory.receivePeerWork("b", { s1: work }, 0);
    directory.receivePeerWork("c", { s1: { ...work, running: 1 } }, 0);
    expect(directory.get("s1")?.load(0)).toBe(5);
    directory.receivePeerWork("b", {}, 1);
    expect(directory.get("s1")?.load(1)).toBe(1);
    directory.remove("s1", 1);
    directory.receivePeerWork("c", {}, 1);
    directory.put(ENTRY, 2);
    expect(directory.get("s1")?.load(2)).toBe(1);
    directory.receivePeerWork("c", {}, 2);
    expect(directory.get("s1")?.load(2)).toBe(0);
  });
});

/** Inputs about one incarnation. */
interface IncarnationModel {
  own: number;
  peers: Map<string, number>;
  failed: boolean;
}

/** Expected state of one server in a directory. */
class ServerModel {
  /** Start of the latest named incarnation. */
  born: number | undefined;
  listed = false;
  restarted = false;
  incarnations = new Map<number | undefined, IncarnationModel>();

  /** The current incarnation. */
  get incarnation(): IncarnationModel {
    const incarnation = this.incarnations.get(this.born) ?? {
      own: 0,
      peers: new Map<string, number>(),
      failed: false,
    };
    this.incarnations.set(this.born, incarnation);
    return incarnation;
  }
}

const PEERS = ["b", "c"];
const STEPS = 80;
const SEEDS = 300;

type Step = (
  directory: ServerDirectory,
  model: ServerModel,
  random: Random,
) => void;

/** Lists an entry of a later, an earlier, the same or no incarnation. */
const entryIsListed: Step = (directory, model, random) => {
  const known = model.born ?? 0;
  const drawn = known + random.below(5) - 2;
  const born = random.below(8) === 0 || drawn <= 0 ? undefined : drawn;
  directory.put({ ...ENTRY, born }, 0);
  const missing = born === undefined && model.born !== undefined;
  if (missing || (born ?? 0) < known) return;
  // An unnamed incarnation may be another one after its entry was removed.
  if (!model.listed && born === undefined) model.incarnations.delete(undefined);
  const first = model.incarnations.size === 0 && !model.listed;
  if (born !== model.born && !first) model.restarted = true;
  model.born = born;
  model.listed = true;
};

const entryIsRemoved: Step = (directory, model) => {
  directory.remove("s1", 0);
  model.listed = false;
};

/** Reports work at any incarnation, as peers receive new ones earlier or later. */
const peerReports: Step = (directory, model, random) => {
  const peer = PEERS[random.below(PEERS.length)] ?? "b";
  const running = random.below(6);
  const drawn = (model.born ?? 0) + random.below(3) - 1;
  const born = drawn <= 0 ? undefined : drawn;
  directory.receivePeerWork(
    peer,
    { s1: { running, pendingPrefillTokens: 0, born } },
    0,
  );
  if (!model.listed) return;
  const anyIncarnation = born === undefined && !model.restarted;
  const ofThisIncarnation = anyIncarnation || born === model.born;
  model.incarnation.peers.set(peer, ofThisIncarnation ? running : 0);
};

const runStarts: Step = (directory, model) => {
  directory.get("s1")?.started(0);
  if (model.listed) model.incarnation.own += 1;
};

const sendFails: Step = (directory, model) => {
  directory.get("s1")?.failed(0, DOWN);
  if (model.listed) model.incarnation.failed = true;
};

const ALL_STEPS: readonly Step[] = [
  entryIsListed,
  entryIsListed,
  entryIsRemoved,
  peerReports,
  peerReports,
  runStarts,
  sendFails,
];

describe("any interleaving of entries, updates and sends", () => {
  test("counts for each incarnation only the inputs about it", () => {
    for (let seed = 0; seed < SEEDS; seed += 1) {
      const random = seededRandom(seed);
      const directory = new ServerDirectory();
      const model = new ServerModel();
      for (let step = 0; step < STEPS; step += 1) {
        ALL_STEPS[random.below(ALL_STEPS.length)]?.(directory, model, random);
        const record = directory.get("s1");
        const known = record && {
          born: record.entry.born,
          load: record.load(0),
          own: record.ownRunning,
          failed: record.isEjected(0),
        };
        expect({ seed, step, known }).toEqual({
          seed,
          step,
          known: expectedOf(model),
        });
      }
    }
  });
});

function expectedOf(model: ServerModel): unknown {
  if (!model.listed) return undefined;
  const { own, peers, failed } = model.incarnation;
  const reported = [...peers.values()].reduce(
    (sum, running) => sum + running,
    0,
  );
  return { born: model.born, load: own + reported, own, failed };
}

describe("a server whose entry can't be read", () => {
  test("gets no requests, and does not make runs migrate", () => {
    const directory = new ServerDirectory();
    const leavingIds: string[] = [];
    directory.onLeaving(({ entry }) => leavingIds.push(entry.id));
    directory.put(ENTRY, 0);
    const record = directory.get("s1");
    record?.started(100);
    directory.unreadable("s1");
    expect(directory.of("models")).toEqual([]);
    expect(record?.isReady).toBe(false);
    expect(record?.isReachable(0)).toBe(false);
    // Its work still counts as load of the service.
    expect(directory.load("models", 0)).toBe(1);
    expect(leavingIds).toEqual([]);
    directory.remove("s1", 0);
    expect(leavingIds).toEqual(["s1"]);
  });

  test("has its former state once the entry can be read again", () => {
    const directory = new ServerDirectory();
    directory.put(ENTRY, 0);
    const record = directory.get("s1");
    record?.failed(0, { surelyDown: false });
    const share = record?.failureShare;
    directory.unreadable("s1");
    directory.put(ENTRY, 10);
    expect(directory.of("models")).toEqual([record]);
    expect(record?.isReady).toBe(true);
    expect(record?.failureShare).toBe(share);
  });

  test("is ignored if it was not listed before", () => {
    const directory = new ServerDirectory();
    directory.unreadable("s1");
    expect(directory.size).toBe(0);
    directory.put(ENTRY, 0);
    expect(directory.of("models").length).toBe(1);
  });
});

describe("a server whose entry names another service", () => {
  test("is removed from its former service", () => {
    const directory = new ServerDirectory();
    directory.put(ENTRY, 0);
    directory.put({ ...ENTRY, service: "others" }, 0);
    expect(directory.of("models")).toEqual([]);
    expect(directory.of("others").length).toBe(1);
  });
});

// Guards against memory and work that grow with each host that ended with requests.
test("work of hosts that ended is forgotten during 10,000 replacements in an hour", () => {
  const directory = new ServerDirectory();
  directory.put(ENTRY, 0);
  const work = { running: 1, pendingPrefillTokens: 0, born: ENTRY.born };
  const known = Array.from({ length: 10_000 }, (_, index) => {
    directory.receivePeerWork(`replaced-${index}`, { s1: work }, index * 360);
    return [directory.peersWithWork, directory.get("s1")?.peersWithWork ?? 0];
  });
  expect(Math.max(...known.flat())).toBeLessThan(1_000);
});
