// Copyright 2026 the rampswitch authors. Apache-2.0 license.

import { describe, expect, test } from "@jest/globals";
import { FleetHosts } from "./fleet_hosts.ts";
import { entriesOf, hear, hostNames } from "./fleet_hosts_standin.ts";

const SELF = { name: "self", dataHall: "a", cores: 1 };
const PRESENT = hostNames("present", 4);
const GONE = hostNames("gone", 600);
const START = 1_000;

/** Time in which roles settle beside gone hosts, in milliseconds. */
const SETTLING_MILLISECONDS = 70_000;

const MINUTE_MILLISECONDS = 60_000;

/**
 * Guards against relays in a small fleet: each entry in the store counted as a host,
 * whether or not its host had been there since this one started.
 */
describe("a host of five that finds 600 entries of gone hosts", () => {
  const listed = entriesOf(["self", ...PRESENT, ...GONE]);

  test("needs no relays for them while it hears the others itself", () => {
    const hosts = new FleetHosts(SELF);
    const until = START + SETTLING_MILLISECONDS;
    hear({ hosts, from: START, until, listed, heard: PRESENT });
    expect(hosts.role(until)).toBe("direct");
    expect(hosts.expectedCount(until)).toBe(5);
    expect(hosts.size(until)).toBe(5);
  });

  test("needs no relays for them while relays tell it of the others", () => {
    const hosts = new FleetHosts(SELF);
    const told = START + SETTLING_MILLISECONDS;
    hear({ hosts, from: START, until: told, listed, digested: 5 });
    expect(hosts.role(told)).toBe("direct");
    // The relays stop their digests as well.
    const later = told + 10 * MINUTE_MILLISECONDS;
    const roles = new Set<string>();
    for (let from = told; from < later; from += 1_000) {
      const until = from + 1_000;
      hear({ hosts, from, until, listed, heard: PRESENT });
      roles.add(hosts.role(until));
    }
    expect([...roles]).toEqual(["direct"]);
    expect(hosts.expectedCount(later)).toBe(5);
  });

  test("sends updates to present hosts and to a few of the gone in turn", () => {
    const hosts = new FleetHosts(SELF);
    const until = START + SETTLING_MILLISECONDS;
    hear({ hosts, from: START, until, listed, heard: PRESENT });
    const rounds = Array.from({ length: 150 }, (_, round) =>
      hosts.directRecipients(until, round).map(({ name }) => name),
    );
    rounds.forEach((names) => {
      expect(names).toEqual(expect.arrayContaining([...PRESENT]));
      expect(names.length).toBeLessThanOrEqual(PRESENT.length + 4);
    });
    expect(new Set(rounds.flat()).size).toBe(PRESENT.length + GONE.length);
  });
});

/**
 * Guards against a host that nobody hears: it sought its relays among all entries in
 * turn, while hosts that had no relays any more sent it their updates.
 */
test("a member without digests sends its updates to hosts that it hears", () => {
  const hosts = new FleetHosts(SELF);
  const until = START + 30_000;
  const listed = entriesOf(["self", ...PRESENT, ...GONE]);
  hear({ hosts, from: START, until, listed, heard: PRESENT });
  const rounds = Array.from({ length: 20 }, (_, round) =>
    hosts.relaysToUpdate(until, round).map(({ name }) => name),
  );
  rounds.forEach((names) => {
    expect(names).toEqual(expect.arrayContaining([...PRESENT]));
    expect(names.length).toBeLessThanOrEqual(8);
  });
});

