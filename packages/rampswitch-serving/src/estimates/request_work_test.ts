// Copyright 2026 the rampswitch authors. Apache-2.0 license.

import { describe, expect, test } from "@jest/globals";
import fc from "fast-check";
import { seededRandom } from "rampswitch-utils";
import { WorkEstimates, type WorkRequest } from "./request_work.ts";

const ENGINE = { slots: 64, memoryTokens: 559_203, migratable: true };

function request(
  route: string,
  head: Partial<WorkRequest["head"]> = {},
  service = "models",
): WorkRequest {
  return {
    service: { name: service, engine: ENGINE },
    route: { name: route },
    head: {
      promptTokens: undefined,
      promptParts: [],
      maximumAnswerTokens: undefined,
      expectedAnswerTokens: undefined,
      ...head,
    },
  };
}

function plain(route: string, service = "plain"): WorkRequest {
  return { ...request(route), service: { name: service, engine: undefined } };
}

function repeat(times: number, run: (index: number) => void): void {
  Array.from({ length: times }).forEach((_, index) => run(index));
}

describe("hold time of a slot", () => {
  test("is 1,000 ms before the first measurement of a service", () => {
    const work = new WorkEstimates();
    expect(work.of(plain("a")).holdMilliseconds).toBe(1_000);
    expect(work.meanHoldMilliseconds("plain")).toBe(1_000);
  });

  test("is estimated by service", () => {
    const work = new WorkEstimates();
    repeat(200, () =>
      work.addMeasurement(plain("a", "models"), { holdMilliseconds: 400 }),
    );
    expect(work.meanHoldMilliseconds("models")).toBeCloseTo(400, -1);
    expect(work.meanHoldMilliseconds("other")).toBe(1_000);
  });

  test("stays within its bounds for all measurements", () => {
    fc.assert(
      fc.property(fc.array(fc.double({ noNaN: true })), (measured) => {
        const work = new WorkEstimates();
        const one = plain("a");
        measured.forEach((holdMilliseconds) =>
          work.addMeasurement(one, { holdMilliseconds }),
        );
        const { holdMilliseconds } = work.of(one);
        expect(holdMilliseconds).toBeGreaterThanOrEqual(5);
        expect(holdMilliseconds).toBeLessThanOrEqual(30_000);
        const mean = work.meanHoldMilliseconds("plain");
        expect(mean).toBeGreaterThanOrEqual(5);
        expect(mean).toBeLessThanOrEqual(30_000);
      }),
    );
  });

  // The first measurement replaces the value of 1,000 ms, which is only a guess.
  test("has the first measurement's value after it", () => {
    const work = new WorkEstimates();
    work.addMeasurement(plain("a"), { holdMilliseconds: 20 });
    expect(work.of(plain("a")).holdMilliseconds).toBe(20);
  });
});

describe("a route", () => {
  test("that is new begins with the service's mean", () => {
    const work = new WorkEstimates();
    repeat(100, () =>
      work.addMeasurement(plain("a"), { holdMilliseconds: 40 }),
    );
    expect(work.of(plain("new")).holdMilliseconds).toBeCloseTo(40);
    work.addMeasurement(plain("new"), { holdMilliseconds: 400 });
    expect(work.of(plain("new")).holdMilliseconds).toBe(400);
    expect(work.of(plain("a")).holdMilliseconds).toBeCloseTo(40);
  });

  // Requests of a removed route still end, and it may be added again soon.
  test("that was removed is dropped after a minute", () => {
    const work = new WorkEstimates();
    const measure = (route: string, holdMilliseconds: number) =>
      repeat(100, () =>
        work.addMeasurement(plain(route), { holdMilliseconds }),
      );
    const hold = (route: string) => work.of(plain(route)).holdMilliseconds;
    work.configured(["a", "b"], 0);
    measure("a", 40);
    measure("b", 400);
    work.configured(["b"], 1_000);
    work.dropRemoved(60_999);
    expect(hold("a")).toBeCloseTo(40);
    work.dropRemoved(61_000);
    expect(hold("a")).toBeGreaterThan(100);
    measure("a", 40);
    expect(hold("a")).toBeGreaterThan(50);
    expect(hold("b")).toBeCloseTo(400);
  });

  test("that is added again within a minute keeps its estimates", () => {
    const work = new WorkEstimates();
    work.configured(["a", "b"], 0);
    work.addMeasurement(plain("a"), { holdMilliseconds: 40 });
    work.addMeasurement(plain("b"), { holdMilliseconds: 400 });
    work.configured(["b"], 1_000);
    work.configured(["a", "b"], 2_000);
    work.dropRemoved(100_000);
    expect(work.of(plain("a")).holdMilliseconds).toBe(40);
  });
});

