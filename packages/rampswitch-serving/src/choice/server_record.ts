// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * What one host knows of one life of a backend server: its own work there, the
 * work that peers tell of, the server's own reports, and how its answers went. A
 * server that starts again has a new record, which takes over nothing.
 *
 * @module
 */
import { type BackendServer, nameOfLife } from "../model/backend_server.ts";
import type { ReportedLoad } from "../model/request.ts";
import { AskedRest } from "./server_back_off.ts";

/** Work of one host at one backend server. */
export interface WorkAtServer {
  readonly running: number;
  /** Prompt tokens sent whose reading has not ended. */
  readonly unreadTokens: number;
}

/** Work of one host at one life of a backend server, as a peer tells it. */
export interface ToldWork extends WorkAtServer {
  /** Start of that life; `undefined` where the peer knows or tells none. */
  readonly born: number | undefined;
}

/** The parts of one send's work that end. */
export interface StartedWork {
  /** The server took the request and did not turn it away. */
  taken(): void;
  readPrompt(): void;
  ended(): void;
}

interface PeerWork extends WorkAtServer {
  readonly heardAt: number;
}

/** Work told by a peer counts for this long, in milliseconds. */
const PEER_WORK_MILLISECONDS = 1_500;

/** A server's own load report counts for this long, in milliseconds. */
const REPORT_MILLISECONDS = 300;

/** Failures in a row before a server is left out. */
const FAILURES_TO_EJECT = 2;

/** First time for which a failing server is left out, in milliseconds. */
const FIRST_EJECTION_MILLISECONDS = 400;

/** Longest time for which a failing server is left out, in milliseconds. */
const LONGEST_EJECTION_MILLISECONDS = 3_000;

/** Weight of the newest result in the share of failures. */
const FAILURE_WEIGHT = 0.15;

/**
 * A leaving server is taken to live for this long, in milliseconds; the shortest
 * announced reclaims left 2 s.
 */
const ANSWERS_ON_MILLISECONDS = 1_500;

/** One life of a backend server as this host knows it. */
export class ServerRecord {
  /** As the platform last listed it. */
  entry: BackendServer;
  /**
   * Whether its entry can be read. One that can't names no server to use, and
   * tells nothing about the server itself.
   */
  isReadable = true;
  /** Whether its entry says that it is ready, whatever the server itself says. */
  isListedReady = true;
  /** The rest that it asked this host for. */
  readonly rest: AskedRest;
  /** When the announcement of its end came, on the steady clock. */
  leavingSince: number | undefined;
  #running = 0;
  #unreadTokens = 0;
  readonly #peers = new Map<string, PeerWork>();
  #report: (ReportedLoad & { readonly at: number }) | undefined;
  #failuresInRow = 0;
  #ejections = 0;
  #ejectedUntil = 0;
  #failureShare = 0;
  #ended = false;
  readonly #startedAgain: boolean;

  constructor(
    entry: BackendServer,
    options: {
      /** Whether this host knew a former life of the server. */
      readonly startedAgain: boolean;
      /** The rest of what may be the same life. */
      readonly rest?: AskedRest;
    } = { startedAgain: false },
  ) {
    this.entry = entry;
    this.rest = options.rest ?? new AskedRest();
    this.#startedAgain = options.startedAgain;
  }

  /** Names this life among all lives of all servers. */
  get life(): string {
    return nameOfLife(this.entry);
  }

  /** Whether a later life of the server is known, so that this one is over. */
  get ended(): boolean {
    return this.#ended;
  }

  /** Notes that a later life of the server is known. */
  end(): void {
    this.#ended = true;
    this.entry = { ...this.entry, state: "leaving" };
  }

  /**
   * Whether what a peer tells of a life speaks of this one. A peer that names no
   * life may mean any, so it is not heard where there was another one.
   */
  isLife(born: number | undefined): boolean {
    const mayBeAny = born === undefined && !this.#startedAgain;
    return mayBeAny || born === this.entry.born;
  }

  /** Requests of this host at the server. */
  get ownRunning(): number {
    return this.#running;
  }

