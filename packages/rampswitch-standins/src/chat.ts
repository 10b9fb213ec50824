// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * The chat protocol of the engine stand-in: what a request asks for and what
 * each token of its answer is. Answers depend on the prompt alone, so that a
 * checker can tell each caller's own bytes.
 *
 * @module
 */
import { hash32 } from "rampswitch-utils";

/** The parts of a chat request that the stand-in reads. */
export interface ChatBody {
  readonly model?: string;
  readonly messages?: readonly {
    readonly role?: string;
    readonly content?: string;
  }[];
  readonly stream?: boolean;
  readonly max_tokens?: number;
  readonly continue_from?: { readonly text: string; readonly tokens: number };
}

/** Tokens of an answer without `max_tokens`. */
export const DEFAULT_ANSWER_TOKENS = 32;

const RADIX = 36;

/** The whole prompt as text. */
export function promptText(body: ChatBody): string {
  return (body.messages ?? [])
    .map(({ role, content }) => `${role ?? ""}: ${content ?? ""}`)
    .join("\n");
}

/** One token of the answer to a prompt. */
export function answerToken(prompt: string, index: number): string {
  return `${hash32(`${prompt}#${index}`).toString(RADIX)} `;
}

/** The whole answer to a prompt. */
export function answerText(prompt: string, tokens: number): string {
  return Array.from({ length: tokens }, (_, index) =>
    answerToken(prompt, index),
  ).join("");
}
