/**
 * A stand-in of a replica that records its requests: a plain service, or a
 * model engine with reservations and exports of prefills.
 */
import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from "node:http";
import type { Socket } from "node:net";
import { popExport } from "./replica_exports.ts";
import { listen, send, textOf } from "./store_standin.ts";

/** The role of a replica. */
export type ReplicaRole = "plain" | "prefill" | "decode";

/** A request that a replica received. */
export type ReplicaArrival = {
  readonly request: string;
  readonly replica: string;
  /** Distinguishes the starts of all replicas. */
  readonly start: number;
  readonly atMs: number;
  /** Whether it started to run; a prefill doesn't count as a run. */
  readonly ran: boolean;
  /** The first event to send. */
  readonly fromEvent: number;
  /** Whether its response marked the replica as draining. */
  readonly reportedDraining: boolean;
  /** The `Retry-After` header with which it was rejected, if it was. */
  readonly backoff?: string;
};

/** A violation that a replica detected. */
export type ReplicaFault = { readonly what: string; readonly request: string };

/** State shared by all replicas of a test. */
export type ReplicaWorld = {
  readonly arrivals: ReplicaArrival[];
  readonly faults: ReplicaFault[];
  /** Exports of finished prefills by "address/handle". */
  readonly exports: Map<string, { request: string; expiresAt: number }>;
  /** Called when a request with {@link CRASHING_BODY} crashes a replica. */
  onCrash?(replica: string): void;
};

/** A request with this body crashes the replica that runs it. */
export const CRASHING_BODY = "crashes its replica";

/** How a replica rejects requests. */
export type Backoff = {
  /** The `Retry-After` header, which may be no number. */
  readonly text: string;
  /** Whether it accepts every other request. */
  readonly isPartial?: boolean;
};

/** A running replica. */
export type ReplicaStandin = {
  readonly id: string;
  readonly role: ReplicaRole;
  readonly address: string;
  /** The number of running requests. */
  running(): number;
  /** The rate limit header of its responses; undefined for none. */
  limit: string | undefined;
  /** Whether all its responses mark it as draining. */
  draining: boolean;
  /** How it rejects requests; undefined if it accepts them. */
  backoff: Backoff | undefined;
  /** Factor on the duration of its work. */
  slowdown: number;
  /** Simulates a crash: resets all connections. */
  crash(): void;
};

/** Options of {@link startReplica}. */
export type ReplicaOptions = {
  readonly id: string;
  readonly role: ReplicaRole;
  readonly world: ReplicaWorld;
  /** The address for other hosts; part of the keys of its exports. */
  publicAddress(): string;
};

/** Number of events of a complete stream. */
export const STREAM_EVENTS = 20;
/** Time between two events of a stream. */
const EVENT_INTERVAL_MS = 40;
const PLAIN_DURATION_MS = 30;
const PREFILL_DURATION_MS = 25;
/** Time from the start of a crashing request to the crash. */
const CRASH_DELAY_MS = 20;
const EXPORT_TTL_MS = 1500;

type Engine = {
  readonly options: ReplicaOptions;
  readonly reservations: Map<string, number>;
  running: number;
  sequence: number;
  limit: string | undefined;
  draining: boolean;
  backoff: Backoff | undefined;
  slowdown: number;
  readonly start: number;
};

let starts = 0;

/** Starts a replica on a free port. */
export async function startReplica(
  options: ReplicaOptions,
): Promise<ReplicaStandin> {
  starts += 1;
  const engine: Engine = {
    start: starts,
    options,
    reservations: new Map(),
    running: 0,
    sequence: 0,
    limit: undefined,
    draining: false,
    backoff: undefined,
    slowdown: 1,
  };
  const server = createServer((request, response) => {
    response.on("error", () => undefined);
    void handle(engine, request, response).catch(() => response.destroy());
  });
  const sockets = new Set<Socket>();
  server.on("connection", (socket) => {
    sockets.add(socket);
    socket.on("error", () => undefined);
    socket.on("close", () => sockets.delete(socket));
  });
  const address = await listen(server);
  return {
    id: options.id,
    role: options.role,
    address,
    running: () => engine.running,
    get limit() {
      return engine.limit;
    },
    set limit(text) {
      engine.limit = text;
    },
    get draining() {
      return engine.draining;
    },
    set draining(isDraining) {
      engine.draining = isDraining;
    },
    get backoff() {
      return engine.backoff;
    },
    set backoff(backoff) {
      engine.backoff = backoff;
    },
    get slowdown() {
      return engine.slowdown;
    },
    set slowdown(factor) {
      engine.slowdown = factor;
    },
    crash: () => {
      server.close();
      for (const socket of sockets) socket.resetAndDestroy();
    },
  };
}