  /** This host's work at the server, to tell the peers. */
  get ownWork(): WorkAtServer {
    return { running: this.#running, unreadTokens: this.#unreadTokens };
  }

  /** Share of recent requests that failed there, 0 to 1. */
  get failureShare(): number {
    return this.#failureShare;
  }

  /** Notes a send; the returned functions end its parts, each once. */
  started(unreadTokens: number): StartedWork {
    const afterRest = this.rest.sent(this.entry.slots);
    this.#running += 1;
    this.#unreadTokens += unreadTokens;
    let unread = unreadTokens;
    let running = 1;
    const readPrompt = () => {
      this.#unreadTokens -= unread;
      unread = 0;
    };
    return {
      readPrompt,
      taken: () => afterRest.taken(),
      ended: () => {
        afterRest.ended();
        readPrompt();
        this.#running -= running;
        running = 0;
      },
    };
  }

  /** Takes in a peer's work at the server; `undefined` for none. */
  heardPeer(peer: string, work: WorkAtServer | undefined, now: number): void {
    if (work === undefined) this.#peers.delete(peer);
    else this.#peers.set(peer, { ...work, heardAt: now });
  }

  /** Work of all hosts but one. */
  workBeside(peer: string, now: number): WorkAtServer {
    const told = this.#peers.get(peer);
    const fresh = told !== undefined && isFresh(told, now) ? told : NO_WORK;
    return {
      running: Math.max(0, this.#toldRunning(now) - fresh.running),
      unreadTokens: Math.max(0, this.unreadTokens(now) - fresh.unreadTokens),
    };
  }

  /** Takes in the server's own report of its load. */
  reported(load: ReportedLoad, now: number): void {
    this.#report = { ...load, at: now };
  }

  /** Requests running and waiting there, from all hosts. */
  load(now: number): number {
    const told = this.#toldRunning(now);
    const report = this.#report;
    return report !== undefined && now - report.at < REPORT_MILLISECONDS
      ? Math.max(told, report.running + report.waiting)
      : told;
  }

  /** Prompt tokens that wait to be read there, from all hosts. */
  unreadTokens(now: number): number {
    return this.#peerWork(now).reduce(
      (sum, work) => sum + work.unreadTokens,
      this.#unreadTokens,
    );
  }

  /** Notes an answer that came as it should. */
  succeeded(): void {
    this.#failuresInRow = 0;
    this.#ejections = 0;
    this.#failureShare *= 1 - FAILURE_WEIGHT;
  }

  /** Notes a rejection; with places free it counts as a failure. */
  rejected(now: number): void {
    if (this.load(now) < this.entry.slots) {
      this.failed(now, { surelyDown: false });
    }
  }

  /** Notes a failure; several in a row leave the server out for a while. */
  failed(now: number, options: { readonly surelyDown: boolean }): void {
    this.#failureShare += FAILURE_WEIGHT * (1 - this.#failureShare);
    this.#failuresInRow += options.surelyDown ? FAILURES_TO_EJECT : 1;
    if (this.#failuresInRow < FAILURES_TO_EJECT) return;
    this.#failuresInRow = 0;
    this.#ejectedUntil =
      now +
      Math.min(
        LONGEST_EJECTION_MILLISECONDS,
        FIRST_EJECTION_MILLISECONDS * 2 ** this.#ejections,
      );
    this.#ejections += 1;
  }

  /** Whether the server itself takes new work. */
  get isReady(): boolean {
    return this.isReadable && this.entry.state === "ready";
  }

  /** Whether the server still answers others: it is ready or left just now. */
  answersFor(now: number): boolean {
    const { leavingSince } = this;
    return (
      this.isReady ||
      (this.isReadable &&
        leavingSince !== undefined &&
        now - leavingSince < ANSWERS_ON_MILLISECONDS)
    );
  }

  /** Whether it is left out for a while after failures. */
  isEjected(now: number): boolean {
    return now < this.#ejectedUntil;
  }

  #toldRunning(now: number): number {
    return this.#peerWork(now).reduce(
      (sum, work) => sum + work.running,
      this.#running,
    );
  }

  #peerWork(now: number): readonly PeerWork[] {
    return [...this.#peers.values()].filter((work) => isFresh(work, now));
  }
}

const NO_WORK: WorkAtServer = { running: 0, unreadTokens: 0 };

function isFresh(work: PeerWork, now: number): boolean {
  return now - work.heardAt < PEER_WORK_MILLISECONDS;
}
