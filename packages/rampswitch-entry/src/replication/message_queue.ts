// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * A queue of messages that a stream reads as they come.
 *
 * @module
 */

/** Messages to be read once, in order, until the queue is closed. */
export class MessageQueue<Message> implements AsyncIterable<Message> {
  readonly #messages: Message[] = [];
  #wake: (() => void) | undefined;
  #closed = false;

  /** Adds a message. */
  push(message: Message): void {
    this.#messages.push(message);
    this.#wake?.();
  }

  /** Ends the stream after the messages that wait. */
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
