/**
 * A stand-in of a model engine's replica that speaks the platform's protocol.
 * Timing, batching and the prefix cache are those of the simulated engine.
 */
import type { ServerResponse } from "node:http";
import {
  type Exchange,
  type RunningStandin,
  sendJson,
  startServer,
} from "../../src/standins/http/json_server.ts";
import {
  acceptDecode,
  acceptLocalPrefill,
  acceptPrefill,
  advance,
  answerText,
  cancel,
  createEngine,
  endFetch,
  type Engine,
  type EngineParameters,
  type Job,
  nextEventAt,
  type Output,
  sendExport,
} from "../../src/standins/engine/mod.ts";
import {
  CompletionBody,
  jobOf,
  startEvents,
} from "../../src/standins/engine/wire.ts";
import { echoId, rejectRun } from "./run_headers.ts";
import { TokenMemory } from "./token_memory.ts";

/** The stage of a model engine's replica. */
export type EngineStage = "prefill" | "decode";

/** Options of {@link EngineReplica}. */
export type EngineReplicaOptions = {
  readonly id: string;
  readonly stage: EngineStage;
  readonly parameters: EngineParameters;
  /** Capacity of the KV cache. */
  readonly memoryTokens: number;
  /** The engine's replicas by address; they transfer prefills directly. */
  readonly replicas: Map<string, EngineReplica>;
};

/** A request that runs, or waits to run. */
type Run = {
  readonly job: Job;
  readonly response: ServerResponse;
  /** Number of events that the caller of a resumed stream has. */
  readonly offset: number;
};

/** A replica of a model engine. */
export class EngineReplica {
  readonly #options: EngineReplicaOptions;
  readonly #memory: TokenMemory;
  readonly #runs = new Map<string, Run>();
  readonly engine: Engine;
  /** Set when it listens. */
  #address = "";
  #count = 0;
  #timer: NodeJS.Timeout | undefined;

  constructor(options: EngineReplicaOptions) {
    this.#options = options;
    this.#memory = new TokenMemory(options.memoryTokens);
    this.engine = createEngine(options.id, options.parameters, Date.now());
  }

  /** Listens on a free port of an IP number. */
  async start(ip: string): Promise<RunningStandin> {
    const route = (exchange: Exchange) => this.#serve(exchange);
    const running = await startServer(`${ip}:0`, route);
    this.#address = running.address;
    this.#options.replicas.set(running.address, this);
    return running;
  }

  /** Transfers a prefill to another replica of this engine. */
  transfer(
    exportOf: string,
    to: { readonly engine: string; readonly attempt: string },
  ): void {
    sendExport(this.engine, exportOf, to, performance.now());
    this.#advance();
  }

  /** Ends the transfer of a prefill to this replica. */
  endTransfer(attempt: string, isComplete: boolean): void {
    endFetch(this.engine, attempt, isComplete, performance.now());
    this.#advance();
  }

  #serve(exchange: Exchange): void {
    const { url, response, body } = exchange;
    const [, kind, id = ""] = url.pathname.split("/");
    switch (kind) {
      case "health":
        response.setHeader("Instance-Id", this.#options.id);
        return sendJson(response, 200, {});
      case "report": {
        const report = { Stage: this.#options.stage, Utilization: false };
        return sendJson(response, 200, { ...report, Sequence: 0 });
      }
      case "order":
        return sendJson(response, 409, {});
      case "hold-take":
        return this.#reserve(body, response);
      case "hold-drop":
        this.#memory.release(id);
        return sendJson(response, 200, {});
      case "kv-handle":
        cancel(this.engine, id, performance.now());
        this.#advance();
        return sendJson(response, 200, {});
      default:
        return this.#run(exchange);
    }
  }

  #reserve(body: string, response: ServerResponse): void {
    const { Tokens: tokens, ttl_ms: ttlMs } = JSON.parse(body) as {
      Tokens: number;
      ttl_ms: number;
    };
    const now = performance.now();
    const reservation = this.#memory.reserve(tokens, now + ttlMs, now);
    if (reservation === undefined) return sendJson(response, 503, {});
    sendJson(response, 200, { Retention: reservation });
  }

