/** A stand-in of the model replicas, as PROTOCOL.md describes them. */
import { randomBytes } from "node:crypto";
import { createServer } from "node:http";

const PREFILL_TOKENS_PER_MS = 33;
/** A decode replica reads a prompt at half the pace. */
const LOCAL_PREFILL_TOKENS_PER_MS = PREFILL_TOKENS_PER_MS / 2;
const HANDLE_RETENTION_MS = 500;
const KEPT_CONNECTION_MS = 15_000;
const CACHE_TOKENS = 34_221;

async function readAll(request) {
  const parts = [];
  for await (const part of request) parts.push(part);
  return Buffer.concat(parts);
}

function newId() {
  return randomBytes(6).toString("hex");
}

/** One replica of a model service. */
export class EngineReplica {
  /** Requests at work, with what is needed to see that one has ended. */
  #active = new Set();
  #server;
  #handles = new Map();
  #options;
  #born = Date.now();
  #state = "ready";
  #isGone = false;
  #sockets = new Set();

  /**
   * `eventCount` and `eventMs` shape its streams. `refusalCopies` is called for
   * each answer that the replica sends; it returns the delay of a second copy,
   * or undefined. `lapses` tells whether a handle made here is gone.
   */
  constructor(options) {
    this.#options = { copyAfterMs: () => undefined, ...options };
    this.id = `i-${newId()}`;
    this.stage = options.stage;
    this.version = options.version ?? "v1";
  }

