/** A dialect for tests, in names that no platform uses. */
import {
  type BackoffHeader,
  type CallHead,
  CallMode,
  type Dialect,
  type LimitHeader,
  withoutHeaders,
} from "../../src/gateway/mod.ts";

const OWN =
  /^x-(mode|incarnation|patience|export|reservation|not-run|customer)$/;

/** The tests' dialect. */
export const testDialect: Dialect = {
  readRequest: (headers) => {
    const tokens = String(headers["x-tokens"] ?? "").split(",");
    const id = headers["x-id"];
    const patience = headers["x-patience"];
    const key = headers["x-key"];
    return {
      ...(typeof id === "string" ? { id } : {}),
      ...(patience === undefined ? {} : { patienceMs: Number(patience) }),
      ...(typeof key === "string" ? { keyDigest: `digest of ${key}` } : {}),
      promptTokens: Number(tokens[0]) || 0,
      outputLimit: Number(tokens[1]) || 0,
    };
  },
  callHeaders: (raw, head) => [
    ...withoutHeaders(raw, (name) => OWN.test(name)),
    ...ownHeaders(head),
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
  readExport: (body) => field(body, "export"),
  reserve: (tokens, lifeMs) => ({
    method: "POST",
    path: "/reserve",
    body: JSON.stringify({ tokens, lifeMs }),
  }),
  readReservation: (body) => field(body, "reservation"),
  dropReservation: (id) => ({ method: "DELETE", path: `/reserve/${id}` }),
  dropExport: (id) => ({ method: "DELETE", path: `/export/${id}` }),
  report: { method: "GET", path: "/report" },
  readReport: () => undefined,
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

/** Milliseconds. */
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

function ownHeaders(head: CallHead): string[] {
  const own = ["x-incarnation", head.replica];
  if (head.mode === CallMode.prefill) own.push("x-mode", "prefill");
  if (head.customer) own.push("x-customer", head.customer);
  if (head.export) own.push("x-export", head.export.id);
  if (head.reservation) own.push("x-reservation", head.reservation);
  if (head.lastEventId) own.push("last-event-id", head.lastEventId);
  return own;
}

function field(body: string, name: string): string | undefined {
  const value = (JSON.parse(body) as Record<string, unknown>)[name];
  return typeof value === "string" ? value : undefined;
}
