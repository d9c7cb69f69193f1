/** Refuses requests that are not passed to an exchange. */
import type { IncomingMessage } from "node:http";
import type { Milliseconds } from "../../util/units.ts";
import type { GatewayError } from "../answers.ts";
import type { GatewayContext } from "../context.ts";
import type { AdmissionOptions } from "../customers/admission.ts";
import type { Reply } from "../requests/request.ts";
import { shortageFields, type TimeShortage } from "../requests/stop_check.ts";

/** Why a request is refused. */
export type Refusal = {
  readonly error: GatewayError;
  readonly retryAfterMs?: Milliseconds;
  /** Set if this host stops too soon for the request. */
  readonly shortage?: TimeShortage | undefined;
};

/** Options of {@link refuse}. */
export type RefuseOptions = {
  readonly context: GatewayContext;
  readonly admission: Pick<AdmissionOptions, "configAgeMs">;
  readonly incoming: IncomingMessage;
  readonly reply: Reply;
};

/** Answers a request with an error and logs on which state it was refused. */
export function refuse(
  { context, admission, incoming, reply }: RefuseOptions,
  { error, retryAfterMs, shortage }: Refusal,
): void {
  const { events, metrics, routes, dialect, clock } = context;
  const { id, keyDigest = "" } = dialect.readRequest(incoming.headers);
  const ageMs = admission.configAgeMs(clock.now());
  metrics.count(`ended_${error}`);
  events.note("refused", {
    request: id,
    error,
    customer: routes.customers?.customerOf(keyDigest)?.name,
    routes: routes.version,
    routes_age_ms: Number.isFinite(ageMs) ? Math.round(ageMs) : undefined,
    retry_after: retryAfterMs && retryAfterMs / 1000,
    ...shortageFields(shortage),
  });
  const retryAfterSeconds = retryAfterMs && Math.ceil(retryAfterMs / 10) / 100;
  reply.fail(error, retryAfterSeconds);
}
