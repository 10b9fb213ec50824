// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * State of one incarnation of a backend server as one host observes it: the host's own
 * work there, the work that peers report, the server's own load reports, and the
 * outcomes of its answers. A restarted server gets a new record, which takes over
 * nothing.
 *
 * @module
 */
import { ServerSpeed } from "../estimates/server_speed.ts";
import { type BackendServer, incarnationId } from "../model/backend_server.ts";
import type { ReportedLoad } from "../model/request.ts";
import { ServerBackOff } from "./server_back_off.ts";

/** Work of one host at one backend server. */
export interface WorkAtServer {
  readonly running: number;
  /** Prompt tokens that were sent and whose prefill has not ended. */
  readonly pendingPrefillTokens: number;
}

/** Work of one host at one incarnation of a backend server, as a peer reports it. */
export interface ReportedWork extends WorkAtServer {
  /**
   * Start of that incarnation, in milliseconds since the epoch; `undefined` if the peer
   * does not know or report it.
   */
  readonly born: number | undefined;
}

/** Callbacks for the progress of one send. */
export interface StartedWork {
  /** The server accepted the request and did not turn it away. */
  requestAccepted(): void;
  /** The prefill of the prompt has ended. */
  prefillEnded(): void;
  /** The request has ended at the server. */
  ended(): void;
}

interface PeerWork extends WorkAtServer {
  readonly receivedAt: number;
}

/** Time for which work reported by a peer counts, in milliseconds. */
export const PEER_WORK_LIFETIME_MILLISECONDS = 1_500;

/** Time for which a server's own load report counts, in milliseconds. */
const LOAD_REPORT_LIFETIME_MILLISECONDS = 300;

/** Consecutive failures that eject a server. */
const FAILURES_TO_EJECT = 2;

/** Length of the first ejection of a server, in milliseconds. */
const FIRST_EJECTION_MILLISECONDS = 400;

/** Maximum length of an ejection, in milliseconds. */
const MAXIMUM_EJECTION_MILLISECONDS = 3_000;

/** Weight of the latest outcome in the moving average of failures. */
const FAILURE_WEIGHT = 0.15;

/**
 * Time for which a leaving server is assumed to answer, in milliseconds. The shortest
 * announced reclaims left 2 s.
 */
const REACHABLE_AFTER_LEAVING_MILLISECONDS = 1_500;

/** One incarnation of a backend server as this host knows it. */
export class ServerRecord {
  /** Latest entry that the platform listed. */
  entry: BackendServer;
  /**
   * Whether its entry can be read. If not, the server gets no requests, but its state
   * stays as it is.
   */
  isReadable = true;
  /** Whether its entry says that it is ready, whatever the server itself advertises. */
  isListedReady = true;
  /** Back-off that the server requested from this host. */
  readonly backOff: ServerBackOff;
  /** How fast work currently is there. */
  readonly speed = new ServerSpeed();
  /** When its end was announced, in milliseconds on the monotonic clock. */
  leavingSince: number | undefined;
  #running = 0;
  #pendingPrefillTokens = 0;
  readonly #peers = new Map<string, PeerWork>();
  /** Work of all peers, until one reports again or its work expires. */
  #peerTotals = NO_PEER_WORK;
  #report: (ReportedLoad & { readonly at: number }) | undefined;
  #failuresInRow = 0;
  #ejections = 0;
  #ejectedUntil = 0;
  #failureShare = 0;
  #ended = false;
  readonly #restarted: boolean;

  constructor(
    entry: BackendServer,
    options: {
      /** Whether this host knew a former incarnation of the server. */
      readonly restarted: boolean;
      /** Back-off of a former record that may be of the same incarnation. */
      readonly backOff?: ServerBackOff;
    } = { restarted: false },
  ) {
    this.entry = entry;
    this.backOff = options.backOff ?? new ServerBackOff();
    this.#restarted = options.restarted;
  }

  /** Name of this incarnation, unique among all incarnations of all servers. */
  get incarnation(): string {
    return incarnationId(this.entry);
  }

  /** Whether a later incarnation of the server is known, so this one has ended. */
  get ended(): boolean {
    return this.#ended;
  }

  /** Records that a later incarnation of the server is known. */
  end(): void {
    this.#ended = true;
    this.entry = { ...this.entry, state: "leaving" };
  }

  /**
   * Whether a report about the incarnation that started at `born` applies to this one.
   * A report that names no incarnation may refer to any, so it is ignored if this host
   * knew a former one.
   */
  matchesIncarnation(born: number | undefined): boolean {
    const mayBeAny = born === undefined && !this.#restarted;
    return mayBeAny || born === this.entry.born;
  }

  /** Number of requests of this host at the server. */
  get ownRunning(): number {
    return this.#running;
  }

  /** This host's work at the server, to report to peers. */
  get ownWork(): WorkAtServer {
    return {
      running: this.#running,
      pendingPrefillTokens: this.#pendingPrefillTokens,
    };
  }

  /** Moving average of the share of failed requests, 0 to 1. */
  get failureShare(): number {
    return this.#failureShare;
  }

  /**
   * Records a send and returns callbacks for its progress; repeated calls have no
   * effect.
   */
  started(prefillTokens: number): StartedWork {
    const afterBackOff = this.backOff.sent(this.entry.slots);
    this.#running += 1;
    this.#pendingPrefillTokens += prefillTokens;
    let pendingTokens = prefillTokens;
    let running = 1;
    const endPrefill = () => {
      this.#pendingPrefillTokens -= pendingTokens;
      pendingTokens = 0;
    };
    return {
      prefillEnded: endPrefill,
      requestAccepted: () => afterBackOff.requestAccepted(),
      ended: () => {
        afterBackOff.ended();
        endPrefill();
        this.#running -= running;
        running = 0;
      },
    };
  }

