/** Runs the gateway as a process against a stand-in of the platform. */
import assert from "node:assert/strict";
import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { Agent, request } from "node:http";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { test } from "node:test";
import { freeAddress } from "../free_address.ts";
import { config, engineConfig } from "./configs.ts";
import { type PlatformStandin, startPlatformStandin } from "./standin.ts";

/** Upper bound on each wait. */
const TEST_TIMEOUT_MS = 30_000;
const POLL_INTERVAL_MS = 20;

type RunningGateway = {
  readonly standin: PlatformStandin;
  readonly process: ChildProcess;
  readonly callers: string;
  readonly readiness: string;
  readonly metrics: string;
  readonly settings: string;
  /** Lines logged so far. */
  readonly lines: string[];
  stop(): Promise<void>;
};

type CallResult = { readonly status: number; readonly body: string };

async function start(): Promise<RunningGateway> {
  const standin = await startPlatformStandin();
  standin.put("op", "config", config(1, "/a/"));
  standin.put("servers", "i-1", {
    Service: "plain",
    Address: standin.replicaAddress,
    Zone: "hall",
    Version: "v1",
    Slots: 4,
    State: "ready",
    ColdRemainingMs: 0,
    Sequence: 1,
  });
  const [callers, readiness, peers, metrics] = await Promise.all([
    freeAddress(),
    freeAddress(),
    freeAddress(),
    freeAddress(),
  ]);
  const folder = mkdtempSync(join(tmpdir(), "otterhill-"));
  const settings = join(folder, "gateway.toml");
  writeFileSync(
    settings,
    settingsText(standin, { callers, readiness, peers, metrics }),
  );
  const child = spawn(process.execPath, ["dist/platform/main.js"], {
    env: { ...process.env, OTTERHILL_CONFIG: settings },
    stdio: ["ignore", "pipe", "inherit"],
  });
  const lines: string[] = [];
  child.stdout.on(
    "data",
    (bytes: Buffer) => lines.push(...bytes.toString().split("\n")),
  );
  return {
    standin,
    process: child,
    callers: callers ?? "",
    readiness: readiness ?? "",
    metrics: metrics ?? "",
    settings,
    lines,
    stop: async () => {
      if (child.exitCode === null && child.signalCode === null) {
        child.kill("SIGKILL");
        await once(child, "exit");
      }
      standin.stop();
      rmSync(folder, { recursive: true });
    },
  };
}

function settingsText(
  standin: PlatformStandin,
  listen: Readonly<Record<string, string | undefined>>,
): string {
  const addresses = Object.entries(listen).map(([name, address]) =>
    `${name} = "${address}"`
  );
  return [
    "[host]",
    'id = "host-1"',
    'hall = "hall"',
    "[listen]",
    ...addresses,
    "[store]",
    `address = "${standin.storeAddress}"`,
    "",
  ].join("\n");
}

function call(
  address: string,
  path: string,
  options: { readonly agent?: Agent; readonly body?: string } = {},
): Promise<CallResult> {
  const [host, port] = address.split(":");
  const { agent = new Agent(), body } = options;
  return new Promise((resolve, reject) => {
    const outgoing = request({
      host,
      port,
      path,
      agent,
      method: body === undefined ? "GET" : "POST",
      headers: { host: "example", "attempt-id": "a1" },
    });
    outgoing.on("error", reject);
    outgoing.on("response", (answer) => {
      let text = "";
      answer.on("data", (bytes: Buffer) => text += bytes.toString());
      answer.on(
        "end",
        () => resolve({ status: answer.statusCode ?? 0, body: text }),
      );
      answer.on("error", reject);
    });
    outgoing.end(body);
  });
}

/** Polls until `condition` holds; a rejection counts as false. */
async function waitUntil(
  condition: () => Promise<boolean> | boolean,
): Promise<void> {
  const endsAt = performance.now() + TEST_TIMEOUT_MS;
  for (;;) {
    const holds = await Promise.resolve(condition()).catch(() => false);
    if (holds) return;
    assert.ok(
      performance.now() < endsAt,
      "condition did not hold before the timeout",
    );
    await new Promise((resolve) => setTimeout(resolve, POLL_INTERVAL_MS));
  }
}

async function isReady(running: RunningGateway): Promise<boolean> {
  return (await call(running.readiness, "/readiness")).status === 200;
}

async function withGateway(
  work: (running: RunningGateway) => Promise<void>,
): Promise<void> {
  const running = await start();
  try {
    await waitUntil(() => isReady(running));
    await work(running);
  } finally {
    await running.stop();
  }
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
      Slots: 4,
      State: "ready",
      ColdRemainingMs: 0,
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
