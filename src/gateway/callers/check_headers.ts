/** Decides from the headers of a request whether it may start. */
import type { IncomingMessage } from "node:http";
import type { Milliseconds } from "../../util/units.ts";
import { GatewayError } from "../answers.ts";
import type { GatewayContext } from "../context.ts";
import { type AdmissionOptions, admit } from "../customers/admission.ts";
import type { StopCheck, TimeShortage } from "../requests/stop_check.ts";
import { type AcceptedHeaders, deadlineOf } from "./create_request.ts";

/** Result of checking the headers of a request. */
export type HeaderCheck =
  | AcceptedHeaders
  | {
    readonly type: "refused";
    readonly error: GatewayError;
    /** Set if this host stops too soon for the request. */
    readonly shortage?: TimeShortage;
  };

/** Options of {@link checkHeaders}. */
export type HeaderCheckOptions = TimeCheckOptions & {
  readonly context: GatewayContext;
  readonly admission: AdmissionOptions;
};

/** Options of {@link shortageAtEveryService}. */
export type TimeCheckOptions = {
  readonly stopCheck: StopCheck;
  readonly receivedAt: Milliseconds;
  /** When the request was received to its end; absent: it has not been. */
  readonly wholeAt?: Milliseconds;
};

/** Finds the route and the customer of a request, or why it is refused. */
export function checkHeaders(
  { headers, httpVersion, url }: IncomingMessage,
  options: HeaderCheckOptions,
): HeaderCheck {
  const { context, admission } = options;
  const { clock, routes, dialect } = context;
  if (headers.host === undefined && httpVersion === "1.1") {
    return { type: "refused", error: GatewayError.malformed };
  }
  const route = routes.match(headers.host ?? "", url ?? "/");
  if (!route) return { type: "refused", error: noRouteError(context) };
  const facts = dialect.readRequest(headers);
  const shortage = shortageAtEveryService(options, { route, facts });
  if (shortage) {
    return { type: "refused", error: GatewayError.stopping, shortage };
  }
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

/**
 * The shortage of time at the last of the route's services, for the log; undefined
 * if at least one of them has the time. The service is chosen later.
 */
export function shortageAtEveryService(
  { stopCheck, receivedAt, wholeAt }: TimeCheckOptions,
  { route, facts }: Pick<AcceptedHeaders, "route" | "facts">,
): TimeShortage | undefined {
  const deadline = deadlineOf({ route, facts }, receivedAt);
  const shortages = route.targets.map(({ service }) =>
    stopCheck.shortageOf({ route, service, deadline, wholeAt })
  );
  return shortages.includes(undefined) ? undefined : shortages.at(-1);
}

/** Whether the request is refused because this host is behind. */
export function isOverloaded(check: HeaderCheck): boolean {
  return check.type === "refused" && check.error === GatewayError.overloaded;
}
