// Copyright 2026 the rampswitch authors. Apache-2.0 license.

import { describe, expect, test } from "@jest/globals";
import type { LeavingMark } from "rampswitch-configuration";
import { PeerClients, PeerTokens } from "rampswitch-peer";
import { RETRY_LIMITS, RoutingTable } from "rampswitch-policy";
import { inDoubt, refused, type Resource } from "rampswitch-types";
import {
  createMetrics,
  ManualClock,
  seededRandom,
  SILENT_LOGGER,
} from "rampswitch-utils";
import { Result } from "true-myth";
import { RetryDecider } from "../admission/retry_decider.ts";
import { BackendDirectory } from "../choice/backend_directory.ts";
import { AnswerCache, type RequestEnvelope } from "../outcome/answer_cache.ts";
import { ReplicaLinks } from "../replication/replica_link.ts";
import { recoverRequests } from "../replication/request_recovery.ts";
import { RequestReplication } from "../replication/request_replication.ts";
import {
  type BackendCall,
  BackendClient,
  type CallFailure,
} from "./backend_client.ts";
import { ChatRunner } from "./chat_runner.ts";

const SELF = "entry-1";
const SERVER_COUNT = 12;
const DEADLINE_MILLISECONDS = 60_000;
/** Too short for the answer to complete at the reclaimed server. */
const NOTICE_MILLISECONDS = 1_000;
const LIMITS = {
  answerBytes: 1_000_000,
  answersBytes: 1_000_000,
  retentionMilliseconds: 60_000,
};

const LOST = inDoubt("backend_lost", "the server is lost");
const UNREACHED = refused("connect_failed", "the server is not reached");

/**
 * Servers that fail every request sent to them at once, and send nothing while
 * an attempt is resumed. Records the sends.
 */
class FailingServers extends BackendClient {
  readonly sends: string[] = [];
  readonly #failure: CallFailure;

  constructor(failure: CallFailure) {
    super();
    this.#failure = failure;
  }

