/**
 * HTTP server for callers: reads requests, checks their route, key and quota,
 * and starts an exchange for each accepted request.
 */
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
import { type AdmissionOptions, admit } from "../customers/admission.ts";
import type { Customer } from "../customers/model.ts";
import { lazyFingerprint } from "../crashes/fingerprint.ts";
import { requestHeaders, withoutHeaders } from "../http/headers.ts";
import type { RequestMetadata } from "../port.ts";
import type { PlannerClient } from "../planning/planner_client.ts";
import { Exchange } from "../requests/exchange.ts";
import type { GatewayRequest, Reply } from "../requests/request.ts";
import type { CallerLimits, Route } from "../routing/model.ts";
import { pickTarget } from "../routing/route_table.ts";
import { readCallerBody } from "./body.ts";
import {
  acquireQuota,
  type QuotaAcquisition,
  type QuotaAcquisitionOptions,
} from "./quota_acquisition.ts";
import { onceClosed } from "./once_closed.ts";
import { createReply } from "./reply.ts";

const MAX_HEADER_BYTES = 64 * 1024;
/** Body limit that applies until a configuration has been received. */
const DEFAULT_BODY_LIMIT_BYTES = 4 << 20;
/**
 * While this host stops, it refuses requests to model engines when less of its
 * grace period is left than the longest streams take.
 */
const MIN_STREAM_TIME_LEFT_MS = 5300;
/** As {@link MIN_STREAM_TIME_LEFT_MS}, for requests to plain services. */
const MIN_PLAIN_TIME_LEFT_MS = 1000;
const CLOSE_CHECK_INTERVAL_MS = 50;
/** Longest time for which the body of a refused request is discarded. */
const MAX_DISCARD_MS = 10_000;

/** Errors for bodies that were not read to their end. */
const INCOMPLETE_BODY_ERRORS = {
  tooLarge: GatewayError.bodyTooLarge,
  tooSlow: GatewayError.bodyTooSlow,
  overBudget: GatewayError.hostFull,
} as const;

/** A request that its headers allow to proceed. */
type AcceptedHeaders = {
  readonly type: "taken";
  readonly route: Route;
  readonly facts: RequestMetadata;
  readonly customer: Customer | undefined;
};
/** Result of checking the headers of a request. */
type HeaderCheck =
  | AcceptedHeaders
  | { readonly type: "refused"; readonly error: GatewayError };

/** Rank of a request; 0 is the most urgent. */
function priorityOf(
  { route, customer }: Pick<AcceptedHeaders, "route" | "customer">,
): number {
  return customer?.priority ?? route.priority;
}

/** Options of {@link CallerServer}. */
export type CallerServerOptions = {
  readonly context: GatewayContext;
  readonly planner: PlannerClient;
  readonly admission: AdmissionOptions;
  readonly quotas: QuotaAcquisitionOptions["quotas"];
};

/** The HTTP server of a gateway that receives the requests of callers. */
export class CallerServer {
  readonly server: Server;
  readonly #context: GatewayContext;
  readonly #planner: PlannerClient;
  readonly #admission: AdmissionOptions;
  readonly #quotas: QuotaAcquisitionOptions["quotas"];
  readonly #exchanges = new Set<Exchange>();
  /** Requests that are being read or wait for quota units. */
  #pendingCount = 0;

  constructor(options: CallerServerOptions) {
    const { context, planner, admission, quotas } = options;
    this.#context = context;
    this.#planner = planner;
    this.#admission = admission;
    this.#quotas = quotas;
    this.server = createServer(
      { maxHeaderSize: MAX_HEADER_BYTES },
      (request, response) => void this.#serve(request, response),
    );
    this.server.requestTimeout = 0;
  }

  /** Number of requests in progress. */
  get openRequestCount(): number {
    return this.#exchanges.size + this.#pendingCount;
  }

  /** Applies the limits of a new configuration. */
  applyLimits(limits: CallerLimits): void {
    this.server.keepAliveTimeout = limits.idleMs;
    this.server.headersTimeout = limits.headerMs;
  }

  /**
   * Stops accepting connections, closes idle ones, and waits until `deadline`
   * for the others to close. Requests that arrive on them are still served.
   */
  async drain(clock: Clock, deadline: Milliseconds): Promise<void> {
    let isClosed = false;
    this.server.close(() => isClosed = true);
    while (!isClosed && clock.now() < deadline) {
      this.server.closeIdleConnections();
      await sleep(clock, CLOSE_CHECK_INTERVAL_MS);
    }
  }

