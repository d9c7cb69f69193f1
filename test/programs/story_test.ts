/** A request's story from mixed logs. */
import assert from "node:assert/strict";
import { spawn } from "node:child_process";
import { test } from "node:test";
import {
  findRequestLines,
  formatRequestLines,
} from "../../src/programs/ctl/story.ts";

function line(time: string, request: string, msg: string): string {
  const base = { name: "otterhill-gateway", host: "h1", event: "e" };
  return JSON.stringify({ ...base, request, reason: "r", msg, time });
}

test("lines of several hosts make one story in order of time", () => {
  const lines = [
    line("2026-12-02T10:00:02Z", "1", "requests: A request is answered"),
    "not JSON at all 1",
    line("2026-12-02T10:00:01Z", "12", "placement: Another request is sent"),
    `   3.1 frontend-1 ${line("2026-12-02T10:00:01Z", "1", "placement: sent")}`,
    '{"request": "1", cut',
  ];
  const story = findRequestLines(lines, "1");
  assert.deepEqual(story.map((one) => one.sentence), [
    "placement: sent",
    "requests: A request is answered",
  ]);
  const [first] = formatRequestLines(story).split("\n");
  assert.equal(first, "2026-12-02T10:00:01Z  h1  placement: sent  reason=r");
});

test("an id that no line names has no story", () => {
  assert.deepEqual(findRequestLines([line("t", "1", "m")], "2"), []);
});

type Run = { readonly code: number | null; readonly out: string };

function explain(request: string, input: string): Promise<Run> {
  const main = "dist/src/programs/ctl/main.js";
  const child = spawn(process.execPath, [main, "explain", request]);
  let out = "";
  child.stdout.on("data", (part: Buffer) => out += part.toString("utf8"));
  child.stderr.on("data", (part: Buffer) => out += part.toString("utf8"));
  child.stdin.end(input);
  return new Promise((resolve) => {
    child.on("close", (code) => resolve({ code, out }));
  });
}

test("explain reads standard input, without any host or platform", async () => {
  const found = await explain("1", `${line("t", "1", "placement: sent")}\n`);
  assert.deepEqual(found, {
    code: 0,
    out: "t  h1  placement: sent  reason=r\n",
  });
  const none = await explain("2", "");
  assert.deepEqual(none, { code: 1, out: "No line names the request 2\n" });
});
