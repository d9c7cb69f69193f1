/** HTTP client of upstreams; reports results to the core as events. */
import type { IncomingMessage } from "node:http";
import PQueue from "p-queue";
import { monotonicNow } from "../clock.ts";
import {
  type AttemptId,
  type Event,
  Failure,
  type Order,
  type UpstreamId,
} from "../../core/mod.ts";
import {
  CacheAnswer,
  decodeBody,
  HeldAnswer,
  LoadAnswer,
  PrefillAnswer,
  prefillBody,
} from "./bodies.ts";
import {
  callText,
  type HttpCall,
  HttpFailure,
  openCall,
  readText,
} from "./http.ts";
import { readStream } from "./stream.ts";

/** Orders that call upstreams. */
export type UpstreamOrder = Extract<Order, {
  type:
    | "prefill"
    | "decode"
    | "resume"
    | "callPlain"
    | "cancel"
    | "readLoad"
    | "readCache"
    | "readHeld"
    | "turnRole";
}>;

/** Options of {@link Upstreams}. */
export type UpstreamsOptions = {
  push(event: Event): void;
  addressOf(upstream: UpstreamId): string | undefined;
  readonly callsPerUpstream: number;
  readonly connectTimeoutMs: number;
};

/** Idle timeout of control calls. */
const CONTROL_TIMEOUT_MS = 1000;
/** Maximum number of concurrent control calls per upstream. */
const MAX_CONTROL_CALLS = 8;
/** Idle timeout of work calls; the core cancels attempts earlier. */
const WORK_TIMEOUT_MS = 60_000;
/** Header of a refused call whose work the upstream has not started. */
const NOT_STARTED_HEADER = "x-not-started";

type Queues = { readonly work: PQueue; readonly control: PQueue };

/** Calls a host's upstreams. */
export class Upstreams {
  readonly #options: UpstreamsOptions;
  readonly #queues = new Map<UpstreamId, Queues>();
  /** Responses being read; closed when their attempts are cancelled. */
  readonly #openResponses = new Map<AttemptId, IncomingMessage>();

  constructor(options: UpstreamsOptions) {
    this.#options = options;
  }

