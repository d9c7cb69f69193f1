/** Sends a request to the replica at which it has been placed. */
import { GatewayError } from "../answers.ts";
import type { GatewayContext } from "../context.ts";
import { isKeyStillValid } from "../customers/admission.ts";
import type { Attempts } from "./attempts.ts";
import type { Placement } from "./placement.ts";
import type { EventPosition } from "./relay.ts";
import type { GatewayRequest } from "./request.ts";
import type { RequestTime } from "./request_time.ts";
import { type Sending, sendRequest } from "./sender.ts";
import type { StreamBinding } from "./stream_binding.ts";

/** The state of a request that is sent. */
export type RequestState = {
  readonly context: GatewayContext;
  readonly request: GatewayRequest;
  readonly attempts: Attempts;
  readonly binding: StreamBinding;
  readonly position: EventPosition;
  readonly time: RequestTime;
};

/** Returns why a placed request must not be sent; undefined: it may be. */
export function sendObstacle(
  { context, request, attempts, time }: RequestState,
): GatewayError | undefined {
  if (time.shortage) return GatewayError.stopping;
  if (!attempts.hasTimeLeft) return GatewayError.outOfTimeNotRun;
  const { routes } = context;
  if (!isKeyStillValid(routes, request)) return GatewayError.unknownKey;
  const isCharged = attempts.chargeSend("A prefill was turned away");
  return isCharged ? undefined : GatewayError.refusedByReplicas;
}

/** Sends a request that the attempts have counted already. */
export function sendPlaced(
  { context, request, attempts, binding, position, time }: RequestState,
  placed: Placement,
): Sending {
  const { lastId: lastEventId } = position;
  const { requiredVersion } = binding;
  const { entry } = placed.replica;
  const timeoutMs = attempts.answerTimeoutMs(entry, requiredVersion);
  return sendRequest(context, request, placed.replica, {
    headers: {
      ...placed.headers,
      timeLeftMs: request.deadline - context.clock.now(),
      ...(lastEventId === undefined ? {} : { lastEventId }),
    },
    permit: placed.permit,
    mayStart: () => time.shortage === undefined,
    isRepeatable: attempts.repeatable && !attempts.isLast,
    ignoresErrors: placed.advice?.finalErrors === true,
    ...(timeoutMs === undefined ? {} : { timeoutMs }),
    mayTimeOut: (reason) => attempts.acquireRetryInAdvance(reason),
  });
}
