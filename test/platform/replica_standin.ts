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
import { resetSocket } from "../../src/util/reset_socket.ts";
import { crashesReplica } from "./crashing_requests.ts";
import { popExport } from "./replica_exports.ts";
import { listen, send, textOf } from "./store_standin.ts";
import type { ReplicaArrival, ReplicaWorld } from "./replica_world.ts";
import {
  ConnectionEnd,
  Framing,
  type ResponseShape,
  writeResponse,
} from "./response_standin.ts";
import { sleep } from "../soak/sleep.ts";
import { streamTexts } from "./stream_standin.ts";

/** The role of a replica. */
export type ReplicaRole = "plain" | "prefill" | "decode";

/** How a replica rejects requests. */
export type Backoff = {
  /** The `Retry-After` header, which may be no number. */
  readonly text: string;
  /** Whether it accepts every other request. */
  readonly isPartial?: boolean;
};

/** What a test may change of a running replica. */
export type ReplicaSettings = {
  /** The rate limit header of its responses; undefined for none. */
  limit: string | undefined;
  /** Whether all its responses mark it as draining. */
  draining: boolean;
  /** How it rejects requests; undefined if it accepts them. */
  backoff: Backoff | undefined;
  /** Factor on the duration of its work. */
  slowdown: number;
  /** Returns bytes that it sends when a call arrives, before its response. */
  surplusBytes(request: IncomingMessage): string;
  /** Decides how it sends the response to a request. */
  shapeResponse(request: string): ResponseShape;
};

/** A running replica. */
export type ReplicaStandin = ReplicaSettings & {
  readonly id: string;
  readonly role: ReplicaRole;
  readonly softwareVersion: string;
  readonly address: string;
  /** The number of running requests. */
  running(): number;
  /** Simulates a crash: resets all connections. */
  crash(): void;
};

/** Options of {@link startReplica}. */
export type ReplicaOptions = {
  readonly id: string;
  readonly role: ReplicaRole;
  /** Written into each event of its streams. */
  readonly softwareVersion: string;
  /** Its start, as in its entry. */
  readonly born: number;
  readonly world: ReplicaWorld;
  /** The address for other hosts; part of the keys of its exports. */
  publicAddress(): string;
};

/** Time between two events of a stream. */
const EVENT_INTERVAL_MS = 40;
const PLAIN_DURATION_MS = 30;
const PREFILL_DURATION_MS = 25;
/** Time from the start of a crashing request to the crash. */
const CRASH_DELAY_MS = 20;
const EXPORT_TTL_MS = 1500;

type Engine = {
  readonly options: ReplicaOptions;
  readonly settings: ReplicaSettings;
  readonly reservations: Map<string, number>;
  running: number;
  sequence: number;
  hasCrashed: boolean;
  readonly start: number;
};

let starts = 0;

/** Starts a replica on a free port. */
export async function startReplica(
  options: ReplicaOptions,
): Promise<ReplicaStandin> {
  const settings: ReplicaSettings = {
    limit: undefined,
    draining: false,
    backoff: undefined,
    slowdown: 1,
    surplusBytes: () => "",
    shapeResponse: () => ({ framing: Framing.chunks }),
  };
  starts += 1;
  const engine: Engine = {
    start: starts,
    options,
    settings,
    reservations: new Map(),
    running: 0,
    sequence: 0,
    hasCrashed: false,
  };
  const server = createServer((request, response) => {
    response.on("error", () => undefined);
    request.socket.write(settings.surplusBytes(request));
    void handle(engine, request, response).catch(() => response.destroy());
  });
  const sockets = new Set<Socket>();
  server.on("connection", (socket) => {
    sockets.add(socket);
    socket.on("error", () => undefined);
    socket.on("close", () => sockets.delete(socket));
  });
  return Object.assign(settings, {
    ...options,
    address: await listen(server),
    running: () => engine.running,
    crash: () => {
      engine.hasCrashed = true;
      server.close();
      for (const socket of sockets) resetSocket(socket);
    },
  });
}

