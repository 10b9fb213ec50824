// Copyright 2026 the rampswitch authors. Apache-2.0 license.

import { describe, expect, test } from "@jest/globals";
import { type LogFields, ManualClock, SILENT_LOGGER } from "rampswitch-utils";
import { ServingMetrics } from "../observation/mod.ts";
import { PeerReach } from "./peer_reach.ts";
import { ServerContacts } from "./server_contacts.ts";

function contactsOf() {
  const clock = new ManualClock();
  const peers = new PeerReach(clock);
  const lines: (LogFields & { readonly message: string })[] = [];
  const log = (message: string, fields: LogFields = {}) =>
    void lines.push({ message, ...fields });
  const contacts = new ServerContacts({
    clock,
    logger: { ...SILENT_LOGGER, info: log },
    metrics: new ServingMetrics(),
    peersWithout: (server) => peers.countWithout(server),
    onChange: () => undefined,
    onSeveralFailed: () => undefined,
  });
  return { clock, peers, lines, contacts };
}

describe("contacts with servers", () => {
  test("name a server out of reach until it is heard", () => {
    const { clock, lines, contacts } = contactsOf();
    contacts.connectionFailed("s1", "refused");
    contacts.connectionFailed("s1", "refused");
    expect(contacts.outOfReach()).toEqual(["s1"]);
    clock.advance(300);
    contacts.heard("s1");
    expect(contacts.outOfReach()).toEqual([]);
    expect(lines.map(({ message }) => message)).toEqual([
      "server out of reach",
      "server in reach",
    ]);
    expect(lines[1]).toMatchObject({ milliseconds: 300 });
  });

  test("tell a server that is down from one that only this host lacks", () => {
    const { peers, lines, contacts } = contactsOf();
    peers.receive("b", ["s1"], 0);
    peers.receive("c", ["s1", "s3"], 0);
    contacts.connectionFailed("s1", "refused");
    contacts.connectionFailed("s2", "refused");
    expect(lines.map(({ peersWithout }) => peersWithout)).toEqual([2, 0]);
  });

  test("know when several servers failed and none was heard since", () => {
    const { clock, contacts } = contactsOf();
    contacts.connectionFailed("s1", "refused");
    expect(contacts.severalFailed).toBe(false);
    contacts.connectionFailed("s2", "refused");
    expect(contacts.severalFailed).toBe(true);
    contacts.heard("s3");
    expect(contacts.severalFailed).toBe(false);
    contacts.connectionFailed("s1", "refused");
    contacts.connectionFailed("s2", "refused");
    clock.advance(3_001);
    expect(contacts.severalFailed).toBe(false);
  });

  test("drop failures that are old and servers that are gone", () => {
    const { clock, contacts } = contactsOf();
    contacts.connectionFailed("s1", "refused");
    contacts.connectionFailed("s2", "refused");
    contacts.forget("s2");
    expect(contacts.outOfReach()).toEqual(["s1"]);
    clock.advance(10_001);
    expect(contacts.outOfReach()).toEqual([]);
  });
});

describe("reach of peers", () => {
  test("counts for some rounds of gossip", () => {
    const { clock, peers } = contactsOf();
    peers.receive("b", ["s1"], 0);
    expect(peers.lacks("b", "s1")).toBe(true);
    expect(peers.lacks("b", "s2")).toBe(false);
    clock.advance(3_001);
    expect(peers.lacks("b", "s1")).toBe(false);
  });

  test("is taken from a relay that names hosts, and dropped with its next digest", () => {
    const { peers } = contactsOf();
    peers.receiveFleet(["b", "c"]);
    expect(peers.hosts()).toEqual(["b", "c"]);
    expect(peers.lacks("c", "s7")).toBe(true);
    peers.receiveFleet(["c"]);
    expect(peers.hosts()).toEqual(["c"]);
  });
});

// Guards against memory and work that grow with each host that lacked a server.
test("reports of hosts that ended are forgotten during 10,000 replacements", () => {
  const clock = new ManualClock();
  const peers = new PeerReach(clock);
  const known = Array.from({ length: 10_000 }, (_, index) => {
    clock.advance(400);
    peers.receive(`replaced-${index}`, ["s1"], 0);
    return peers.knownHosts;
  });
  expect(Math.max(...known)).toBeLessThan(20);
  expect(peers.countWithout("s1")).toBe(8);
});
