/** The callers' side: reads requests, finds their routes, opens exchanges. */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { Milliseconds } from "../../util/units.ts";
import { GatewayError } from "../answers.ts";
import { type Clock, sleep } from "../clock.ts";
import type { GatewayContext } from "../context.ts";
import { type AdmissionSource, admit } from "../customers/admission.ts";
import type { Customer } from "../customers/model.ts";
import { lazyFingerprint } from "../crashes/fingerprint.ts";
import { requestHeaders, withoutHeaders } from "../http/headers.ts";
import type { RequestFacts } from "../port.ts";
import type { Places } from "../planning/places.ts";
import { Exchange } from "../requests/exchange.ts";
import type { GatewayRequest, Reply } from "../requests/request.ts";
import type { CallerLimits, Route } from "../routing/model.ts";
import { pickTarget } from "../routing/route_table.ts";
import { readCallerBody } from "./body.ts";
import {
  type QuotaHold,
  type QuotaHoldSource,
  takeQuotaHold,
} from "./quota_hold.ts";
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

/** A request that may go on, by its head. */
type TakenIntake = {
  readonly type: "taken";
  readonly route: Route;
  readonly facts: RequestFacts;
  readonly customer: Customer | undefined;
};
type Intake =
  | TakenIntake
  | { readonly type: "refused"; readonly error: GatewayError };

/** What the callers' side is made from. */
export type CallerServerSource = {
  readonly context: GatewayContext;
  readonly places: Places;
  readonly admission: AdmissionSource;
  readonly quotas: QuotaHoldSource["quotas"];
};

/** The callers' side of a gateway. */
export class CallerServer {
  readonly server: Server;
  readonly #context: GatewayContext;
  readonly #places: Places;
  readonly #admission: AdmissionSource;
  readonly #quotas: QuotaHoldSource["quotas"];
  readonly #open = new Set<Exchange>();
  #reading = 0;

  constructor(source: CallerServerSource) {
    const { context, places, admission, quotas } = source;
    this.#context = context;
    this.#places = places;
    this.#admission = admission;
    this.#quotas = quotas;
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
    const early = this.#intake(incoming);
    const limit = routes.config?.limits.bodyBytes ?? FIRST_BODY_BYTES;
    this.#reading += 1;
    const reading = await readCallerBody(incoming, {
      limit,
      // Nothing is held for a caller who is refused by the head already.
      isKept: early.type === "taken",
    });
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
    // A body may take its time: keys may be taken away meanwhile.
    const intake = early.type === "taken" ? this.#intake(incoming) : early;
    if (intake.type === "refused") {
      return this.#refuse(reply, intake.error, incoming);
    }
    const { body } = reading;
    const request = this.#request(incoming, { intake, receivedAt, body });
    const hold = await this.#holdQuota(request);
    if (hold.type === "refused") {
      const { error, retryAfterMs } = hold;
      return this.#refuse(reply, error, incoming, retryAfterMs);
    }
    if (response.destroyed) return hold.giveBack();
    this.#begin(request, { reply, response, hold });
  }

  async #holdQuota(request: GatewayRequest): Promise<QuotaHold> {
    const { clock, routes: { version } } = this.#context;
    const quotas = this.#quotas;
    this.#reading += 1;
    const hold = await takeQuotaHold({ clock, quotas, version }, request);
    this.#reading -= 1;
    return hold;
  }

  /** What a request's head says of where it goes, and whether it may. */
  #intake(incoming: IncomingMessage): Intake {
    const { clock, routes, dialect } = this.#context;
    const host = incoming.headers.host ?? "";
    const route = routes.match(host, incoming.url ?? "/");
    if (!route) {
      return { type: "refused", error: this.#noRouteError() };
    }
    if (!this.#timeLeftFor(route)) {
      return { type: "refused", error: GatewayError.stopping };
    }
    const facts = dialect.readRequest(incoming.headers);
    const { keyDigest } = facts;
    const now = clock.now();
    const admission = admit(this.#admission, { route, keyDigest }, now);
    if (admission.type === "refused") return admission;
    return { type: "taken", route, facts, customer: admission.customer };
  }

  /**
   * A 404 is final to its caller, so none is given by a host that knows of a
   * newer configuration, which may have the route.
   */
  #noRouteError(): GatewayError {
    const { routes } = this.#context;
    if (routes.config === undefined) return GatewayError.noConfig;
    return routes.isBehind ? GatewayError.staleRoutes : GatewayError.noRoute;
  }

  #request(
    incoming: IncomingMessage,
    read: {
      readonly intake: TakenIntake;
      readonly receivedAt: Milliseconds;
      readonly body: Buffer;
    },
  ): GatewayRequest {
    const { random } = this.#context;
    const { intake: { route, facts, customer }, receivedAt, body } = read;
    const holdMs = Math.min(route.timeoutMs, facts.patienceMs ?? Infinity);
    const method = incoming.method ?? "GET";
    const target = incoming.url ?? "/";
    const fingerprint = lazyFingerprint({
      method,
      host: route.host,
      target,
      customer: customer?.name,
      body,
    });
    return {
      route,
      service: pickTarget(route.targets, random()) ?? "",
      ...(customer ? { customer } : {}),
      priority: customer?.priority ?? route.priority,
      receivedAt,
      body,
      fingerprint,
      method,
      target,
      rawHeaders: this.#headersToPass(incoming.rawHeaders),
      facts,
      limitAt: receivedAt + holdMs,
    };
  }

  /** Keys are for this system alone. */
  #headersToPass(raw: readonly string[]): string[] {
    const { dialect, routes } = this.#context;
    const passed = requestHeaders(raw, dialect.endToEndHeaders);
    if (!routes.customers) return passed;
    return withoutHeaders(passed, (name) => name === dialect.keyHeader);
  }

  #begin(
    request: GatewayRequest,
    { reply, response, hold }: {
      readonly reply: Reply;
      readonly response: ServerResponse;
      readonly hold: Extract<QuotaHold, { type: "held" }>;
    },
  ): void {
    const exchange = new Exchange({
      context: this.#context,
      places: this.#places,
      request,
      reply,
      onEnd: (mayHaveRun) => {
        this.#open.delete(exchange);
        if (!mayHaveRun) hold.giveBack();
      },
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
    retryAfterMs?: Milliseconds,
  ): void {
    const { events, metrics, routes, dialect, clock } = this.#context;
    const { id, keyDigest = "" } = dialect.readRequest(incoming.headers);
    const age = this.#admission.configAgeMs(clock.now());
    metrics.count(`ended_${error}`);
    events.note("refused", {
      request: id,
      error,
      customer: routes.customers?.holderOf(keyDigest)?.name,
      routes: routes.version,
      routes_age_ms: Number.isFinite(age) ? Math.round(age) : undefined,
      retry_after: retryAfterMs && retryAfterMs / 1000,
    });
    const seconds = retryAfterMs && Math.ceil(retryAfterMs / 10) / 100;
    reply.fail(error, seconds);
  }
}
