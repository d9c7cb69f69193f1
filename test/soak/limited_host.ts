/**
 * One host process with the memory of a deployed one, replicas that a test
 * chooses the bytes of, and callers of both a sound and a faulty service.
 */
import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { request } from "node:http";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { freeAddress } from "../free_address.ts";
import { type RawAnswer, startRawReplica } from "../gateway/raw_replica.ts";
import { startStore, type StoreStandin } from "../platform/store_standin.ts";
import {
  type Endless,
  type FaultyCalls,
  successHead,
} from "./endless_replies.ts";
import { startFaultySide } from "./faulty_side.ts";
import { sleep } from "./sleep.ts";

/** The memory that the platform gives a host, in bytes. */
export const HOST_MEMORY_BYTES = 200e6;
/** The limit of the JavaScript heap in `deploy/system.toml`. */
const HEAP_OPTION = "--max-old-space-size=90";
const CONNECTION_LIMIT = 500;
const START_TIMEOUT_MS = 30_000;
const POLL_INTERVAL_MS = 50;
const SOUND_INTERVAL_MS = 40;
const SOUND_TIMEOUT_MS = 10_000;
const RETRY_DELAY_MS = 50;

/** Paths of the routes of the faulty service, and of the sound one. */
export const Path = {
  safe: "/safe/x",
  unsafe: "/unsafe/x",
  stream: "/stream/x",
  resumable: "/resumable/x",
  engine: "/engine/x",
  sound: "/sound/x",
} as const;
/** One of the values of {@link Path}. */
export type Path = typeof Path[keyof typeof Path];

/** What became of the host and of others' requests. */
export type HostFigures = {
  readonly exit: string | undefined;
  /** The most memory that the process has had. */
  readonly peakBytes: number;
  readonly sound: {
    readonly sent: number;
    /** Of whole responses; 0 without one. */
    readonly statuses: readonly number[];
    readonly slowestMs: number;
  };
};

/** A host under test. */
export type LimitedHost = {
  readonly callers: string;
  readonly store: StoreStandin;
  /** Sends requests to the host from another process. */
  callFaulty(calls: FaultyCalls): void;
};

/** Options of {@link withLimitedHost}. */
export type LimitedHostOptions = {
  /** What the replica of the faulty service sends. */
  readonly endless: Endless;
  /** Whether the faulty replica has the roles of a model engine's. */
  readonly isEngine?: boolean;
};

/** Starts a host, waits until it serves, runs `work` and stops the host. */
export async function withLimitedHost(
  { endless, isEngine = false }: LimitedHostOptions,
  work: (host: LimitedHost) => Promise<void>,
): Promise<HostFigures> {
  const store = await startStore();
  const faulty = await startFaultySide(endless);
  const sound = await startRawReplica(answerSoundly);
  store.put("op", "config", configuration());
  putReplica(store, "sound", { address: sound.address, service: "sound" });
  if (isEngine) {
    for (const Stage of ["prefill", "decode"]) {
      const extra = { Stage, Models: [{ Name: "m" }] };
      putReplica(store, Stage, {
        address: faulty.replica,
        service: "engine",
        extra,
      });
    }
  } else {putReplica(store, "faulty", {
      address: faulty.replica,
      service: "faulty",
    });}
  const folder = mkdtempSync(join(tmpdir(), "otterhill-limited-"));
  const started = await startHost(store, folder);
  const { child, callers } = started;
  const record = { sent: 0, slowestMs: 0, statuses: [] as number[] };
  let peakBytes = 0;
  const sampling = setInterval(() => {
    peakBytes = Math.max(peakBytes, peakOf(child));
  }, POLL_INTERVAL_MS);
  const figures = () => ({
    exit: exitOf(child),
    peakBytes: Math.max(peakBytes, peakOf(child)),
    sound: { ...record },
  });
  let isDone = false;
  try {
    await waitUntilServing(callers);
    const others = callSoundly(callers, { record, isDone: () => isDone });
    const callFaulty = (calls: FaultyCalls) => faulty.call(callers, calls);
    await work({ callers, store, callFaulty });
    isDone = true;
    await others;
    return figures();
  } finally {
    isDone = true;
    clearInterval(sampling);
    if (exitOf(child) === undefined) {
      child.kill("SIGKILL");
      await once(child, "exit");
    }
    store.stop();
    faulty.stop();
    sound.stop();
    rmSync(folder, { recursive: true });
  }
}

function exitOf({ exitCode, signalCode }: ChildProcess): string | undefined {
  return signalCode ?? (exitCode === null ? undefined : String(exitCode));
}

/** The most memory that a process has had; 0 once it has ended. */
function peakOf({ pid }: ChildProcess): number {
  try {
    const status = readFileSync(`/proc/${pid}/status`, "utf8");
    return Number(/^VmHWM:\s+(\d+) kB$/m.exec(status)?.[1] ?? 0) * 1024;
  } catch {
    return 0;
  }
}

const answerSoundly: RawAnswer = ({ headers }, socket) => {
  const id = headers.get("attempt-id") ?? "";
  socket.write(successHead(id, ["Content-Length: 5"]) + "whole");
};

