// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * A queue that turns pushed messages into an asynchronous stream.
 *
 * @module
 */

/** An unbounded queue. One reader takes each message once, in order. */
export class MessageQueue<Message> implements AsyncIterable<Message> {
  readonly #messages: Message[] = [];
  #wake: (() => void) | undefined;
  #closed = false;

  /** Adds a message and wakes the reader. */
  push(message: Message): void {
    this.#messages.push(message);
    this.#wake?.();
  }

  /** Ends the stream once the messages that are already queued are read. */
  close(): void {
    this.#closed = true;
    this.#wake?.();
  }

  async *[Symbol.asyncIterator](): AsyncGenerator<Message> {
    for (;;) {
      const message = this.#messages.shift();
      if (message !== undefined) yield message;
      else if (this.#closed) return;
      else {
        await new Promise<void>((resolve) => {
          this.#wake = resolve;
        });
      }
    }
  }
}
