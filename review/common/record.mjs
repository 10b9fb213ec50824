// The record of a case: what was sent, answered and run, one line each.

import { writeFileSync } from "node:fs";

/** Collects the events of one run of a case, and writes them to its folder. */
export class CaseRecord {
  #startedAt = Date.now();
  #lines = [];

  /** Milliseconds since the case began. */
  now() {
    return Date.now() - this.#startedAt;
  }

  /** Adds an event. */
  add(who, what, fields = {}) {
    const text = Object.entries(fields)
      .filter(([, value]) => value !== undefined)
      .map(([name, value]) => `${name}=${value}`)
      .join(" ");
    this.#lines.push(
      `${String(this.now()).padStart(6)} ${who} ${what} ${text}`,
    );
  }

  /** Writes all events to a file. */
  write(path) {
    writeFileSync(
      path,
      `${this.#lines.map((line) => line.trimEnd()).join("\n")}\n`,
    );
  }
}
