/**
 * Callers' request keys. A key is registered with a majority of three hosts
 * before anything is dispatched and renewed while the request runs. The
 * registration is a lease: an owner that could not renew it delivers nothing
 * more. docs/design/answered-once.md tells what holds when.
 */
import { ErrorKind } from "../errors.ts";
import type { RequestId } from "../request_ids.ts";
import type { HostId } from "../../util/ids.ts";
import type { Milliseconds } from "../../util/units.ts";
import { Mechanism } from "../options.ts";
import type { KeyVerdict } from "../../messages/peer.ts";
import type { Registration } from "../tables/keys.ts";
import { Phase, type Request } from "../tables/requests.ts";
import { count, enabled, log, type World } from "../world.ts";
import { keepersOf, majority, Verdict } from "./keepers.ts";
import { isLive } from "./membership.ts";
import { tell } from "./peers.ts";
import { enter, failRequest } from "./requests.ts";

/** Time between two renewals of a running request's key. */
const RENEW_MS = 2000;
/** Time between two renewals of an answered key. */
const RENEW_ANSWERED_MS = 30_000;
/** An owner delivers only within this time of its last majority. */
const LEASE_MS = 8000;

/** The row name of a request's key. */
export function keyOf(request: Request): string | undefined {
  const { callerKey, once, service } = request.call;
  if (callerKey === undefined || once) return undefined;
  return `${request.customer}/${service}/${callerKey}`;
}

/** Registers the keys of requests that wait for it. */
export function registerKeys(world: World, now: Milliseconds): void {
  for (const request of world.requests.values()) {
    if (request.phase !== Phase.registering) continue;
    const key = keyOf(request);
    if (key === undefined || !enabled(world, Mechanism.registry)) {
      enter(world, request, Phase.planning, now);
      continue;
    }
    if (world.registrations.get(key)?.request === request.id) continue;
    register(world, request, key, now);
  }
}

function register(
  world: World,
  request: Request,
  key: string,
  now: Milliseconds,
): void {
  const own = world.registrations.get(key);
  if (own) {
    const error = own.answered
      ? ErrorKind.duplicateAnswered
      : ErrorKind.duplicateRunning;
    return failRequest(world, request, error, now);
  }
  const registration: Registration = {
    key,
    request: request.id,
    answered: false,
    confirmed: false,
    leasedUntil: 0,
    renewal: { round: 0, askedAt: now, by: new Set() },
    nextPutAt: now,
    listRevision: 0,
    until: Infinity,
  };
  world.registrations.set(key, registration);
  putToKeepers(world, registration, now);
}

function putToKeepers(
  world: World,
  registration: Registration,
  now: Milliseconds,
): void {
  const { key, request, answered } = registration;
  const round = registration.renewal.round + 1;
  registration.renewal = { round, askedAt: now, by: new Set() };
  registration.nextPutAt = now + RENEW_MS;
  registration.listRevision = world.list.revision;
  const value = { key, request, answered, round };
  for (const keeper of keepersOf(world, key)) {
    tell(world, keeper, { $case: "keyPut", value });
  }
}

/** Counts a keeper's word for a registration of this host. */
export function takeKeyVerdict(
  world: World,
  from: HostId,
  message: KeyVerdict,
  now: Milliseconds,
): void {
  const registration = world.registrations.get(message.key);
  if (!registration || registration.request !== message.request) return;
  if (message.verdict !== Verdict.granted) {
    return takeRefusal(world, registration, message.verdict, now);
  }
  if (message.round !== registration.renewal.round) return;
  registration.renewal.by.add(from);
  countGrants(world, registration, now);
}

function countGrants(
  world: World,
  registration: Registration,
  now: Milliseconds,
): void {
  const { renewal, key, answered } = registration;
  const keepers = keepersOf(world, key);
  const granted = keepers.filter((one) => renewal.by.has(one)).length;
  if (granted < majority(keepers)) return;
  registration.leasedUntil = renewal.askedAt + LEASE_MS;
  registration.confirmed = answered;
  const everywhere = granted === keepers.length;
  if (answered && everywhere) {
    registration.nextPutAt = now + RENEW_ANSWERED_MS;
  }
  world.changed = true;
  const request = world.requests.get(registration.request);
  if (request?.phase !== Phase.registering) return;
  enter(world, request, Phase.planning, now);
}

