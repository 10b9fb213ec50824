// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Stand-in of the store that holds the lease of the duties, for simulated time.
 *
 * @module
 */
import { Result } from "true-myth";
import type { ManualClock, Random } from "rampswitch-utils";
import {
  type EraChange,
  eraOf,
  type Expectation,
  type ObjectStore,
  positionOf,
  revisionOf,
  type StoredObject,
  type StoreError,
} from "rampswitch-store";

/**
 * Maximum time until a write without an answer takes effect, in milliseconds.
 */
const MAXIMUM_LATE_WRITE_MILLISECONDS = 4_000;

/** Number of past changes from which a copy can be taken. */
const RETAINED_CHANGES = 200;

/** A store of one object that may lose answers and apply writes late. */
export class LeaseStore {
  isReachable = true;
  losesAnswers = false;
  /** Changes each value that is written, as a faulty program would. */
  alterWritten: (value: string) => string = (value) => value;
  /** Changes the stored value as another writer's overwrite would. */
  corruptValue: (value: string) => string = () => "corrupt";
  /** Its version is a revision of its era. */
  #object: StoredObject | undefined;
  #era = 1;
  #revision = 0;
  /**
   * The object after each change, with the time and the revision of the change.
   */
  #history: readonly {
    readonly at: number;
    readonly object: StoredObject | undefined;
    readonly revision: number;
  }[] = [];
  #lateWrites: { readonly at: number; readonly run: () => void }[] = [];
  readonly #clock: ManualClock;
  readonly #random: Random;

  constructor(clock: ManualClock, random: Random) {
    this.#clock = clock;
    this.#random = random;
  }

  /** Applies late writes that are due. */
  applyLateWrites(): void {
    const due = this.#lateWrites.filter(({ at }) => at <= this.#clock.now());
    this.#lateWrites = this.#lateWrites.filter(
      ({ at }) => at > this.#clock.now(),
    );
    due.forEach(({ run }) => run());
  }

  /** Overwrites the object, as another writer might. */
  corrupt(): void {
    const known = this.#object;
    if (known === undefined) return;
    const value = this.corruptValue(known.value);
    this.#revision += 1;
    this.#object = { ...known, value, version: this.#revision };
    this.#recordChange();
  }

  /** Restores the store from a copy of this age, in milliseconds. */
  restoreFromCopy(age: number): void {
    const then = this.#clock.now() - age;
    const copy = this.#history.findLast(({ at }) => at <= then);
    this.#era += 1;
    this.#object = copy?.object;
    this.#revision = copy?.revision ?? 0;
    this.#history = [];
    this.#recordChange();
  }

  /** Returns the store as one host reaches it. */
  viewFor(isConnected: () => boolean): ObjectStore {
    const view = new EraView(() => this.#era);
    const noAnswer: Result<never, StoreError> = Result.err({
      kind: "unknown",
      detail: "no answer",
    });
    const unused = () => Promise.resolve(noAnswer);
    return {
      get era() {
        return view.era;
      },
      onEra: (listener) => view.onEra(listener),
      get: () => {
        if (!isConnected() || !this.isReachable)
          return Promise.resolve(noAnswer);
        view.observe();
        const object = this.#object;
        return Promise.resolve(
          Result.ok(
            object === undefined ? undefined : view.withPosition(object),
          ),
        );
      },
      put: (key, value, { expected: position }) => {
        if (!isConnected() || !this.isReachable)
          return Promise.resolve(noAnswer);
        if (position !== "absent" && eraOf(position) !== view.era) {
          return Promise.resolve(Result.err({ kind: "conflict" as const }));
        }
        const expected =
          position === "absent" ? position : revisionOf(position);
        if (!this.losesAnswers || this.#random.next() < 0.5) {
          const put = this.#put(key, { value, expected });
          const isNew = view.observe();
          if (isNew && position !== "absent") return Promise.resolve(noAnswer);
          return Promise.resolve(
            put.map((object) => view.withPosition(object)),
          );
        }
        const late = this.#random.below(MAXIMUM_LATE_WRITE_MILLISECONDS);
        this.#lateWrites.push({
          at: this.#clock.now() + late,
          run: () => void this.#put(key, { value, expected }),
        });
        return Promise.resolve(noAnswer);
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
    const value = this.alterWritten(change.value);
    const same = this.#object?.value === value;
    if (!same) this.#revision += 1;
    this.#object = { key, value, version: this.#revision };
    this.#recordChange();
    return Result.ok(this.#object);
  }

  #recordChange(): void {
    this.#history = [
      ...this.#history.slice(-RETAINED_CHANGES),
      { at: this.#clock.now(), object: this.#object, revision: this.#revision },
    ];
  }
}

/** The era as one host derives it from its answers. */
class EraView {
  readonly #current: () => number;
  readonly #listeners: ((change: EraChange) => void)[] = [];
  era: number;

  constructor(current: () => number) {
    this.#current = current;
    this.era = current();
  }

  onEra(listener: (change: EraChange) => void): void {
    this.#listeners.push(listener);
  }

  /** Updates the era on an answer; returns whether the era is new. */
  observe(): boolean {
    const from = this.era;
    const to = this.#current();
    if (from === to) return false;
    this.era = to;
    this.#listeners.forEach((listener) => listener({ from, to }));
    return true;
  }

  withPosition(object: StoredObject): StoredObject {
    return { ...object, version: positionOf(this.era, object.version) };
  }
}
