// Copyright 2026 the rampswitch authors. Apache-2.0 license.

import { expect, jest, test } from "@jest/globals";
import { ManualClock } from "rampswitch-utils";
import { NamedVersions } from "./named_versions.ts";
import { VersionHistory } from "./version_history.ts";

const RETENTION_MILLISECONDS = 60_000;
const SERVICES = 500;

// Guards against a walk over all services in each check, several times a second.
test("versions are looked through only once one ended", () => {
  const clock = new ManualClock(0);
  const history = new VersionHistory(RETENTION_MILLISECONDS);
  const names = new NamedVersions(history, clock);
  const services = Array.from({ length: SERVICES }, (_, index) => `s${index}`);
  services.forEach((service) => {
    const server = { id: service, service, version: "v1" };
    history.listed(server, { now: 0, changedAfter: 0 });
  });
  names.read(history.all(0));
  names.forgetEnded();
  const walk = jest.spyOn(history, "all");
  const check = (milliseconds: number) => {
    clock.advance(milliseconds);
    names.forgetEnded();
    return [walk.mock.calls.length, names.hasUnnamed];
  };
  const walks = Array.from({ length: 100 }, () => check(250));
  expect(walks).toEqual(walks.map(() => [0, false]));
  history.removed("s0", clock.now());
  expect(check(RETENTION_MILLISECONDS)).toEqual([0, false]);
  expect(check(1)[0]).toBeGreaterThan(0);
  // The version that ended has to be named anew.
  const back = { id: "s0", service: "s0", version: "v1" };
  history.listed(back, { now: clock.now(), changedAfter: clock.now() });
  names.listed(back);
  expect([...(names.unnamedOf("s0") ?? [])]).toEqual(["v1"]);
});

// Guards against streams that begin at a version that is taken out of the object.
test("a version that ended is named no more though the object still names it", () => {
  const clock = new ManualClock(0);
  const history = new VersionHistory(RETENTION_MILLISECONDS);
  const names = new NamedVersions(history, clock);
  const server = { id: "s1", service: "s", version: "v1" };
  history.listed(server, { now: 0, changedAfter: 0 });
  const object = history.all(0);
  names.read(object);
  history.removed("s1", 0);
  clock.advance(RETENTION_MILLISECONDS + 1);
  names.forgetEnded();
  names.read(object);
  names.forgetEnded();
  names.listed(server);
  expect(names.hasUnnamed).toBe(true);
});

// Guards against hosts that keep a version that ended in the object by turns.
test.each([
  ["that knows it by the object alone", [false, false], () => undefined],
  [
    "that listed it",
    [true, false],
    (history: VersionHistory) => {
      const server = { id: "s1", service: "s", version: "v1" };
      history.listed(server, { now: 0, changedAfter: 0 });
      history.removed("s1", 0);
    },
  ],
  [
    "that is told of its streams",
    [true, true],
    (history: VersionHistory, now: number) => history.served("s", ["v1"], now),
  ],
])(
  "a version is added again for no longer than a stream lasts by a host %s",
  (_, expected, see) => {
    const clock = new ManualClock(0);
    const history = new VersionHistory(RETENTION_MILLISECONDS);
    const names = new NamedVersions(history, clock);
    const isAdded = [RETENTION_MILLISECONDS, 1].map((milliseconds) => {
      names
        .read(new Map([["s", ["v1"]]]))
        .forEach((versions) => history.named("s", versions, clock.now()));
      see(history, clock.now());
      clock.advance(milliseconds);
      names.read(new Map([["s", []]]));
      return names.due.get("s")?.includes("v1");
    });
    expect(isAdded).toEqual(expected);
    // It counts at this host nevertheless.
    expect(history.versionsOf("s", clock.now())).toEqual(["v1"]);
  },
);