async function handle(
  engine: Engine,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const body = await textOf(request);
  const path = request.url ?? "";
  if (engine.settings.draining) response.setHeader("Server-Leaving", "1");
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
    const { role: Stage, born } = engine.options;
    const report = { Stage, born, Utilization: false, Sequence: 0 };
    return send(response, 200, report);
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
  const { options, settings, options: { role, world } } = engine;
  if (settings.limit !== undefined) {
    response.setHeader("Server-Limit", settings.limit);
  }
  const header = (name: string) => String(request.headers[name] ?? "");
  const id = header("attempt-id");
  if (header("expected-instance") !== options.id) {
    return notRun(response, 421, id);
  }
  const isPrefill = header("serving-stage") === "prefill";
  const fromEvent = Number(header("last-event-id") || -1) + 1;
  const backoff = nextBackoff(engine);
  const note = (ran: boolean) => {
    const arrival: ReplicaArrival = {
      request: id,
      replica: options.id,
      start: engine.start,
      atMs: performance.now(),
      ran,
      fromEvent,
      reportedDraining: settings.draining,
      ...(backoff === undefined ? {} : { backoff }),
    };
    world.arrivals.push(arrival);
    return arrival;
  };
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
  const arrival = note(true);
  engine.running += 1;
  response.on("close", () => {
    engine.running -= 1;
    arrival.endedAtMs = performance.now();
  });
  if (crashesReplica({ role, body, prompt: header("prompt-prefix") })) {
    await sleep(CRASH_DELAY_MS);
    return world.onCrash?.(options.id);
  }
  const headers = { "Attempt-Id": id, "Server-Seal": `${options.id}.${id}` };
  if (role === "plain") {
    return await respond(engine, response, {
      id,
      headers,
      pieces: [`body of ${id}`],
      intervalMs: PLAIN_DURATION_MS,
    });
  }
  const { softwareVersion } = options;
  const first = { index: fromEvent, request: id, softwareVersion };
  await respond(engine, response, {
    id,
    headers: { ...headers, "Content-Type": "text/event-stream" },
    pieces: streamTexts(first),
    intervalMs: EVENT_INTERVAL_MS,
  });
}

/** Sends a response with status 200 in the shape that is set. */
async function respond(
  engine: Engine,
  response: ServerResponse,
  { id, headers, pieces, intervalMs = 0 }: {
    readonly id: string;
    readonly headers: Readonly<Record<string, string>>;
    readonly pieces: readonly string[];
    /** Time before each piece. */
    readonly intervalMs?: number;
  },
): Promise<void> {
  const { settings, options: { id: replica, role, world } } = engine;
  const shape = settings.shapeResponse(id);
  const { framing, cut } = shape;
  const wait = () => sleep(intervalMs * settings.slowdown);
  const written = await writeResponse(response, {
    headers,
    pieces,
    shape,
    wait,
  });
  const { state, sent } = written;
  // Callers don't get the response to a prefill.
  if (state === "whole" || role === "prefill") return;
  // A crashed replica's proxy ends the connection in order.
  const crashEnd = engine.hasCrashed ? ConnectionEnd.fin : undefined;
  const end = state === "cut" ? cut?.end : crashEnd;
  if (!end) return;
  world.onCut?.({ request: id, replica, framing, end, sent });
}

/**
 * The `Retry-After` header for the next request; undefined if it is accepted.
 */
function nextBackoff(engine: Engine): string | undefined {
  const { backoff } = engine.settings;
  if (!backoff) return undefined;
  const { text, isPartial = false } = backoff;
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
  await sleep(PREFILL_DURATION_MS * engine.settings.slowdown);
  engine.sequence += 1;
  const handle = `h${engine.sequence}`;
  const expiresAt = performance.now() + EXPORT_TTL_MS;
  world.exports.set(`${publicAddress()}/${handle}`, { request: id, expiresAt });
  const result = { PrefillHandle: handle, Tokens: 1, Version: 1 };
  await respond(engine, response, {
    id,
    headers: { "Attempt-Id": id, "Content-Type": "application/json" },
    pieces: [JSON.stringify(result)],
  });
}

function notRun(response: ServerResponse, status: number, id: string): void {
  response.writeHead(status, { "Attempt-Id": id, "Not-Executed": "1" });
  response.end();
}
