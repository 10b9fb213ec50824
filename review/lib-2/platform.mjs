// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * The platform and the servers of one run: the project's own stand-ins, and what a
 * small deployment keeps in the store.
 */
import { readFileSync } from "node:fs";
import { URL } from "node:url";
import { CloudStandin } from "../../platform/dist/standins/cloud_standin.js";
import { MemoryCopies } from "../../platform/dist/standins/memory_copies.js";
import { StoreStandin } from "../../platform/dist/standins/store_standin.js";
import { WorkerStandin } from "../../platform/dist/standins/worker_standin.js";
import { HEADERS, KEY_SCHEME } from "../../platform/dist/names.js";

const HOST_NAME = "api.example";

/** What all configurations here have, and the key of their only tenant. */
const { key: KEY, ...COMMON } = JSON.parse(
  readFileSync(new URL("configuration.json", import.meta.url), "utf8"),
);

/** A store, a cloud and the workers that keep themselves in the store. */
export class Platform {
  workers = [];
  #copies = new MemoryCopies();

  static async start() {
    const platform = new Platform();
    platform.store = await StoreStandin.start();
    platform.cloud = await CloudStandin.start();
    return platform;
  }

  get addresses() {
    return { store: this.store.address, cloud: this.cloud.address };
  }

  /** Starts a worker and lists it as ready. */
  async addWorker(id, { service, zone, version }) {
    const worker = await WorkerStandin.start(id, this.#copies);
    worker.writtenVersion = version;
    const listed = { worker, service, zone, version, sequence: 1 };
    this.workers.push(listed);
    this.list(listed, "ready");
    return listed;
  }

  /** Writes a worker's entry. */
  list(listed, state) {
    const { worker, service, zone, version } = listed;
    listed.sequence += 1;
    this.store.write("servers", worker.id, {
      service,
      address: worker.address,
      zone,
      version,
      slots: 128,
      state,
      coldRemainingMs: 0,
      sequence: listed.sequence,
      ...worker.life,
    });
  }

  /** Ends a worker's process and removes its entry. */
  async endWorker({ worker }) {
    await worker[Symbol.asyncDispose]();
    this.store.remove("servers", worker.id);
  }

  async end() {
    await Promise.all(
      this.workers.map(({ worker }) => worker[Symbol.asyncDispose]()),
    );
    await this.store[Symbol.asyncDispose]();
    await this.cloud[Symbol.asyncDispose]();
  }
}

/** A route of the configuration; its prefix is its name. */
export function route(name, more) {
  return {
    name,
    host: HOST_NAME,
    pathPrefix: `/${name}/`,
    timeoutMs: 15_000,
    targetLatencyMs: 600,
    priority: 1,
    public: false,
    ...more,
  };
}

/** A configuration of the platform. */
export function configuration(version, { routes, services }) {
  return { version, routes, services, ...COMMON };
}

/** Headers of a client's request. */
export function clientHeaders(attempt, deadlineMs) {
  return {
    host: HOST_NAME,
    [HEADERS.attemptId]: attempt,
    [HEADERS.deadline]: String(Math.max(1, Math.round(deadlineMs))),
    [HEADERS.authorization]: `${KEY_SCHEME} ${KEY}`,
  };
}
