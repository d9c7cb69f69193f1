/** The upstreams' side: calls engines and plain services, tells the core. */
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

/** Orders that concern upstreams. */
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

/** What the upstreams' side needs from the rest of the host. */
export type UpstreamsSource = {
  push(event: Event): void;
  addressOf(upstream: UpstreamId): string | undefined;
  readonly callsPerUpstream: number;
  readonly connectTimeoutMs: number;
};

/** Silence after which a control call is given up, in milliseconds. */
const CONTROL_TIMEOUT_MS = 1000;
/** Control calls at once for one upstream. */
const CONTROL_CALLS = 8;
/** Silence after which a work call is given up: the core does so earlier. */
const WORK_TIMEOUT_MS = 60_000;
/** Upstreams say so in a refusal when they have not started. */
const NOT_STARTED_HEADER = "x-not-started";

type Queues = { readonly work: PQueue; readonly control: PQueue };

/** The upstreams' side of a host. */
export class Upstreams {
  readonly #source: UpstreamsSource;
  readonly #queues = new Map<UpstreamId, Queues>();
  /** Answers that are being read; a cancelled attempt's is closed. */
  readonly #open = new Map<AttemptId, IncomingMessage>();

  constructor(source: UpstreamsSource) {
    this.#source = source;
  }

  /** Carries out an order. */
  carryOut(order: UpstreamOrder): void {
    const { work, control } = this.#queuesOf(order.upstream);
    switch (order.type) {
      case "prefill":
      case "decode":
      case "resume":
      case "callPlain":
        void work.add(() => this.#work(order));
        return;
      case "cancel":
        this.#open.get(order.attempt)?.destroy();
        void control.add(() => this.#control(order));
        return;
      case "turnRole":
        void control.add(() => this.#order(order));
        return;
      case "readLoad":
      case "readCache":
      case "readHeld":
        void control.add(() => this.#control(order));
        return;
    }
  }

  #queuesOf(upstream: UpstreamId): Queues {
    const known = this.#queues.get(upstream);
    if (known) return known;
    const queues = {
      work: new PQueue({ concurrency: this.#source.callsPerUpstream }),
      control: new PQueue({ concurrency: CONTROL_CALLS }),
    };
    this.#queues.set(upstream, queues);
    return queues;
  }

  async #work(order: WorkOrder): Promise<void> {
    const { attempt, upstream } = order;
    try {
      await this.#sendWork(order);
    } catch (error) {
      const unsent = error instanceof HttpFailure && error.unsent;
      const resumed = order.type === "resume";
      const failure = unsent && !resumed ? Failure.notStarted : Failure.broken;
      this.#source.push({ type: "attemptFailed", attempt, upstream, failure });
    } finally {
      this.#open.delete(attempt);
    }
  }

  async #sendWork(order: WorkOrder): Promise<void> {
    const answer = await openCall(this.#workCall(order));
    this.#open.set(order.attempt, answer);
    const status = answer.statusCode ?? 0;
    if (order.type === "callPlain") {
      const body = await readText(answer);
      if (status === 503) return this.#refused(order, answer.headers, status);
      const { attempt } = order;
      this.#source.push({ type: "plainDone", attempt, status, body });
      return;
    }
    if (status !== 200) {
      await readText(answer);
      return this.#refused(order, answer.headers, status);
    }
    if (order.type === "prefill") {
      return this.#prefilled(order.attempt, await readText(answer));
    }
    const after = order.type === "resume" ? order.after : 0;
    await readStream(answer, after, (chunk) => {
      this.#source.push({ type: "chunk", attempt: order.attempt, ...chunk });
    });
  }

  #workCall(order: WorkOrder): HttpCall {
    const { connectTimeoutMs } = this.#source;
    const address = this.#source.addressOf(order.upstream) ?? "";
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
        const ranked = { ...headers, "x-priority": String(order.priority) };
        const { path } = order;
        return { ...base, method: "POST", path, headers: ranked, body };
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
    this.#source.push({ type: "attemptFailed", attempt, upstream, failure });
  }

  #prefilled(attempt: AttemptId, text: string): void {
    const answer = PrefillAnswer.parse(JSON.parse(text));
    const details = answer.usage?.prompt_tokens_details;
    this.#source.push({
      type: "prefillDone",
      attempt,
      transfer: JSON.stringify(answer.kv_transfer_params),
      keptMs: answer.kv_kept_ms,
      cachedTokens: details?.cached_tokens ?? 0,
    });
  }

  /** A control call that fails is simply not answered; the core asks again. */
  async #control(order: ControlOrder): Promise<void> {
    try {
      this.#source.push(await this.#ask(order));
    } catch {
      return;
    }
  }

  /** Orders an upstream about, unless its time has passed in the queue. */
  async #order(order: RoleOrder): Promise<void> {
    const { upstream, role, fence } = order;
    if (monotonicNow() >= order.sendBefore) return;
    try {
      const { status } = await callText({
        address: this.#source.addressOf(upstream) ?? "",
        method: "POST",
        path: "/v1/orders",
        body: JSON.stringify({ fence, role }),
        connectTimeoutMs: this.#source.connectTimeoutMs,
        silenceTimeoutMs: CONTROL_TIMEOUT_MS,
      });
      if (status === 409) this.#source.push({ type: "orderRefused", upstream });
    } catch {
      return;
    }
  }

  async #ask(order: ControlOrder): Promise<Event> {
    const { upstream } = order;
    switch (order.type) {
      case "cancel": {
        const { attempt } = order;
        await this.#json(upstream, "POST", `${requestPath(attempt)}/cancel`);
        return { type: "cancelDone", attempt, upstream };
      }
      case "readLoad": {
        const answer = await this.#json(upstream, "GET", "/v1/load");
        return { type: "loadReport", upstream, report: loadOf(answer) };
      }
      case "readCache": {
        const path = `/v1/cache/events?after=${order.after}`;
        const answer = await this.#json(upstream, "GET", path);
        const { from, events } = CacheAnswer.parse(answer);
        return { type: "cacheEvents", upstream, from, events };
      }
      case "readHeld": {
        const answer = await this.#json(upstream, "GET", "/v1/requests");
        const attempts = HeldAnswer.parse(answer).requests;
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
      address: this.#source.addressOf(upstream) ?? "",
      method,
      path,
      ...(method === "POST" ? { body: "" } : {}),
      connectTimeoutMs: this.#source.connectTimeoutMs,
      silenceTimeoutMs: CONTROL_TIMEOUT_MS,
    });
    if (status !== 200) throw new Error(`Status ${status} for ${path}`);
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

function loadOf(answer: unknown) {
  const load = LoadAnswer.parse(answer);
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
