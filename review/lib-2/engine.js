/**
 * A stand-in of one replica of a model engine, as a process of its own. Its
 * parameters are a JSON object in the first argument; it reports what it does
 * in lines of JSON on its standard output, and what it would write to the
 * platform's store among them: the parent writes that for it.
 */
import { createServer, request as call } from "node:http";
import { randomBytes } from "node:crypto";

const EVENT_INTERVAL_MS = 30;
const PREFILL_TOKENS_PER_MS = 33.3;
const HEARTBEAT_MS = 1200;

const {
  id,
  service,
  zone,
  stage: firstStage,
  version,
  host,
  port,
  slots,
  kvTokens,
  switchMs,
  handleMs,
  isListedAtStart,
  isCutFromStore,
  /** Its streams have neither a length nor chunks. */
  isUnframed,
  /** The queue of new connections takes one more than this. */
  backlog = 511,
} = JSON.parse(process.argv[2]);
const born = Date.now();

let stage = firstStage;
let isSwitching = false;
let orders = 0;
let lastFence = 0;
let beats = 0;
let address = "";
const holds = new Map();
const handles = new Map();
const running = new Set();

function report(line) {
  process.stdout.write(`${JSON.stringify({ at: Date.now(), id, ...line })}\n`);
}

function entry() {
  return {
    Service: service,
    Address: address,
    Zone: zone,
    Version: version,
    Slots: slots,
    State: "ready",
    ColdRemainingMs: 0,
    Sequence: beats,
    Stage: stage,
    Models: [{ Name: "m", Version: 1, Adapters: [] }],
    born,
  };
}

function beat() {
  beats += 1;
  report({ type: "entry", entry: entry() });
}

function newId() {
  return randomBytes(6).toString("hex");
}

function usedTokens() {
  const all = [...running, ...holds.values(), ...handles.values()];
  return all.reduce((sum, { tokens }) => sum + tokens, 0);
}

function sendJson(response, status, body, headers = {}) {
  const text = JSON.stringify(body);
  response.writeHead(status, {
    "Content-Type": "application/json",
    "Content-Length": Buffer.byteLength(text),
    ...headers,
  });
  response.end(text);
}

async function textOf(request) {
  let text = "";
  for await (const chunk of request) text += chunk;
  return text;
}

function reject(request, response, status) {
  const attempt = request.headers["attempt-id"];
  sendJson(response, status, {}, {
    "Not-Executed": "1",
    ...(attempt === undefined ? {} : { "Attempt-Id": attempt }),
  });
}

const server = createServer((request, response) => {
  handle(request, response).catch(() => response.destroy());
});
server.keepAliveTimeout = 15_000;

async function handle(request, response) {
  const { method, url } = request;
  if (method === "GET" && url === "/health") {
    return sendJson(response, 200, {}, { "Instance-Id": id });
  }
  if (method === "GET" && url === "/report") return sendReport(response);
  if (method === "POST" && url === "/hold-take") {
    return takeHold(await textOf(request), response);
  }
  if (method === "DELETE" && url.startsWith("/hold-drop/")) {
    dropHold(url.slice("/hold-drop/".length));
    return sendJson(response, 200, {});
  }
  if (method === "DELETE" && url.startsWith("/kv-handle/")) {
    const isKnown = handles.delete(url.slice("/kv-handle/".length));
    return sendJson(response, isKnown ? 200 : 404, {});
  }
  if (method === "POST" && url === "/order") {
    return takeOrder(await textOf(request), request, response);
  }
  return await run(request, response, await textOf(request));
}

function sendReport(response) {
  sendJson(response, 200, {
    Stage: stage,
    Models: [{ Name: "m", Version: 1, Adapters: [] }],
    Utilization: isSwitching,
    Sequence: orders,
    QueuedRequests: 0,
    ActiveRequests: running.size,
    KvCacheUsed: usedTokens(),
    KvCacheTotal: kvTokens,
    PrefillHandles: handles.size,
    PinnedCount: 0,
    held: holds.size,
    State: "ready",
    born,
  });
}

function takeHold(text, response) {
  const { Tokens: tokens, ttl_ms: ttlMs } = JSON.parse(text);
  const hasRoom = usedTokens() + tokens <= kvTokens &&
    running.size + holds.size < slots && !isSwitching && stage === "decode";
  if (!hasRoom) return sendJson(response, 503, {});
  const hold = newId();
  const timer = setTimeout(() => holds.delete(hold), ttlMs);
  holds.set(hold, { tokens, timer });
  sendJson(response, 200, { Retention: hold });
}

