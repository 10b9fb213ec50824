// Copyright 2026 the rampswitch authors. Apache-2.0 license.

import { describe, expect, test } from "@jest/globals";
import { problemText } from "./problems.ts";
import { checkResources } from "./resource_schema.ts";
import { checkSettings } from "./settings_schema.ts";

const SETTINGS = `
host: {name: entry-1, dataHall: hall-a}
listen:
  callers: 10.0.0.1:7000
  peers: 10.0.0.1:7001
  administration: 10.0.0.1:7002
peerSecret: sixteen-characters
platform: {objects: 10.0.1.1:80, hostList: 10.0.1.1:81, cloud: 10.0.1.1:82}
`;

function settingsProblems(text: string): readonly string[] {
  const checked = checkSettings(text);
  return checked.isErr ? checked.error.map(problemText) : [];
}

describe("settings", () => {
  test("that are valid get the default values", () => {
    const checked = checkSettings(SETTINGS);
    expect(checked.isOk && checked.value.slots).toEqual({
      count: 64,
      progress: "batch",
    });
  });

  test.each([
    [
      "an unknown key",
      `${SETTINGS}lisen: 1`,
      "lisen: found 1, expected no such name here",
    ],
    [
      "an invalid nested value",
      SETTINGS.replace("10.0.0.1:7001", "localhost:7001"),
      'listen.peers: found "localhost:7001", expected an IP number and port',
    ],
    [
      "a missing value",
      SETTINGS.replace(/peerSecret.*\n/, ""),
      "peerSecret: found nothing, expected string",
    ],
    [
      "a negative limit",
      `${SETTINGS}limits: {bodyBytes: -1}`,
      "limits.bodyBytes: found -1",
    ],
    ["text that is not YAML", "host: [", "expected YAML that parses"],
  ])("with %s are reported with the path", (_name, text, expected) => {
    expect(settingsProblems(text).join("\n")).toContain(expected);
  });
});

describe("resources", () => {
  test("are read from a stream of documents", () => {
    const checked = checkResources(
      "kind: Service\nname: a\ntype: plain\n---\n" +
        "kind: Workspace\nname: w\n",
    );
    expect(checked.isOk && checked.value.map(({ kind }) => kind)).toEqual([
      "Service",
      "Workspace",
    ]);
  });

  test.each([
    ["kind: Serv\nname: a", 'kind: found "Serv", expected one of Service'],
    ["kind: Service\nname: A\ntype: plain", 'name: found "A", expected lower'],
    [
      "kind: RoutingRule\nname: r\ntargets:\n- selector:\n    " +
        "matchExpressions: [{key: k, operator: In}]",
      "expected values for In and NotIn",
    ],
  ])("that are invalid are reported: %#", (text, expected) => {
    const checked = checkResources(text);
    const problems = checked.isErr ? checked.error.map(problemText) : [];
    expect(problems.join("\n")).toContain(expected);
  });
});