async function startHost(
  store: StoreStandin,
  folder: string,
): Promise<{ readonly child: ChildProcess; readonly callers: string }> {
  const [callers, readiness, peers, metrics] = await Promise.all(
    Array.from({ length: 4 }, () => freeAddress()),
  );
  const settings = join(folder, "gateway.toml");
  const megabytes = HOST_MEMORY_BYTES / 1e6;
  writeFileSync(
    settings,
    [
      `[host]\nid = "host-1"\nhall = "hall"`,
      `[listen]\ncallers = "${callers}"\nreadiness = "${readiness}"`,
      `peers = "${peers}"\nmetrics = "${metrics}"`,
      `[store]\naddress = "${store.address}"`,
      `[memory]\nprocess = "${megabytes}MB"\nunread_timeout = "3s"\n`,
    ].join("\n"),
  );
  const child = spawn(
    process.execPath,
    [HEAP_OPTION, "dist/platform/main.js"],
    {
      env: { ...process.env, OTTERHILL_CONFIG: settings },
      stdio: ["ignore", "ignore", "inherit"],
    },
  );
  return { child, callers: callers ?? "" };
}

function configuration(): object {
  const route = {
    Host: "example",
    TimeoutMs: 6000,
    TargetLatencyMs: 6000,
    Priority: 1,
    MaxAttempts: 1,
  };
  const routes = Object.entries(Path).map(([Name, path]) => {
    const isStream = ["stream", "resumable", "engine"].includes(Name);
    const plainKind = Name === "unsafe" ? "unsafe" : "safe";
    const service = Name === "engine" || Name === "sound" ? Name : "faulty";
    return {
      ...route,
      Name,
      PathPrefix: path.slice(0, -1),
      Kind: isStream ? "streaming" : plainKind,
      Resumable: Name === "resumable",
      Service: service,
    };
  });
  const service = {
    HealthPath: "/health",
    ConnectionLimit: CONNECTION_LIMIT,
  };
  const InferenceEngine = {
    Slots: CONNECTION_LIMIT,
    KvCacheTokens: 1_000_000,
    HandleRetentionS: 30,
    HoldMs: 30_000,
    StageSwitchS: 6,
  };
  return {
    Version: 1,
    Routes: routes,
    Services: [
      { Name: "faulty", ...service },
      { Name: "sound", ...service },
      { Name: "engine", ...service, InferenceEngine },
    ],
    Limits: {
      MaxHeaderBytes: 16_384,
      MaxBodyBytes: 65_536,
      HeaderTimeoutMs: 3000,
      IdleTimeoutMs: 15_000,
    },
  };
}

function putReplica(
  store: StoreStandin,
  id: string,
  { address, service, extra = {} }: {
    readonly address: string;
    readonly service: string;
    readonly extra?: object;
  },
): void {
  store.put("servers", id, {
    Service: service,
    Address: address,
    Zone: "hall",
    Version: "v1",
    Slots: CONNECTION_LIMIT,
    State: "ready",
    ColdRemainingMs: 0,
    Sequence: 1,
    born: 1,
    ...extra,
  });
}

async function waitUntilServing(callers: string): Promise<void> {
  const deadline = performance.now() + START_TIMEOUT_MS;
  while (await callSound(callers, "start") !== 200) {
    if (performance.now() > deadline) throw new Error("The host didn't start");
    await sleep(POLL_INTERVAL_MS);
  }
}

/** Sends requests to the sound service, one after the other. */
async function callSoundly(
  callers: string,
  { record, isDone }: {
    readonly record: { sent: number; slowestMs: number; statuses: number[] };
    readonly isDone: () => boolean;
  },
): Promise<void> {
  while (!isDone()) {
    const sentAt = performance.now();
    record.sent += 1;
    const id = `sound-${record.sent}`;
    let status = await callSound(callers, id);
    // The host may close a new connection unread while it is busy.
    while (status === 0 && performance.now() - sentAt < SOUND_TIMEOUT_MS) {
      await sleep(RETRY_DELAY_MS);
      status = await callSound(callers, id);
    }
    record.statuses.push(status);
    const tookMs = performance.now() - sentAt;
    record.slowestMs = Math.max(record.slowestMs, tookMs);
    await sleep(SOUND_INTERVAL_MS);
  }
}

/** The status of a whole response; 0 if there is none. */
function callSound(callers: string, id: string): Promise<number> {
  const [host, port] = callers.split(":");
  return new Promise((resolve) => {
    const headers = { Host: "example", "Attempt-Id": id };
    const path = Path.sound;
    const outgoing = request({ host, port, path, headers, agent: false });
    outgoing.setTimeout(SOUND_TIMEOUT_MS, () => outgoing.destroy());
    outgoing.on("error", () => resolve(0));
    outgoing.on("response", (response) => {
      response.on("error", () => resolve(0));
      response.on("end", () => resolve(response.statusCode ?? 0));
      response.resume();
    });
    outgoing.end();
  });
}