  #run({ headers, body, response }: Exchange): void {
    echoId(headers, response, this.#options.id);
    const isPrefill = headers["serving-stage"] === "prefill";
    const { stage, id: self } = this.#options;
    if (
      headers["expected-instance"] !== self ||
      isPrefill !== (stage === "prefill")
    ) {
      return rejectRun(response, 421);
    }
    const offset = Number(headers["last-event-id"] ?? -1) + 1;
    this.#count += 1;
    const key = `h${this.#count}`;
    const whole = jobOf(CompletionBody.parse(JSON.parse(body)), headers);
    const job = {
      ...whole,
      attempt: key,
      outputTokens: Math.max(1, whole.outputTokens - offset),
    };
    if (isPrefill) return this.#prefill({ job, response, offset });
    const retention = String(headers["kv-retention"] ?? "");
    const tokens = job.promptTokens + job.outputTokens;
    if (!this.#memory.hold({ key, tokens, reservation: retention })) {
      return rejectRun(response, 503);
    }
    const source = String(headers["kv-source"] ?? "");
    this.#decode({ job, response, offset }, source);
  }

  #prefill(run: Run): void {
    this.#open(run);
    acceptPrefill(this.engine, run.job, performance.now());
    this.#advance();
  }

  #decode(run: Run, source: string): void {
    const { job, response } = run;
    startEvents(response);
    this.#open(run);
    const now = performance.now();
    const [engine = "", exportOf = ""] = source.split("/");
    if (source === "") acceptLocalPrefill(this.engine, job, now);
    else acceptDecode(this.engine, job, { engine, exportOf }, now);
    this.#advance();
  }

  #open(run: Run): void {
    const { attempt } = run.job;
    this.#runs.set(attempt, run);
    run.response.on("close", () => {
      this.#memory.release(attempt);
      if (!this.#runs.delete(attempt)) return;
      cancel(this.engine, attempt, performance.now());
      this.#advance();
    });
  }

  /** Advances the engine, handles its outputs and schedules the next call. */
  #advance(): void {
    for (const output of advance(this.engine, performance.now())) {
      this.#handle(output);
    }
    clearTimeout(this.#timer);
    const next = nextEventAt(this.engine);
    if (next === Infinity) return;
    const delayMs = Math.max(0, next - performance.now());
    this.#timer = setTimeout(() => this.#advance(), delayMs);
  }

  #handle(output: Output): void {
    const { attempt } = output;
    const run = this.#runs.get(attempt);
    switch (output.type) {
      case "prefilled": {
        this.#runs.delete(attempt);
        const result = { PrefillHandle: attempt, Version: 1 };
        const { computedTokens: Tokens } = output;
        return run && sendJson(run.response, 200, { ...result, Tokens });
      }
      case "chunk":
        return run && this.#sendEvents(run, output);
      case "failed":
        this.#runs.delete(attempt);
        run?.response.destroy();
        return;
      case "fetch": {
        const { engine, exportOf } = output;
        const from = this.#options.replicas.get(engine);
        const to = { engine: this.#address, attempt };
        if (from) from.transfer(exportOf, to);
        else this.endTransfer(attempt, false);
        return;
      }
      case "fetched":
        this.#options.replicas.get(output.to)?.endTransfer(attempt, output.ok);
        return;
    }
  }

  #sendEvents(
    { job, response, offset }: Run,
    chunk: Extract<Output, { type: "chunk" }>,
  ): void {
    const { index, tokens, last } = chunk;
    const first = offset + index;
    const text = answerText(job, first, tokens);
    const finish = last ? "length" : null;
    const choices = [{ index: 0, text, finish_reason: finish }];
    writeEvent(response, first, JSON.stringify({ choices }));
    if (!last) return;
    this.#runs.delete(job.attempt);
    const usage = { completion_tokens: first + tokens };
    writeEvent(response, first + 1, JSON.stringify({ choices: [], usage }));
    writeEvent(response, first + 2, "[DONE]");
    response.end();
  }
}

function writeEvent(
  response: ServerResponse,
  id: number,
  data: string,
): void {
  response.write(`id: ${id}\ndata: ${data}\n\n`);
}
