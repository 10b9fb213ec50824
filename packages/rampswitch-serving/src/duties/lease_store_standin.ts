// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Stand-in of the store as the duties' lease meets it, for simulated time.
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

/** Longest time after which a write without an answer takes effect, in milliseconds. */
const LATE_MILLISECONDS = 4_000;

/** Changes that copies may be made of. */
const KEPT_CHANGES = 200;

/** A store of one object whose answers may be lost or writes come late. */
export class LeaseStore {
  reachable = true;
  losesAnswers = false;
  /** Changes each value on its way into the store, as a wrong program would. */
  altered: (value: string) => string = (value) => value;
  /** What is left of a value that another writer wrote over. */
  spoilt: (value: string) => string = () => "spoilt";
  /** With a revision of its era as the version. */
  #object: StoredObject | undefined;
  #era = 1;
  #revision = 0;
  /** What it held, since when, and the revision then. */
  #history: readonly {
    readonly at: number;
    readonly object: StoredObject | undefined;
    readonly revision: number;
  }[] = [];
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
    this.#revision += 1;
    this.#object = { ...known, value, version: this.#revision };
    this.#note();
  }

  /** Comes back from a copy that is so old, in milliseconds. */
  comeBackFrom(age: number): void {
    const then = this.#clock.now() - age;
    const copy = this.#history.findLast(({ at }) => at <= then);
    this.#era += 1;
    this.#object = copy?.object;
    this.#revision = copy?.revision ?? 0;
    this.#history = [];
    this.#note();
  }

  /** The store as one host reaches it. */
  seenBy(reaches: () => boolean): ObjectStore {
    const view = new EraView(() => this.#era);
    const gone: Result<never, StoreError> = Result.err({
      kind: "unknown",
      detail: "no answer",
    });
    const unused = () => Promise.resolve(gone);
    return {
      get era() {
        return view.era;
      },
      onEra: (listener) => view.onEra(listener),
      get: () => {
        if (!reaches() || !this.reachable) return Promise.resolve(gone);
        view.look();
        const object = this.#object;
        return Promise.resolve(
          Result.ok(object === undefined ? undefined : view.placed(object)),
        );
      },
      put: (key, value, { expected: position }) => {
        if (!reaches() || !this.reachable) return Promise.resolve(gone);
        if (position !== "absent" && eraOf(position) !== view.era) {
          return Promise.resolve(Result.err({ kind: "conflict" as const }));
        }
        const expected =
          position === "absent" ? position : revisionOf(position);
        if (!this.losesAnswers || this.#random.next() < 0.5) {
          const put = this.#put(key, { value, expected });
          const isNew = view.look();
          if (isNew && position !== "absent") return Promise.resolve(gone);
          return Promise.resolve(put.map((object) => view.placed(object)));
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
    if (!same) this.#revision += 1;
    this.#object = { key, value, version: this.#revision };
    this.#note();
    return Result.ok(this.#object);
  }

  #note(): void {
    this.#history = [
      ...this.#history.slice(-KEPT_CHANGES),
      { at: this.#clock.now(), object: this.#object, revision: this.#revision },
    ];
  }
}

/** The era as one host's answers tell it. */
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

  /** Takes an answer in; tells whether it was the first of its era. */
  look(): boolean {
    const from = this.era;
    const to = this.#current();
    if (from === to) return false;
    this.era = to;
    this.#listeners.forEach((listener) => listener({ from, to }));
    return true;
  }

  placed(object: StoredObject): StoredObject {
    return { ...object, version: positionOf(this.era, object.version) };
  }
}
