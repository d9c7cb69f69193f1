/** The callers' side: reads requests, finds their routes, opens exchanges. */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { Milliseconds } from "../../core/ids.ts";
import { GatewayError } from "../answers.ts";
import { type Clock, sleep } from "../clock.ts";
import type { GatewayContext } from "../context.ts";
import { requestHeaders } from "../http/headers.ts";
import type { Places } from "../planning/places.ts";
import { Exchange } from "../requests/exchange.ts";
import type { GatewayRequest, Reply } from "../requests/request.ts";
import type { CallerLimits, Route } from "../routing/model.ts";
import { pickTarget } from "../routing/route_table.ts";
import { readCallerBody } from "./body.ts";
import { createReply } from "./reply.ts";

/** Largest head of a request; the configuration's limit is lower. */
const HEAD_BYTES = 64 * 1024;
/** Body limit before a configuration is known. */
const FIRST_BODY_BYTES = 4 << 20;
/**
 * A stream that may take longer than what is left of the grace is not begun:
 * the longest take some five seconds.
 */
const STREAM_MS = 5300;
const PLAIN_MS = 1000;
const FINISH_CHECK_MS = 50;

/** The callers' side of a gateway. */
export class CallerServer {
  readonly server: Server;
  readonly #context: GatewayContext;
  readonly #places: Places;
  readonly #open = new Set<Exchange>();
  #reading = 0;

  constructor(context: GatewayContext, places: Places) {
    this.#context = context;
    this.#places = places;
    this.server = createServer(
      { maxHeaderSize: HEAD_BYTES },
      (request, response) => void this.#serve(request, response),
    );
    this.server.requestTimeout = 0;
  }

  /** Requests that are not ended. */
  get open(): number {
    return this.#open.size + this.#reading;
  }

  /** Puts the limits of a new configuration in force. */
  applyLimits(limits: CallerLimits): void {
    this.server.keepAliveTimeout = limits.idleMs;
    this.server.headersTimeout = limits.headerMs;
  }

  /**
   * Takes no new connections, closes those at rest, and waits until the
   * others have ended; what comes on them meanwhile is served.
   */
  async finish(clock: Clock, lastAt: Milliseconds): Promise<void> {
    let closed = false;
    this.server.close(() => closed = true);
    while (!closed && clock.now() < lastAt) {
      this.server.closeIdleConnections();
      await sleep(clock, FINISH_CHECK_MS);
    }
  }

  async #serve(
    incoming: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const { clock, routes, dialect, metrics, stop } = this.#context;
    const receivedAt = clock.now();
    metrics.count("requests");
    const limit = routes.config?.limits.bodyBytes ?? FIRST_BODY_BYTES;
    this.#reading += 1;
    const reading = await readCallerBody(incoming, limit);
    this.#reading -= 1;
    if (reading.type === "gone") return;
    const reply = createReply({
      response,
      dialect,
      lastOnConnection: () => stop.askedAt !== undefined,
    });
    if (reading.type === "tooLarge") {
      response.shouldKeepAlive = false;
      response.on("finish", () => incoming.destroy());
      return this.#refuse(reply, GatewayError.bodyTooLarge, incoming);
    }
    const host = incoming.headers.host ?? "";
    const target = incoming.url ?? "/";
    const route = routes.match(host, target);
    if (!route) {
      const known = routes.config !== undefined;
      const error = known ? GatewayError.noRoute : GatewayError.noConfig;
      return this.#refuse(reply, error, incoming);
    }
    if (!this.#timeLeftFor(route)) {
      return this.#refuse(reply, GatewayError.stopping, incoming);
    }
    const service = pickTarget(route.targets, this.#context.random()) ?? "";
    const request = this.#request(incoming, {
      route,
      service,
      receivedAt,
      body: reading.body,
    });
    this.#begin(request, reply, response);
  }

  #request(
    incoming: IncomingMessage,
    read: Pick<GatewayRequest, "route" | "service" | "receivedAt" | "body">,
  ): GatewayRequest {
    const facts = this.#context.dialect.readRequest(incoming.headers);
    const holdMs = Math.min(
      read.route.timeoutMs,
      facts.patienceMs ?? Infinity,
    );
    return {
      ...read,
      method: incoming.method ?? "GET",
      target: incoming.url ?? "/",
      rawHeaders: requestHeaders(
        incoming.rawHeaders,
        this.#context.dialect.endToEndHeaders,
      ),
      facts,
      limitAt: read.receivedAt + holdMs,
    };
  }

  #begin(
    request: GatewayRequest,
    reply: Reply,
    response: ServerResponse,
  ): void {
    const exchange = new Exchange({
      context: this.#context,
      places: this.#places,
      request,
      reply,
      onEnd: () => this.#open.delete(exchange),
    });
    this.#open.add(exchange);
    response.on("close", () => {
      if (!response.writableFinished) exchange.callerGone();
    });
    void exchange.run();
  }

  #timeLeftFor(route: Route): boolean {
    const { stop, clock, routes } = this.#context;
    if (stop.askedAt === undefined) return true;
    const left = stop.askedAt + stop.graceMs - clock.now();
    const engine = route.targets.some((one) =>
      routes.service(one.service)?.engine !== undefined
    );
    return left > (engine ? STREAM_MS : PLAIN_MS);
  }

  #refuse(
    reply: Reply,
    error: GatewayError,
    incoming: IncomingMessage,
  ): void {
    const { events, metrics, routes, dialect } = this.#context;
    metrics.count(`ended_${error}`);
    events.note("refused", {
      request: dialect.readRequest(incoming.headers).id,
      error,
      routes: routes.version,
    });
    reply.fail(error);
  }
}
