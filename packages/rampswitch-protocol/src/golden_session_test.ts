// Copyright 2026 the rampswitch authors. Apache-2.0 license.

import { describe, expect, test } from "@jest/globals";
import { readFileSync } from "node:fs";
import { join } from "node:path";
import { SlotReplica } from "./slot_replica.ts";
import type { SlotEffect, SlotEntry } from "./slot_types.ts";

const TIMES = { retention: 900_000, clockSkew: 2_000 };
const FIRST: SlotEntry = {
  epoch: 1,
  primary: "a",
  backup: "b",
  knownSince: 0,
};

/** Records a session of three hosts and one slot, line by line. */
class Session {
  readonly #hosts = new Map(
    ["a", "b", "c"].map((name) => [
      name,
      new SlotReplica(name, 0, { times: TIMES }),
    ]),
  );
  readonly #lines: string[] = [];
  #entry = FIRST;

  constructor() {
    this.#hosts.forEach((replica) => replica.observe(FIRST));
    this.#lines.push(`table ${describeEntry(FIRST)}`);
  }

  get text(): string {
    return `${this.#lines.join("\n")}\n`;
  }

  /** Makes a host perform an action. */
  act(
    host: string,
    what: string,
    run: (replica: SlotReplica) => readonly SlotEffect[],
  ): this {
    const replica = this.#hosts.get(host)!;
    this.#lines.push(`${host}: ${what}`);
    this.#applyEffects(host, run(replica), []);
    return this;
  }

  /** A caller sends a request for a key to a host; messages to `lostTo` are lost. */
  ask(host: string, key: string, lostTo: readonly string[] = []): this {
    const replica = this.#hosts.get(host)!;
    const request = { key, keyTime: 5_000, guarded: true };
    const verdict = replica.evaluate(request, 5_000);
    this.#lines.push(`${host}: asked for ${key}: ${verdict.kind}`);
    if (verdict.kind === "known") {
      this.#lines.push(`  ${key} is ${verdict.record.status}`);
    }
    if (verdict.kind === "new") {
      this.#applyEffects(host, replica.open(request, 5_000), lostTo);
    }
    return this;
  }

  /** Makes hosts read the table. */
  read(...hosts: readonly string[]): this {
    hosts.forEach((host) => {
      this.#lines.push(`${host}: reads the table`);
      this.#applyEffects(host, this.#hosts.get(host)!.observe(this.#entry), []);
    });
    return this;
  }

  #applyEffects(
    host: string,
    effects: readonly SlotEffect[],
    lostTo: readonly string[],
  ): void {
    effects.forEach((effect) => {
      if (effect.kind === "send") {
        const lost = lostTo.includes(effect.to);
        const epoch = effect.message.epoch;
        this.#lines.push(
          `  ${host} -> ${effect.to} ${effect.message.kind} ` +
            `(epoch ${epoch})${lost ? ", lost" : ""}`,
        );
        if (lost) return;
        const to = this.#hosts.get(effect.to)!;
        this.#applyEffects(effect.to, to.receive(host, effect.message), lostTo);
      } else if (effect.kind === "propose") {
        const { from, to } = effect.proposal;
        const won = from?.epoch === this.#entry.epoch;
        if (won) this.#entry = to;
        this.#lines.push(
          `  ${host} proposes ${describeEntry(to)}: ${won ? "won" : "lost"}`,
        );
      } else {
        this.#lines.push(
          `  ${host} ${effect.kind}${"key" in effect ? ` ${effect.key}` : ""}`,
        );
      }
    });
  }
}

function describeEntry(entry: SlotEntry): string {
  return (
    `epoch ${entry.epoch} primary ${entry.primary} ` +
    `backup ${entry.backup ?? "none"} known since ${entry.knownSince}`
  );
}

const SESSIONS: Readonly<Record<string, () => Session>> = {
  takeover: () =>
    new Session()
      .ask("a", "k1")
      .ask("a", "k2", ["b"])
      .act("b", "promotes itself", (replica) => replica.promote())
      .ask("a", "k3")
      .read("b")
      .ask("b", "k1")
      .ask("b", "k2")
      .read("a")
      .ask("a", "k2")
      .act("b", "fills c", (replica) => replica.addLearner("c"))
      .read("b", "c")
      .ask("b", "k4"),
  handover: () =>
    new Session()
      .ask("a", "k1")
      .act("a", "ends k1", (replica) => replica.finish("k1", "done"))
      .act("a", "hands over", (replica) => replica.handOver())
      .read("a", "b")
      .ask("b", "k1")
      .ask("b", "k2"),
  bothLost: () =>
    new Session()
      .ask("a", "k1")
      .act("c", "takes the slot without proof", (replica) =>
        replica.takeOver(() => false, 6_000),
      )
      .act("c", "takes the slot, a is gone", (replica) =>
        replica.takeOver((host) => host === "a", 6_000),
      )
      .read("c")
      .ask("c", "k1"),
};

describe("golden sessions of the slot protocol", () => {
  test.each(Object.entries(SESSIONS))("%s", (name, session) => {
    const file = join(__dirname, "..", "golden", `${name}.txt`);
    expect(session().text).toBe(readFileSync(file, "utf8"));
  });
});