  /** Applies an update of a peer's work at the server; `undefined` if it has none. */
  receivePeerWork(
    peer: string,
    work: WorkAtServer | undefined,
    now: number,
  ): void {
    if (work !== undefined) {
      this.#peers.set(peer, { ...work, receivedAt: now });
    } else if (!this.#peers.delete(peer)) return;
    this.#peerTotals = EXPIRED_WORK;
  }

  /** Number of peers whose work here is retained. */
  get peersWithWork(): number {
    return this.#peers.size;
  }

  /** Returns the work of all hosts but one; `undefined`: of all hosts. */
  workExcept(peer: string | undefined, now: number): WorkAtServer {
    const peerWork = peer === undefined ? undefined : this.#peers.get(peer);
    const fresh =
      peerWork !== undefined && isFresh(peerWork, now) ? peerWork : NO_WORK;
    return {
      running: Math.max(0, this.#reportedRunning(now) - fresh.running),
      pendingPrefillTokens: Math.max(
        0,
        this.pendingPrefillTokens(now) - fresh.pendingPrefillTokens,
      ),
    };
  }

  /** Applies the server's own report of its load. */
  reported(load: ReportedLoad, now: number): void {
    this.#report = { ...load, at: now };
  }

  /** Returns the number of requests that run and wait there, from all hosts. */
  load(now: number): number {
    const reported = this.#reportedRunning(now);
    const report = this.#report;
    return report !== undefined &&
      now - report.at < LOAD_REPORT_LIFETIME_MILLISECONDS
      ? Math.max(reported, report.running + report.waiting)
      : reported;
  }

  /** Returns the prompt tokens whose prefill is pending there, from all hosts. */
  pendingPrefillTokens(now: number): number {
    return (
      this.#pendingPrefillTokens + this.#peerWork(now).pendingPrefillTokens
    );
  }

  /** Records a successful answer. */
  succeeded(): void {
    this.#failuresInRow = 0;
    this.#ejections = 0;
    this.#failureShare *= 1 - FAILURE_WEIGHT;
  }

  /** Records a rejection; it counts as a failure if the server has free slots. */
  rejected(now: number): void {
    if (this.load(now) < this.entry.slots) {
      this.failed(now, { surelyDown: false });
    }
  }

  /** Records a failure. Consecutive failures eject the server for some time. */
  failed(now: number, options: { readonly surelyDown: boolean }): void {
    this.#failureShare += FAILURE_WEIGHT * (1 - this.#failureShare);
    this.#failuresInRow += options.surelyDown ? FAILURES_TO_EJECT : 1;
    if (this.#failuresInRow < FAILURES_TO_EJECT) return;
    this.#failuresInRow = 0;
    this.#ejectedUntil =
      now +
      Math.min(
        MAXIMUM_EJECTION_MILLISECONDS,
        FIRST_EJECTION_MILLISECONDS * 2 ** this.#ejections,
      );
    this.#ejections += 1;
  }

  /** Forgets failures that were due to this host's links and not to the server. */
  forgiveFailures(): void {
    this.#failuresInRow = 0;
    this.#ejections = 0;
    this.#ejectedUntil = 0;
    this.#failureShare = 0;
  }

  /** Whether the server accepts new work. */
  get isReady(): boolean {
    return this.isReadable && this.entry.state === "ready";
  }

  /** Whether the server probably still answers: it is ready or began to leave recently. */
  isReachable(now: number): boolean {
    const { leavingSince } = this;
    return (
      this.isReady ||
      (this.isReadable &&
        leavingSince !== undefined &&
        now - leavingSince < REACHABLE_AFTER_LEAVING_MILLISECONDS)
    );
  }

  /** Whether the server is ejected after failures. */
  isEjected(now: number): boolean {
    return now < this.#ejectedUntil;
  }

  #reportedRunning(now: number): number {
    return this.#running + this.#peerWork(now).running;
  }

  /** Work of all peers that reported recently. */
  #peerWork(now: number): WorkAtServer {
    const totals = this.#peerTotals;
    if (now >= totals.from && now < totals.until) return totals;
    let running = 0;
    let pendingPrefillTokens = 0;
    let until = Infinity;
    for (const work of this.#peers.values()) {
      if (!isFresh(work, now)) continue;
      running += work.running;
      pendingPrefillTokens += work.pendingPrefillTokens;
      until = Math.min(
        until,
        work.receivedAt + PEER_WORK_LIFETIME_MILLISECONDS,
      );
    }
    this.#peerTotals = { running, pendingPrefillTokens, from: now, until };
    return this.#peerTotals;
  }
}

/** Work of all peers, and the times between which none of it expires. */
interface PeerTotals extends WorkAtServer {
  readonly from: number;
  readonly until: number;
}

const NO_PEER_WORK: PeerTotals = {
  running: 0,
  pendingPrefillTokens: 0,
  from: -Infinity,
  until: Infinity,
};

/** Totals that must be added up again. */
const EXPIRED_WORK: PeerTotals = { ...NO_PEER_WORK, until: -Infinity };

const NO_WORK: WorkAtServer = { running: 0, pendingPrefillTokens: 0 };

function isFresh(work: PeerWork, now: number): boolean {
  return now - work.receivedAt < PEER_WORK_LIFETIME_MILLISECONDS;
}
