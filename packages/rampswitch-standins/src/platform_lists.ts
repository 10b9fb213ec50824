// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Stand-ins of the platform's lagging host list, of the cloud API with its
 * reclaim notices, and of the rate-limited weight store.
 *
 * @module
 */
import type { ListedHost } from "rampswitch-types";
import type { Listening } from "rampswitch-utils";
import { sendJson, startStandin } from "./http_standin.ts";

/** Stand-in of the list of live and leaving hosts. */
export class HostList implements AsyncDisposable {
  #hosts: readonly ListedHost[] = [];
  #shown: readonly ListedHost[] = [];
  #lagMilliseconds = 0;
  #outage = false;
  #listening: Listening | undefined;

  /** Starts the list. */
  static async start(address?: string): Promise<HostList> {
    const list = new HostList();
    list.#listening = await startStandin(
      [
        {
          method: "GET",
          path: /^\/hosts$/,
          handle: ({ response }) =>
            list.#outage
              ? sendJson(response, 503, { error: "unavailable" })
              : sendJson(response, 200, { hosts: list.#shown }),
        },
        {
          method: "POST",
          path: /^\/control$/,
          handle: ({ body, response }) => {
            const change = body as {
              readonly lagMilliseconds?: number;
              readonly outage?: boolean;
              readonly hosts?: readonly ListedHost[];
            };
            list.#lagMilliseconds =
              change.lagMilliseconds ?? list.#lagMilliseconds;
            list.#outage = change.outage ?? list.#outage;
            if (change.hosts !== undefined) list.set(change.hosts);
            sendJson(response, 200, {});
          },
        },
      ],
      address,
    );
    return list;
  }

  /** IP number and port. */
  get address(): string {
    return this.#listening?.address ?? "";
  }

  /** Replaces the list; readers see it after the lag. */
  set(hosts: readonly ListedHost[]): void {
    this.#hosts = hosts;
    const show = () => {
      this.#shown = hosts;
    };
    if (this.#lagMilliseconds === 0) show();
    else setTimeout(show, this.#lagMilliseconds).unref();
  }

  /** Changes or adds one host. */
  put(host: ListedHost): void {
    this.set([...this.#hosts.filter(({ name }) => name !== host.name), host]);
  }

  /** Removes one host. */
  remove(name: string): void {
    this.set(this.#hosts.filter((host) => host.name !== name));
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.#listening?.[Symbol.asyncDispose]();
  }
}

/** A notice that a host will be taken. */
export interface ReclaimNotice {
  readonly sequence: number;
  /** Name of the host. */
  readonly host: string;
  /** Milliseconds since the epoch at which it is taken. */
  readonly deadline: number;
}

/** A host that the cloud was asked to start. */
export interface CloudStart {
  readonly host: string;
  readonly hostClass: string;
  readonly dataHall: string;
  /** Chosen by the asker; a repeat of the same token starts nothing. */
  readonly token: string;
  /** IP number and port of its backend server, once it serves. */
  readonly address?: string;
}

/** Stand-in of the cloud API. */
export class Cloud implements AsyncDisposable {
  #notices: readonly ReclaimNotice[] = [];
  #starts: readonly CloudStart[] = [];
  #started = 0;
  #refusedClasses: readonly string[] = [];
  #startsInOutage = 0;
  #outage = false;
  #listening: Listening | undefined;

  /** Starts the cloud API. */
  static async start(address?: string): Promise<Cloud> {
    const cloud = new Cloud();
    cloud.#listening = await startStandin(
      [
        {
          method: "GET",
          path: /^\/notices$/,
          handle: ({ url, response }) => {
            const after = Number(url.searchParams.get("after") ?? "0");
            const notices = cloud.#notices.filter(
              ({ sequence }) => sequence > after,
            );
            if (cloud.#outage)
              sendJson(response, 503, { error: "unavailable" });
            else sendJson(response, 200, { notices });
          },
        },
        {
          method: "GET",
          path: /^\/hosts$/,
          handle: ({ response }) =>
            sendJson(response, 200, { hosts: cloud.#starts }),
        },
        {
          method: "POST",
          path: /^\/hosts$/,
          handle: ({ body, response }) => {
            const answer = cloud.#startHost(body as Omit<CloudStart, "host">);
            sendJson(response, answer.status, answer.body);
          },
        },
        {
          method: "DELETE",
          path: /^\/hosts\/[^/]+$/,
          handle: ({ url, response }) => {
            const name = decodeURIComponent(url.pathname.split("/")[2] ?? "");
            cloud.#starts = cloud.#starts.filter(({ host }) => host !== name);
            sendJson(response, 200, {});
          },
        },
        {
          method: "POST",
          path: /^\/control$/,
          handle: ({ body, response }) => {
            const change = body as {
              readonly refusedClasses?: readonly string[];
              readonly outage?: boolean;
              readonly reclaim?: Omit<ReclaimNotice, "sequence">;
            };
            cloud.#refusedClasses =
              change.refusedClasses ?? cloud.#refusedClasses;
            cloud.#outage = change.outage ?? cloud.#outage;
            if (change.reclaim !== undefined) cloud.reclaim(change.reclaim);
            sendJson(response, 200, {});
          },
        },
      ],
      address,
    );
    return cloud;
  }

  /** IP number and port. */
  get address(): string {
    return this.#listening?.address ?? "";
  }

  /** Hosts started and not ended. */
  get starts(): readonly CloudStart[] {
    return this.#starts;
  }

  /** Answers starts and notices with 503 from now on, or no longer. */
  setOutage(outage: boolean): void {
    this.#outage = outage;
  }

  /** Starts that were refused because of an outage. */
  get startsInOutage(): number {
    return this.#startsInOutage;
  }

  /** A started host serves at an address from now on. */
  serves(host: string, address: string): void {
    this.#starts = this.#starts.map((start) =>
      start.host === host ? { ...start, address } : start,
    );
  }

  /** Announces that a host will be taken. */
  reclaim(notice: Omit<ReclaimNotice, "sequence">): void {
    const sequence = this.#notices.length + 1;
    this.#notices = [...this.#notices, { ...notice, sequence }];
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.#listening?.[Symbol.asyncDispose]();
  }

  #startHost(wanted: Omit<CloudStart, "host">): {
    readonly status: number;
    readonly body: unknown;
  } {
    if (this.#outage) {
      this.#startsInOutage += 1;
      return { status: 503, body: { error: "unavailable" } };
    }
    const known = this.#starts.find(({ token }) => token === wanted.token);
    if (known !== undefined) return { status: 200, body: known };
    if (this.#refusedClasses.includes(wanted.hostClass)) {
      return { status: 409, body: { error: "no capacity in this class" } };
    }
    const host = `${wanted.hostClass}-${(this.#started += 1)}`;
    const started = { ...wanted, host };
    this.#starts = [...this.#starts, started];
    return { status: 200, body: started };
  }
}

/** Stand-in of the weight store. */
export class WeightStore implements AsyncDisposable {
  #served = { second: 0, count: 0 };
  #downloadsPerSecond = 4;
  #listening: Listening | undefined;

  /** Starts the weight store. */
  static async start(address?: string): Promise<WeightStore> {
    const store = new WeightStore();
    store.#listening = await startStandin(
      [
        {
          method: "GET",
          path: /^\/weights\/.+$/,
          handle: ({ url, response }) =>
            store.#admit()
              ? sendJson(response, 200, { name: url.pathname.slice(9) })
              : sendJson(response, 429, { error: "rate limit" }),
        },
        {
          method: "POST",
          path: /^\/control$/,
          handle: ({ body, response }) => {
            const change = body as { readonly downloadsPerSecond?: number };
            store.#downloadsPerSecond =
              change.downloadsPerSecond ?? store.#downloadsPerSecond;
            sendJson(response, 200, {});
          },
        },
      ],
      address,
    );
    return store;
  }

  /** IP number and port. */
  get address(): string {
    return this.#listening?.address ?? "";
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.#listening?.[Symbol.asyncDispose]();
  }

  #admit(): boolean {
    const second = Math.floor(Date.now() / 1000);
    if (second !== this.#served.second) this.#served = { second, count: 0 };
    this.#served = { second, count: this.#served.count + 1 };
    return this.#served.count <= this.#downloadsPerSecond;
  }
}
