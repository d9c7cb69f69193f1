/** Creates the request that is sent to replicas from an accepted one. */
import type { IncomingMessage } from "node:http";
import type { Milliseconds } from "../../util/units.ts";
import type { GatewayContext } from "../context.ts";
import { lazyFingerprints } from "../crashes/fingerprint.ts";
import type { Customer } from "../customers/model.ts";
import { requestHeaders, withoutHeaders } from "../http/headers.ts";
import type { RequestMetadata } from "../port.ts";
import type { GatewayRequest } from "../requests/request.ts";
import type { Route } from "../routing/model.ts";
import { pickTarget, targetChance } from "../routing/route_table.ts";

/** A request that its headers allow to proceed. */
export type AcceptedHeaders = {
  readonly type: "taken";
  readonly route: Route;
  readonly facts: RequestMetadata;
  readonly customer: Customer | undefined;
};

/** Rank of a request; 0 is the most urgent. */
export function priorityOf(
  { route, customer }: Pick<AcceptedHeaders, "route" | "customer">,
): number {
  return customer?.priority ?? route.priority;
}

/** When a request that arrived at `receivedAt` ends at the latest. */
export function deadlineOf(
  { route, facts }: Pick<AcceptedHeaders, "route" | "facts">,
  receivedAt: Milliseconds,
): Milliseconds {
  return receivedAt + Math.min(route.timeoutMs, facts.timeoutMs ?? Infinity);
}

/** Creates a request from its parts. */
export function createRequest(
  context: Pick<GatewayContext, "dialect" | "routes" | "random">,
  incoming: IncomingMessage,
  parts: {
    readonly check: AcceptedHeaders;
    readonly receivedAt: Milliseconds;
    readonly loopDelayMs: Milliseconds;
    readonly body: Buffer;
  },
): GatewayRequest {
  const { check: { route, facts, customer }, receivedAt, loopDelayMs, body } =
    parts;
  const chance = targetChance(route, facts, context.random);
  const method = incoming.method ?? "GET";
  const target = incoming.url ?? "/";
  const service = pickTarget(route.targets, chance) ?? "";
  const fingerprints = lazyFingerprints(
    { method, host: route.host, target, customer: customer?.name, body },
    { service, parts: facts.promptParts ?? [] },
  );
  return {
    route,
    service,
    ...(customer ? { customer } : {}),
    priority: priorityOf({ route, customer }),
    receivedAt,
    loopDelayMs,
    body,
    fingerprints,
    method,
    target,
    rawHeaders: forwardedHeaders(context, incoming.rawHeaders),
    facts,
    deadline: deadlineOf({ route, facts }, receivedAt),
  };
}

/** Removes customer keys, which replicas must not receive. */
function forwardedHeaders(
  { dialect, routes }: Pick<GatewayContext, "dialect" | "routes">,
  raw: readonly string[],
): string[] {
  const forwarded = requestHeaders(raw, dialect.endToEndHeaders);
  if (!routes.customers) return forwarded;
  return withoutHeaders(forwarded, (name) => name === dialect.keyHeader);
}