// Long digests and short drafts share the engines, and drafts rise by a
// factor of 2.5 within a second. One hold time for both made hosts refuse digests.
describe("long digests beside a burst of short drafts", () => {
  const DIGEST = { promptTokens: 12_000, tokens: 400, milliseconds: 1_300 };
  const DRAFT = { promptTokens: 2_400, tokens: 20, milliseconds: 110 };
  const TOKENS_PER_EVENT = 7;
  const TOKENS_PER_MILLISECOND = 48;

  /** Estimates after ten seconds, with a rate of drafts per digest. */
  function after(draftsPerDigest: number) {
    const work = new WorkEstimates();
    const random = seededRandom(7);
    const answer = (
      route: string,
      kind: typeof DIGEST,
      noise: () => number,
    ) => {
      const one = request(route, {
        promptTokens: kind.promptTokens,
        expectedAnswerTokens: kind.tokens * (0.5 + noise()),
      });
      const prefill = kind.promptTokens / TOKENS_PER_MILLISECOND;
      work.addPrefill("models", {
        tokens: kind.promptTokens,
        milliseconds: 12 + prefill,
      });
      work.addMeasurement(one, {
        holdMilliseconds: prefill + kind.milliseconds * (0.8 + 0.4 * noise()),
        prefillTokens: kind.promptTokens,
        events: Math.ceil(kind.tokens / TOKENS_PER_EVENT),
      });
    };
    const digestNoise = seededRandom(8);
    // Before the burst, two drafts come with each digest.
    const digestWithDrafts = (drafts: number) => {
      answer("digests", DIGEST, () => digestNoise.next());
      repeat(drafts, () => answer("drafts", DRAFT, () => random.next()));
    };
    repeat(400, () => digestWithDrafts(2));
    repeat(400, () => digestWithDrafts(draftsPerDigest));
    const estimate = (route: string, { promptTokens }: typeof DIGEST) =>
      work.of(request(route, { promptTokens }));
    return {
      work,
      digest: estimate("digests", DIGEST),
      draft: estimate("drafts", DRAFT),
    };
  }

  test("keep their estimates, and so do the drafts", () => {
    const steady = after(2);
    const burst = after(5);
    expect(burst.digest).toEqual(steady.digest);
    expect(burst.draft.holdMilliseconds).toBeCloseTo(
      steady.draft.holdMilliseconds,
      -1,
    );
    expect(burst.draft.prefillMilliseconds).toBeCloseTo(
      steady.draft.prefillMilliseconds,
      0,
    );
  });

  test("are estimated by what they take", () => {
    const { digest, draft } = after(5);
    expect(digest.prefillTokens).toBe(12_000);
    expect(digest.prefillMilliseconds / 250).toBeCloseTo(1, 1);
    expect(digest.holdMilliseconds / 1_550).toBeCloseTo(1, 1);
    expect(digest.answerTokens / 400).toBeCloseTo(1, 0);
    expect(digest.memoryTokens).toBeGreaterThan(12_300);
    expect(draft.holdMilliseconds / 160).toBeCloseTo(1, 1);
    expect(draft.answerTokens / 20).toBeCloseTo(1, 0);
  });

  test("change the service's mean within two seconds of sends", () => {
    const { work, digest, draft } = after(5);
    const one = {
      digest: request("digests", { promptTokens: DIGEST.promptTokens }),
      draft: request("drafts", { promptTokens: DRAFT.promptTokens }),
    };
    // 125 digests a second, and drafts at 250 a second, later at 625 a second.
    const second = (from: number, drafts: number) =>
      repeat(125, (index) => {
        const now = from + 8 * index;
        work.sent(one.digest, now);
        repeat(drafts, () => work.sent(one.draft, now));
      });
    const mean = (drafts: number) =>
      (digest.holdMilliseconds + drafts * draft.holdMilliseconds) /
      (1 + drafts);
    [10, 11, 12, 13].forEach((at) => second(1_000 * at, 2));
    expect(work.meanHoldMilliseconds("models")).toBeCloseTo(mean(2), 0);
    [14, 15].forEach((at) => second(1_000 * at, 5));
    expect(work.meanHoldMilliseconds("models")).toBeCloseTo(mean(5), 0);
  });
});

describe("the length hint", () => {
  function answerTokens(head: Partial<WorkRequest["head"]>): number {
    const work = new WorkEstimates();
    repeat(50, () =>
      work.addMeasurement(request("a", { expectedAnswerTokens: 100 }), {
        holdMilliseconds: 500,
        events: 20,
      }),
    );
    return work.of(request("a", head)).answerTokens;
  }

  test("is one sample beside the mean of the route", () => {
    expect(answerTokens({})).toBeCloseTo(100);
    expect(answerTokens({ expectedAnswerTokens: 200 })).toBeCloseTo(150);
  });

  // Hints are often far off.
  test.each([
    [0, 100],
    [-50, 100],
    [NaN, 100],
    [1, 62.5],
    [1e12, 250],
  ])("of %s is bounded", (expectedAnswerTokens, expected) => {
    expect(answerTokens({ expectedAnswerTokens })).toBeCloseTo(expected);
  });

  test("is bounded by the maximum of output tokens", () => {
    const head = { expectedAnswerTokens: 390, maximumAnswerTokens: 80 };
    expect(answerTokens(head)).toBe(80);
  });

  test("lengthens the hold time, but not the prefill", () => {
    const work = new WorkEstimates();
    const prompt = { promptTokens: 4_000 };
    repeat(50, () =>
      work.addMeasurement(
        request("a", { ...prompt, expectedAnswerTokens: 100 }),
        { holdMilliseconds: 500, prefillTokens: 4_000, events: 20 },
      ),
    );
    const usual = work.of(request("a", prompt));
    const long = work.of(
      request("a", { ...prompt, expectedAnswerTokens: 300 }),
    );
    expect(long.prefillMilliseconds).toBe(usual.prefillMilliseconds);
    expect(long.holdMilliseconds - usual.holdMilliseconds).toBeCloseTo(
      usual.holdMilliseconds - usual.prefillMilliseconds,
    );
  });

  // A caller with absurd hints must not change the estimates of all others.
  test("of absurd values hardly changes the mean", () => {
    const work = new WorkEstimates();
    repeat(400, (index) =>
      work.addMeasurement(
        request("a", { expectedAnswerTokens: index % 20 === 0 ? 1e12 : 100 }),
        { holdMilliseconds: 500, events: 20 },
      ),
    );
    const { answerTokens: mean } = work.of(request("a"));
    expect(mean).toBeGreaterThan(80);
    expect(mean).toBeLessThan(135);
  });
});

