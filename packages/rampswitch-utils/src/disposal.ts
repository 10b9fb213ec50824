// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Ownership of resources that are disposed of asynchronously.
 *
 * @module
 */

/** Owns resources and disposes of them once, in reverse order. */
export class Ownership implements AsyncDisposable {
  #owned: readonly AsyncDisposable[] = [];

  /** Takes ownership of a resource and returns it. */
  own<Owned extends AsyncDisposable>(resource: Owned): Owned {
    this.#owned = [resource, ...this.#owned];
    return resource;
  }

  /** Registers a callback that runs on disposal. */
  defer(cleanUp: () => void | Promise<void>): void {
    this.own({ [Symbol.asyncDispose]: async () => await cleanUp() });
  }

  async [Symbol.asyncDispose](): Promise<void> {
    const owned = this.#owned;
    this.#owned = [];
    await owned.reduce(
      (previous, resource) =>
        previous.then(() => resource[Symbol.asyncDispose]()),
      Promise.resolve(),
    );
  }
}
