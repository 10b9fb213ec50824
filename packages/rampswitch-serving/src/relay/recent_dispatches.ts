// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Collects the prompts that this host sent, with their servers, for gossip to peers.
 *
 * @module
 */
import type { PromptPart } from "../model/request.ts";
import type { BackendServer } from "../model/backend_server.ts";
import type { DispatchUpdate } from "../membership/peer_messages.ts";

/** Maximum dispatches in one message; the newest are the most useful. */
const MAXIMUM_DISPATCHES_PER_MESSAGE = 24;

/** Time for which a dispatch is reported, in milliseconds: two or three messages. */
const REPORT_LIFETIME_MILLISECONDS = 600;

interface Dispatch extends DispatchUpdate {
  firstReportedAt: number | undefined;
}

/** Dispatches to report to peers. */
export class RecentDispatches {
  #dispatches: readonly Dispatch[] = [];

  /** Adds a dispatch of a prompt with shared parts. */
  add(
    { id, born }: Pick<BackendServer, "id" | "born">,
    parts: readonly PromptPart[],
  ): void {
    if (parts.length === 0) return;
    this.#dispatches = [
      ...this.#dispatches,
      { server: id, born, parts, firstReportedAt: undefined },
    ].slice(-MAXIMUM_DISPATCHES_PER_MESSAGE);
  }

  /** Removes the dispatches to a server whose prefix cache was lost. */
  forget(serverId: string): void {
    this.#dispatches = this.#dispatches.filter(
      ({ server }) => server !== serverId,
    );
  }

  /** Dispatches to report now; older ones are removed. */
  take(now: number): readonly DispatchUpdate[] {
    this.#dispatches.forEach((dispatch) => {
      dispatch.firstReportedAt ??= now;
    });
    this.#dispatches = this.#dispatches.filter(
      (dispatch) =>
        now - (dispatch.firstReportedAt ?? now) < REPORT_LIFETIME_MILLISECONDS,
    );
    return this.#dispatches.map(({ server, born, parts }) => ({
      server,
      born,
      parts,
    }));
  }
}
