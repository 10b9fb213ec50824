// A small deployment on loopback addresses: stand-ins of the store and the cloud,
// backend servers, and hosts as processes of the program that the deploy file names.

import { spawn } from "node:child_process";
import {
  existsSync,
  mkdtempSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from "node:fs";
import { get } from "node:http";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import {
  PATHS,
  SERVER_STATES,
  SETTINGS_VARIABLE,
} from "../../platform/dist/names.js";
import { CloudStandin } from "../../platform/dist/standins/cloud_standin.js";
import { StoreStandin } from "../../platform/dist/standins/store_standin.js";

const ROOT = fileURLToPath(new URL("../../", import.meta.url));
const HERE = fileURLToPath(new URL("./", import.meta.url));

/** Exit code of a case that could not run. */
export const COULD_NOT_RUN = 2;

const CONFIGURATION = JSON.parse(
  readFileSync(join(HERE, "configuration.json"), "utf8"),
);
const ENTRY = readFileSync(join(HERE, "server_entry.json"), "utf8");
const SETTINGS = readFileSync(join(HERE, "settings.conf"), "utf8");

/** Host name that clients give. */
export const CALLER_HOST = CONFIGURATION.routes[0].host;

/** Key that clients use. */
export const CALLER_KEY = Object.values(CONFIGURATION.tenants[0]).find(
  Array.isArray,
)[0];

/** Port of the figures of each host, as the deploy file names it. */
const METRICS_PORT = 9464;

/** Time in which all hosts have to be ready, in milliseconds. */
const READY_MILLISECONDS = 30_000;

/** Time after which the platform starts an ended process again, in milliseconds. */
const RESTART_MILLISECONDS = 500;

/** Variables that a program gets of its caller. */
const PASSED_VARIABLES = ["PATH", "HOME", "LANG"];

/** Processes of the program that run; they end with the case, however it ends. */
const RUNNING = new Set();

process.once("exit", () => RUNNING.forEach((child) => child.kill("SIGKILL")));
["SIGTERM", "SIGINT"].forEach((signal) =>
  process.once(signal, () => process.exit(COULD_NOT_RUN)),
);

/** The hosts of a case and everything around them. */
export class Deployment {
  hosts = [];
  servers = [];
  #record;
  #isEnding = false;
  #folder = mkdtempSync(join(tmpdir(), "rampswitch-review-"));

  constructor(record) {
    this.#record = record;
  }

  /** Starts stand-ins, servers and hosts; resolves when all hosts are ready. */
  async start({ servers, hosts }) {
    this.store = await StoreStandin.start();
    this.cloud = await CloudStandin.start();
    this.store.write("config", "main", CONFIGURATION);
    this.servers = servers;
    for (const server of servers) {
      await server.start();
      this.list(server, SERVER_STATES.ready);
    }
    const network = await freeNetwork(hosts);
    for (let index = 0; index < hosts; index += 1) {
      await this.#startHost(index, `${network}.${10 + index}`);
    }
    await Promise.all(this.hosts.map((host) => untilReady(host)));
    this.#record.add("case", "all hosts are ready");
  }

  /** Writes the entry of a server. */
  list(server, state) {
    this.store.write("servers", server.id, {
      ...JSON.parse(ENTRY),
      service: server.service,
      address: server.address,
      zone: server.zone,
      state,
      born: server.born,
    });
  }

  /** Ends all processes and stand-ins. */
  async end() {
    this.#isEnding = true;
    this.hosts.forEach(({ child }) => child?.kill("SIGKILL"));
    this.servers.forEach((server) => server.stop());
    await Promise.all([
      this.store?.[Symbol.asyncDispose](),
      this.cloud?.[Symbol.asyncDispose](),
    ]);
    rmSync(this.#folder, { recursive: true, force: true });
  }

  async #startHost(index, ip) {
    const name = `edge-${index}`;
    const ports = await freePorts(ip);
    const values = {
      NAME: name,
      ZONE: index % 2 === 0 ? "a" : "b",
      FRONT: ports[0],
      READINESS: ports[1],
      PEERS_END: ports[2] + 1,
      PEERS: ports[2],
      STORE: this.store.address,
      CLOUD: this.cloud.address,
      IP: ip,
    };
    const path = join(this.#folder, `${name}.conf`);
    writeFileSync(path, filled(SETTINGS, values));
    const host = {
      name,
      front: `${ip}:${ports[0]}`,
      readiness: `http://${ip}:${ports[1]}${PATHS.readiness}`,
      ends: 0,
    };
    this.hosts.push(host);
    this.#startProcess(host, path);
  }

  /** Starts the process of a host, again whenever it ends, as the platform does. */
  #startProcess(host, settings) {
    const [program, ...words] = runCommand();
    const passed = PASSED_VARIABLES.map((name) => [name, process.env[name]]);
    host.child = spawn(program, words, {
      cwd: ROOT,
      env: { ...Object.fromEntries(passed), [SETTINGS_VARIABLE]: settings },
      stdio: "ignore",
    });
    const { child } = host;
    RUNNING.add(child);
    child.on("exit", async (code, signal) => {
      RUNNING.delete(child);
      if (this.#isEnding) return;
      host.ends += 1;
      this.#record.add(host.name, "process ends", { code, signal });
      await sleep(RESTART_MILLISECONDS);
      if (!this.#isEnding) this.#startProcess(host, settings);
    });
  }
}

/** Runs a case; it resolves to whether the rule held. */
export async function runCase(record, folder, play) {
  const deployment = new Deployment(record);
  let exitCode = COULD_NOT_RUN;
  try {
    exitCode = (await play(deployment)) ? 0 : 1;
  } catch (error) {
    record.add("case", "could not run", { error: error.stack });
  }
  record.add("case", "exit", { code: exitCode });
  record.write(join(folder, "record.txt"));
  await deployment.end();
  process.exit(exitCode);
}

/** Whether the case is played with its disruption. */
export const HAS_TROUBLE = process.env["TROUBLE"] !== "0";

/** The command of the deploy file, split at spaces. */
function runCommand() {
  const text = readFileSync(join(ROOT, "deploy/system.toml"), "utf8");
  const command = /^run = "(.*)"$/m.exec(text)?.[1].split(" ");
  const program = command?.at(-1) ?? "";
  if (!existsSync(join(ROOT, program))) throw new Error(`no ${program}`);
  return command;
}

function filled(template, values) {
  return Object.entries(values).reduce(
    (text, [name, value]) =>
      text.replace(new RegExp(`\\b${name}\\b`, "g"), String(value)),
    template,
  );
}

/** A loopback network on whose addresses the port of the figures is free. */
async function freeNetwork(hosts) {
  for (let tried = 0; tried < 200; tried += 1) {
    const network = `127.${20 + ((process.pid + tried) % 200)}.7`;
    const listening = [];
    try {
      for (let index = 0; index < hosts; index += 1) {
        listening.push(await listen(`${network}.${10 + index}`, METRICS_PORT));
      }
      return network;
    } catch {
      // Another program uses it.
    } finally {
      await Promise.all(listening.map(closed));
    }
  }
  throw new Error("no free network");
}

/** Three free ports of an address; the one after the last is free too. */
async function freePorts(ip) {
  const probes = await Promise.all([0, 0, 0].map((port) => listen(ip, port)));
  const ports = probes.map((probe) => probe.address().port);
  await Promise.all(probes.map(closed));
  return ports;
}

function listen(ip, port) {
  return new Promise((resolve, reject) => {
    const server = createServer();
    server.on("error", reject);
    server.listen(port, ip, () => resolve(server));
  });
}

function closed(server) {
  return new Promise((resolve) => server.close(resolve));
}

async function untilReady(host) {
  const latest = Date.now() + READY_MILLISECONDS;
  while ((await statusOf(host.readiness)) !== 200) {
    if (Date.now() > latest) throw new Error(`${host.name} is not ready`);
    await sleep(50);
  }
}

/** Status of the answer to a question; `undefined` without one in time. */
export function statusOf(url, milliseconds = READY_MILLISECONDS) {
  return new Promise((resolve) => {
    const asked = get(
      url,
      { agent: false, timeout: milliseconds },
      (answer) => {
        answer.resume();
        resolve(answer.statusCode);
      },
    );
    asked.on("timeout", () => asked.destroy(new Error("no answer")));
    asked.on("error", () => resolve(undefined));
  });
}
