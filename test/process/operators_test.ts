/** Tests the operators' programs against running processes. */
import { after, before, test } from "node:test";
import assert from "node:assert/strict";
import { spawn } from "node:child_process";
import { readFileSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import { eventually, HALLS, Processes } from "./processes.ts";

const fleet = new Processes();
const TIMEOUT = { timeout: 60_000 };

before(() => fleet.startFleet(), TIMEOUT);
after(() => fleet.stop(), TIMEOUT);

type ProgramResult = { readonly code: number | null; readonly out: string };

function runProgram(
  program: string,
  args: readonly string[],
): Promise<ProgramResult> {
  const main = `dist/src/programs/${program}/main.js`;
  const child = spawn(process.execPath, [main, ...args]);
  let out = "";
  child.stdout.on("data", (part: Buffer) => out += part.toString("utf8"));
  child.stderr.on("data", (part: Buffer) => out += part.toString("utf8"));
  return new Promise((resolve) => {
    child.on("exit", (code) => resolve({ code, out }));
  });
}

function ctl(...args: string[]): Promise<ProgramResult> {
  return runProgram("ctl", ["--platform", fleet.platform, ...args]);
}

function ctlThroughHosts(...args: string[]): Promise<ProgramResult> {
  const hosts = HALLS.flatMap((hall) => ["--host", fleet.peers(hall)]);
  return runProgram("ctl", [...hosts, ...args]);
}

const TEMPLATE = `
name = "clips"
doc = "Short clips"
[parameters.priority]
type = "number"
doc = "Priority"
default = 5
min = 0
max = 8
`;

test(
  "validates, compares, publishes and lists a template",
  TIMEOUT,
  async () => {
    const file = join(fleet.folder, "clips.toml");
    writeFileSync(file, TEMPLATE.replace("default = 5", "default = 50"));
    const faulty = await ctl("template", "validate", file);
    assert.equal(faulty.code, 2);
    assert.match(faulty.out, /parameters.priority.default: expected a number/);
    writeFileSync(file, TEMPLATE);
    const diff = await ctl("template", "diff", file);
    assert.match(diff.out, /parameters.priority.max: \(none\) -> 8/);
    const published = await ctl("template", "publish", file);
    assert.equal(published.code, 0);
    assert.match(published.out, /accepted as version \d+/);
    const history = await ctl("template", "history", "clips", "--json");
    assert.equal((JSON.parse(history.out) as unknown[]).length, 1);
  },
);

test("a change of a customer is applied on all hosts", TIMEOUT, async () => {
  const set = await ctl("customer", "set", "armor", "priority=7");
  assert.match(set.out, /parameters.priority: \(none\) -> 7/);
  const version = Number(/version (\d+)/.exec(set.out)?.[1]);
  await eventually(async () => {
    const { out } = await ctlThroughHosts("status", "--json");
    const { statuses } = JSON.parse(out) as {
      statuses: { settingsVersion: number }[];
    };
    return statuses.length === HALLS.length &&
      statuses.every((status) => status.settingsVersion >= version);
  });
});

test("refuses an invalid parameter and a stale change", TIMEOUT, async () => {
  const faulty = await ctl("customer", "set", "armor", "priority=70", "x=1");
  assert.equal(faulty.code, 2);
  assert.match(faulty.out, /parameters.priority: .*0 to 9/);
  assert.match(faulty.out, /parameters.x: not in template/);
  const args = ["customer", "set", "armor", "priority=1", "--base", "1"];
  const stale = await ctl(...args);
  assert.equal(stale.code, 3);
  assert.match(stale.out, /yours: .*"priority":1/);
  assert.match(stale.out, /theirs: .*"priority":7/);
});

test("resolves and reports a lost response to a publish", TIMEOUT, async () => {
  await fleet.post("/faults", { lose_writes: 1 });
  const set = await ctl("customer", "set", "armor", "priority=6");
  assert.equal(set.code, 0);
  assert.match(set.out, /an answer was lost; read back/);
});

test("plans, watches and cancels a stop", TIMEOUT, async () => {
  const plan = await ctlThroughHosts("stop", "plan", "decode-brest");
  assert.match(plan.out, /accepted as version/);
  const watch = await ctlThroughHosts("stop", "watch", "decode-brest");
  assert.equal(watch.code, 0);
  assert.match(watch.out, /holds nothing; it can be stopped/);
  const again = await ctlThroughHosts("stop", "cancel", "decode-brest");
  assert.match(again.out, /accepted as version/);
});

test("explains the placement of a request", TIMEOUT, async () => {
  const response = await fleet.complete("brest", { max_tokens: 2 });
  const { id } = await response.json() as { id: string };
  const { code, out } = await ctlThroughHosts("explain", id);
  assert.equal(code, 0);
  assert.match(out, /placement: Places are granted .*"decode":"decode-/);
});

test(
  "the burn report merges the data of all hosts and writes an HTML page",
  TIMEOUT,
  async () => {
    const page = join(fleet.folder, "burn.html");
    const hosts = HALLS.map((hall) => fleet.peers(hall));
    const { code, out } = await runProgram("burn", ["--html", page, ...hosts]);
    assert.equal(code, 0);
    assert.match(out, /armor +recap-llm +5 min/);
    assert.match(readFileSync(page, "utf8"), /<svg .*burn/s);
  },
);

test(
  "hosts return settings and report the outage while the platform is down",
  TIMEOUT,
  async () => {
    await fleet.post("/faults", { down: true });
    const show = await ctlThroughHosts("customer", "show", "armor", "--json");
    const [row] = JSON.parse(show.out) as { value: { name: string } }[];
    assert.equal(row?.value.name, "armor");
    const set = await ctlThroughHosts("customer", "set", "armor", "priority=2");
    assert.equal(set.code, 4);
    assert.match(set.out, /not known: no answer/);
    const served = await fleet.complete("quimper", { max_tokens: 2 });
    assert.equal(served.status, 200);
    await eventually(async () =>
      /silent/.test((await ctlThroughHosts("status")).out)
    );
  },
);

test(
  "reports invalid keys and values of a settings file",
  TIMEOUT,
  async () => {
    const file = join(fleet.folder, "faulty.toml");
    writeFileSync(
      file,
      `[host]\nid = "a"\nhall = "h"\nregion = "r"\ncolour = 1\n` +
        `[listen]\ncallers = "localhost:1"\npeers = "127.0.0.1:1"\n` +
        `[platform]\naddress = "127.0.0.1:1"\ntimeout = "5 parsecs"\n`,
    );
    const { code, out } = await runProgram("router", [
      "--check-settings",
      file,
    ]);
    assert.equal(code, 2);
    assert.match(out, /faulty.toml: host.colour: no such key/);
    assert.match(out, /listen.callers: expected "IP:port", got "localhost:1"/);
    assert.match(out, /platform.timeout: expected a duration .* "5 parsecs"/);
  },
);
