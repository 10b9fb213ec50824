// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Collects which prompts this host sent where, for the next messages to peers.
 *
 * @module
 */
import type { PromptPart } from "../model/request.ts";
import type { BackendServer } from "../model/backend_server.ts";
import type { DispatchNews } from "../membership/peer_news.ts";

/** Dispatches told at most in one message; the newest matter most. */
const MAXIMUM_TOLD = 24;

/** A dispatch is told for this long, in milliseconds: two or three messages. */
const TOLD_MILLISECONDS = 600;

interface Dispatch extends DispatchNews {
  at: number | undefined;
}

/** Dispatches to tell. */
export class RecentDispatches {
  #dispatches: readonly Dispatch[] = [];

  /** Notes a dispatch of a prompt with shared parts. */
  add(
    { id, born }: Pick<BackendServer, "id" | "born">,
    parts: readonly PromptPart[],
  ): void {
    if (parts.length === 0) return;
    this.#dispatches = [
      ...this.#dispatches,
      { server: id, born, parts, at: undefined },
    ].slice(-MAXIMUM_TOLD);
  }

  /** Tells no more of a server that holds nothing of before. */
  forget(serverId: string): void {
    this.#dispatches = this.#dispatches.filter(
      ({ server }) => server !== serverId,
    );
  }

  /** What to tell now. */
  take(now: number): readonly DispatchNews[] {
    this.#dispatches.forEach((dispatch) => {
      dispatch.at ??= now;
    });
    this.#dispatches = this.#dispatches.filter(
      (dispatch) => now - (dispatch.at ?? now) < TOLD_MILLISECONDS,
    );
    return this.#dispatches.map(({ server, born, parts }) => ({
      server,
      born,
      parts,
    }));
  }
}
