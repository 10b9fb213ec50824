// Copyright 2026 the rampswitch authors. Apache-2.0 license.

import { describe, expect, test } from "@jest/globals";
import { Result } from "true-myth";
import { ManualClock, seededRandom, SILENT_LOGGER } from "rampswitch-utils";
import type { ObjectStore, StoredObject, StoreError } from "rampswitch-store";
import { ServingMetrics } from "../observation/mod.ts";
import type { RolloutSpecAdapter, StoredRolloutState } from "./rollout_spec.ts";
import { singleHostRollouts } from "./rollout_standin.ts";
import { RolloutStore } from "./rollout_store.ts";
import type { Rollouts } from "./rollouts.ts";

const SERVICE = "models";
const KEY = `rollouts/${SERVICE}`;
const SPEC = {
  service: SERVICE,
  toVersion: "v2",
  durationMilliseconds: 12_000,
};

/** A store with one spec, which may lose answers. */
class Fixture implements AsyncDisposable {
  readonly clock = new ManualClock(100_000);
  readonly rollouts: Rollouts = singleHostRollouts();
  readonly stored: StoredRolloutState[] = [];
  lists = 0;
  version = 5;
  losesAnswers = false;
  isHolder = false;
  readonly #store: RolloutStore;

  constructor() {
    this.#store = new RolloutStore({
      rollouts: this.rollouts,
      adapter: this.#adapter(),
      store: this.#objects(),
      clock: this.clock,
      random: seededRandom(1),
      logger: SILENT_LOGGER,
      metrics: new ServingMetrics(),
      receivesSpecs: () => false,
      holdsDuties: () => this.isHolder,
    });
  }

  get store(): RolloutStore {
    return this.#store;
  }

  async pass(milliseconds: number): Promise<void> {
    this.clock.advance(milliseconds);
    await new Promise((resolve) => setTimeout(resolve, 2));
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.#store[Symbol.asyncDispose]();
  }

  #object(): StoredObject {
    const state = this.stored.at(-1) ?? null;
    return { key: KEY, version: this.version, value: JSON.stringify(state) };
  }

  #adapter(): RolloutSpecAdapter {
    return {
      prefix: "rollouts/",
      decode: (_, value) =>
        Result.ok({
          spec: SPEC,
          state: (JSON.parse(value) as StoredRolloutState | null) ?? undefined,
        }),
      storeState: (_, state, version) => {
        if (version !== this.version) {
          const current = this.#object();
          return Promise.resolve(Result.err({ kind: "conflict", current }));
        }
        this.stored.push(state);
        this.version += 1;
        return Promise.resolve(
          this.losesAnswers
            ? Result.err<StoredObject, StoreError>({
                kind: "unknown",
                detail: "lost",
              })
            : Result.ok<StoredObject, StoreError>(this.#object()),
        );
      },
    };
  }

  #objects(): ObjectStore {
    return {
      list: () => {
        this.lists += 1;
        const objects = [this.#object()];
        return Promise.resolve(Result.ok({ version: this.version, objects }));
      },
      watch: (_, __, { signal }) =>
        new Promise((resolve) => {
          signal.addEventListener("abort", () =>
            resolve(Result.err({ kind: "unknown", detail: "aborted" })),
          );
        }),
    } as Partial<ObjectStore> as ObjectStore;
  }
}

describe("roll-out specs in the store", () => {
  test("are not read by a host without duties and without new versions", async () => {
    await using fixture = new Fixture();
    await fixture.pass(200_000);
    await fixture.pass(200_000);
    expect(fixture.lists).toBe(0);
  });

  test("are read once by a new duty holder", async () => {
    await using fixture = new Fixture();
    fixture.isHolder = true;
    fixture.store.follow();
    await fixture.pass(200);
    expect(fixture.lists).toBe(1);
    expect(fixture.rollouts.updates(fixture.clock.now())[0]?.spec).toEqual(
      SPEC,
    );
  });

  test("a state is neither stored twice nor forgotten if the answer is lost", async () => {
    await using fixture = new Fixture();
    fixture.rollouts.stored(
      { spec: SPEC, state: undefined },
      fixture.version,
      fixture.clock.now(),
    );
    const storeDue = () =>
      fixture.store.store(fixture.rollouts.dueStates(fixture.clock.now(), []));
    fixture.losesAnswers = true;
    await storeDue();
    fixture.losesAnswers = false;
    await storeDue();
    await storeDue();
    expect(fixture.stored).toEqual(["running"]);
    expect(fixture.rollouts.dueStates(fixture.clock.now(), [])).toEqual([]);
  });
});
