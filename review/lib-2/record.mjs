// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/** The record of one run, and the ends of a run that could not be played. */
import { appendFileSync, writeFileSync } from "node:fs";
import { performance } from "node:perf_hooks";
import process from "node:process";
import { setTimeout } from "node:timers";
import { fileURLToPath, URL } from "node:url";

/** Exit codes of a script. */
export const EXIT = { held: 0, broken: 1, notRun: 2 };

/** A script ends before the time that it may take. */
const LONGEST_MS = 115_000;

/** Writes `record.txt` in the folder of the case. */
export class Record {
  #file;
  #startedAt = performance.now();

  /** Takes the URL of the case's script. */
  constructor(script) {
    this.#file = fileURLToPath(new URL("record.txt", script));
    writeFileSync(this.#file, "");
    const giveUp = (why) => {
      this.note(`not run: ${why}`);
      process.exit(EXIT.notRun);
    };
    process.on("uncaughtException", (error) => giveUp(error.stack));
    process.on("unhandledRejection", (error) => giveUp(String(error)));
    ["SIGINT", "SIGTERM"].forEach((name) =>
      process.on(name, () => giveUp(name)),
    );
    setTimeout(() => giveUp("out of time"), LONGEST_MS).unref();
  }

  note(text) {
    const seconds = (performance.now() - this.#startedAt) / 1_000;
    appendFileSync(this.#file, `${seconds.toFixed(3)} ${text}\n`);
  }
}
