// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Services whose engines run streams of one kind and report no speed choose as before
 * long prompts were placed by the streams that they delay.
 */
import { describe, expect, test } from "@jest/globals";
import { rendezvousOrder, seededRandom, type Random } from "rampswitch-utils";
import { type ChoiceInputs, chooseServer } from "./choose_server.ts";
import { PrefixCacheEstimate } from "./prefix_cache_estimate.ts";
import { ServerRecord } from "./server_record.ts";

const NOW = 50_000;
const RATE = 48;
const SLOTS = 8;

interface Situation {
  readonly records: readonly ServerRecord[];
  readonly prefixes: PrefixCacheEstimate;
  readonly inputs: Omit<ChoiceInputs, "draw">;
}

function situation(random: Random): Situation {
  const records = Array.from({ length: 1 + random.below(12) }, (_, at) =>
    randomServer(`s${at}`, random),
  );
  const parts = [
    { id: `system${random.below(3)}`, tokens: 500 },
    { id: `subject${random.below(4)}`, tokens: 4_000 },
    { id: "own", tokens: 100 + random.below(9_000) },
  ];
  const prefixes = new PrefixCacheEstimate();
  records.forEach(({ entry }) => {
    const known = parts.slice(0, random.below(3));
    if (known.length > 0) prefixes.stored(entry.id, known, 500_000);
  });
  return {
    records,
    prefixes,
    inputs: {
      now: NOW,
      dataHall: "a",
      engine: {
        slots: SLOTS,
        memoryTokens: 500_000,
        migratable: true,
        copyTokensPerMillisecond: random.below(2) === 0 ? undefined : 1_000,
      },
      parts,
      promptTokens: parts.reduce((sum, { tokens }) => sum + tokens, 0),
      readingRate: RATE,
      excluded: new Set(),
      maximumOwnRequests: 100,
      receivesDispatches: random.below(2) === 0,
      leavingGraceMilliseconds: 0,
    },
  };
}

function randomServer(id: string, random: Random): ServerRecord {
  const record = new ServerRecord({
    id,
    service: "models",
    address: "127.0.0.1:1",
    dataHall: random.below(2) === 0 ? "a" : "b",
    slots: SLOTS,
    state: random.below(8) === 0 ? "leaving" : "ready",
    version: "v1",
    reclaimable: true,
    born: 1,
  });
  const running = random.below(16);
  const pendingPrefillTokens = random.below(20_000);
  record.receivePeerWork("peer", { running, pendingPrefillTokens }, NOW);
  if (random.below(6) === 0) record.failed(NOW, { surelyDown: false });
  if (random.below(9) === 0) record.failed(NOW, { surelyDown: true });
  return record;
}

/** Returns the id that the former rule chooses; the first of equal servers. */
function formerChoice(
  { records, prefixes, inputs }: Situation,
  random: Random,
) {
  const ready = records.filter((record) => record.isReady);
  const healthy = ready.filter((record) => !record.isEjected(NOW));
  const usable = healthy.length > 0 ? healthy : ready;
  const free = usable.filter((record) => record.load(NOW) < SLOTS * 1.75);
  const shared = inputs.parts.slice(0, -1);
  const cached = ({ entry }: ServerRecord) =>
    prefixes.cachedTokens(entry.id, shared);
  const most = Math.max(0, ...free.map(cached));
  const ids = free.map(({ entry }) => entry.id);
  const home = rendezvousOrder(shared.at(-1)?.id ?? "", ids)[0];
  const isPreferred = (record: ServerRecord) =>
    inputs.receivesDispatches && most > 0
      ? cached(record) === most
      : record.entry.id === home;
  const time = (record: ServerRecord) => {
    const assumed =
      isPreferred(record) && !inputs.receivesDispatches ? 0.6 * 4_500 : 0;
    const known = prefixes.cachedTokens(record.entry.id, inputs.parts);
    const own = Math.max(0, inputs.promptTokens - Math.max(known, assumed));
    const load = record.load(NOW);
    return (
      (record.pendingPrefillTokens(NOW) + own) / RATE +
      load * 1.5 +
      Math.max(0, load + 1 - SLOTS) * 60 +
      (record.entry.dataHall === "a" ? 0 : 6) +
      record.failureShare * 600 -
      (isPreferred(record) ? 200 : 0)
    );
  };
  const compared =
    inputs.receivesDispatches || free.length <= 3
      ? free
      : [...new Set([...free.filter(isPreferred), ...sample(free, random)])];
  return compared.toSorted((left, right) => time(left) - time(right))[0]?.entry
    .id;
}

/** Draws three servers. */
function sample(
  free: readonly ServerRecord[],
  random: Random,
): readonly ServerRecord[] {
  const remaining = [...free];
  return Array.from({ length: 3 }).flatMap(() =>
    remaining.splice(Math.floor(random.next() * remaining.length), 1),
  );
}

describe("a service without a placement", () => {
  test("chooses as before, whatever its servers do", () => {
    const random = seededRandom(77);
    let chosen = 0;
    Array.from({ length: 2_000 }).forEach((_, seed) => {
      const current = situation(random);
      const draws = seededRandom(seed);
      const outcome = chooseServer(current.records, current.prefixes, {
        ...current.inputs,
        draw: () => draws.next(),
      });
      const expected = formerChoice(current, seededRandom(seed));
      if (outcome.kind !== "chosen") {
        expect(expected).toBeUndefined();
        return;
      }
      chosen += 1;
      expect(outcome.choice.record.entry.id).toBe(expected);
      expect(outcome.candidates).toBeUndefined();
    });
    expect(chosen).toBeGreaterThan(1_500);
  });
});
