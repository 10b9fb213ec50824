// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Sends requests to backend servers: over this host's own links, or through another
 * host where these fail and the other one reaches the server. A request that may have
 * reached a server is never sent a second time here.
 *
 * @module
 */
import { type Clock, type Logger, type Random, sleep } from "rampswitch-utils";
import type {
  BackendClient,
  OutgoingRequest,
  Send,
  SendListener,
  ServerAddress,
  ServerContact,
} from "../attempt/mod.ts";
import type { ServingMetrics } from "../observation/mod.ts";
import type { ServerContacts } from "../reach/mod.ts";
import { Detours } from "./detours.ts";
import { forwardedEvents } from "./forwarded_events.ts";
import type { ForwardingClient, ForwardingHost } from "./forwarding_client.ts";
import type { ForwardingHosts } from "./forwarding_hosts.ts";
import type { NotSentReason } from "./forwarding_protocol.ts";
import { LimitedSend, type LimitedSendParts } from "./limited_send.ts";
import { SilenceWatch } from "./silence_watch.ts";

/**
 * Time within which a connection to a server comes up, in milliseconds, before another
 * host is asked: many times what it takes within a region.
 */
const CONNECT_MILLISECONDS = 150;

/** The same while other servers are known to be out of reach, in milliseconds. */
const DOUBTFUL_CONNECT_MILLISECONDS = 40;

/**
 * Time since a server was heard, in milliseconds, after which a failed connection may
 * be due to a lost link. A server that was just heard refuses connections by itself.
 */
const SILENCE_MILLISECONDS = 250;

/** Reasons of another host not to send a request that concern the server alone. */
const SERVER_REASONS: ReadonlySet<string> = new Set<NotSentReason>([
  "out_of_reach",
  "unknown_server",
  "unconfirmed_server",
]);

/** Maximum number of hosts that one send is tried through. */
const MAXIMUM_FORWARDING_TRIES = 3;

/**
 * Time after the start of a send in which another host is asked, in milliseconds. The
 * message tells the time that was left at the start, so a later one would tell too much.
 */
const MAXIMUM_ROUTING_MILLISECONDS = 250;

/** Listener of a send over this host's own links, and its time to connect. */
type DirectSendOptions = Pick<
  LimitedSendParts,
  "listener" | "connectMilliseconds"
>;

/** A client that uses this host's own links only. */
export interface DirectClient {
  /** Whether this host does not reach a server. */
  isOutOfReach(server: string): boolean;
  /** Sends a request; it fails if its connection takes longer than the given time. */
  sendDirect(
    server: ServerAddress,
    request: OutgoingRequest,
    options: DirectSendOptions,
  ): Send;
}

/** Dependencies of the client. */
export interface ServerClientParts {
  /** A monotonic clock. */
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  readonly metrics: ServingMetrics;
  readonly contacts: ServerContacts;
  readonly client: BackendClient;
  readonly forwarding: ForwardingClient;
  readonly hosts: ForwardingHosts;
  /** Called when other hosts reach servers that this one does not. */
  onLinksLost(): void;
}

/** Sends requests to backend servers. */
export class ServerClient implements DirectClient, AsyncDisposable {
  readonly #parts: ServerClientParts;
  readonly #detours: Detours;
  readonly #silence: SilenceWatch;
  readonly #routes: Routes;

