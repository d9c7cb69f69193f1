/** HTTP server of the plain service stand-in. */
import type { ServerResponse } from "node:http";
import type { PlainSettings } from "../../settings/mod.ts";
import {
  type Exchange,
  type RunningStandin,
  sendJson,
  startServer,
} from "../http/json_server.ts";
import {
  acceptCall,
  advancePlain,
  cancelCall,
  createPlain,
  nextEnd,
  type PlainService,
} from "./model.ts";

/** Starts a plain service stand-in. */
export async function startPlain(
  settings: PlainSettings,
): Promise<RunningStandin & { readonly service: PlainService }> {
  const { slots, service_time } = settings.plain;
  const options = { slots, serviceMs: service_time };
  const service = createPlain(settings.id, options, Date.now());
  const responses = new Map<string, ServerResponse>();
  const running = await startServer(settings.listen, (exchange) => {
    serve(service, responses, exchange);
  });
  return { ...running, service };
}

function serve(
  service: PlainService,
  responses: Map<string, ServerResponse>,
  exchange: Exchange,
): void {
  const { method, url, headers, body, response } = exchange;
  const cancelled = /^\/v1\/requests\/([^/]+)\/cancel$/.exec(url.pathname);
  if (cancelled?.[1]) {
    const known = cancelCall(service, decodeURIComponent(cancelled[1]));
    return sendJson(response, 200, { known });
  }
  if (url.pathname === "/v1/load") return sendLoad(service, response);
  if (url.pathname === "/v1/requests") {
    const queued = service.waiting.map((call) => call.attempt);
    const requests = [...service.running.keys(), ...queued];
    return sendJson(response, 200, { requests });
  }
  if (url.pathname === "/v1/runs") {
    return sendJson(response, 200, Object.fromEntries(service.runCounts));
  }
  if (method !== "POST") return sendJson(response, 404, {});
  const attempt = String(headers["x-request-id"] ?? Math.random());
  responses.set(attempt, response);
  acceptCall(service, attempt, body, performance.now());
  scheduleAdvance(service, responses);
}

function sendLoad(service: PlainService, response: ServerResponse): void {
  sendJson(response, 200, {
    running: service.running.size,
    slots: service.slots,
    prefill_queue_tokens: 0,
    prefill_tokens_per_second: 0,
    step_ms: 0,
    draining: service.draining,
    epoch: service.epoch,
  });
}

/** Answers the calls of a plain service when they end. */
export function scheduleAdvance(
  service: PlainService,
  responses: Map<string, ServerResponse>,
): void {
  const next = nextEnd(service);
  if (next === Infinity) return;
  setTimeout(() => {
    for (const { attempt, body } of advancePlain(service, performance.now())) {
      const response = responses.get(attempt);
      responses.delete(attempt);
      response?.setHeader("content-type", "application/json");
      response?.end(body);
    }
    scheduleAdvance(service, responses);
  }, Math.max(1, Math.ceil(next - performance.now())));
}