function dropHold(hold) {
  clearTimeout(holds.get(hold)?.timer);
  holds.delete(hold);
}

function takeOrder(text, request, response) {
  const order = JSON.parse(text);
  report({ type: "order", order });
  const expected = request.headers["expected-instance"];
  if (expected !== undefined && expected !== id) {
    return reject(request, response, 421);
  }
  const { Operation, Stage, Holder, FencingToken, IfRev } = order;
  if (!Holder || FencingToken === undefined || Operation !== "Stage") {
    return sendJson(response, 400, {});
  }
  if (FencingToken < lastFence) return sendJson(response, 412, {});
  lastFence = FencingToken;
  if (isSwitching || (IfRev !== undefined && IfRev !== orders)) {
    return sendJson(response, 409, {});
  }
  if (Stage === stage) return sendJson(response, 200, {});
  orders += 1;
  isSwitching = true;
  const finish = () => {
    if (running.size > 0) return setTimeout(finish, 20);
    setTimeout(() => {
      stage = Stage;
      isSwitching = false;
      beat();
    }, switchMs);
  };
  finish();
  return sendJson(response, 202, {});
}

function sleep(ms) {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

async function run(request, response, body) {
  const { headers } = request;
  const attempt = headers["attempt-id"];
  const expected = headers["expected-instance"];
  if (expected !== undefined && expected !== id) {
    return reject(request, response, 421);
  }
  if (attempt === undefined) return reject(request, response, 400);
  if (isSwitching) return reject(request, response, 503);
  const isPrefill = headers["serving-stage"] === "prefill";
  if (isPrefill !== (stage === "prefill")) {
    return reject(request, response, 421);
  }
  const [promptTokens, outputTokens] = (headers["token-counts"] ?? "1,1")
    .split(",").map(Number);
  if (isPrefill) {
    await sleep(promptTokens / PREFILL_TOKENS_PER_MS);
    const handle = newId();
    handles.set(handle, { tokens: promptTokens });
    setTimeout(() => handles.delete(handle), handleMs);
    return sendJson(response, 200, {
      PrefillHandle: handle,
      Tokens: promptTokens,
      Version: 1,
    }, { "Attempt-Id": attempt, "Server-Seal": `seal-${id}-${handle}` });
  }
  const hold = headers["kv-retention"];
  dropHold(hold);
  if (running.size >= slots) return reject(request, response, 503);
  const source = headers["kv-source"];
  if (source !== undefined && !await takeHandle(source)) {
    return reject(request, response, 503);
  }
  if (source === undefined) {
    await sleep(2 * promptTokens / PREFILL_TOKENS_PER_MS);
  }
  await stream({
    request,
    response,
    body,
    attempt,
    promptTokens,
    outputTokens,
  });
}

/** Takes a handle from the replica that read the prompt. */
function takeHandle(source) {
  const [target, handle] = source.split("/");
  const [targetHost, targetPort] = target.split(":");
  return new Promise((resolve) => {
    const outgoing = call({
      host: targetHost,
      port: Number(targetPort),
      method: "DELETE",
      path: `/kv-handle/${handle}`,
      agent: false,
    }, (answer) => {
      answer.resume();
      resolve(answer.statusCode === 200);
    });
    outgoing.on("error", () => resolve(false));
    outgoing.end();
  });
}

/** Each event tells the software version that wrote it. */
async function stream(
  { request, response, body, attempt, promptTokens, outputTokens },
) {
  if (response.destroyed) return;
  const last = Number(request.headers["last-event-id"] ?? 0);
  const job = { tokens: promptTokens + outputTokens };
  running.add(job);
  report({ type: "run", attempt, from: last, version, body });
  if (isUnframed) response.removeHeader("Transfer-Encoding");
  response.writeHead(200, {
    "Content-Type": "text/event-stream",
    "Attempt-Id": attempt,
    "Server-Seal": `seal-${id}-${attempt}`,
    ...(isUnframed ? { Connection: "close" } : {}),
  });
  for (let event = last + 1; event <= outputTokens; event++) {
    await sleep(EVENT_INTERVAL_MS);
    if (response.destroyed) break;
    const data = JSON.stringify({ event, version, of: body });
    response.write(`id: ${event}\ndata: ${data}\n\n`);
  }
  running.delete(job);
  response.end();
}

server.listen({ port, host, backlog }, () => {
  address = `${host}:${server.address().port}`;
  report({ type: "listening", address, version, born });
  if (isListedAtStart) beat();
  if (!isCutFromStore) setInterval(beat, HEARTBEAT_MS);
});