  constructor(parts: ServerClientParts) {
    this.#parts = parts;
    this.#routes = this.#createRoutes();
    const { contacts } = parts;
    this.#detours = new Detours({
      ...parts,
      connects: (server) => this.#connects(server),
      onLost: () => {
        this.distrustSilentConnections();
        parts.onLinksLost();
      },
    });
    this.#silence = new SilenceWatch({
      ...parts,
      anyHeardAt: () => contacts.anyHeardAt,
      connects: (server) => this.#connects(server),
      onLost: (server) => {
        this.#late(server);
        this.distrustSilentConnections();
      },
    });
  }

  /** Sends a request to a server. */
  send(
    server: ServerAddress,
    request: OutgoingRequest,
    listener: SendListener,
  ): Send {
    return new RoutedSend({ server, request, listener }, this.#routes);
  }

  isOutOfReach(server: string): boolean {
    return this.#detours.has(server) || this.#parts.contacts.severalFailed;
  }

  /** Whether requests for a server that need a confirmation go through other hosts. */
  isConfirmedElsewhere(server: string): boolean {
    return this.isOutOfReach(server) && this.#parts.hosts.hasAny(server);
  }

  sendDirect(
    server: ServerAddress,
    request: OutgoingRequest,
    options: DirectSendOptions,
  ): Send {
    const mayFail = () => true;
    return this.#sendLimited(server, request, { ...options, mayFail });
  }

  /** The present contact with a server that this host reaches itself. */
  contact(server: string): ServerContact | undefined {
    return this.#detours.has(server)
      ? undefined
      : this.#parts.client.contact(server);
  }

  /** Closes the connections of a server that has ended. */
  forget(server: string): void {
    this.#detours.delete(server);
    this.#parts.client.forget(server);
    this.#parts.contacts.forget(server);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.#detours.stop();
    this.#silence.stop();
    const { client, forwarding } = this.#parts;
    await Promise.all([
      client[Symbol.asyncDispose](),
      forwarding[Symbol.asyncDispose](),
    ]);
  }

  #createRoutes(): Routes {
    const { contacts, hosts } = this.#parts;
    return {
      ...this.#parts,
      hasDetour: (server) => this.#detours.has(server),
      isConfirmedElsewhere: (server) => this.isConfirmedElsewhere(server),
      mayForward: (server) =>
        hosts.hasAny(server) &&
        (contacts.severalFailed ||
          this.#detours.size > 0 ||
          (contacts.failedAgain(server) &&
            contacts.silence(server) >= SILENCE_MILLISECONDS)),
      reachedThrough: (server) => this.#detours.add(server),
      reachedByNone: ({ id }) => this.#detours.delete(id),
      sendDirect: (server, request, listener) =>
        this.#sendLimited(server, request, {
          listener,
          connectMilliseconds:
            this.#detours.size > 0 || contacts.severalFailed
              ? DOUBTFUL_CONNECT_MILLISECONDS
              : CONNECT_MILLISECONDS,
          // Without another way, a late connection is better than none.
          mayFail: () => hosts.hasAny(server.id) || contacts.severalFailed,
        }),
    };
  }

  #sendLimited(
    server: ServerAddress,
    request: OutgoingRequest,
    options: DirectSendOptions & Pick<LimitedSendParts, "mayFail">,
  ): Send {
    const { clock, client } = this.#parts;
    return new LimitedSend(server, request, {
      ...options,
      clock,
      client,
      watch: (watched) => this.#silence.watch(watched),
      onLate: (id) => this.#late(id),
    });
  }

  /** Whether a connection to a server comes up in time. */
  #connects(server: ServerAddress): Promise<boolean> {
    const { client, clock } = this.#parts;
    return Promise.race([
      client.connects(server),
      sleep(clock, CONNECT_MILLISECONDS).then(() => false),
    ]);
  }

  #late(server: string): void {
    this.#parts.contacts.connectionFailed(server, "late");
  }

  /**
   * Uses no idle connection of a server that was not heard lately: it may be silent
   * for good, and a request that is written to it has an unknown outcome.
   */
  distrustSilentConnections(): void {
    const { client, contacts } = this.#parts;
    client.renewPools(
      (server) => contacts.silence(server) >= SILENCE_MILLISECONDS,
    );
  }
}

/** The ways on which a send may go. */
interface Routes extends Pick<
  ServerClientParts,
  "clock" | "logger" | "metrics" | "forwarding" | "hosts"
