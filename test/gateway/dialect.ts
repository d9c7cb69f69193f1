/** A dialect for tests; no platform uses its header names. */
import * as z from "zod";
import {
  type BackoffHeader,
  type CallMetadata,
  CallMode,
  type Dialect,
  type EngineReport,
  type LimitHeader,
  ReplicaStage,
  withoutHeaders,
} from "../../src/gateway/mod.ts";
import { readJson } from "../../src/util/read_json.ts";

const GATEWAY_HEADERS =
  /^x-(mode|incarnation|patience|export|reservation|not-run|customer)$/;

export const testDialect: Dialect = {
  readRequest: (headers) => {
    const tokens = String(headers["x-tokens"] ?? "").split(",");
    const id = headers["x-id"];
    const timeoutMs = headers["x-patience"];
    const key = headers["x-key"];
    const lastEventId = headers["last-event-id"];
    const resumes = headers["x-resumes"];
    return {
      ...(typeof id === "string" ? { id } : {}),
      ...(timeoutMs === undefined ? {} : { timeoutMs: Number(timeoutMs) }),
      ...(typeof key === "string" ? { keyDigest: `digest of ${key}` } : {}),
      ...(typeof lastEventId === "string" ? { lastEventId } : {}),
      ...(typeof resumes === "string" ? { resumes } : {}),
      promptTokens: Number(tokens[0]) || 0,
      outputLimit: Number(tokens[1]) || 0,
    };
  },
  callHeaders: (raw, head) => [
    ...withoutHeaders(raw, (name) =>
      GATEWAY_HEADERS.test(name) ||
      (name === "last-event-id" && head.lastEventId !== undefined)),
    ...gatewayHeaders(head),
  ],
  readAnswer: (status, headers) => {
    const id = headers["x-id"];
    return {
      ...(typeof id === "string" ? { id } : {}),
      notRun: status === 421 || headers["x-not-run"] !== undefined,
      misdirected: status === 421,
      leaving: headers["x-leaving"] !== undefined,
      backoff: backoffOf(headers["x-backoff"]),
      limit: limitOf(headers["x-limit"]),
    };
  },
  readExport: (body) => stringField(body, "export"),
  reserve: (tokens, ttlMs) => ({
    method: "POST",
    path: "/reserve",
    body: JSON.stringify({ tokens, lifeMs: ttlMs }),
  }),
  readReservation: (body) => stringField(body, "reservation"),
  readHealth: (headers) => {
    const id = headers["x-health-id"];
    return typeof id === "string" ? id : undefined;
  },
  dropReservation: (id) => ({ method: "DELETE", path: `/reserve/${id}` }),
  dropExport: (id) => ({ method: "DELETE", path: `/export/${id}` }),
  report: { method: "GET", path: "/report" },
  readReport,
  orderStage: (order) => ({
    method: "POST",
    path: "/order",
    headers: ["x-incarnation", order.replica],
    body: JSON.stringify(order),
  }),
  readOrder: () => "refused",
  keyHeader: "x-key",
  endToEndHeaders: new Set(["x-id", "x-seal"]),
  retryAfterHeader: "retry-after",
};

function readReport(body: string): EngineReport | undefined {
  const born = /"born":(\d+)/.exec(body)?.[1];
  if (born === undefined) return undefined;
  const stage = ReplicaStage.decode;
  return { born: Number(born), stage, orderCount: 0, isChanging: false };
}

/** The header holds milliseconds. */
function backoffOf(value: string | string[] | undefined): BackoffHeader {
  if (value === undefined) return { type: "none" };
  const forMs = Number(value);
  if (Number.isFinite(forMs)) return { type: "backoff", forMs };
  return { type: "unreadable", text: String(value) };
}

function limitOf(value: string | string[] | undefined): LimitHeader {
  if (value === undefined) return { type: "none" };
  const perSecond = Number(value);
  if (Number.isFinite(perSecond)) return { type: "limit", perSecond };
  return { type: "unreadable", text: String(value) };
}

function gatewayHeaders(head: CallMetadata): string[] {
  const headers = ["x-incarnation", head.replica];
  if (head.mode === CallMode.prefill) headers.push("x-mode", "prefill");
  if (head.customer) headers.push("x-customer", head.customer);
  if (head.export) headers.push("x-export", head.export.id);
  if (head.reservation) headers.push("x-reservation", head.reservation);
  if (head.lastEventId) headers.push("last-event-id", head.lastEventId);
  return headers;
}

function stringField(body: string, name: string): string | undefined {
  const fields = readJson(z.record(z.string(), z.unknown()), body);
  const value = fields?.[name];
  return typeof value === "string" ? value : undefined;
}
