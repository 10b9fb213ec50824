// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * What is suspected to crash backend servers: whole requests, and parts that many
 * prompts share. A request is held as long as either holds it.
 *
 * @module
 */
import type { Fingerprint } from "./fingerprint.ts";
import type { PartQuarantine } from "./part_quarantine.ts";
import type {
  LostIncarnation,
  Quarantine,
  QuarantineDecision,
} from "./quarantine.ts";
import type { EndedServer } from "./server_end.ts";

/** A server that ended under a request, and its software. */
export interface LostServer extends LostIncarnation {
  readonly entry: { readonly version: string };
}

/** The quarantine of requests and the one of prompt parts. */
export class CrashQuarantine {
  readonly requests: Quarantine;
  readonly parts: PartQuarantine;

  constructor(quarantines: {
    readonly requests: Quarantine;
    readonly parts: PartQuarantine;
  }) {
    this.requests = quarantines.requests;
    this.parts = quarantines.parts;
  }

  /** Returns whether a request may be sent now; has no side effects. */
  decide(request: Fingerprint): QuarantineDecision {
    return stricter(
      this.requests.decide(request),
      this.parts.decide(request.sharedParts),
    );
  }

  /** Like {@link decide}, for a request that is sent now; begins its trial, if it is one. */
  begin(request: Fingerprint): QuarantineDecision {
    const decision = this.decide(request);
    if (decision.kind !== "trial") return decision;
    this.requests.begin(request);
    this.parts.begin(request.sharedParts);
    return decision;
  }

  /** Whether a request must not be sent again within the same attempt. */
  forbidsResend(request: Fingerprint): boolean {
    return (
      this.requests.forbidsResend(request) ||
      this.parts.forbidsResend(request.sharedParts)
    );
  }

  /**
   * Records that the connection to a server broke after the server had begun a request,
   * with the time of the first event that the server sent.
   */
  recordLoss(
    request: Fingerprint,
    server: LostServer,
    answeredAt: number | undefined,
  ): void {
    this.requests.recordLoss(request, server);
    if (this.parts.isClearing(answeredAt)) {
      this.parts.recordAnswer({
        parts: request.sharedParts,
        beganAt: answeredAt,
      });
    } else if (server.leavingSince === undefined) {
      this.parts.recordLoss(request.sharedParts, endedServer(server));
    }
  }

  /** Records that a server became unresponsive while it ran a request. */
  recordUnresponsive(
    request: Fingerprint,
    server: LostServer,
    answeredAt: number | undefined,
  ): void {
    this.requests.recordUnresponsive(request, server);
    if (server.leavingSince !== undefined) return;
    if (this.parts.isClearing(answeredAt)) return;
    this.parts.recordUnresponsive(request.sharedParts, endedServer(server));
  }

  /** Records that an incarnation of a server ended without an announcement. */
  incarnationEnded(incarnation: string): void {
    this.requests.incarnationEnded(incarnation);
    this.parts.incarnationEnded(incarnation);
  }

  /**
   * Records a whole answer. A failure of the server shows that the request does not end
   * it, but not that it began to write on the prompt.
   */
  recordCompletion(
    request: Fingerprint,
    { succeeded, beganAt }: { succeeded: boolean; beganAt: number },
  ): void {
    this.requests.recordCompletion(request);
    if (!succeeded) return;
    this.parts.recordAnswer({ parts: request.sharedParts, beganAt });
  }
}

function endedServer({ incarnation, entry }: LostServer): EndedServer {
  return { incarnation, version: entry.version };
}

/** The decision that holds a request longer. */
function stricter(
  left: QuarantineDecision,
  right: QuarantineDecision,
): QuarantineDecision {
  if (left.kind === "held" && right.kind === "held") {
    return left.waitMilliseconds > right.waitMilliseconds ? left : right;
  }
  if (left.kind === "held" || right.kind === "free") return left;
  return right;
}