describe("a host of 40", () => {
  const others = hostNames("other", 39);
  const listed = entriesOf(["self", ...others]);

  test("keeps relays while the others are silent for half a minute", () => {
    const hosts = new FleetHosts(SELF);
    const silent = START + 10 * MINUTE_MILLISECONDS;
    hear({ hosts, from: START, until: silent, listed, heard: others });
    const until = silent + MINUTE_MILLISECONDS / 2;
    hear({ hosts, from: silent, until, listed, heard: others.slice(0, 5) });
    expect(hosts.role(until)).not.toBe("direct");
    expect(hosts.expectedCount(until)).toBe(40);
  });

  test("keeps relays while it hears nobody for an hour", () => {
    const hosts = new FleetHosts(SELF);
    const silent = START + 10 * MINUTE_MILLISECONDS;
    hear({ hosts, from: START, until: silent, listed, heard: others });
    const until = silent + 60 * MINUTE_MILLISECONDS;
    hear({ hosts, from: silent, until, listed });
    expect(hosts.role(until)).not.toBe("direct");
    expect(hosts.expectedCount(until)).toBe(40);
  });

  test("keeps relays after a suspension of an hour", () => {
    const hosts = new FleetHosts(SELF);
    const suspended = START + 10 * MINUTE_MILLISECONDS;
    hear({ hosts, from: START, until: suspended, listed, heard: others });
    const resumed = suspended + 60 * MINUTE_MILLISECONDS;
    const until = resumed + 1_000;
    hear({ hosts, from: resumed, until, listed, heard: others.slice(0, 1) });
    expect(hosts.role(until)).not.toBe("direct");
    expect(hosts.expectedCount(until)).toBe(40);
  });

  test("keeps relays as a member while a relay that just started knows three", () => {
    const hosts = new FleetHosts(SELF);
    const restart = START + 10 * MINUTE_MILLISECONDS;
    hear({ hosts, from: START, until: restart, listed, digested: 40 });
    const until = restart + MINUTE_MILLISECONDS / 2;
    hear({ hosts, from: restart, until, listed, digested: 3 });
    expect(hosts.role(until)).toBe("member");
  });

  test("keeps relays as a member whose relays fall silent", () => {
    const hosts = new FleetHosts(SELF);
    const silent = START + 10 * MINUTE_MILLISECONDS;
    hear({ hosts, from: START, until: silent, listed, digested: 40 });
    const until = silent + MINUTE_MILLISECONDS / 2;
    hear({ hosts, from: silent, until, listed, heard: others.slice(0, 2) });
    expect(hosts.role(until)).not.toBe("direct");
  });

  test("sends updates to few as a member that loses the others for minutes", () => {
    const hosts = new FleetHosts(SELF);
    const cut = START + 10 * MINUTE_MILLISECONDS;
    hear({ hosts, from: START, until: cut, listed, digested: 40 });
    const until = cut + 2 * MINUTE_MILLISECONDS;
    hear({ hosts, from: cut, until, listed, digested: 6 });
    expect(hosts.role(until)).toBe("direct");
    const rounds = Array.from({ length: 10 }, (_, round) =>
      hosts.directRecipients(until, round).map(({ name }) => name),
    );
    expect(rounds.map(({ length }) => length)).toEqual(rounds.map(() => 4));
    expect(new Set(rounds.flat()).size).toBe(39);
  });
});

/**
 * Guards against memory that grows with each host that ever was: a known host was
 * kept although neither the store nor a message named it again.
 */
