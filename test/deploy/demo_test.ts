/** Runs the demo as a process. */
import assert from "node:assert/strict";
import { spawn } from "node:child_process";
import { once } from "node:events";
import { test } from "node:test";

test("the demo serves callers, also after a host was killed, and ends", async () => {
  const demo = spawn(process.execPath, [
    "dist/deploy/demo/main.js",
    "--seconds",
    "4",
  ], { stdio: ["ignore", "pipe", "inherit"] });
  let output = "";
  demo.stdout.on("data", (bytes: Buffer) => output += bytes.toString());
  const [code] = await once(demo, "close") as [number | null];
  assert.equal(code, 0, output);
  assert.match(output, /brest-1 is killed/);
  const [, requests, answered] =
    /^requests +(\d+), answered (\d+)/m.exec(output) ?? [];
  assert.ok(Number(answered) > Number(requests) / 2, output);
});