  async start(ip = "127.0.0.1") {
    this.#server = createServer((request, response) =>
      void this.#serve(request, response).catch(() => response.destroy())
    );
    this.#server.keepAliveTimeout = KEPT_CONNECTION_MS;
    this.#server.on("connection", (socket) => {
      this.#sockets.add(socket);
      socket.on("close", () => this.#sockets.delete(socket));
    });
    await new Promise((resolve) => this.#server.listen(0, ip, resolve));
    this.address = `${ip}:${this.#server.address().port}`;
    this.#options.peers.set(this.address, this);
  }

  /** The replica's entry in the store. */
  entry(sequence) {
    const { service, zone } = this.#options;
    return {
      Service: service,
      Address: this.address,
      Zone: zone,
      Version: this.version,
      Slots: 64,
      State: this.#state,
      ColdRemainingMs: 0,
      Stage: this.stage,
      Models: [{ Name: "m", Version: 1, Adapters: [] }],
      born: this.#born,
      Sequence: sequence,
    };
  }

  /** Says in its entry that it leaves. */
  drain() {
    this.#state = "draining";
  }

  /** Ends as a process does: the system closes its connections in order. */
  vanish() {
    this.#isGone = true;
    this.#server.close();
    for (const socket of this.#sockets) socket.end();
  }

  stop() {
    this.#server.closeAllConnections();
    this.#server.close();
  }

  /** Hands a prompt's memory to the replica that asks for it, once. */
  takeHandle(id) {
    const isKept = this.#handles.delete(id);
    return isKept && !this.#options.lapses?.(this);
  }

  async #serve(request, response) {
    const { method, url, headers } = request;
    const body = await readAll(request);
    if (method === "GET" && url === "/health") {
      response.writeHead(200, { "Instance-Id": this.id });
      return response.end();
    }
    if (method === "GET" && url === "/report") return this.#report(response);
    if (url === "/hold-take") {
      return sendJson(response, 200, { Retention: newId() });
    }
    if (url === "/order") return this.#order(response, body);
    if (method === "DELETE") return sendJson(response, 200, {});
    if (headers["attempt-id"] === undefined) {
      return sendJson(response, 404, {});
    }
    await this.#request(request, response);
  }

  #report(response) {
    sendJson(response, 200, {
      born: this.#born,
      Stage: this.stage,
      Models: [{ Name: "m", Version: 1, Adapters: [] }],
      Utilization: false,
      Sequence: 0,
      QueuedRequests: 0,
      ActiveRequests: this.#active.size,
      KvCacheUsed: 0,
      KvCacheTotal: CACHE_TOKENS,
      PrefillHandles: this.#handles.size,
    });
  }

  #order(response, body) {
    const { Stage } = JSON.parse(body.toString("utf8"));
    this.#options.record.note("order", { replica: this.id, stage: Stage });
    sendJson(response, Stage === this.stage ? 200 : 409, {});
  }

  async #request(request, response) {
    const { headers } = request;
    const id = headers["attempt-id"];
    const expected = headers["expected-instance"];
    if (expected !== undefined && expected !== this.id) {
      return this.#refuse(response, { id, status: 421 });
    }
    const isPrefill = headers["serving-stage"] === "prefill";
    if (isPrefill !== (this.stage === "prefill")) {
      return this.#refuse(response, { id, status: 421 });
    }
    if (isPrefill) return await this.#prefill(request, response);
    const source = headers["kv-source"];
    if (source !== undefined && !this.#fetch(source)) {
      return this.#refuse(response, { id, status: 503 });
    }
    await this.#run(request, response);
  }

  #fetch(source) {
    const [address, handle] = source.split("/");
    return this.#options.peers.get(address)?.takeHandle(handle) ?? false;
  }

  /** The request has not run and will not. */
  #refuse(response, { id, status }) {
    const { record } = this.#options;
    record.note("refused", { id, replica: this.id, status });
    const headers = { "Attempt-Id": id, "Not-Executed": "1" };
    const copyAfterMs = this.#options.copyAfterMs(this);
    response.writeHead(status, { ...headers, "Content-Length": "0" });
    response.end();
    this.#sendCopy(response, { id, status, copyAfterMs });
  }

  /** Sends a second copy of a whole answer behind it. */
  #sendCopy(response, { id, status, copyAfterMs }) {
    if (copyAfterMs === undefined) return;
    const { socket } = response;
    const text = [
      `HTTP/1.1 ${status} Service Unavailable`,
      `Attempt-Id: ${id}`,
      "Not-Executed: 1",
      "Content-Length: 0",
      "",
      "",
    ].join("\r\n");
    setTimeout(() => {
      if (!socket || socket.destroyed) return;
      this.#options.record.note("second copy", { id, replica: this.id });
      socket.write(text);
    }, copyAfterMs);
  }

  async #prefill(request, response) {
    const { headers } = request;
    const id = headers["attempt-id"];
    const [tokens] = headers["token-counts"].split(",").map(Number);
    await sleep(tokens / PREFILL_TOKENS_PER_MS);
    const handle = newId();
    this.#handles.set(handle, id);
    setTimeout(() => this.#handles.delete(handle), HANDLE_RETENTION_MS);
    this.#options.record.note("read", { id, replica: this.id, handle });
    const body = JSON.stringify({
      PrefillHandle: handle,
      Tokens: tokens,
      Version: 1,
    });
    response.writeHead(200, {
      "Content-Type": "application/json",
      "Attempt-Id": id,
      "Content-Length": String(Buffer.byteLength(body)),
    });
    response.end(body);
  }

  /** Runs the request to its end, or until its connection closes. */
  async #run(request, response) {
    const { headers } = request;
    const { record, runs, eventCount, eventMs } = this.#options;
    const id = headers["attempt-id"];
    const run = { id, replica: this.id, version: this.version };
    runs.push(run);
    this.#active.add(run);
    record.note("runs", run);
    response.on("close", () => {
      this.#active.delete(run);
      const how = response.writableFinished ? "whole" : "broken off";
      record.note("run ended", { id, replica: this.id, how });
    });
    const [tokens] = headers["token-counts"].split(",").map(Number);
    const isRead = headers["kv-source"] !== undefined;
    if (!isRead) await sleep(tokens / LOCAL_PREFILL_TOKENS_PER_MS);
    if (response.destroyed || this.#isGone) return;
    const { isUnframed = false } = this.#options;
    if (isUnframed) response.removeHeader("Transfer-Encoding");
    response.writeHead(200, {
      "Content-Type": "text/event-stream",
      "Attempt-Id": id,
      "Server-Seal": `${this.id}.${id}`,
      ...(isUnframed ? { Connection: "close" } : {}),
    });
    const first = Number(headers["last-event-id"] ?? 0) + 1;
    for (let number = first; number <= eventCount; number++) {
      await sleep(eventMs);
      if (response.destroyed || this.#isGone) return;
      const data = `${this.version} ${this.id} ${number}/${eventCount}`;
      response.write(`id: ${number}\ndata: ${data}\n\n`);
    }
    response.end();
  }
}

function sleep(ms) {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

export function sendJson(response, status, body) {
  const text = JSON.stringify(body);
  response.writeHead(status, {
    "Content-Type": "application/json",
    "Content-Length": String(Buffer.byteLength(text)),
  });
  response.end(text);
}
