/** HTTP server of the engine stand-in; docs/UPSTREAM.md specifies its API. */
import type { ServerResponse } from "node:http";
import type { EngineSettings } from "../../settings/mod.ts";
import { callText } from "../../shell/upstreams/http.ts";
import {
  type Exchange,
  type RunningStandin,
  sendJson,
  startServer,
} from "../http/json_server.ts";
import {
  acceptDecode,
  acceptLocalPrefill,
  acceptPrefill,
  advance,
  cacheEvents,
  cancel,
  createEngine,
  endFetch,
  type Engine,
  heldAttempts,
  loadReport,
  nextEventAt,
  type Output,
  resumeDecode,
  sendExport,
} from "./mod.ts";
import {
  CompletionBody,
  jobOf,
  type OpenResponse,
  OrderBody,
  parametersOf,
  startEvents,
} from "./wire.ts";

/** Idle timeout of a transfer between engines. */
const FETCH_TIMEOUT_MS = 30_000;

/** Starts an engine stand-in. */
export async function startEngine(
  settings: EngineSettings,
): Promise<RunningStandin & { readonly engine: Engine }> {
  const server = new EngineServer(settings);
  return await server.start();
}

class EngineServer {
  readonly #settings: EngineSettings;
  readonly #engine: Engine;
  readonly #openResponses = new Map<string, OpenResponse>();
  readonly #exportResponses = new Map<string, ServerResponse>();
  #address = "";
  #timer: NodeJS.Timeout | undefined;

