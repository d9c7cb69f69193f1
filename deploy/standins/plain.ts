/** A stand-in of a plain service's replica that speaks the platform's protocol. */
import type { ServerResponse } from "node:http";
import {
  type Exchange,
  type RunningStandin,
  sendJson,
  startServer,
} from "../../src/standins/http/json_server.ts";
import {
  acceptCall,
  cancelCall,
  createPlain,
  type PlainService,
} from "../../src/standins/plain/model.ts";
import { echoId, rejectRun } from "./run_headers.ts";
import { scheduleAdvance } from "../../src/standins/plain/server.ts";

/** Starts a replica on a free port of an IP number. */
export function startPlainReplica(
  ip: string,
  options: {
    readonly id: string;
    readonly slots: number;
    readonly serviceMs: number;
  },
): Promise<RunningStandin> {
  const service = createPlain(options.id, options, Date.now());
  const responses = new Map<string, ServerResponse>();
  let count = 0;
  return startServer(`${ip}:0`, (exchange) => {
    const { url, headers, response } = exchange;
    if (url.pathname === "/health") {
      response.setHeader("Instance-Id", options.id);
      return sendJson(response, 200, {});
    }
    echoId(headers, response, options.id);
    if (headers["expected-instance"] !== options.id) {
      return rejectRun(response, 421);
    }
    count += 1;
    run(service, responses, exchange, String(count));
  });
}

function run(
  service: PlainService,
  responses: Map<string, ServerResponse>,
  { body, response }: Exchange,
  call: string,
): void {
  responses.set(call, response);
  response.on("close", () => {
    responses.delete(call);
    cancelCall(service, call);
  });
  acceptCall(service, call, body, performance.now());
  scheduleAdvance(service, responses);
}