  override async call(address: string, call: BackendCall) {
    if (call.method === "POST") this.sends.push(address);
    if (call.method === "GET") await aborted(call.signal);
    return Result.err<never, CallFailure>(this.#failure);
  }
}

function aborted(signal: AbortSignal | undefined): Promise<void> {
  return new Promise((resolve) => {
    signal?.addEventListener("abort", () => resolve());
  });
}

const RESOURCES: readonly Resource[] = [
  {
    kind: "Service",
    name: "assistant",
    labels: {},
    type: "model",
    calls: [],
    targetMilliseconds: 1_000,
    timeoutMilliseconds: DEADLINE_MILLISECONDS,
    weights: { cost: 1, recomputedTokens: 1 },
  },
  {
    kind: "Workspace",
    name: "landlords",
    labels: {},
    keyHashes: [],
    weight: 1,
    priority: 0,
  },
  ...Array.from({ length: SERVER_COUNT }, (_, index): Resource => ({
    kind: "BackendServer",
    name: `engine-${index}`,
    labels: {},
    service: "assistant",
    host: `host-${index}`,
    address: `engine-${index}`,
    dataHall: "hall-a",
    hostClass: "spot",
    concurrency: 16,
    contract: {
      checksOrderEpoch: true,
      resumesStreams: true,
      movesKeyValueCache: false,
      tellsNotRun: true,
    },
    draining: false,
  })),
];

const ENVELOPE: RequestEnvelope = {
  id: "r1.a",
  slot: 1,
  key: "r1.a",
  workspace: "landlords",
  service: "assistant",
  body: Buffer.from(
    JSON.stringify({
      model: "assistant",
      stream: true,
      messages: [{ role: "user", content: "x" }],
    }),
  ),
  deadline: DEADLINE_MILLISECONDS,
  streamed: true,
  fingerprint: "f",
};

/** Creates a runner on one host whose servers all fail, and a request. */
function newRunner(failure: CallFailure = LOST, resources = RESOURCES) {
  const clock = new ManualClock();
  const metrics = createMetrics("test", undefined);
  const random = seededRandom(1);
  const routing = new RoutingTable(resources);
  const client = new FailingServers(failure);
  const marks = new Map<string, LeavingMark>();
  const book = new AnswerCache(clock, metrics, LIMITS);
  const shared = { clock, metrics, random, client, routing: () => routing };
  const directory = new BackendDirectory({
    ...shared,
    logger: SILENT_LOGGER,
    marks: () => marks,
    hostNames: () => [SELF],
    selfName: SELF,
    onLeaving: () => undefined,
  });
  const links = new ReplicaLinks({
    self: SELF,
    logger: SILENT_LOGGER,
    clients: new PeerClients(new PeerTokens("secret", SELF), clock),
    clock,
    metrics,
    listener: {
      answered: () => undefined,
      failed: () => undefined,
      addressOf: () => undefined,
    },
  });
  const replication = new RequestReplication({
    self: SELF,
    mode: "batch",
    links,
    answerCache: book,
    clock,
    metrics,
    holders: () => [],
    epochOf: () => 1,
  });
  const runner = new ChatRunner({
    ...shared,
    self: SELF,
    directory,
    replication,
    retries: new RetryDecider(shared),
    logger: SILENT_LOGGER,
  });
  const answer = book.open(ENVELOPE, SELF);
  /** Marks the host of a server as leaving. */
  const reclaim = (server: string) => {
    const since = clock.now();
    const mark: LeavingMark = {
      host: server.replace("engine", "host"),
      source: "cloud_notice",
      since,
      deadline: since + NOTICE_MILLISECONDS,
    };
    marks.set(mark.host, mark);
    runner.leaving([mark]);
  };
  return { runner, answer, routing, clock, client, metrics, reclaim };
}

/** Waits until all pending callbacks have run. */
function settle(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}

/** Advances through more waits than the attempt limit allows; acts in each. */
async function advanceThroughWaits(
  clock: ManualClock,
  duringWait: () => void = () => undefined,
): Promise<void> {
  for (let round = 0; round < SERVER_COUNT; round += 1) {
    await settle();
    duringWait();
    clock.advance(RETRY_LIMITS.maximumWaitMilliseconds);
  }
}

// Guards against sends beyond the retry limit. An engine is lost, and the notice
// that its host is reclaimed arrives while the request waits for its next
// attempt, for example in a reclaimed data hall. There is no attempt to migrate.
// If the notice starts a migration anyway, the next attempt's failure is taken
// for the end of the migration: it uses no retry budget, counts against no limit
// and is followed at once by another send. With a notice in each wait, a request
// is sent about twice as often as the limit allows, outside the retry budget.
// The same happens after a migration from an attempt that was only resumed.
describe("a reclaim notice while no attempt was sent", () => {
  test("leaves the limit and the budget of retries in force", async () => {
    const { runner, answer, clock, client, metrics, reclaim } = newRunner();
    const run = runner.run(answer, "new");
    await advanceThroughWaits(clock, () => {
      const server = client.sends.at(-1);
      if (answer.outcome === undefined && server !== undefined) reclaim(server);
    });
    await run;
    const totals = metrics.totals();
    expect(answer.outcome).toMatchObject({ reason: "backend_lost" });
    expect(client.sends).toHaveLength(RETRY_LIMITS.maximumAttempts);
    expect(totals["retry.backend_lost"]).toBe(RETRY_LIMITS.maximumAttempts - 1);
    expect(totals["retry.backend_reclaimed"]).toBeUndefined();
  });

  test("ends only the resumed stream of a former attempt", async () => {
    const { runner, answer, clock, client, reclaim } = newRunner();
    answer.attempt = { attempt: "r1.a.entry-2.1", server: "engine-0" };
    const run = runner.run(answer, "new");
    await settle();
    reclaim("engine-0");
    await advanceThroughWaits(clock);
    await run;
    expect(client.sends).toHaveLength(RETRY_LIMITS.maximumAttempts);
  });
});

// A host reports to the holders of a slot where it sends a request, and calls the
// engine without waiting for their acknowledgement. If the host is lost in
// between, the slot's next primary has the request without an attempt, although
// an engine may run it. If no server is available or the deadline has passed, an
// outcome based only on the new primary's own attempts is "not run", although
// the request may have run.
describe("a request taken over without a known attempt", () => {
  /** Takes the request over from a lost host and runs it to its outcome. */
  async function takeOver(at: number, resources = RESOURCES) {
    const { runner, answer, routing, clock, metrics } = newRunner(
      UNREACHED,
      resources,
    );
    answer.runner = "entry-2";
    clock.advance(at);
    recoverRequests({
      self: SELF,
      answerCache: { all: [answer], discard: () => undefined },
      slots: {
        primarySlots: [ENVELOPE.slot],
        recordOf: () => undefined,
        finish: () => undefined,
      },
      chat: runner,
      metrics,
      routing: () => routing,
      trusts: () => false,
    });
    await advanceThroughWaits(clock);
    return answer.outcome?.kind;
  }

  test("is in doubt when no server is reached", async () => {
    expect(await takeOver(0)).toBe("in_doubt");
  });

  test("is in doubt when its deadline has passed", async () => {
    expect(await takeOver(DEADLINE_MILLISECONDS)).toBe("in_doubt");
  });

  test("is in doubt when its workspace was removed", async () => {
    const withoutWorkspaces = RESOURCES.filter(
      ({ kind }) => kind !== "Workspace",
    );
    expect(await takeOver(0, withoutWorkspaces)).toBe("in_doubt");
  });
});

describe("a request of this host", () => {
  test("is refused when no server is reached", async () => {
    const { runner, answer, clock } = newRunner(UNREACHED);
    const run = runner.run(answer, "new");
    await advanceThroughWaits(clock);
    await run;
    expect(answer.outcome).toMatchObject(UNREACHED);
  });
});