async function handle(
  engine: Engine,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const body = await textOf(request);
  const path = request.url ?? "";
  if (engine.draining) response.setHeader("Server-Leaving", "1");
  if (path === "/hold-take") return reserve(engine, body, response);
  if (path.startsWith("/hold-drop/")) {
    engine.reservations.delete(path.slice("/hold-drop/".length));
    return send(response, 200, {});
  }
  if (path.startsWith("/kv-handle/")) {
    const handle = path.slice("/kv-handle/".length);
    const { world, publicAddress } = engine.options;
    world.exports.delete(`${publicAddress()}/${handle}`);
    return send(response, 200, {});
  }
  if (path === "/report") {
    const report = { Stage: engine.options.role, Utilization: false };
    return send(response, 200, { ...report, Sequence: 0 });
  }
  if (path === "/order") return send(response, 409, {});
  return serve(engine, request, { body, response });
}

function reserve(
  engine: Engine,
  body: string,
  response: ServerResponse,
): void {
  const backoff = nextBackoff(engine);
  if (backoff !== undefined) {
    response.setHeader("Retry-After", backoff);
    return send(response, 503, {});
  }
  const { ttl_ms: ttlMs } = JSON.parse(body) as { ttl_ms: number };
  engine.sequence += 1;
  const id = `m${engine.sequence}`;
  engine.reservations.set(id, performance.now() + ttlMs);
  send(response, 200, { Retention: id });
}

async function serve(
  engine: Engine,
  request: IncomingMessage,
  { body, response }: {
    readonly body: string;
    readonly response: ServerResponse;
  },
): Promise<void> {
  const { options } = engine;
  const { role, world } = options;
  if (engine.limit !== undefined) {
    response.setHeader("Server-Limit", engine.limit);
  }
  const header = (name: string) => String(request.headers[name] ?? "");
  const id = header("attempt-id");
  if (header("expected-instance") !== options.id) {
    return notRun(response, 421, id);
  }
  const isPrefill = header("serving-stage") === "prefill";
  const fromEvent = Number(header("last-event-id") || -1) + 1;
  const { draining: reportedDraining, start } = engine;
  const backoff = nextBackoff(engine);
  const note = (ran: boolean) =>
    world.arrivals.push({
      request: id,
      replica: options.id,
      start,
      atMs: performance.now(),
      ran,
      fromEvent,
      reportedDraining,
      ...(backoff === undefined ? {} : { backoff }),
    });
  if (isPrefill !== (role === "prefill")) {
    note(false);
    return notRun(response, 421, id);
  }
  if (backoff !== undefined) {
    note(false);
    response.setHeader("Retry-After", backoff);
    return notRun(response, 503, id);
  }
  if (isPrefill) return await prefill(engine, id, response, note);
  const from = header("kv-source");
  if (from !== "" && !popExport(world, from, id)) {
    note(false);
    return notRun(response, 503, id);
  }
  note(true);
  engine.running += 1;
  response.on("close", () => engine.running -= 1);
  if (body === CRASHING_BODY) {
    await sleep(CRASH_DELAY_MS);
    return world.onCrash?.(options.id);
  }
  const seal = { "Attempt-Id": id, "Server-Seal": `${options.id}.${id}` };
  if (role === "plain") {
    await sleep(PLAIN_DURATION_MS * engine.slowdown);
    response.writeHead(200, seal);
    return void response.end(`body of ${id}`);
  }
  await stream(engine, response, { id, fromEvent, seal });
}

/**
 * The `Retry-After` header for the next request; undefined if it is accepted.
 */
function nextBackoff(engine: Engine): string | undefined {
  if (!engine.backoff) return undefined;
  const { text, isPartial = false } = engine.backoff;
  engine.sequence += 1;
  return isPartial && engine.sequence % 2 === 0 ? undefined : text;
}

async function prefill(
  engine: Engine,
  id: string,
  response: ServerResponse,
  note: (ran: boolean) => void,
): Promise<void> {
  note(false);
  const { world, publicAddress } = engine.options;
  await sleep(PREFILL_DURATION_MS * engine.slowdown);
  engine.sequence += 1;
  const handle = `h${engine.sequence}`;
  const expiresAt = performance.now() + EXPORT_TTL_MS;
  world.exports.set(`${publicAddress()}/${handle}`, { request: id, expiresAt });
  response.setHeader("Attempt-Id", id);
  send(response, 200, { PrefillHandle: handle, Tokens: 1, Version: 1 });
}

async function stream(
  engine: Engine,
  response: ServerResponse,
  run: {
    readonly id: string;
    readonly fromEvent: number;
    readonly seal: Record<string, string>;
  },
): Promise<void> {
  const type = { "Content-Type": "text/event-stream" };
  response.writeHead(200, { ...run.seal, ...type });
  for (let event = run.fromEvent; event < STREAM_EVENTS; event++) {
    await sleep(EVENT_INTERVAL_MS * engine.slowdown);
    if (response.destroyed) return;
    const last = event === STREAM_EVENTS - 1 ? " last" : "";
    response.write(`id: ${event}\ndata: ${run.id}${last}\n\n`);
  }
  response.end();
}

function notRun(response: ServerResponse, status: number, id: string): void {
  response.writeHead(status, { "Attempt-Id": id, "Not-Executed": "1" });
  response.end();
}

function sleep(durationMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, durationMs));
}