  async #serve(
    incoming: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const { clock, routes, dialect, metrics, stop, heldBytes } = this.#context;
    const receivedAt = clock.now();
    metrics.count("requests");
    const firstCheck = this.#checkHeaders(incoming);
    const maxBytes = routes.config?.limits.bodyBytes ??
      DEFAULT_BODY_LIMIT_BYTES;
    this.#pendingCount += 1;
    const reading = await readCallerBody(incoming, {
      maxBytes,
      // The body of a request that its headers already refuse is discarded.
      isRetained: firstCheck.type === "taken",
      budget: heldBytes,
      isMostUrgent: firstCheck.type === "taken" &&
        priorityOf(firstCheck) === 0,
      clock,
      timeoutMs: firstCheck.type === "taken"
        ? firstCheck.route.timeoutMs
        : MAX_DISCARD_MS,
    });
    this.#pendingCount -= 1;
    if (reading.type === "gone") return;
    const reply = createReply({
      response,
      dialect,
      shouldCloseConnection: () => stop.requestedAt !== undefined,
    });
    if (reading.type !== "whole") {
      response.shouldKeepAlive = false;
      response.on("finish", () => incoming.destroy());
      const error = firstCheck.type === "refused"
        ? firstCheck.error
        : INCOMPLETE_BODY_ERRORS[reading.type];
      return this.#refuse(reply, error, incoming);
    }
    onceClosed(incoming, response, () => reading.release());
    // Checks again: a key may have been revoked while the body was read.
    const check = firstCheck.type === "taken"
      ? this.#checkHeaders(incoming)
      : firstCheck;
    if (check.type === "refused") {
      return this.#refuse(reply, check.error, incoming);
    }
    const { body } = reading;
    const request = this.#createRequest(incoming, { check, receivedAt, body });
    const quota = await this.#acquireQuota(request);
    if (quota.type === "refused") {
      const { error, retryAfterMs } = quota;
      return this.#refuse(reply, error, incoming, retryAfterMs);
    }
    if (response.destroyed) return quota.release();
    this.#startExchange(request, { reply, incoming, response, quota });
  }

  async #acquireQuota(request: GatewayRequest): Promise<QuotaAcquisition> {
    const { clock, routes: { version }, tuning: { scheduling } } =
      this.#context;
    const quotas = this.#quotas;
    this.#pendingCount += 1;
    const quota = await acquireQuota(
      { clock, quotas, version, scheduling },
      request,
    );
    this.#pendingCount -= 1;
    return quota;
  }

  /** Finds the route and the customer of a request, or why it is refused. */
  #checkHeaders(incoming: IncomingMessage): HeaderCheck {
    const { clock, routes, dialect } = this.#context;
    const host = incoming.headers.host ?? "";
    const route = routes.match(host, incoming.url ?? "/");
    if (!route) {
      return { type: "refused", error: this.#noRouteError() };
    }
    if (!this.#hasTimeFor(route)) {
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
   * Callers don't retry a 404, so a host that waits for a newer configuration,
   * which may contain the route, responds with a retryable error instead.
   */
  #noRouteError(): GatewayError {
    const { routes } = this.#context;
    if (routes.config === undefined) return GatewayError.noConfig;
    return routes.isBehind ? GatewayError.staleRoutes : GatewayError.noRoute;
  }

  #createRequest(
    incoming: IncomingMessage,
    parts: {
      readonly check: AcceptedHeaders;
      readonly receivedAt: Milliseconds;
      readonly body: Buffer;
    },
  ): GatewayRequest {
    const { random } = this.#context;
    const { check: { route, facts, customer }, receivedAt, body } = parts;
    const timeoutMs = Math.min(route.timeoutMs, facts.timeoutMs ?? Infinity);
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
      priority: priorityOf({ route, customer }),
      receivedAt,
      body,
      fingerprint,
      method,
      target,
      rawHeaders: this.#forwardedHeaders(incoming.rawHeaders),
      facts,
      deadline: receivedAt + timeoutMs,
    };
  }

  /** Removes customer keys, which replicas must not receive. */
  #forwardedHeaders(raw: readonly string[]): string[] {
    const { dialect, routes } = this.#context;
    const forwarded = requestHeaders(raw, dialect.endToEndHeaders);
    if (!routes.customers) return forwarded;
    return withoutHeaders(forwarded, (name) => name === dialect.keyHeader);
  }

  #startExchange(
    request: GatewayRequest,
    { reply, incoming, response, quota }: {
      readonly incoming: IncomingMessage;
      readonly reply: Reply;
      readonly response: ServerResponse;
      readonly quota: Extract<QuotaAcquisition, { type: "held" }>;
    },
  ): void {
    const exchange = new Exchange({
      context: this.#context,
      planner: this.#planner,
      request,
      reply,
      onEnd: (mayHaveRun) => {
        this.#exchanges.delete(exchange);
        if (!mayHaveRun) quota.release();
      },
    });
    this.#exchanges.add(exchange);
    onceClosed(incoming, response, () => {
      if (!response.writableFinished) exchange.callerDisconnected();
    });
    void exchange.run();
  }

  #hasTimeFor(route: Route): boolean {
    const { stop, clock, routes } = this.#context;
    if (stop.requestedAt === undefined) return true;
    const timeLeftMs = stop.requestedAt + stop.graceMs - clock.now();
    const hasEngineTarget = route.targets.some((target) =>
      routes.service(target.service)?.engine !== undefined
    );
    return timeLeftMs >
      (hasEngineTarget ? MIN_STREAM_TIME_LEFT_MS : MIN_PLAIN_TIME_LEFT_MS);
  }

  #refuse(
    reply: Reply,
    error: GatewayError,
    incoming: IncomingMessage,
    retryAfterMs?: Milliseconds,
  ): void {
    const { events, metrics, routes, dialect, clock } = this.#context;
    const { id, keyDigest = "" } = dialect.readRequest(incoming.headers);
    const ageMs = this.#admission.configAgeMs(clock.now());
    metrics.count(`ended_${error}`);
    events.note("refused", {
      request: id,
      error,
      customer: routes.customers?.customerOf(keyDigest)?.name,
      routes: routes.version,
      routes_age_ms: Number.isFinite(ageMs) ? Math.round(ageMs) : undefined,
      retry_after: retryAfterMs && retryAfterMs / 1000,
    });
    const retryAfterSeconds = retryAfterMs &&
      Math.ceil(retryAfterMs / 10) / 100;
    reply.fail(error, retryAfterSeconds);
  }
}