> {
  /** Whether only other hosts reach a server. */
  hasDetour(server: string): boolean;
  /** Whether requests for a server that need a confirmation go through other hosts. */
  isConfirmedElsewhere(server: string): boolean;
  /** Whether a failed connection to a server may be due to this host's links. */
  mayForward(server: string): boolean;
  /** Called when another host reached a server that this one did not. */
  reachedThrough(server: ServerAddress): void;
  /** Called when no other host reached a server either. */
  reachedByNone(server: ServerAddress): void;
  sendDirect(
    server: ServerAddress,
    request: OutgoingRequest,
    listener: SendListener,
  ): Send;
}

/** A request for a server, and the listener to its send. */
interface RoutedRequest {
  readonly server: ServerAddress;
  readonly request: OutgoingRequest;
  readonly listener: SendListener;
}

/** One send, on one way after the other until its request is written. */
class RoutedSend implements Send {
  readonly #routed: RoutedRequest;
  readonly #routes: Routes;
  readonly #tried: ForwardingHost[] = [];
  readonly #startedAt: number;
  #current: Send | undefined;
  /** Ends the count of the request at the host that it is sent through. */
  #endForwarding: () => void = () => undefined;
  #isAborted = false;

  constructor(routed: RoutedRequest, routes: Routes) {
    this.#routed = routed;
    this.#routes = routes;
    this.#startedAt = routes.clock.now();
    const { id } = routed.server;
    const isForwarded = routed.request.needsConfirmation
      ? routes.isConfirmedElsewhere(id)
      : routes.hasDetour(id) && routes.hosts.hasAny(id);
    if (isForwarded) this.#forward("");
    else this.#sendDirect();
  }

  abort(): void {
    this.#isAborted = true;
    this.#endForwarding();
    this.#current?.abort();
  }

  pause(): void {
    this.#current?.pause();
  }

  resume(): void {
    this.#current?.resume();
  }

  #sendDirect(): void {
    const { server, request, listener } = this.#routed;
    this.#current = this.#routes.sendDirect(server, request, {
      ...forwardedEvents(listener),
      failed: (failure, detail) => {
        const mayForward =
          failure === "not_written" && this.#routes.mayForward(server.id);
        if (mayForward) this.#forward(detail);
        else listener.failed(failure, detail);
      },
    });
  }

  /** Sends through another host; `detail` tells why the former way failed. */
  #forward(detail: string): void {
    if (this.#isAborted) return;
    const { server, request, listener } = this.#routed;
    const { clock, hosts, forwarding } = this.#routes;
    const passed = clock.now() - this.#startedAt;
    const isInTime = passed <= MAXIMUM_ROUTING_MILLISECONDS;
    const through =
      isInTime && this.#tried.length < MAXIMUM_FORWARDING_TRIES
        ? hosts.choose(server.id, this.#tried)
        : undefined;
    if (through === undefined) {
      this.#routes.reachedByNone(server);
      // The caller of `send` must have its result before it hears of a failure.
      queueMicrotask(() => {
        if (!this.#isAborted) listener.failed("not_written", detail);
      });
      return;
    }
    this.#tried.push(through);
    this.#note(through, detail);
    this.#endForwarding = hosts.started(through);
    this.#current = forwarding.send(
      { through, server, request },
      {
        ...forwardedEvents(listener),
        head: (status, rawHeaders) => {
          this.#routes.reachedThrough(server);
          listener.head(status, rawHeaders);
        },
        ended: (framing) => {
          this.#endForwarding();
          listener.ended(framing);
        },
        failed: (failure, reason) => {
          this.#endForwarding();
          if (failure === "lost") listener.failed(failure, reason);
          else {
            const isAboutServer = SERVER_REASONS.has(reason);
            hosts.avoid(through, isAboutServer ? server.id : undefined);
            this.#forward(reason);
          }
        },
      },
    );
  }

  #note(through: ForwardingHost, detail: string): void {
    const { metrics, logger } = this.#routes;
    const { server, request } = this.#routed;
    metrics.event("sent_through_host");
    logger.info("request sent through host", {
      request: request.attemptId,
      server: server.id,
      through: through.name,
      attempt: this.#tried.length,
      detail: detail === "" ? undefined : detail,
    });
  }
}
