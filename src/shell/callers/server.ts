/** HTTP server for callers, compatible with the OpenAI API. */
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
  sendCompletion,
  sendError,
} from "./answers.ts";
import {
  apiKey,
  CompletionPath,
  parseCompletion,
  parsePlain,
} from "./parse.ts";
import { readBody } from "./read_body.ts";

/** Options of {@link createCallers}. */
export type CallersOptions = {
  push(event: Event): void;
  newRequestId(): RequestId;
  /** Maximum size of a request body in bytes. */
  readonly bodyLimit: number;
  /** Unsent bytes of a stream above which its connection is closed. */
  readonly unsentLimit: number;
  /** Returns the models that a key may use, undefined for an unknown key. */
  models(key: string): readonly string[] | undefined;
  /** Returns why the host is not ready, undefined when it is. */
  notReady(): string | undefined;
  metrics(): string;
};

/** A host's server for callers. */
export type Callers = {
  readonly server: Server;
  reply(order: Reply): void;
  /** Returns the number of calls whose responses are not finished. */
  openCount(): number;
};

/** Orders that reply to callers. */
export type Reply = Extract<Order, {
  type: "replyChunk" | "replyEnd" | "replyPlain" | "replyError";
}>;

const PLAIN_PREFIX = "/plain/";

/** Creates the server without listening. */
export function createCallers(options: CallersOptions): Callers {
  const calls = new Map<RequestId, OpenCall>();
  const server = createServer((request, response) => {
    void serve(options, calls, request, response);
  });
  return {
    server,
    reply: (order) => reply(options, calls, order),
    openCount: () => calls.size,
  };
}

async function serve(
  options: CallersOptions,
  calls: Map<RequestId, OpenCall>,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const url = request.url ?? "/";
  if (request.method === "GET") {
    return serveGet(options, url, request, response);
  }
  const body = await readBody(request, options.bodyLimit);
  if (body.type === "gone") return;
  if (body.type === "tooLarge") {
    response.on("finish", () => request.destroy());
    return refuse(response, ErrorKind.bodyTooLarge);
  }
  const id = options.newRequestId();
  const text = body.text;
  const parsed = parse(url, { id, headers: request.headers, body: text });
  if (!parsed) return refuse(response, ErrorKind.notFound);
  if (parsed.err) return refuse(response, ErrorKind.badRequest, parsed.val);
  openCall(options, calls, parsed.val, response);
}

function parse(
  url: string,
  options: Parameters<typeof parseCompletion>[1],
): Result<CallerRequest, string> | undefined {
  if (url === CompletionPath.chat || url === CompletionPath.completions) {
    return parseCompletion(url, options);
  }
  if (!url.startsWith(PLAIN_PREFIX)) return undefined;
  const rest = url.slice(PLAIN_PREFIX.length);
  const slash = rest.indexOf("/");
  const service = slash < 0 ? rest : rest.slice(0, slash);
  const path = slash < 0 ? "/" : rest.slice(slash);
  return parsePlain(service, path, options);
}

function openCall(
  options: CallersOptions,
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
    options.push({ type: "callerGone", request });
  });
  options.push(call);
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
  options: CallersOptions,
  url: string,
  request: IncomingMessage,
  response: ServerResponse,
): void {
  switch (url) {
    case "/healthz":
      return sendText(response, 200, "ok\n");
    case "/readyz": {
      const reason = options.notReady();
      if (reason === undefined) return sendText(response, 200, "ready\n");
      return sendText(response, 503, `${reason}\n`);
    }
    case "/metrics":
      return sendText(response, 200, options.metrics());
    case "/v1/models":
      return sendModels(options, request, response);
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
  options: CallersOptions,
  request: IncomingMessage,
  response: ServerResponse,
): void {
  const models = options.models(apiKey(request.headers));
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
  options: CallersOptions,
  calls: Map<RequestId, OpenCall>,
  order: Reply,
): void {
  const open = calls.get(order.request);
  if (!open) return;
  switch (order.type) {
    case "replyChunk":
      return forwardChunk(options, open, order.text);
    case "replyEnd":
      return forwardEnd(open, order.finish, order.tokens);
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

/** Texts of responses that are not streamed, sent when they end. */
const completeTexts = new WeakMap<OpenCall, string>();

function forwardChunk(
  options: CallersOptions,
  open: OpenCall,
  text: string,
): void {
  if (!open.call.stream) {
    completeTexts.set(open, text);
    return;
  }
  sendChunk(open, text);
  const tooSlow = open.response.writableLength > options.unsentLimit;
  if (tooSlow) open.response.destroy();
}

function forwardEnd(open: OpenCall, finish: string, tokens: number): void {
  if (open.call.stream) return endStream(open, finish);
  sendCompletion(open, { text: completeTexts.get(open) ?? "", finish, tokens });
}
