/**
 * A stand-in of one replica that remembers all it was asked: a plain service,
 * or a model engine with memory to reserve and prefills to fetch.
 */
import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from "node:http";
import type { Socket } from "node:net";
import { listen, send, textOf } from "./store_standin.ts";

/** What a replica does. */
export type ReplicaRole = "plain" | "prefill" | "decode";

/** A request that a replica was sent. */
export type ReplicaArrival = {
  readonly request: string;
  readonly replica: string;
  /** Tells the starts of all replicas apart. */
  readonly start: number;
  readonly atMs: number;
  /** It began to run; a prefill does not count as a run. */
  readonly ran: boolean;
  /** The first event or byte that it was to make. */
  readonly fromEvent: number;
  /** Its answer said that the replica leaves. */
  readonly saidLeaving: boolean;
  /** It was turned away and asked to send nothing for so many seconds. */
  readonly backoff?: string;
};

/** Something that a replica must never see. */
export type ReplicaFault = { readonly what: string; readonly request: string };

/** What all replicas of a test share. */
export type ReplicaWorld = {
  readonly arrivals: ReplicaArrival[];
  readonly faults: ReplicaFault[];
  /** Finished prefills by "address/handle". */
  readonly exports: Map<string, { request: string; endsAtMs: number }>;
  /** A request with {@link CRASHING_BODY} has begun to run at the replica. */
  onCrash?(replica: string): void;
};

/** A request with this body crashes the replica that begins to run it. */
export const CRASHING_BODY = "crashes its replica";

/** How a replica turns requests away. */
export type Backoff = {
  /** The seconds without any request that it asks for; it may be no number. */
  readonly text: string;
  /** It takes every other one. */
  readonly isPartial?: boolean;
};

/** A running replica. */
export type ReplicaStandin = {
  readonly id: string;
  readonly role: ReplicaRole;
  readonly address: string;
  /** Requests that run now. */
  running(): number;
  /** What its answers say of the rate that it takes; undefined: nothing. */
  limit: string | undefined;
  /** All its answers say that it leaves. */
  leaving: boolean;
  /** It turns requests away; undefined: it doesn't. */
  backoff: Backoff | undefined;
  /** Ends it as a crash does: all connections are reset. */
  crash(): void;
};

/** What a replica is made from. */
export type ReplicaSource = {
  readonly id: string;
  readonly role: ReplicaRole;
  readonly world: ReplicaWorld;
  /** Where others reach it; prefills are known by it. */
  publicAddress(): string;
};

/** Events of a whole stream, and the time between two. */
export const STREAM_EVENTS = 20;
const EVENT_MS = 40;
const PLAIN_MS = 30;
const PREFILL_MS = 25;
/** From the start of a crashing run to its replica's end. */
const CRASH_MS = 20;
const EXPORT_MS = 1500;

type Engine = {
  readonly source: ReplicaSource;
  readonly holds: Map<string, number>;
  running: number;
  count: number;
  limit: string | undefined;
  leaving: boolean;
  backoff: Backoff | undefined;
  readonly start: number;
};

let starts = 0;

/** Starts a replica on a free port. */
export async function startReplica(
  source: ReplicaSource,
): Promise<ReplicaStandin> {
  starts += 1;
  const engine: Engine = {
    start: starts,
    source,
    holds: new Map(),
    running: 0,
    count: 0,
    limit: undefined,
    leaving: false,
    backoff: undefined,
  };
  const server = createServer((request, response) => {
    response.on("error", () => undefined);
    void answer(engine, request, response).catch(() => response.destroy());
  });
  const sockets = new Set<Socket>();
  server.on("connection", (socket) => {
    sockets.add(socket);
    socket.on("error", () => undefined);
    socket.on("close", () => sockets.delete(socket));
  });
  const address = await listen(server);
  return {
    id: source.id,
    role: source.role,
    address,
    running: () => engine.running,
    get limit() {
      return engine.limit;
    },
    set limit(text) {
      engine.limit = text;
    },
    get leaving() {
      return engine.leaving;
    },
    set leaving(leaves) {
      engine.leaving = leaves;
    },
    get backoff() {
      return engine.backoff;
    },
    set backoff(text) {
      engine.backoff = text;
    },
    crash: () => {
      server.close();
      for (const socket of sockets) socket.resetAndDestroy();
    },
  };
}