  constructor(settings: EngineSettings) {
    this.#settings = settings;
    this.#engine = createEngine(
      settings.id,
      parametersOf(settings),
      Date.now(),
    );
  }

  async start(): Promise<RunningStandin & { readonly engine: Engine }> {
    const running = await startServer(this.#settings.listen, (exchange) => {
      this.#serve(exchange);
    });
    this.#address = running.address;
    return { ...running, engine: this.#engine };
  }

  #serve(exchange: Exchange): void {
    const { method, url, response } = exchange;
    const parts = url.pathname.split("/").map(decodeURIComponent);
    const [, , kind, id, verb] = parts;
    if (kind === "load") return this.#sendLoad(response);
    if (kind === "cache") return this.#sendCache(url, response);
    if (kind === "orders") return this.#applyOrder(exchange);
    if (kind === "exports" && id) return this.#sendExport(id, exchange);
    if (kind === "requests" && !id) {
      return sendJson(response, 200, { requests: heldAttempts(this.#engine) });
    }
    if (kind === "requests" && id && verb === "cancel") {
      return this.#cancel(id, response);
    }
    if (kind === "requests" && id && verb === "stream") {
      return this.#resume(id, exchange);
    }
    if (method === "POST" && kind?.endsWith("completions")) {
      return this.#generate(exchange, false);
    }
    if (method === "POST" && kind === "chat") {
      return this.#generate(exchange, true);
    }
    sendJson(response, 404, { error: `No route ${url.pathname}` });
  }

  #generate(exchange: Exchange, chat: boolean): void {
    const { response, headers } = exchange;
    const body = CompletionBody.parse(JSON.parse(exchange.body));
    if (this.#engine.draining) {
      response.setHeader("x-not-started", "true");
      return sendJson(response, 503, { error: "draining" });
    }
    const job = jobOf(body, headers);
    const params = body.kv_transfer_params;
    const now = performance.now();
    const stream = body.stream ?? false;
    const remote = params !== undefined && "remote_address" in params;
    const prefillOnly = params !== undefined && !remote;
    const open = { response, chat, stream, text: "" };
    this.#openResponses.set(job.attempt, open);
    if (stream) startEvents(response);
    if (prefillOnly) acceptPrefill(this.#engine, job, now);
    else if (!remote) acceptLocalPrefill(this.#engine, job, now);
    else {
      const { remote_address: engine, export_of: exportOf } = params;
      acceptDecode(this.#engine, job, { engine, exportOf }, now);
    }
    this.#advance();
  }

  #resume(id: string, { headers, response }: Exchange): void {
    const after = Number(headers["last-event-id"] ?? 0);
    const chat = this.#openResponses.get(id)?.chat ?? false;
    const known = this.#engine.running.has(id) || this.#engine.finished.has(id);
    if (!known) return sendJson(response, 404, { error: "unknown request" });
    startEvents(response);
    const open = { response, chat, stream: true, text: "" };
    this.#openResponses.set(id, open);
    resumeDecode(this.#engine, id, after);
    this.#advance();
  }

  #cancel(id: string, response: ServerResponse): void {
    const known = cancel(this.#engine, id, performance.now());
    this.#openResponses.get(id)?.response.destroy();
    this.#openResponses.delete(id);
    sendJson(response, 200, { known });
    this.#advance();
  }

  #sendLoad(response: ServerResponse): void {
    const report = loadReport(this.#engine, performance.now());
    sendJson(response, 200, {
      running: report.running,
      slots: report.slots,
      prefill_queue_tokens: report.prefillQueueTokens,
      prefill_tokens_per_second: report.prefillRate,
      step_ms: report.stepMs,
      draining: report.draining,
      ...(report.role === undefined ? {} : { role: report.role }),
      epoch: report.epoch,
    });
  }

  #sendCache(url: URL, response: ServerResponse): void {
    const after = Number(url.searchParams.get("after") ?? 0);
    sendJson(response, 200, cacheEvents(this.#engine, after));
  }

  #applyOrder({ body, response }: Exchange): void {
    const order = OrderBody.parse(JSON.parse(body));
    if (order.fence < this.#engine.fence) {
      return sendJson(response, 409, { fence: this.#engine.fence });
    }
    this.#engine.fence = order.fence;
    this.#engine.role = order.role ?? this.#engine.role;
    this.#engine.draining = order.drain ?? this.#engine.draining;
    sendJson(response, 200, { fence: order.fence });
  }

  #sendExport(id: string, { response }: Exchange): void {
    const attempt = `${id}#${performance.now()}`;
    this.#exportResponses.set(attempt, response);
    const to = { engine: "", attempt };
    sendExport(this.#engine, id, to, performance.now());
    this.#advance();
  }

  /** Advances the engine, handles its outputs and schedules the next call. */
  #advance(): void {
    for (const output of advance(this.#engine, performance.now())) {
      this.#handleOutput(output);
    }
    clearTimeout(this.#timer);
    const next = nextEventAt(this.#engine);
    if (next === Infinity) return;
    const delayMs = Math.max(0, next - performance.now());
    this.#timer = setTimeout(() => this.#advance(), delayMs);
  }

  #handleOutput(output: Output): void {
    switch (output.type) {
      case "prefilled":
        return this.#sendPrefilled(output.attempt, output.cachedTokens);
      case "chunk":
        return this.#sendChunk(output);
      case "failed":
        this.#openResponses.get(output.attempt)?.response.destroy();
        this.#openResponses.delete(output.attempt);
        return;
      case "fetch":
        void this.#fetch(output.attempt, output.engine, output.exportOf);
        return;
      case "fetched": {
        const response = this.#exportResponses.get(output.attempt);
        this.#exportResponses.delete(output.attempt);
        if (response) sendJson(response, output.ok ? 200 : 410, {});
        return;
      }
    }
  }

  async #fetch(
    attempt: string,
    address: string,
    exportOf: string,
  ): Promise<void> {
    let ok = false;
    try {
      const response = await callText({
        address,
        method: "POST",
        path: `/v1/exports/${encodeURIComponent(exportOf)}`,
        body: "",
        connectTimeoutMs: 1000,
        silenceTimeoutMs: FETCH_TIMEOUT_MS,
      });
      ok = response.status === 200;
    } catch {
      ok = false;
    }
    endFetch(this.#engine, attempt, ok, performance.now());
    this.#advance();
  }

  #sendPrefilled(attempt: string, cachedTokens: number): void {
    const open = this.#openResponses.get(attempt);
    this.#openResponses.delete(attempt);
    if (!open) return;
    sendJson(open.response, 200, {
      kv_transfer_params: {
        remote_address: this.#address,
        export_of: attempt,
      },
      kv_kept_ms: this.#engine.parameters.exportMs,
      usage: { prompt_tokens_details: { cached_tokens: cachedTokens } },
      choices: [],
    });
  }

  #sendChunk(chunk: Extract<Output, { type: "chunk" }>): void {
    const open = this.#openResponses.get(chunk.attempt);
    if (!open) return;
    if (chunk.last) this.#openResponses.delete(chunk.attempt);
    const finish = chunk.last ? "length" : null;
    if (!open.stream) {
      open.text += chunk.text;
      if (!chunk.last) return;
      const choice = { index: 0, text: open.text, finish_reason: finish };
      return sendJson(open.response, 200, { choices: [choice] });
    }
    const inner = open.chat
      ? { delta: { content: chunk.text } }
      : { text: chunk.text };
    const choices = [{ index: 0, ...inner, finish_reason: finish }];
    const id = chunk.index + chunk.tokens;
    const data = JSON.stringify({ choices });
    open.response.write(`id: ${id}\ndata: ${data}\n\n`);
    if (chunk.last) open.response.end("data: [DONE]\n\n");
  }
}