  carryOut(order: UpstreamOrder): void {
    const { work, control } = this.#queuesOf(order.upstream);
    switch (order.type) {
      case "prefill":
      case "decode":
      case "resume":
      case "callPlain":
        void work.add(() => this.#runWork(order));
        return;
      case "cancel":
        this.#openResponses.get(order.attempt)?.destroy();
        void control.add(() => this.#runControl(order));
        return;
      case "turnRole":
        void control.add(() => this.#sendOrder(order));
        return;
      case "readLoad":
      case "readCache":
      case "readHeld":
        void control.add(() => this.#runControl(order));
        return;
    }
  }

  #queuesOf(upstream: UpstreamId): Queues {
    const known = this.#queues.get(upstream);
    if (known) return known;
    const queues = {
      work: new PQueue({ concurrency: this.#options.callsPerUpstream }),
      control: new PQueue({ concurrency: MAX_CONTROL_CALLS }),
    };
    this.#queues.set(upstream, queues);
    return queues;
  }

  async #runWork(order: WorkOrder): Promise<void> {
    const { attempt, upstream } = order;
    try {
      await this.#sendWork(order);
    } catch (error) {
      const unsent = error instanceof HttpFailure && error.unsent;
      const resumed = order.type === "resume";
      const failure = unsent && !resumed ? Failure.notStarted : Failure.broken;
      this.#options.push({ type: "attemptFailed", attempt, upstream, failure });
    } finally {
      this.#openResponses.delete(attempt);
    }
  }

  async #sendWork(order: WorkOrder): Promise<void> {
    const response = await openCall(this.#workCall(order));
    this.#openResponses.set(order.attempt, response);
    const status = response.statusCode ?? 0;
    if (order.type === "callPlain") {
      const body = await readText(response);
      if (status === 503) return this.#refused(order, response.headers, status);
      const { attempt } = order;
      this.#options.push({ type: "plainDone", attempt, status, body });
      return;
    }
    if (status !== 200) {
      await readText(response);
      return this.#refused(order, response.headers, status);
    }
    if (order.type === "prefill") {
      return this.#prefilled(order.attempt, await readText(response));
    }
    const after = order.type === "resume" ? order.after : 0;
    await readStream(response, after, (chunk) => {
      this.#options.push({ type: "chunk", attempt: order.attempt, ...chunk });
    });
  }

  #workCall(order: WorkOrder): HttpCall {
    const { connectTimeoutMs } = this.#options;
    const address = this.#options.addressOf(order.upstream) ?? "";
    const base = {
      address,
      connectTimeoutMs,
      silenceTimeoutMs: WORK_TIMEOUT_MS,
    };
    const headers = { "x-request-id": order.attempt };
    switch (order.type) {
      case "resume": {
        const path = `${requestPath(order.attempt)}/stream`;
        const resumed = { ...headers, "last-event-id": String(order.after) };
        return { ...base, method: "GET", path, headers: resumed };
      }
      case "callPlain": {
        const { path, body } = order;
        return { ...base, method: "POST", path, headers, body };
      }
      case "prefill":
      case "decode": {
        const body = order.type === "prefill"
          ? prefillBody(order.body)
          : decodeBody(order.body, order.transfer);
        const prioritized = {
          ...headers,
          "x-priority": String(order.priority),
        };
        const { path } = order;
        return { ...base, method: "POST", path, headers: prioritized, body };
      }
    }
  }

  #refused(
    order: WorkOrder,
    headers: Readonly<Record<string, unknown>>,
    status: number,
  ): void {
    const { attempt, upstream } = order;
    const failure = failureOf(headers, status);
    this.#options.push({ type: "attemptFailed", attempt, upstream, failure });
  }

  #prefilled(attempt: AttemptId, text: string): void {
    const response = PrefillAnswer.parse(JSON.parse(text));
    const details = response.usage?.prompt_tokens_details;
    this.#options.push({
      type: "prefillDone",
      attempt,
      transfer: JSON.stringify(response.kv_transfer_params),
      keptMs: response.kv_kept_ms,
      cachedTokens: details?.cached_tokens ?? 0,
    });
  }

  /** Runs a control call; ignores failures because the core retries. */
  async #runControl(order: ControlOrder): Promise<void> {
    try {
      this.#options.push(await this.#request(order));
    } catch {
      return;
    }
  }

  /** Sends an order to an upstream unless it expired in the queue. */
  async #sendOrder(order: RoleOrder): Promise<void> {
    const { upstream, role, fence } = order;
    if (monotonicNow() >= order.sendBefore) return;
    try {
      const { status } = await callText({
        address: this.#options.addressOf(upstream) ?? "",
        method: "POST",
        path: "/v1/orders",
        body: JSON.stringify({ fence, role }),
        connectTimeoutMs: this.#options.connectTimeoutMs,
        silenceTimeoutMs: CONTROL_TIMEOUT_MS,
      });
      if (status === 409) {
        this.#options.push({ type: "orderRefused", upstream });
      }
    } catch {
      return;
    }
  }

  async #request(order: ControlOrder): Promise<Event> {
    const { upstream } = order;
    switch (order.type) {
      case "cancel": {
        const { attempt } = order;
        await this.#json(upstream, "POST", `${requestPath(attempt)}/cancel`);
        return { type: "cancelDone", attempt, upstream };
      }
      case "readLoad": {
        const response = await this.#json(upstream, "GET", "/v1/load");
        return { type: "loadReport", upstream, report: loadOf(response) };
      }
      case "readCache": {
        const path = `/v1/cache/events?after=${order.after}`;
        const response = await this.#json(upstream, "GET", path);
        const { from, events } = CacheAnswer.parse(response);
        return { type: "cacheEvents", upstream, from, events };
      }
      case "readHeld": {
        const response = await this.#json(upstream, "GET", "/v1/requests");
        const attempts = HeldAnswer.parse(response).requests;
        return { type: "heldList", upstream, attempts };
      }
    }
  }

  async #json(
    upstream: UpstreamId,
    method: "GET" | "POST",
    path: string,
  ): Promise<unknown> {
    const { status, text } = await callText({
      address: this.#options.addressOf(upstream) ?? "",
      method,
      path,
      ...(method === "POST" ? { body: "" } : {}),
      connectTimeoutMs: this.#options.connectTimeoutMs,
      silenceTimeoutMs: CONTROL_TIMEOUT_MS,
    });
    if (status !== 200) {
      throw new Error(`upstream responded with status ${status} to ${path}`);
    }
    return JSON.parse(text) as unknown;
  }
}

type WorkOrder = Extract<UpstreamOrder, {
  type: "prefill" | "decode" | "resume" | "callPlain";
}>;
type RoleOrder = Extract<UpstreamOrder, { type: "turnRole" }>;
type ControlOrder = Exclude<UpstreamOrder, WorkOrder | RoleOrder>;

function requestPath(attempt: AttemptId): string {
  return `/v1/requests/${encodeURIComponent(attempt)}`;
}

function failureOf(
  headers: Readonly<Record<string, unknown>>,
  status: number,
): Failure {
  if (headers[NOT_STARTED_HEADER] === "true") return Failure.notStarted;
  if (status === 404 || status === 410) return Failure.gone;
  return status >= 400 && status < 500 ? Failure.rejected : Failure.broken;
}

function loadOf(response: unknown) {
  const load = LoadAnswer.parse(response);
  return {
    running: load.running,
    slots: load.slots,
    prefillQueueTokens: load.prefill_queue_tokens,
    prefillRate: load.prefill_tokens_per_second,
    stepMs: load.step_ms,
    draining: load.draining,
    ...(load.role === undefined ? {} : { role: load.role }),
    epoch: load.epoch,
  };
}
