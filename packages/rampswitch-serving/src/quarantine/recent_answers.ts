// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * The newest answers of one host, by which parts are cleared that were answered before
 * the first server ended under them. It keeps references alone, so that a calm host
 * computes nothing.
 *
 * @module
 */
import type { SharedParts } from "./shared_parts.ts";

/** An answer to a prompt. */
export interface AnsweredParts {
  readonly parts: SharedParts;
  /** When the answer began, in milliseconds. */
  readonly beganAt: number;
}

/** Number of answers that are kept. */
const MAXIMUM_ANSWERS = 256;

/** Maximum number of parts of an answer that is kept. */
const MAXIMUM_PARTS = 32;

/** Time for which an answer counts, in milliseconds. */
const LIFETIME_MILLISECONDS = 60_000;

/** The newest answers of one host. */
export class RecentAnswers {
  readonly #answers: (AnsweredParts | undefined)[] = [];
  #next = 0;

  /** Adds an answer in place of the oldest one. */
  add(answer: AnsweredParts): void {
    const { size } = answer.parts;
    if (size === 0 || size > MAXIMUM_PARTS) return;
    this.#answers[this.#next] = answer;
    this.#next = (this.#next + 1) % MAXIMUM_ANSWERS;
  }

  /** Returns the answers that still count. */
  newest(now: number): readonly AnsweredParts[] {
    return this.#answers.flatMap((answer) =>
      answer !== undefined && now - answer.beganAt < LIFETIME_MILLISECONDS
        ? [answer]
        : [],
    );
  }
}
