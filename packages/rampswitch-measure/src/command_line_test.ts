// Copyright 2026 the rampswitch authors. Apache-2.0 license.

import {
  afterAll,
  beforeAll,
  describe,
  expect,
  jest,
  test,
} from "@jest/globals";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { EXIT, main } from "rampswitch-cli";
import { OPERATOR_TOKEN } from "./deployment_plan.ts";
import { TestDeployment } from "./test_deployment.ts";

let deployment: TestDeployment;
let folder: string;

beforeAll(async () => {
  deployment = await TestDeployment.start();
  folder = mkdtempSync(join(tmpdir(), "rampswitch-test-"));
});

afterAll(async () => {
  await deployment[Symbol.asyncDispose]();
  rmSync(folder, { recursive: true, force: true });
});

interface Ran {
  readonly code: number;
  readonly out: string;
}

/** Runs the program against the deployment and collects what it prints. */
async function run(
  args: readonly string[],
  connection: { readonly address?: string; readonly token?: string } = {},
): Promise<Ran> {
  const printed: string[] = [];
  const print = (text: unknown) => {
    printed.push(String(text));
    return true;
  };
  const out = jest.spyOn(process.stdout, "write").mockImplementation(print);
  const error = jest.spyOn(process.stderr, "write").mockImplementation(print);
  const code = await main([
    "node",
    "rampswitch",
    ...args,
    "--address",
    connection.address ?? deployment.administration(0),
    "--token",
    connection.token ?? OPERATOR_TOKEN,
  ]);
  out.mockRestore();
  error.mockRestore();
  return { code, out: printed.join("") };
}

function file(text: string): string {
  const path = join(folder, `${Math.abs(text.length)}.yaml`);
  writeFileSync(path, text);
  return path;
}

const WORKSPACE = "kind: Workspace\nname: new-one\nlabels: {size: small}\n";

describe("rampswitch", () => {
  test("applies, shows, labels and deletes a resource", async () => {
    const applied = await run(["apply", "--file", file(WORKSPACE)]);
    const again = await run(["apply", "--file", file(WORKSPACE)]);
    const labelled = await run([
      "label",
      "workspace",
      "new-one",
      "size=large",
      "tier=a",
    ]);
    const shown = await run(["get", "workspaces", "new-one"]);
    const unsure = await run(["delete", "workspace", "new-one"]);
    const deleted = await run(["delete", "workspace", "new-one", "--yes"]);
    expect([applied.code, again.code, labelled.code]).toEqual([0, 0, 0]);
    expect(again.out).toContain("nothing differs");
    expect(shown.out).toContain("size=large,tier=a");
    expect(unsure.code).toBe(EXIT.usage);
    expect(deleted.code).toBe(EXIT.done);
  });

  test("drains a backend server and explains why it is left out", async () => {
    await run(["drain", "engine-1"]);
    const explained = await run([
      "explain",
      "--service",
      "assistant",
      "--workspace",
      "landlords",
      "--prompt",
      "a b c",
    ]);
    await run(["drain", "engine-1", "--undo"]);
    expect(explained.out).toMatch(/engine-1 +draining/);
    expect(explained.out).toContain("chosen engine-2");
  });

  test("prints JSON for programs", async () => {
    const { out } = await run(["get", "services", "--output", "json"]);
    const list = JSON.parse(out) as { readonly resources: readonly unknown[] };
    expect(list.resources).toHaveLength(2);
  });

  test("tells where a revision is in force", async () => {
    const { code, out } = await run(["status", "--revision", "1", "--wait"]);
    expect(code).toBe(EXIT.done);
    expect(out).toContain("in force everywhere");
  });

  test("tells a conflict with what the other operator did", async () => {
    await run(["apply", "--file", file(WORKSPACE)]);
    await run(["label", "workspace", "new-one", "by=first"]);
    const late = await run([
      "apply",
      "--base-revision",
      "1",
      "--file",
      file(WORKSPACE.replace("small", "huge")),
    ]);
    expect(late.code).toBe(EXIT.conflict);
    expect(late.out).toContain("by another operator");
    expect(late.out).toContain('"by":"first"');
  });

  test.each([
    ["an unknown kind", ["get", "things"], EXIT.usage],
    ["a wrong option", ["get", "all", "--nothing"], EXIT.usage],
    ["an unknown name", ["label", "service", "none", "a=b"], EXIT.failed],
    ["a wrong label", ["label", "service", "assistant", "a"], EXIT.usage],
  ] as const)("refuses %s", async (_name, args, code) => {
    expect((await run(args)).code).toBe(code);
  });

  test("tells of a wrong file, a wrong token and a host out of reach", async () => {
    const wrong = await run(["apply", "--file", file("kind: Nothing\n")]);
    const refused = await run(["get", "all"], { token: "wrong" });
    const lost = await run(["get", "all"], { address: "127.0.0.1:1" });
    expect(wrong.code).toBe(EXIT.invalid);
    expect(refused.code).toBe(EXIT.refused);
    expect(lost.code).toBe(EXIT.unreachable);
  });
});
