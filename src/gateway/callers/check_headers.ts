/** Decides from the headers of a request whether it may start. */
import type { IncomingMessage } from "node:http";
import { GatewayError } from "../answers.ts";
import type { GatewayContext } from "../context.ts";
import { type AdmissionOptions, admit } from "../customers/admission.ts";
import type { Route } from "../routing/model.ts";
import type { AcceptedHeaders } from "./create_request.ts";

/**
 * While this host stops, it refuses requests to model engines when less of its
 * grace period is left than the longest streams take.
 */
const MIN_STREAM_TIME_LEFT_MS = 5300;
/** As {@link MIN_STREAM_TIME_LEFT_MS}, for requests to plain services. */
const MIN_PLAIN_TIME_LEFT_MS = 1000;

/** Result of checking the headers of a request. */
export type HeaderCheck =
  | AcceptedHeaders
  | { readonly type: "refused"; readonly error: GatewayError };

/** Finds the route and the customer of a request, or why it is refused. */
export function checkHeaders(
  context: GatewayContext,
  admission: AdmissionOptions,
  { headers, httpVersion, url }: IncomingMessage,
): HeaderCheck {
  const { clock, routes, dialect } = context;
  if (headers.host === undefined && httpVersion === "1.1") {
    return { type: "refused", error: GatewayError.malformed };
  }
  const route = routes.match(headers.host ?? "", url ?? "/");
  if (!route) return { type: "refused", error: noRouteError(context) };
  if (!hasTimeFor(route, context)) {
    return { type: "refused", error: GatewayError.stopping };
  }
  const facts = dialect.readRequest(headers);
  const { keyDigest } = facts;
  const admitted = admit(admission, { route, keyDigest }, clock.now());
  if (admitted.type === "refused") return admitted;
  return { type: "taken", route, facts, customer: admitted.customer };
}

/**
 * Callers don't retry a 404, so a host that waits for a newer configuration,
 * which may contain the route, responds with a retryable error instead.
 */
function noRouteError({ routes }: GatewayContext): GatewayError {
  if (routes.config === undefined) return GatewayError.noConfig;
  return routes.isBehind ? GatewayError.staleRoutes : GatewayError.noRoute;
}

function hasTimeFor(
  route: Route,
  { stop, clock, routes }: GatewayContext,
): boolean {
  if (stop.requestedAt === undefined) return true;
  const timeLeftMs = stop.requestedAt + stop.graceMs - clock.now();
  const hasEngineTarget = route.targets.some((target) =>
    routes.service(target.service)?.engine !== undefined
  );
  return timeLeftMs >
    (hasEngineTarget ? MIN_STREAM_TIME_LEFT_MS : MIN_PLAIN_TIME_LEFT_MS);
}