function takeRefusal(
  world: World,
  registration: Registration,
  verdict: string,
  now: Milliseconds,
): void {
  const request = world.requests.get(registration.request);
  if (request?.phase !== Phase.registering) return;
  const error = verdict === Verdict.answered
    ? ErrorKind.duplicateAnswered
    : ErrorKind.duplicateRunning;
  count(world, "duplicates_refused");
  failRequest(world, request, error, now);
}

/** Whether the request may still deliver under its key. */
export function mayDeliver(
  world: World,
  request: Request,
  now: Milliseconds,
): boolean {
  const key = keyOf(request);
  if (key === undefined || !enabled(world, Mechanism.registry)) return true;
  if (request.setup.doubt === "serve") return true;
  const registration = world.registrations.get(key);
  if (registration?.request !== request.id) return false;
  return now < registration.leasedUntil;
}

/**
 * Tells the keepers that an answer is about to be whole; true when its last
 * part must wait for them. So an owner that dies after the last part has left
 * leaves hosts behind that know of it.
 */
export function announceAnswer(
  world: World,
  request: Request,
  now: Milliseconds,
): boolean {
  const key = keyOf(request);
  const registration = key && world.registrations.get(key);
  if (!registration || registration.request !== request.id) return false;
  registration.answered = true;
  putToKeepers(world, registration, now);
  return request.setup.doubt === "refuse";
}

/** Whether a majority of keepers knows of the whole answer. */
export function answerConfirmed(world: World, request: Request): boolean {
  const key = keyOf(request);
  const registration = key && world.registrations.get(key);
  return !registration || registration.confirmed;
}

/** Lets go of the keys of requests that ended in this step. */
export function closeKeys(world: World, now: Milliseconds): void {
  for (const request of world.ended) closeKey(world, request, now);
}

/**
 * A key whose answer was passed on whole is remembered until the shell tells
 * whether the caller got it; any other key may be used again.
 */
function closeKey(world: World, request: Request, now: Milliseconds): void {
  const key = keyOf(request);
  const registration = key && world.registrations.get(key);
  if (!registration || registration.request !== request.id) return;
  if (request.answered) return rememberAnswer(world, registration, now);
  forgetKey(world, registration);
}

/** The caller of an answered request went away before its answer left. */
export function forgetUndelivered(world: World, request: RequestId): void {
  for (const registration of world.registrations.values()) {
    if (registration.request === request) forgetKey(world, registration);
  }
}

function forgetKey(world: World, registration: Registration): void {
  world.registrations.delete(registration.key);
  const { key, request } = registration;
  const value = { key, request };
  for (const keeper of keepersOf(world, registration.key)) {
    tell(world, keeper, { $case: "keyEnd", value });
  }
}

function rememberAnswer(
  world: World,
  registration: Registration,
  now: Milliseconds,
): void {
  registration.until = now + world.options.keyKeepMs;
  if (registration.answered) return;
  registration.answered = true;
  putToKeepers(world, registration, now);
}

/** Renews keys and gives up registrations that take too long. */
export function renewKeys(world: World, now: Milliseconds): void {
  for (const registration of world.registrations.values()) {
    if (now >= registration.until) {
      world.registrations.delete(registration.key);
      continue;
    }
    const moved = registration.listRevision !== world.list.revision;
    const due = now >= registration.nextPutAt;
    if (due || moved) putToKeepers(world, registration, now);
    checkRegistering(world, registration, now);
  }
}

function checkRegistering(
  world: World,
  registration: Registration,
  now: Milliseconds,
): void {
  const request = world.requests.get(registration.request);
  if (request?.phase !== Phase.registering) return;
  const late = now - request.phaseSince >= world.options.keyTimeoutMs;
  const keepers = keepersOf(world, registration.key);
  const live = keepers.filter((id) => {
    const host = world.hosts.get(id);
    return host !== undefined && isLive(world, host, now);
  });
  const hopeless = live.length < majority(keepers);
  if (!late && !hopeless) return;
  if (request.setup.doubt === "serve") {
    return enter(world, request, Phase.planning, now);
  }
  log(world, {
    part: "registry",
    sentence: "Too few keepers answered",
    request: request.id,
    fields: { live: live.length, keepers: keepers.length },
  });
  failRequest(world, request, ErrorKind.duplicateUnsure, now);
}