describe("a host that is neither listed nor heard", () => {
  const listed = entriesOf(["self", ...PRESENT]);
  const start = entriesOf(["self", ...PRESENT, ...GONE]);

  function namesOf(hosts: FleetHosts): readonly string[] {
    return hosts.all().map(({ name }) => name);
  }

  test("is forgotten, and hosts that are heard or listed are kept", () => {
    const hosts = new FleetHosts(SELF);
    const removed = START + MINUTE_MILLISECONDS;
    const heard = PRESENT.slice(0, 2);
    hear({ hosts, from: START, until: removed, listed: start, heard });
    const until = removed + 6 * MINUTE_MILLISECONDS;
    hear({
      hosts,
      from: removed,
      until,
      listed,
      heard: [...heard, "unlisted"],
    });
    expect(namesOf(hosts).toSorted()).toEqual([...PRESENT, "unlisted"]);
  });

  test("is forgotten by a member, which hears its relays alone", () => {
    const hosts = new FleetHosts(SELF);
    const removed = START + MINUTE_MILLISECONDS;
    hear({ hosts, from: START, until: removed, listed: start, digested: 5 });
    const until = removed + 6 * MINUTE_MILLISECONDS;
    hear({ hosts, from: removed, until, listed, digested: 5 });
    expect(namesOf(hosts).toSorted()).toEqual(PRESENT);
  });

  test("is kept by a host that hears nobody", () => {
    const hosts = new FleetHosts(SELF);
    hear({ hosts, from: START, until: 2_000, listed: start, heard: PRESENT });
    hear({ hosts, from: 2_000, until: 60 * MINUTE_MILLISECONDS, listed });
    expect(namesOf(hosts)).toHaveLength(PRESENT.length + GONE.length);
  });

  test("is forgotten after 10,000 replacements in an hour, so that memory is bounded", () => {
    const hosts = new FleetHosts(SELF);
    const hour = 60 * MINUTE_MILLISECONDS;
    const replacements = 10_000;
    const each = hour / replacements;
    const sizes = hostNames("replaced", replacements).map((name, index) => {
      const now = START + index * each;
      hear({
        hosts,
        from: now,
        until: now + 250,
        listed: entriesOf(["self", ...PRESENT, name]),
        heard: [...PRESENT, name],
      });
      return hosts.all().length;
    });
    // Those of five minutes, and a read of the list.
    expect(Math.max(...sizes)).toBeLessThan((6 * replacements) / 60);
  });

  test("counts as gone only after minutes in which others were heard in person", () => {
    const hosts = new FleetHosts(SELF);
    const [name = ""] = GONE;
    const early = START + 4 * MINUTE_MILLISECONDS;
    hear({ hosts, from: START, until: early, listed: start, heard: PRESENT });
    expect(hosts.isGone(name)).toBe(false);
    const late = early + 2 * MINUTE_MILLISECONDS;
    hear({ hosts, from: early, until: late, listed: start, heard: PRESENT });
    expect(hosts.isGone(name)).toBe(true);
    expect(PRESENT.filter((present) => hosts.isGone(present))).toEqual([]);
  });

  test("does not count as gone by digests, or by a host that heard nobody", () => {
    const until = START + 60 * MINUTE_MILLISECONDS;
    const member = new FleetHosts(SELF);
    hear({ hosts: member, from: START, until, listed: start, digested: 5 });
    // Candidates for relays send it updates beside the digests.
    const candidate = new FleetHosts(SELF);
    const heard = PRESENT.slice(0, 1);
    hear({
      hosts: candidate,
      from: START,
      until,
      listed: start,
      heard,
      digested: 5,
    });
    const lonely = new FleetHosts(SELF);
    hear({ hosts: lonely, from: START, until, listed: start });
    [member, candidate, lonely].forEach((hosts) => {
      expect(GONE.filter((name) => hosts.isGone(name))).toEqual([]);
    });
  });

  test("counts as present again by an update or a new entry", () => {
    const hosts = new FleetHosts(SELF);
    const until = START + 6 * MINUTE_MILLISECONDS;
    hear({ hosts, from: START, until, listed: start, heard: PRESENT });
    const [heard = "", registered = ""] = GONE;
    hear({
      hosts,
      from: until,
      until: until + 250,
      listed: start,
      heard: [heard],
    });
    hosts.addListed(
      start.map((entry) =>
        entry.name === registered ? { ...entry, version: 2 } : entry,
      ),
      until,
    );
    expect([heard, registered].filter((name) => hosts.isGone(name))).toEqual(
      [],
    );
    expect(GONE.filter((name) => hosts.isGone(name))).toHaveLength(598);
  });
});
