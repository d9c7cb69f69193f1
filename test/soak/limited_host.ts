/**
 * A host process with the memory of a deployed one, replicas that a test
 * chooses the bytes of, and callers of both a sound and a faulty service. The
 * host may reach the replicas only by way of a second one.
 */
import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
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
import { MARK_VARIABLE } from "./first_line.ts";
import type { HostMessage } from "./machine_sleep.ts";
import { PathCut } from "./replica_path.ts";
import { callSoundly, SOUND_PATH, waitUntilServing } from "./sound_calls.ts";

/** The memory that the platform gives a host, in bytes. */
export const HOST_MEMORY_BYTES = 200e6;
/** The limit of the JavaScript heap in `deploy/system.toml`. */
const HEAP_OPTION = "--max-old-space-size=90";
const MAIN = "dist/platform/main.js";
/** The same with paths that a test can cut. */
const CUT_MAIN = "dist/test/soak/gateway_main.js";
const CONNECTION_LIMIT = 500;
const POLL_INTERVAL_MS = 50;

/** Paths of the routes of the faulty service, and of the sound one. */
export const Path = {
  safe: "/safe/x",
  unsafe: "/unsafe/x",
  stream: "/stream/x",
  resumable: "/resumable/x",
  engine: "/engine/x",
  sound: SOUND_PATH,
} as const;
/** One of the values of {@link Path}. */
export type Path = typeof Path[keyof typeof Path];

/** What became of the hosts and of others' requests. */
export type HostFigures = {
  /** How a host ended, if one did. */
  readonly exit: string | undefined;
  /** The most memory that a process has had. */
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
  /** Whether the host reaches all replicas by way of a second one only. */
  readonly isByPeer?: boolean;
  /** Starts what stands between the host and its store; by default nothing. */
  readonly startProxy?: (store: string) => Promise<string>;
};

/** Starts a host, waits until it serves, runs `work` and stops the host. */
export async function withLimitedHost(
  options: LimitedHostOptions,
  work: (host: LimitedHost) => Promise<void>,
): Promise<HostFigures> {
  const { endless, isEngine = false, isByPeer = false, startProxy } = options;
  const store = await startStore();
  const storeAddress = await startProxy?.(store.address) ?? store.address;
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
  const main = isByPeer ? CUT_MAIN : MAIN;
  const host = await startHost(storeAddress, { folder, id: "host-1", main });
  const { callers } = host;
  const hosts = [host];
  if (isByPeer) {
    cutReplicas(host.child);
    hosts.push(await startHost(storeAddress, { folder, id: "host-2", main }));
  }
  const children = hosts.map(({ child }) => child);
  const record = { sent: 0, slowestMs: 0, statuses: [] as number[] };
  let peakBytes = 0;
  const sampling = setInterval(() => {
    peakBytes = Math.max(peakBytes, ...children.map(peakOf));
  }, POLL_INTERVAL_MS);
  const figures = () => ({
    exit: children.map(exitOf).find((exit) => exit !== undefined),
    peakBytes: Math.max(peakBytes, ...children.map(peakOf)),
    sound: { ...record },
  });
  let isDone = false;
  try {
    await Promise.all(hosts.map((each) => waitUntilServing(each.callers)));
    const others = Promise.all(
      hosts.map((each) =>
        callSoundly(each.callers, { record, isDone: () => isDone })
      ),
    );
    const callFaulty = (calls: FaultyCalls) => faulty.call(callers, calls);
    await work({ callers, store, callFaulty });
    isDone = true;
    await others;
    return figures();
  } finally {
    isDone = true;
    clearInterval(sampling);
    await Promise.all(children.map(endChild));
    store.stop();
    faulty.stop();
    sound.stop();
    rmSync(folder, { recursive: true });
  }
}

async function endChild(child: ChildProcess): Promise<void> {
  if (exitOf(child) !== undefined) return;
  child.kill("SIGKILL");
  await once(child, "exit");
}

/** Cuts the path of a host to all replicas. */
function cutReplicas(child: ChildProcess): void {
  const message: HostMessage = { type: "cutPaths", cut: PathCut.hang };
  child.send(message);
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
  store: string,
  { folder, id, main }: {
    readonly folder: string;
    readonly id: string;
    readonly main: string;
  },
): Promise<{ readonly child: ChildProcess; readonly callers: string }> {
  const [callers, readiness, peers, metrics] = await Promise.all(
    Array.from({ length: 4 }, () => freeAddress()),
  );
  const settings = join(folder, `${id}.toml`);
  const megabytes = HOST_MEMORY_BYTES / 1e6;
  writeFileSync(
    settings,
    [
      `[host]\nid = "${id}"\nhall = "hall"`,
      `[listen]\ncallers = "${callers}"\nreadiness = "${readiness}"`,
      `peers = "${peers}"\nmetrics = "${metrics}"`,
      `[store]\naddress = "${store}"`,
      `[memory]\nprocess = "${megabytes}MB"\nunread_timeout = "3s"\n`,
    ].join("\n"),
  );
  const child = spawn(
    process.execPath,
    [HEAP_OPTION, main],
    {
      env: {
        ...process.env,
        OTTERHILL_CONFIG: settings,
        [MARK_VARIABLE]: join(folder, `${id}.begun`),
      },
      stdio: ["ignore", "ignore", "inherit", "ipc"],
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
