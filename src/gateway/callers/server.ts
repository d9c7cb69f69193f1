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
import type { Clock } from "../clock.ts";
import type { GatewayContext } from "../context.ts";
import type { AdmissionOptions } from "../customers/admission.ts";
import type { PlannerClient } from "../planning/planner_client.ts";
import { Exchange } from "../requests/exchange.ts";
import { StopCheck } from "../requests/stop_check.ts";
import type { GatewayRequest, Reply } from "../requests/request.ts";
import type { CallerLimits } from "../routing/model.ts";
import {
  type BodyReadResult,
  INCOMPLETE_BODY_ERRORS,
  readCallerBody,
} from "./body.ts";
import { CallerConnections } from "./caller_connections.ts";
import {
  acquireQuota,
  type QuotaAcquisition,
  type QuotaAcquisitionOptions,
} from "./quota_acquisition.ts";
import {
  checkHeaders,
  type HeaderCheck,
  isOverloaded,
  shortageAtEveryService,
} from "./check_headers.ts";
import { createRequest, deadlineOf, priorityOf } from "./create_request.ts";
import { serveHalfClosed, watchHalfClosed } from "./half_closed.ts";
import { joinChunks } from "./join_chunks.ts";
import { onceClosed } from "./once_closed.ts";
import { type DrainResult, OpenRequests } from "./open_requests.ts";
import { Turn } from "./pipeline.ts";
import { type Refusal, refuse } from "./refuse.ts";
import { createReply } from "./reply.ts";

