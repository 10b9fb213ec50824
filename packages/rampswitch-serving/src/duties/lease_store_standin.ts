// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Stand-in of the store as the duties' lease meets it, for simulated time.
 *
 * @module
 */
import { Result } from "true-myth";
import type { ManualClock, Random } from "rampswitch-utils";
import {
  type Expectation,
  type ObjectStore,
  type StoredObject,
  type StoreError,
  ONE_ERA,
} from "rampswitch-store";

/** Longest time after which a write without an answer takes effect, in milliseconds. */
const LATE_MILLISECONDS = 4_000;

/** A store of one object whose answers may be lost or writes come late. */
export class LeaseStore {
  reachable = true;
  losesAnswers = false;
  /** Changes each value on its way into the store, as a wrong program would. */
  altered: (value: string) => string = (value) => value;
  /** What is left of a value that another writer wrote over. */
  spoilt: (value: string) => string = () => "spoilt";
  #object: StoredObject | undefined;
  #late: { readonly at: number; readonly run: () => void }[] = [];
  readonly #clock: ManualClock;
  readonly #random: Random;

  constructor(clock: ManualClock, random: Random) {
    this.#clock = clock;
    this.#random = random;
  }

  /** Carries out writes whose time has come. */
  tick(): void {
    const due = this.#late.filter(({ at }) => at <= this.#clock.now());
    this.#late = this.#late.filter(({ at }) => at > this.#clock.now());
    due.forEach(({ run }) => run());
  }

  /** Writes over the object, as another writer might. */
  spoil(): void {
    const known = this.#object;
    if (known === undefined) return;
    const value = this.spoilt(known.value);
    this.#object = { ...known, value, version: known.version + 1 };
  }

  /** The store as one host reaches it. */
  seenBy(reaches: () => boolean): ObjectStore {
    const gone: Result<never, StoreError> = Result.err({
      kind: "unknown",
      detail: "no answer",
    });
    const unused = () => Promise.resolve(gone);
    return {
      ...ONE_ERA,
      get: () =>
        Promise.resolve(
          reaches() && this.reachable ? Result.ok(this.#object) : gone,
        ),
      put: (key, value, { expected }) => {
        if (!reaches() || !this.reachable) return Promise.resolve(gone);
        if (!this.losesAnswers || this.#random.next() < 0.5) {
          return Promise.resolve(this.#put(key, { value, expected }));
        }
        const late = this.#random.below(LATE_MILLISECONDS);
        this.#late.push({
          at: this.#clock.now() + late,
          run: () => void this.#put(key, { value, expected }),
        });
        return Promise.resolve(gone);
      },
      list: unused,
      remove: unused,
      watch: unused,
    };
  }

  #put(
    key: string,
    change: { readonly value: string; readonly expected: Expectation },
  ): Result<StoredObject, StoreError> {
    const version = this.#object?.version;
    if (change.expected !== (version ?? "absent")) {
      return Result.err({ kind: "conflict" });
    }
    const value = this.altered(change.value);
    const same = this.#object?.value === value;
    this.#object = {
      key,
      value,
      version: same ? (version ?? 1) : (version ?? 0) + 1,
    };
    return Result.ok(this.#object);
  }
}
