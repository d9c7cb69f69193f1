/** The callers' side: an HTTP server in OpenAI's shape. */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import {
  type CallerRequest,
  ErrorKind,
  type Event,
  type Order,
  Ran,
  type RequestId,
} from "../../core/mod.ts";
import type { Result } from "../../util/result.ts";
import {
  endStream,
  type OpenCall,
  sendChunk,
  sendError,
  sendWhole,
} from "./answers.ts";
import {
  apiKey,
  CompletionPath,
  parseCompletion,
  parsePlain,
} from "./parse.ts";
import { readBody } from "./read_body.ts";

/** What the callers' side needs from the rest of the host. */
export type CallersSource = {
  push(event: Event): void;
  newRequestId(): RequestId;
  readonly bodyLimit: number;
  readonly unsentLimit: number;
  /** Models that a key may use; undefined for an unknown key. */
  models(key: string): readonly string[] | undefined;
  /** Why the host should get no callers; undefined when it is ready. */
  notReady(): string | undefined;
  metrics(): string;
};

/** The callers' side of a host. */
export type Callers = {
  readonly server: Server;
  /** Carries out a reply. */
  reply(order: Reply): void;
  /** Callers whose answers are not finished. */
  open(): number;
};

/** Orders that concern callers. */
export type Reply = Extract<Order, {
  type: "replyChunk" | "replyEnd" | "replyPlain" | "replyError";
}>;

const PLAIN_PREFIX = "/plain/";

/** Makes the callers' server; it does not listen yet. */
export function createCallers(source: CallersSource): Callers {
  const calls = new Map<RequestId, OpenCall>();
  const server = createServer((request, response) => {
    void serve(source, calls, request, response);
  });
  return {
    server,
    reply: (order) => reply(source, calls, order),
    open: () => calls.size,
  };
}

async function serve(
  source: CallersSource,
  calls: Map<RequestId, OpenCall>,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const url = request.url ?? "/";
  if (request.method === "GET") return serveGet(source, url, request, response);
  const body = await readBody(request, source.bodyLimit);
  if (body.type === "gone") return;
  if (body.type === "tooLarge") {
    response.on("finish", () => request.destroy());
    return refuse(response, ErrorKind.bodyTooLarge);
  }
  const id = source.newRequestId();
  const text = body.text;
  const made = parse(url, { id, headers: request.headers, body: text });
  if (!made) return refuse(response, ErrorKind.notFound);
  if (made.err) return refuse(response, ErrorKind.badRequest, made.val);
  openCall(source, calls, made.val, response);
}

function parse(
  url: string,
  source: Parameters<typeof parseCompletion>[1],
): Result<CallerRequest, string> | undefined {
  if (url === CompletionPath.chat || url === CompletionPath.completions) {
    return parseCompletion(url, source);
  }
  if (!url.startsWith(PLAIN_PREFIX)) return undefined;
  const rest = url.slice(PLAIN_PREFIX.length);
  const slash = rest.indexOf("/");
  const service = slash < 0 ? rest : rest.slice(0, slash);
  const path = slash < 0 ? "/" : rest.slice(slash);
  return parsePlain(service, path, source);
}

function openCall(
  source: CallersSource,
  calls: Map<RequestId, OpenCall>,
  call: CallerRequest,
  response: ServerResponse,
): void {
  const { request } = call;
  const created = Math.floor(Date.now() / 1000);
  calls.set(request, { call, response, created });
  response.on("close", () => {
    calls.delete(request);
    if (response.writableFinished) return;
    source.push({ type: "callerGone", request });
  });
  source.push(call);
}

function refuse(
  response: ServerResponse,
  error: ErrorKind,
  detail?: string,
): void {
  sendError(response, {
    error,
    ran: Ran.notRun,
    ...(detail === undefined ? {} : { detail }),
  });
}

function serveGet(
  source: CallersSource,
  url: string,
  request: IncomingMessage,
  response: ServerResponse,
): void {
  switch (url) {
    case "/healthz":
      return sendText(response, 200, "ok\n");
    case "/readyz": {
      const reason = source.notReady();
      if (reason === undefined) return sendText(response, 200, "ready\n");
      return sendText(response, 503, `${reason}\n`);
    }
    case "/metrics":
      return sendText(response, 200, source.metrics());
    case "/v1/models":
      return sendModels(source, request, response);
    default:
      return refuse(response, ErrorKind.notFound);
  }
}

function sendText(
  response: ServerResponse,
  status: number,
  text: string,
): void {
  response.writeHead(status, { "content-type": "text/plain" });
  response.end(text);
}

function sendModels(
  source: CallersSource,
  request: IncomingMessage,
  response: ServerResponse,
): void {
  const models = source.models(apiKey(request.headers));
  if (!models) return refuse(response, ErrorKind.unknownKey);
  const data = models.map((id) => ({
    id,
    object: "model",
    created: 0,
    owned_by: "otterhill",
  }));
  response.writeHead(200, { "content-type": "application/json" });
  response.end(JSON.stringify({ object: "list", data }));
}

function reply(
  source: CallersSource,
  calls: Map<RequestId, OpenCall>,
  order: Reply,
): void {
  const open = calls.get(order.request);
  if (!open) return;
  switch (order.type) {
    case "replyChunk":
      return passChunk(source, open, order.text);
    case "replyEnd":
      return passEnd(open, order.finish, order.tokens);
    case "replyPlain":
      open.response.writeHead(order.status, {
        "content-type": "application/json",
        "x-request-id": order.request,
      });
      open.response.end(order.body);
      return;
    case "replyError":
      return sendError(open.response, order);
  }
}

/** Texts of whole answers that wait for their ends. */
const wholeTexts = new WeakMap<OpenCall, string>();

function passChunk(
  source: CallersSource,
  open: OpenCall,
  text: string,
): void {
  if (!open.call.stream) {
    wholeTexts.set(open, text);
    return;
  }
  sendChunk(open, text);
  const slow = open.response.writableLength > source.unsentLimit;
  if (slow) open.response.destroy();
}

function passEnd(open: OpenCall, finish: string, tokens: number): void {
  if (open.call.stream) return endStream(open, finish);
  sendWhole(open, { text: wholeTexts.get(open) ?? "", finish, tokens });
}
