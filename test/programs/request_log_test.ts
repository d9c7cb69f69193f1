/** Tests of finding a request's lines in the logs of several hosts. */
import assert from "node:assert/strict";
import { spawn } from "node:child_process";
import { test } from "node:test";
import {
  findRequestLines,
  formatRequestLines,
} from "../../src/programs/ctl/request_log.ts";

function line(time: string, request: string, msg: string): string {
  const base = { name: "otterhill-gateway", host: "h1", event: "e" };
  return JSON.stringify({ ...base, request, reason: "r", msg, time });
}

test("sorts a request's lines from several hosts by time", () => {
  const lines = [
    line("2026-12-02T10:00:02Z", "1", "requests: A request is answered"),
    "not JSON at all 1",
    line("2026-12-02T10:00:01Z", "12", "placement: Another request is sent"),
    `   3.1 frontend-1 ${line("2026-12-02T10:00:01Z", "1", "placement: sent")}`,
    '{"request": "1", cut',
  ];
  const found = findRequestLines(lines, "1");
  assert.deepEqual(found.map((entry) => entry.sentence), [
    "placement: sent",
    "requests: A request is answered",
  ]);
  const [first] = formatRequestLines(found).split("\n");
  assert.equal(first, "2026-12-02T10:00:01Z  h1  placement: sent  reason=r");
});

test("of a replica the lines about its state are found", () => {
  const about = (fields: object) =>
    JSON.stringify({ host: "h1", event: "e", replica: "r1", ...fields });
  const lines = [
    about({ time: "2", msg: "planning: ejected", reason: "slow" }),
    about({ time: "1", msg: "fleet: added" }),
    about({ time: "3", msg: "placement: sent", request: "1" }),
    about({ time: "4", msg: "fleet: added", replica: "r12" }),
  ];
  const sentences = findRequestLines(lines, "r1").map((line) => line.sentence);
  assert.deepEqual(sentences, ["fleet: added", "planning: ejected"]);
});

test("returns no lines for an unknown request id", () => {
  assert.deepEqual(findRequestLines([line("t", "1", "m")], "2"), []);
});

type Run = { readonly code: number | null; readonly out: string };

function explain(request: string, input: string): Promise<Run> {
  const main = "dist/src/programs/ctl/main.js";
  const child = spawn(process.execPath, [main, "explain", request]);
  let out = "";
  child.stdout.on("data", (chunk: Buffer) => out += chunk.toString("utf8"));
  child.stderr.on("data", (chunk: Buffer) => out += chunk.toString("utf8"));
  child.stdin.end(input);
  return new Promise((resolve) => {
    child.on("close", (code) => resolve({ code, out }));
  });
}

test("explain reads standard input when no host is given", async () => {
  const found = await explain("1", `${line("t", "1", "placement: sent")}\n`);
  assert.deepEqual(found, {
    code: 0,
    out: "t  h1  placement: sent  reason=r\n",
  });
  const none = await explain("2", "");
  assert.deepEqual(none, { code: 1, out: "No line names the request 2\n" });
});
