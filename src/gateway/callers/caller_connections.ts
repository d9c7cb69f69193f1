/** The connections of callers and the requests that are received on them. */
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { GatewayError } from "../answers.ts";
import type { Milliseconds } from "../../util/units.ts";
import type { GatewayContext } from "../context.ts";
import { hasInvalidName } from "../http/headers.ts";
import { AcceptQueue } from "../load/accept_queue.ts";
import { LateLoop } from "../load/late_loop.ts";
import { ConnectionLimit } from "./connection_limit.ts";
import { lingerOnClose } from "./lingering_close.ts";
import { Pipeline, type PipelineBounds, Turn } from "./pipeline.ts";
import { rawResponse } from "./raw_response.ts";
import { UnreadableRequests } from "./unreadable_requests.ts";

/**
 * Node closes a new connection, before it makes a socket of it, while this many
 * are open. One that is closed unread costs little that way.
 */
const SHEDDING_LIMIT = 1;
/** The error of a parser that rejects invalid names of headers. */
const INVALID_NAME = Object.assign(new Error("Invalid header name"), {
  code: "HPE_INVALID_HEADER_TOKEN",
});

/** What {@link CallerConnections} uses of a gateway's context. */
export type ConnectionsContext = Pick<
  GatewayContext,
  "clock" | "dialect" | "events" | "metrics" | "heldBytes" | "tuning"
>;

/** The connections of one server. */
export class CallerConnections {
  readonly #context: ConnectionsContext;
  readonly #server: Server;
  readonly #acceptQueue: AcceptQueue;
  readonly #lateLoop = new LateLoop();
  readonly #limit = new ConnectionLimit<Socket>();
  readonly #pipelines = new WeakMap<Socket, Pipeline>();
  readonly #unreadable: UnreadableRequests;

  constructor(context: ConnectionsContext, server: Server) {
    this.#context = context;
    this.#unreadable = new UnreadableRequests(
      context,
      () => server.headersTimeout,
    );
    this.#server = server;
    this.#acceptQueue = new AcceptQueue(context.clock.now());
    server.on("connection", (socket: Socket) => this.#opened(socket));
    server.on("drop", () => this.#shed());
    server.on("clientError", (error: Error, stream) => {
      const socket = stream as Socket;
      this.#unreadable.failed(socket, this.#pipelineOf(socket), error);
    });
  }

  /** Number of connections that are open. */
  get size(): number {
    return this.#limit.size;
  }

  /** Adds a request on its arrival; resolves when its turn has come. */
  add(incoming: IncomingMessage, response: ServerResponse): Promise<Turn> {
    const { socket } = incoming;
    const pipeline = this.#pipelineOf(socket);
    this.#unreadable.received(socket);
    this.#limit.busy(socket);
    if (!hasInvalidName(incoming.rawHeaders)) {
      return pipeline.add(incoming, response);
    }
    incoming.resume();
    this.#unreadable.failed(socket, pipeline, INVALID_NAME);
    return Promise.resolve(Turn.closed);
  }

  /** Whether requests on the connection wait for their turn. */
  hasWaiting(socket: Socket): boolean {
    return this.#pipelines.get(socket)?.hasWaiting ?? false;
  }

  /** Whether callers had better leave this host once they are served. */
  get isBehind(): boolean {
    return this.#lateLoop.isBehind;
  }

  /** Whether this host can't finish in time what it reads. */
  get isLate(): boolean {
    return this.#lateLoop.isLate;
  }

  /**
   * Called at the end of each iteration of the event loop with the time for
   * which it was busy.
   */
  iterationEnded(now: Milliseconds, busyMs: Milliseconds): void {
    this.#lateLoop.iterationEnded(busyMs);
    const isShedding = this.#acceptQueue.iterationEnded(now) || this.isLate;
    this.#server.maxConnections = isShedding ? SHEDDING_LIMIT : Infinity;
  }

  #shed(): void {
    const { metrics, events } = this.#context;
    this.#acceptQueue.noteAccepted();
    metrics.count("connections_shed");
    events.note("connectionShed");
  }

  #opened(socket: Socket): void {
    this.#acceptQueue.noteAccepted();
    const { metrics, events, tuning, dialect, clock } = this.#context;
    const opened = this.#limit.opened(socket, tuning.maxConnections);
    if (opened.type === "refused") {
      metrics.count("connections_refused");
      events.note("connectionRefused", { open: this.size });
      const error = GatewayError.tooManyConnections;
      socket.end(rawResponse(error, dialect.retryAfterHeader));
      return socket.destroySoon();
    }
    lingerOnClose(socket, clock);
    socket.on("close", () => this.#limit.closed(socket));
    if (opened.type !== "acceptedFor") return;
    metrics.count("connections_evicted");
    events.note("connectionEvicted", { open: this.size });
    opened.idle.destroy();
  }

  #pipelineOf(socket: Socket): Pipeline {
    const existing = this.#pipelines.get(socket);
    if (existing) return existing;
    const { heldBytes, metrics, events } = this.#context;
    const pipeline = new Pipeline({
      socket,
      budget: heldBytes,
      bounds: () => this.#bounds,
      onFull: () => {
        metrics.count("pipelines_full");
        events.note("pipelineFull");
      },
      onIdle: () => {
        this.#limit.idle(socket);
        this.#unreadable.idle(socket);
      },
    });
    this.#pipelines.set(socket, pipeline);
    return pipeline;
  }

  get #bounds(): PipelineBounds {
    const { maxPipelinedRequests, maxPipelinedHeadBytes } =
      this.#context.tuning;
    return {
      requests: maxPipelinedRequests,
      headBytes: maxPipelinedHeadBytes,
    };
  }
}