describe("prompts", () => {
  test("that engines have cached in part need less prefill", () => {
    const work = new WorkEstimates();
    const one = request("a", { promptTokens: 10_000 });
    repeat(50, () =>
      work.addMeasurement(one, { holdMilliseconds: 500, prefillTokens: 2_500 }),
    );
    expect(work.of(one).prefillTokens).toBeCloseTo(2_500);
    expect(work.of(one).memoryTokens).toBe(10_000);
  });

  // One request with false figures must not make the estimates of all others unusable.
  test.each([
    {
      promptParts: [
        { id: "x", tokens: 1.7e308 },
        { id: "y", tokens: 1.7e308 },
      ],
    },
    { promptParts: [{ id: "x", tokens: -1e9 }] },
    { promptTokens: 1.7e308 },
    { promptTokens: 10, expectedAnswerTokens: 1.7e308 },
  ])("of absurd sizes leave estimates in bounds (%j)", (head) => {
    const work = new WorkEstimates();
    const absurd = request("a", head);
    const prompt = (head.promptParts ?? []).reduce(
      (sum, { tokens }) => sum + tokens,
      head.promptTokens ?? 0,
    );
    repeat(5, () => {
      work.sent(absurd, 0);
      work.addPrefill("models", { tokens: prompt, milliseconds: 100 });
      work.addMeasurement(absurd, {
        holdMilliseconds: 400,
        prefillTokens: prompt,
        events: 10,
      });
    });
    work.addPrefill("models", { tokens: 100, milliseconds: 20 });
    work.addPrefill("models", { tokens: prompt, milliseconds: 100 });
    const others = work.of(request("b", { promptTokens: 8_000 }));
    [work.of(absurd), others].forEach((estimated) => {
      Object.values(estimated).forEach((value: number) => {
        expect(value).toBeGreaterThanOrEqual(0);
        expect(value).toBeLessThanOrEqual(1e8);
      });
    });
    expect(work.prefillRate("models")).toBeGreaterThanOrEqual(10);
    expect(work.prefillRate("models")).toBeLessThanOrEqual(200);
  });

  // Requests without a prompt say nothing about the share that engines have cached.
  test("are measured with full weight after requests without a prompt", () => {
    const work = new WorkEstimates();
    const noPrompt = request("a", { promptTokens: 0 });
    repeat(100, () =>
      work.addMeasurement(noPrompt, {
        holdMilliseconds: 100,
        prefillTokens: 0,
      }),
    );
    const prompt = request("a", { promptTokens: 8_000 });
    work.addMeasurement(prompt, {
      holdMilliseconds: 200,
      prefillTokens: 2_000,
    });
    const other = request("b", { promptTokens: 8_000 });
    expect(work.of(other).prefillTokens).toBeCloseTo(2_000);
  });

  test("of another size have estimates of their own", () => {
    const work = new WorkEstimates();
    const long = request("a", { promptTokens: 40_000 });
    const short = request("a", { promptTokens: 600 });
    repeat(50, () => {
      work.addMeasurement(long, {
        holdMilliseconds: 2_000,
        prefillTokens: 40_000,
      });
      work.addMeasurement(short, {
        holdMilliseconds: 100,
        prefillTokens: 600,
      });
    });
    expect(work.of(long).holdMilliseconds).toBeCloseTo(2_000);
    expect(work.of(short).holdMilliseconds).toBeCloseTo(100);
  });

  test("without a number of tokens count by their parts", () => {
    const work = new WorkEstimates();
    const promptParts = [
      { id: "a", tokens: 500 },
      { id: "b", tokens: 100 },
    ];
    expect(work.of(request("a", { promptParts })).memoryTokens).toBe(600);
  });
});

describe("the error of the estimates", () => {
  test("is a share of the estimates", () => {
    const work = new WorkEstimates();
    repeat(400, (index) =>
      work.addMeasurement(plain("a"), {
        holdMilliseconds: index % 2 === 0 ? 80 : 120,
      }),
    );
    expect(work.errorRatio).toBeCloseTo(0.2, 1);
  });
});
