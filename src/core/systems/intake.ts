/** Takes callers' requests: checks them against the settings in force. */
import { ANSWERS, ErrorKind, Ran } from "../errors.ts";
import type { CallerRequest } from "../events.ts";
import type { RequestId } from "../request_ids.ts";
import type { Milliseconds } from "../../util/units.ts";
import { setupOf } from "../setups/setup.ts";
import { Phase, type Request } from "../tables/requests.ts";
import type { Setup } from "../tables/settings.ts";
import { count, order, type World } from "../world.ts";
import { forgetUndelivered } from "./registry.ts";
import { dropRequest } from "./requests.ts";

/** Time that a request gets when its caller doesn't say. */
const PATIENCE_MS = 30_000;

/** Opens a request, or refuses it at once. */
export function takeCall(
  world: World,
  call: CallerRequest,
  now: Milliseconds,
): void {
  count(world, "requests");
  const error = faultOf(world, call);
  if (error !== undefined) return refuse(world, call, error);
  const customer = world.settings.customersByKey.get(call.keyHash) ?? "";
  const setup = setupOf(world.settings, customer);
  if (!setup) return refuse(world, call, ErrorKind.unknownKey);
  if (!allowed(setup, call)) {
    return refuse(world, call, ErrorKind.unknownModel);
  }
  if (!world.services.has(call.service)) {
    return refuse(world, call, ErrorKind.noUpstream);
  }
  world.requests.set(call.request, openRequest(call, customer, setup, now));
  world.changed = true;
}

function faultOf(world: World, call: CallerRequest): ErrorKind | undefined {
  if (world.stopping) return ErrorKind.stopping;
  if (world.settings.version === 0) return ErrorKind.starting;
  if (call.once && call.callerKey === undefined) return ErrorKind.keyRequired;
  return undefined;
}

function allowed(setup: Setup, call: CallerRequest): boolean {
  if (call.kind === "plain") return setup.plainServices.includes(call.service);
  return setup.models.includes(call.service);
}

function openRequest(
  call: CallerRequest,
  customer: string,
  setup: Setup,
  now: Milliseconds,
): Request {
  return {
    id: call.request,
    call,
    customer,
    setup,
    arrived: now,
    giveUpAt: now + (call.patienceMs ?? PATIENCE_MS),
    phase: Phase.registering,
    phaseSince: now,
    askedAt: now,
    queued: false,
    attempts: 0,
    rounds: 0,
    excluded: [],
    refusedBy: [],
    claimed: false,
    ran: Ran.notRun,
    tokens: 0,
    chunks: [],
    nextKeepAt: 0,
    answered: false,
  };
}

function refuse(
  world: World,
  call: CallerRequest,
  error: ErrorKind,
): void {
  const retryAfterSeconds = ANSWERS[error].retryAfterSeconds;
  count(world, "requests_refused");
  order(world, {
    type: "replyError",
    request: call.request,
    error,
    ran: call.once && call.callerKey !== undefined ? Ran.unknown : Ran.notRun,
    ...(retryAfterSeconds === undefined ? {} : { retryAfterSeconds }),
  });
}

/** The caller went away: its request ends and its key may be used again. */
export function takeCallerGone(
  world: World,
  id: RequestId,
  now: Milliseconds,
): void {
  const request = world.requests.get(id);
  if (request) return dropRequest(world, request, now);
  forgetUndelivered(world, id);
}