/** Limit on request heads until a configuration has named one. */
const DEFAULT_HEAD_LIMIT_BYTES = 64 << 10;
/** Interval at which connections are checked for late heads. */
const HEAD_CHECK_INTERVAL_MS = 1000;
/** Body limit that applies until a configuration has been received. */
const DEFAULT_BODY_LIMIT_BYTES = 4 << 20;
/** Longest time for which the body of a refused request is discarded. */
const MAX_DISCARD_MS = 10_000;

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
  readonly #connections: CallerConnections;
  readonly #open: OpenRequests;
  readonly #stopCheck: StopCheck;
  /** Requests that are being read, or wait for their turn or quota units. */
  #pendingCount = 0;

  constructor(options: CallerServerOptions) {
    const { context, planner, admission, quotas } = options;
    this.#context = context;
    this.#planner = planner;
    this.#admission = admission;
    this.#quotas = quotas;
    this.#open = new OpenRequests(context);
    this.#stopCheck = new StopCheck(context);
    this.server = createServer(
      {
        maxHeaderSize: DEFAULT_HEAD_LIMIT_BYTES,
        connectionsCheckingInterval: HEAD_CHECK_INTERVAL_MS,
        // Checked below: Node's own answer would close the connection while
        // requests behind it start.
        requireHostHeader: false,
      },
      (request, response) => {
        joinChunks(request);
        void this.#serve(request, response);
      },
    );
    this.server.requestTimeout = 0;
    serveHalfClosed(this.server);
    this.#connections = new CallerConnections(context, this.server);
  }

  /** Number of requests in progress. */
  get openRequestCount(): number {
    return this.#open.exchanges.size + this.#pendingCount;
  }

  /** Number of open connections of callers. */
  get connectionCount(): number {
    return this.#connections.size;
  }

  /**
   * Applies the limits of a new configuration. Open connections keep the limit
   * on heads that they began with.
   */
  applyLimits(limits: CallerLimits): void {
    const { headBytes: maxHeaderSize = DEFAULT_HEAD_LIMIT_BYTES } = limits;
    // Node reads the option when a connection opens.
    Object.assign(this.server, { maxHeaderSize });
    this.server.keepAliveTimeout = limits.idleMs;
    this.server.headersTimeout = limits.headerMs;
  }

  /**
   * Stops accepting connections, closes idle ones, and waits until `deadline`
   * for the others to close. Requests that arrive on them are still served. What
   * has not been sent by then is aborted: the connections of a process that
   * exits end in order, as if they were complete.
   */
  drain(clock: Clock, deadline: Milliseconds): Promise<DrainResult> {
    return this.#open.drain(this.server, { clock, deadline });
  }

  /** Called when a stop is requested; see {@link OpenRequests.refuseLate}. */
  refuseLate(clock: Clock, deadline: Milliseconds): Promise<void> {
    return this.#open.refuseLate(clock, deadline);
  }

  /** Called at the end of each iteration of the event loop. */
  iterationEnded(now: Milliseconds, busyMs: Milliseconds): void {
    this.#connections.iterationEnded(now, busyMs);
  }

  async #serve(
    incoming: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const { clock, metrics, iterations } = this.#context;
    const receivedAt = clock.now();
    const loopDelayMs = iterations.currentMs;
    metrics.count("requests");
    const turn = await this.#awaitTurn(incoming, response);
    if (turn === Turn.closed) return;
    const context = this.#context;
    const admission = this.#admission;
    const stopCheck = this.#stopCheck;
    const options = { context, admission, stopCheck, receivedAt };
    const firstCheck = this.#overload(incoming) ??
      checkHeaders(incoming, options);
    const reading = await this.#readBody(incoming, turn, {
      check: firstCheck,
      receivedAt,
      isTooLate: () =>
        firstCheck.type === "taken" &&
        shortageAtEveryService(options, firstCheck) !== undefined,
    });
    if (reading.type === "gone") return;
    if (isOverloaded(firstCheck)) response.shouldKeepAlive = false;
    const reply = this.#createReply(incoming, response);
    const reject = (refusal: Refusal) =>
      refuse({ context, admission, incoming, reply }, refusal);
    if (reading.type !== "whole") {
      response.shouldKeepAlive = false;
      // The rest is discarded until the connection closes.
      response.on("finish", () => incoming.resume());
      const error = INCOMPLETE_BODY_ERRORS[reading.type];
      const refusal = firstCheck.type === "refused"
        ? firstCheck
        : { error, shortage: shortageAtEveryService(options, firstCheck) };
      return reject(refusal);
    }
    onceClosed(incoming, response, () => reading.release());
    watchHalfClosed({ clock, incoming, response });
    // Checks again: a key may have been revoked meanwhile.
    const lastCheck = firstCheck.type === "taken"
      ? checkHeaders(incoming, { ...options, wholeAt: clock.now() })
      : firstCheck;
    if (lastCheck.type === "refused") {
      return reject(lastCheck);
    }
    const { body } = reading;
    const request = createRequest(this.#context, incoming, {
      check: lastCheck,
      receivedAt,
      loopDelayMs,
      body,
    });
    const quota = await this.#acquireQuota(request);
    if (quota.type === "refused") {
      const shortage = this.#stopCheck.shortageOf(request);
      return reject({ ...quota, shortage });
    }
    if (response.destroyed) return quota.release();
    this.#startExchange(request, { reply, incoming, response, quota });
  }

  /** Refuses a new request while this host is behind; streams may go on. */
  #overload({ headers }: IncomingMessage): HeaderCheck | undefined {
    if (!this.#connections.isLate) return undefined;
    const { lastEventId } = this.#context.dialect.readRequest(headers);
    if (lastEventId !== undefined) return undefined;
    return { type: "refused", error: GatewayError.overloaded };
  }

  #createReply(incoming: IncomingMessage, response: ServerResponse): Reply {
    const { clock, dialect, stop } = this.#context;
    const reply = createReply({
      response,
      clock,
      dialect,
      shouldCloseConnection: () => {
        if (this.#connections.isBehind) return true;
        // Requests that wait on the connection are answered first.
        const isLast = !this.#connections.hasWaiting(incoming.socket);
        return stop.requestedAt !== undefined && isLast;
      },
    });
    this.#open.replies.add(reply, { incoming, response });
    return reply;
  }

  /** Waits for the responses before this one. */
  async #awaitTurn(
    incoming: IncomingMessage,
    response: ServerResponse,
  ): Promise<Turn> {
    const { dialect, events } = this.#context;
    const { unfinished } = this.#open;
    unfinished.add(incoming, response);
    this.#pendingCount += 1;
    const turn = await this.#connections.add(incoming, response);
    this.#pendingCount -= 1;
    if (turn !== Turn.closed) unfinished.started(response);
    if (turn === Turn.closed) {
      const { id } = dialect.readRequest(incoming.headers);
      events.note("notStarted", { request: id });
    }
    return turn;
  }

  async #readBody(
    incoming: IncomingMessage,
    turn: Turn,
    { check, receivedAt, isTooLate }: {
      readonly check: HeaderCheck;
      readonly receivedAt: Milliseconds;
      readonly isTooLate: () => boolean;
    },
  ): Promise<BodyReadResult> {
    const { clock, routes, heldBytes } = this.#context;
    if (turn === Turn.overBudget) return { type: "overBudget" };
    const isTaken = check.type === "taken";
    const { bodyBytes = DEFAULT_BODY_LIMIT_BYTES } = routes.config?.limits ??
      {};
    this.#pendingCount += 1;
    const reading = await readCallerBody(incoming, {
      maxBytes: bodyBytes,
      // The body of a request that its headers already refuse is discarded.
      isRetained: isTaken,
      budget: heldBytes,
      isMostUrgent: isTaken && priorityOf(check) === 0,
      clock,
      // The request may have waited for its turn.
      timeoutMs: isTaken
        ? deadlineOf(check, receivedAt) - clock.now()
        : MAX_DISCARD_MS,
      onStop: (refuse) => this.#open.pending.add({ isTooLate, refuse }),
    });
    this.#pendingCount -= 1;
    return reading;
  }

  async #acquireQuota(request: GatewayRequest): Promise<QuotaAcquisition> {
    const { clock, routes: { version }, tuning: { scheduling } } =
      this.#context;
    const quotas = this.#quotas;
    this.#pendingCount += 1;
    const isTooLate = () => this.#stopCheck.shortageOf(request) !== undefined;
    const onStop = (refuse: () => void) =>
      this.#open.pending.add({ isTooLate, refuse });
    const quota = await acquireQuota(
      { clock, quotas, version, scheduling, onStop },
      request,
    );
    this.#pendingCount -= 1;
    return quota;
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
      stopCheck: this.#stopCheck,
      onEnd: (mayHaveRun) => {
        this.#open.exchanges.delete(exchange);
        if (!mayHaveRun) quota.release();
      },
    });
    this.#open.exchanges.add(exchange);
    this.#open.unfinished.served(response, exchange);
    onceClosed(incoming, response, () => {
      if (!response.writableFinished) exchange.callerDisconnected();
    });
    void exchange.run();
  }
}
