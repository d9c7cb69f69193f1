/** Runs the gateway as a process against a stand-in of the platform. */
import assert from "node:assert/strict";
import { spawn } from "node:child_process";
import { once } from "node:events";
import { writeFileSync } from "node:fs";
import { Agent } from "node:http";
import { test } from "node:test";
import { config, engineConfig } from "./configs.ts";
import {
  call,
  type GatewayUnderTest,
  isReady,
  waitUntil,
  withGatewayProcess,
} from "./gateway_process.ts";

function withGateway(
  work: (gateway: GatewayUnderTest) => Promise<void>,
): Promise<void> {
  return withGatewayProcess({}, async (gateway) => {
    await waitUntil(() => isReady(gateway));
    await work(gateway);
  });
}

test("requests are routed through the adapter and route changes take effect", async () => {
  await withGateway(async (running) => {
    const { standin, callers } = running;
    assert.deepEqual(await call(callers, "/a/x"), {
      status: 200,
      body: "whole",
    });
    assert.equal((await call(callers, "/b/x")).status, 404);
    const large = await call(callers, "/a/x", { body: "x".repeat(2000) });
    assert.equal(large.status, 413);
    standin.put("op", "config", config(2, "/b/"));
    await waitUntil(async () => (await call(callers, "/b/x")).status === 200);
    assert.equal((await call(callers, "/a/x")).status, 404);
    // An older version is ignored. After an outage and a loss of history, the
    // gateway adopts what was written meanwhile.
    standin.put("op", "config", config(1, "/a/"));
    standin.down = true;
    standin.put("op", "config", config(3, "/c/"));
    standin.loseHistory();
    assert.equal((await call(callers, "/b/x")).status, 200);
    standin.down = false;
    await waitUntil(async () => (await call(callers, "/c/x")).status === 200);
    assert.ok((await call(running.metrics, "/metrics")).body.includes(
      "otterhill_routes_version 3",
    ));
  });
});

test("a model request is reserved, prefilled and decoded from the prefill's export", async () => {
  await withGateway(async ({ standin, callers }) => {
    standin.put("op", "config", engineConfig(2));
    const replica = {
      Service: "engine",
      Address: standin.replicaAddress,
      Zone: "hall",
      Version: "v1",
      Slots: 4,
      State: "ready",
      ColdRemainingMs: 0,
      Sequence: 1,
      Models: [{ Name: "m" }],
    };
    standin.put("servers", "i-2", { ...replica, Stage: "prefill" });
    standin.put("servers", "i-3", { ...replica, Stage: "decode" });
    await waitUntil(async () => (await call(callers, "/m/x")).status === 200);
    const run = standin.requests.findLast((received) =>
      received.path === "/m/x"
    );
    assert.deepEqual(run, {
      path: "/m/x",
      id: "a1",
      stage: "",
      export: `${standin.replicaAddress}/h1`,
      reservation: "m1",
    });
    const stages = standin.requests.filter((received) => received.id === "a1")
      .map((received) => received.stage);
    assert.deepEqual(stages.slice(-2), ["prefill", ""]);
    // The replica's row alone shows that it is draining.
    standin.put("servers", "i-3", {
      ...replica,
      Stage: "decode",
      State: "draining",
    });
    await waitUntil(async () => (await call(callers, "/m/x")).status === 503);
  });
});

test("SIGHUP reloads the settings and keeps serving if they are invalid", async () => {
  await withGateway(async (running) => {
    writeFileSync(running.settings, "not = [TOML");
    running.process.kill("SIGHUP");
    await waitUntil(() =>
      running.lines.some((line) => line.includes('"event":"reloadRefused"'))
    );
    assert.equal((await call(running.callers, "/a/x")).status, 200);
  });
});

test("a stopping gateway completes running requests and serves open connections", async () => {
  await withGateway(async (running) => {
    const { standin, callers } = running;
    const agent = new Agent({ keepAlive: true, maxSockets: 1 });
    assert.equal((await call(callers, "/a/0", { agent })).status, 200);
    standin.holdResponses = true;
    const slow = call(callers, "/a/1");
    await waitUntil(() => standin.requests.some(({ path }) => path === "/a/1"));
    const exited = once(running.process, "exit") as Promise<[number | null]>;
    running.process.kill("SIGTERM");
    await waitUntil(async () => !(await isReady(running)));
    standin.holdResponses = false;
    assert.equal((await call(callers, "/a/2", { agent })).status, 200);
    standin.releaseResponses();
    assert.equal((await slow).status, 200);
    const [code] = await exited;
    assert.equal(code, 0);
    agent.destroy();
  });
});

test("invalid settings are reported and exit with code 2", async () => {
  const child = spawn(process.execPath, [
    "dist/platform/main.js",
    "--check-settings",
    "package.json",
  ], { stdio: ["ignore", "ignore", "pipe"] });
  let stderr = "";
  child.stderr.on("data", (bytes: Buffer) => stderr += bytes.toString());
  const [code] = await once(child, "close") as [number | null];
  assert.equal(code, 2);
  assert.match(stderr, /package\.json: TOML/);
});
