// Copyright 2026 the rampswitch authors. Apache-2.0 license.

import { type ChildProcess, spawn } from "node:child_process";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { createInterface } from "node:readline";
import { fileURLToPath } from "node:url";
import { stringify } from "yaml";
import type { EntryAddresses } from "rampswitch-entry";
import type { Settings } from "rampswitch-validation";
import type { LocalPlatformOptions } from "./local_platform.ts";
import type { StandinsListening } from "./standins_process.ts";

const CLOCK_TICKS_PER_SECOND = 100;
const KIBIBYTE = 1024;
const PACKAGES = fileURLToPath(new URL("../../", import.meta.url));

/** Processor time and memory of a process. */
export interface ProcessFigures {
  readonly processorMilliseconds: number;
  readonly memoryBytes: number;
}

/** A process and the lines that it prints. */
export class Child implements AsyncDisposable {
  readonly #process: ChildProcess;
  readonly #lines: string[] = [];
  readonly #waiting: ((line: string) => void)[] = [];
  readonly #ended: Promise<void>;
  #running = true;

  /** Starts a script; `flags` are those of Node.js. */
  constructor(
    script: string,
    args: readonly string[],
    flags: readonly string[] = [],
  ) {
    const command = [...flags, join(PACKAGES, script), ...args];
    this.#process = spawn(process.execPath, command, {
      stdio: ["ignore", "pipe", "inherit"],
    });
    this.#ended = new Promise((resolve) => {
      this.#process.once("exit", () => {
        this.#running = false;
        resolve();
      });
    });
    const { stdout } = this.#process;
    if (stdout === null) return;
    createInterface({ input: stdout }).on("line", (line) => {
      const waiting = this.#waiting.shift();
      if (waiting === undefined) this.#lines.push(line);
      else waiting(line);
    });
  }

  /** Id of the process, if it runs. */
  get processId(): number | undefined {
    return this.#running ? this.#process.pid : undefined;
  }

  /** Whether the process has not ended. */
  get running(): boolean {
    return this.#running;
  }

  /** The next line that the process prints. */
  line(): Promise<string> {
    const line = this.#lines.shift();
    return line === undefined
      ? new Promise((resolve) => this.#waiting.push(resolve))
      : Promise.resolve(line);
  }

  /** Sends a signal. */
  signal(signal: NodeJS.Signals): void {
    if (this.#running) this.#process.kill(signal);
  }

  /** Resolves when the process has ended. */
  ended(): Promise<void> {
    return this.#ended;
  }

  /** Processor time and memory up to now. */
  figures(): ProcessFigures {
    const { pid } = this.#process;
    const fields = readFileSync(`/proc/${pid}/stat`, "utf8")
      .split(") ")[1]
      ?.split(" ");
    const ticks = Number(fields?.[11]) + Number(fields?.[12]);
    const resident = /VmRSS:\s+(\d+) kB/.exec(
      readFileSync(`/proc/${pid}/status`, "utf8"),
    );
    return {
      processorMilliseconds: (ticks * 1000) / CLOCK_TICKS_PER_SECOND,
      memoryBytes: Number(resident?.[1]) * KIBIBYTE,
    };
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.signal("SIGCONT");
    this.signal("SIGKILL");
    await this.#ended;
  }
}

/** An entry host in a process of its own. */
export class EntryChild extends Child {
  readonly settings: Settings;
  readonly #folder: string;
  #addresses: EntryAddresses | undefined;

  private constructor(
    settings: Settings,
    folder: string,
    flags: readonly string[],
  ) {
    const file = join(folder, "settings.yaml");
    writeFileSync(file, stringify(settings));
    super("rampswitch-entry/bin/rampswitchd.mjs", ["--settings", file], flags);
    this.settings = settings;
    this.#folder = folder;
  }

  /** Starts an entry host; resolves once it listens. */
  static async start(
    settings: Settings,
    flags: readonly string[] = [],
  ): Promise<EntryChild> {
    const folder = mkdtempSync(join(tmpdir(), "rampswitch-"));
    const child = new EntryChild(settings, folder, flags);
    const line = JSON.parse(await child.line()) as {
      readonly listening: EntryAddresses;
    };
    child.#addresses = line.listening;
    return child;
  }

  /** Where the host listens. */
  get addresses(): EntryAddresses {
    return this.#addresses ?? { callers: "", peers: "", administration: "" };
  }

  override async [Symbol.asyncDispose](): Promise<void> {
    await super[Symbol.asyncDispose]();
    rmSync(this.#folder, { recursive: true, force: true });
  }
}

/** Stand-ins in a process of their own. */
export class StandinsChild extends Child {
  #listening: StandinsListening | undefined;

  private constructor(options: LocalPlatformOptions) {
    super("rampswitch-measure/bin/standins.mjs", [JSON.stringify(options)]);
  }

  /** Starts the stand-ins; resolves once they listen. */
  static async start(options: LocalPlatformOptions): Promise<StandinsChild> {
    const child = new StandinsChild(options);
    child.#listening = JSON.parse(await child.line()) as StandinsListening;
    return child;
  }

  /** Where they listen. */
  get listening(): StandinsListening {
    if (this.#listening === undefined) throw new Error("not started");
    return this.#listening;
  }
}
