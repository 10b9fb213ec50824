// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Serving hosts as separate processes, started with the command of the deploy file,
 * each on a loopback address of its own.
 */
import { Buffer } from "node:buffer";
import { spawn } from "node:child_process";
import { randomInt } from "node:crypto";
import {
  closeSync,
  mkdtempSync,
  openSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from "node:fs";
import { get } from "node:http";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { performance } from "node:perf_hooks";
import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";
import { URL } from "node:url";
import { PATHS, SETTINGS_VARIABLE } from "../../platform/dist/names.js";

const ROOT = new URL("../..", import.meta.url).pathname;
const PORTS = { front: 8221, readiness: 8224, control: 8229, peers: 7600 };

/** Command of the role that carries the traffic, as the deploy file gives it. */
function runCommand() {
  const text = readFileSync(join(ROOT, "deploy/system.toml"), "utf8");
  const run = /^run = "([^"]+)"$/m.exec(text)?.[1];
  if (run === undefined) throw new Error("the deploy file names no command");
  return run.split(" ");
}

/** Settings of a small deployment; a script may replace single fields. */
const DEFAULT_SETTINGS = {
  "limits.cpuQuota": 0.675,
  "limits.cores": 1,
  "limits.memoryMb": 350,
  "limits.maxFds": 4100,
  "bounds.contactMs": 3000,
  "bounds.drainMs": 2000,
  "bounds.graceS": 8,
  "bounds.lossSlackMs": 200,
  "bounds.configApplyMs": 2000,
  "bounds.rollbackSlackMs": 250,
  "bounds.skewMaxMs": 5000,
  "bounds.revokeStrict": true,
  "bounds.revokeMs": 5000,
  "bounds.retryRatio": 0.2,
  "bounds.retryWindowS": 10,
  "bounds.retrySlack": 58,
  "bounds.quotaWindowS": 8,
  "bounds.quotaOverage": 0.1,
  "bounds.quotaSlack": 140000,
  "bounds.fencingEnforced": false,
  "bounds.leaseMs": 3000,
  "bounds.thawMs": 300,
  "bounds.reportWindowS": 5,
  "bounds.usageTolerance": 0.05,
  "bounds.usageLateS": 10,
  "bounds.recoveryS": 12,
};

/** Hosts of one run; all their processes end with it. */
export class Hosts {
  #folder = mkdtempSync(join(tmpdir(), "rampswitch-review-"));
  #network = `127.${randomInt(10, 250)}.${randomInt(1, 250)}`;
  #next = 1;
  #platform;
  #settings;
  all = [];

  /** `platform` has the addresses of the store and the cloud. */
  constructor(platform, settings = {}) {
    this.#platform = platform;
    this.#settings = { ...DEFAULT_SETTINGS, ...settings };
    process.once("exit", () => this.killAll());
  }

  /** Starts a host; `zones` are those of the deployment. */
  start(name, zone, zones, settings = {}) {
    const ip = `${this.#network}.${this.#next}`;
    this.#next += 1;
    const fields = {
      nodeName: name,
      role: "rampswitchd",
      machineClass: "edge",
      serves: "edge",
      ip,
      zone,
      region: "r",
      ...Object.fromEntries(zones.map((one) => [`zones.${one}`, "r"])),
      "listen.front": `${ip}:${PORTS.front}`,
      "listen.readiness": `${ip}:${PORTS.readiness}`,
      portRange: `${PORTS.peers},${PORTS.peers + 15}`,
      "platform.address": this.#platform.store,
      "cloud.address": this.#platform.cloud,
      ...this.#settings,
      ...settings,
    };
    const lines = Object.entries(fields).map((field) => field.join("="));
    const file = join(this.#folder, `${name}.conf`);
    writeFileSync(file, `${lines.join("\n")}\n`);
    const host = new Host({ name, ip, zone, file, folder: this.#folder });
    this.all.push(host);
    host.run();
    return host;
  }

  killAll() {
    this.all.forEach((host) => host.signal("SIGKILL"));
  }

  /** Ends all processes and removes their files. */
  async end() {
    this.killAll();
    await Promise.all(this.all.map((host) => host.ended));
    rmSync(this.#folder, { recursive: true, force: true });
  }
}

/** One host and its present process. */
class Host {
  name;
  ip;
  zone;
  exitCode;
  exitSignal;
  ended = Promise.resolve();
  #file;
  #logFile;
  #child;

  constructor({ name, ip, zone, file, folder }) {
    this.name = name;
    this.ip = ip;
    this.zone = zone;
    this.#file = file;
    this.#logFile = join(folder, `${name}.log`);
  }

  get front() {
    return { host: this.ip, port: PORTS.front };
  }

  get running() {
    return this.#child !== undefined;
  }

  /** What its processes have logged. */
  get log() {
    return readFileSync(this.#logFile, "utf8");
  }

  /** Starts its process, again after an end. */
  run() {
    const [program, ...parameters] = runCommand();
    const { PATH, HOME, LANG = "C.UTF-8" } = process.env;
    const output = openSync(this.#logFile, "a");
    const child = spawn(program, parameters, {
      cwd: ROOT,
      env: { PATH, HOME, LANG, [SETTINGS_VARIABLE]: this.#file },
      stdio: ["ignore", output, output],
    });
    closeSync(output);
    this.#child = child;
    this.exitCode = undefined;
    this.ended = new Promise((resolve) => {
      child.once("exit", (code, signal) => {
        this.exitCode = code;
        this.exitSignal = signal;
        this.#child = undefined;
        resolve();
      });
    });
  }

  signal(name) {
    this.#child?.kill(name);
  }

  /** Whether its readiness address answers 200. */
  isReady() {
    return new Promise((resolve) => {
      const call = get(
        {
          host: this.ip,
          port: PORTS.readiness,
          path: PATHS.readiness,
          timeout: 500,
          agent: false,
        },
        (answer) => {
          answer.resume();
          resolve(answer.statusCode === 200);
        },
      );
      call.once("error", () => resolve(false));
      call.once("timeout", () => call.destroy(new Error("silent")));
    });
  }
}

/** Waits until a condition holds; `false` if it does not in time. */
export async function until(holds, milliseconds) {
  const end = performance.now() + milliseconds;
  while (performance.now() < end) {
    if (await holds()) return true;
    await sleep(50);
  }
  return false;
}

/** Waits until hosts are ready; exits with 2 if they are not. */
export async function allReady(hosts, milliseconds = 20_000) {
  const ready = await until(
    async () =>
      (await Promise.all(hosts.map((host) => host.isReady()))).every(Boolean),
    milliseconds,
  );
  if (ready) return;
  process.stderr.write("the hosts did not become ready\n");
  process.exit(2);
}

/** Bytes of a text. */
export function bytesOf(text) {
  return Buffer.from(text, "latin1");
}