async function answer(
  engine: Engine,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const body = await textOf(request);
  const path = request.url ?? "";
  if (engine.leaving) response.setHeader("Server-Leaving", "1");
  if (path === "/hold-take") return takeHold(engine, body, response);
  if (path.startsWith("/hold-drop/")) {
    engine.holds.delete(path.slice("/hold-drop/".length));
    return send(response, 200, {});
  }
  if (path.startsWith("/kv-handle/")) {
    const handle = path.slice("/kv-handle/".length);
    const { world, publicAddress } = engine.source;
    world.exports.delete(`${publicAddress()}/${handle}`);
    return send(response, 200, {});
  }
  if (path === "/report") {
    const report = { Stage: engine.source.role, Utilization: false };
    return send(response, 200, { ...report, Sequence: 0 });
  }
  if (path === "/order") return send(response, 409, {});
  return serve(engine, request, { body, response });
}

function takeHold(
  engine: Engine,
  body: string,
  response: ServerResponse,
): void {
  const backoff = backoffOf(engine);
  if (backoff !== undefined) {
    response.setHeader("Retry-After", backoff);
    return send(response, 503, {});
  }
  const { ttl_ms: lifeMs } = JSON.parse(body) as { ttl_ms: number };
  engine.count += 1;
  const id = `m${engine.count}`;
  engine.holds.set(id, performance.now() + lifeMs);
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
  const { source } = engine;
  const { role, world } = source;
  if (engine.limit !== undefined) {
    response.setHeader("Server-Limit", engine.limit);
  }
  const header = (name: string) => String(request.headers[name] ?? "");
  const id = header("attempt-id");
  if (header("expected-instance") !== source.id) {
    return notRun(response, 421, id);
  }
  const isPrefill = header("serving-stage") === "prefill";
  const fromEvent = Number(header("last-event-id") || -1) + 1;
  const { leaving: saidLeaving, start } = engine;
  const backoff = backoffOf(engine);
  const note = (ran: boolean) =>
    world.arrivals.push({
      request: id,
      replica: source.id,
      start,
      atMs: performance.now(),
      ran,
      fromEvent,
      saidLeaving,
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
  if (from !== "" && !takeExport(world, from, id)) {
    note(false);
    return notRun(response, 503, id);
  }
  note(true);
  engine.running += 1;
  response.on("close", () => engine.running -= 1);
  if (body === CRASHING_BODY) {
    await pause(CRASH_MS);
    return world.onCrash?.(source.id);
  }
  const seal = { "Attempt-Id": id, "Server-Seal": `${source.id}.${id}` };
  if (role === "plain") {
    await pause(PLAIN_MS);
    response.writeHead(200, seal);
    return void response.end(`body of ${id}`);
  }
  await stream(response, { id, fromEvent, seal });
}

/** What is asked of the request that comes now, if it is turned away. */
function backoffOf(engine: Engine): string | undefined {
  if (!engine.backoff) return undefined;
  const { text, isPartial = false } = engine.backoff;
  engine.count += 1;
  return isPartial && engine.count % 2 === 0 ? undefined : text;
}

async function prefill(
  engine: Engine,
  id: string,
  response: ServerResponse,
  note: (ran: boolean) => void,
): Promise<void> {
  note(false);
  const { world, publicAddress } = engine.source;
  await pause(PREFILL_MS);
  engine.count += 1;
  const handle = `h${engine.count}`;
  const endsAtMs = performance.now() + EXPORT_MS;
  world.exports.set(`${publicAddress()}/${handle}`, { request: id, endsAtMs });
  response.setHeader("Attempt-Id", id);
  send(response, 200, { PrefillHandle: handle, Tokens: 1, Version: 1 });
}

/** Takes a finished prefill; false when it is gone. */
function takeExport(world: ReplicaWorld, from: string, id: string): boolean {
  const made = world.exports.get(from);
  world.exports.delete(from);
  if (!made || made.endsAtMs < performance.now()) return false;
  if (made.request === id) return true;
  world.faults.push({ what: "It goes on from another's prefill", request: id });
  return false;
}

async function stream(
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
    await pause(EVENT_MS);
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

function pause(forMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, forMs));
}
