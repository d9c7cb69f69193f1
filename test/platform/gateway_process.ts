/** Gateway processes of tests, and calls to them. */
import assert from "node:assert/strict";
import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { Agent, request } from "node:http";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { freeAddress } from "../free_address.ts";
import { config } from "./configs.ts";
import { type PlatformStandin, startPlatformStandin } from "./standin.ts";

/** Upper bound on each wait. */
const TEST_TIMEOUT_MS = 30_000;
const POLL_INTERVAL_MS = 20;

/** The program as compiled for tests. */
const PROGRAM = "dist/platform/main.js";

/** Where a gateway listens. */
export type ListenAddresses = {
  readonly callers: string;
  readonly readiness: string;
  readonly peers: string;
  readonly metrics: string;
};

/** How a process ended. */
export type ProcessEnd = {
  readonly code: number | null;
  readonly signal: NodeJS.Signals | null;
};

/** A gateway process with its platform. */
export type GatewayUnderTest = ListenAddresses & {
  readonly standin: PlatformStandin;
  readonly process: ChildProcess;
  /** Path of the settings file. */
  readonly settings: string;
  /** The valid text of the settings file. */
  readonly settingsText: string;
  /** Lines logged so far, on standard output and standard error. */
  readonly lines: string[];
  readonly ended: Promise<ProcessEnd>;
  stop(): Promise<void>;
};

/** Options of {@link startGatewayProcess}. */
export type GatewayProcessOptions = {
  /** The program and its arguments. */
  readonly command?: readonly string[];
  readonly env?: Readonly<Record<string, string>>;
  /** Runs before the process starts. */
  prepare?(addresses: ListenAddresses): Promise<void>;
  /** What the settings file holds at first, if not its valid text. */
  firstSettings?(text: string): string;
};

/** The response to a call. */
export type CallResult = { readonly status: number; readonly body: string };

/** Starts a gateway beside a platform that has one route and one replica. */
export async function startGatewayProcess(
  options: GatewayProcessOptions = {},
): Promise<GatewayUnderTest> {
  const standin = await startPlatform();
  const addresses = await freeAddresses();
  await options.prepare?.(addresses);
  const folder = mkdtempSync(join(tmpdir(), "otterhill-"));
  const settings = join(folder, "gateway.toml");
  const settingsText = settingsTextOf(standin, addresses);
  writeFileSync(
    settings,
    options.firstSettings?.(settingsText) ?? settingsText,
  );
  const [program, ...args] = options.command ?? [process.execPath, PROGRAM];
  assert.ok(program);
  const child = spawn(program, args, {
    env: { ...process.env, ...options.env, OTTERHILL_CONFIG: settings },
    stdio: ["ignore", "pipe", "pipe"],
  });
  const lines: string[] = [];
  for (const stream of [child.stdout, child.stderr]) {
    stream.on(
      "data",
      (bytes: Buffer) => lines.push(...bytes.toString().split("\n")),
    );
  }
  const ended = once(child, "close").then(([code, signal]) =>
    ({ code, signal }) as ProcessEnd
  );
  return {
    ...addresses,
    standin,
    process: child,
    settings,
    settingsText,
    lines,
    ended,
    stop: async () => {
      child.kill("SIGKILL");
      await ended;
      standin.stop();
      rmSync(folder, { recursive: true });
    },
  };
}

async function startPlatform(): Promise<PlatformStandin> {
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
  return standin;
}

async function freeAddresses(): Promise<ListenAddresses> {
  return {
    callers: await freeAddress(),
    readiness: await freeAddress(),
    peers: await freeAddress(),
    metrics: await freeAddress(),
  };
}

function settingsTextOf(
  standin: PlatformStandin,
  { callers, readiness, peers, metrics }: ListenAddresses,
): string {
  return [
    "[host]",
    'id = "host-1"',
    'hall = "hall"',
    "[listen]",
    `callers = "${callers}"`,
    `readiness = "${readiness}"`,
    `peers = "${peers}"`,
    `metrics = "${metrics}"`,
    "[store]",
    `address = "${standin.storeAddress}"`,
    "",
  ].join("\n");
}

/** Sends a request and reads its response. */
export function call(
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
export async function waitUntil(
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

/**
 * Waits until `condition` holds; fails at once if the process ends before.
 */
export async function waitWhileRunning(
  gateway: GatewayUnderTest,
  condition: () => Promise<boolean> | boolean,
): Promise<void> {
  const isEnded = () =>
    gateway.process.exitCode !== null || gateway.process.signalCode !== null;
  await waitUntil(async () => isEnded() || await condition());
  const { exitCode, signalCode } = gateway.process;
  const lines = gateway.lines.join("\n");
  assert.ok(!isEnded(), `ended with ${exitCode ?? signalCode}: ${lines}`);
}

/** Whether the readiness check of the gateway passes. */
export async function isReady(
  { readiness }: GatewayUnderTest,
): Promise<boolean> {
  return (await call(readiness, "/readiness")).status === 200;
}

/** Starts a gateway, runs `work` and stops it. */
export async function withGatewayProcess(
  options: GatewayProcessOptions,
  work: (gateway: GatewayUnderTest) => Promise<void>,
): Promise<void> {
  const gateway = await startGatewayProcess(options);
  try {
    await work(gateway);
  } finally {
    await gateway.stop();
  }
}
