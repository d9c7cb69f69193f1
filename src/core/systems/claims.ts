/**
 * Claims of requests that may not be repeated: one conditional insert in the
 * platform's table before dispatch. A claim never passes to another request.
 */
import { ErrorKind, Ran } from "../errors.ts";
import type { Milliseconds } from "../../util/units.ts";
import { Mechanism } from "../options.ts";
import type { TableRow } from "../events.ts";
import type { TableChange } from "../orders.ts";
import { type Claim, ClaimState, type TableCall } from "../tables/claims.ts";
import { Phase, type Request } from "../tables/requests.ts";
import { count, enabled, log, order, type World } from "../world.ts";
import { closeCall, openCall } from "./calls.ts";
import { takeLeaseFailed } from "./lease.ts";
import { enter, failRequest } from "./requests.ts";

/** Claims in one write of the table. */
const BATCH = 50;
/** Calls that are about claims. */
const CLAIM_PURPOSES = ["claim", "claimRead", "void"];
/** After silence the platform counts as lost this long, or till it answers. */
const LOST_MS = 5000;
/** Wait before the same thing is asked of the table again. */
const RETRY_MS = 200;

/** Starts the claims of requests that have places and need one. */
export function claimRequests(world: World, now: Milliseconds): void {
  for (const request of world.requests.values()) {
    if (request.phase !== Phase.claiming) continue;
    const needed = request.call.once && !request.claimed;
    if (needed && enabled(world, Mechanism.claims)) {
      claimRequest(world, request, now);
      continue;
    }
    enter(world, request, Phase.ready, now);
  }
}

function claimRequest(
  world: World,
  request: Request,
  now: Milliseconds,
): void {
  const row = claimRow(request);
  const own = world.claims.get(row);
  if (!own && platformLost(world, now)) {
    return failRequest(world, request, ErrorKind.claimUnavailable, now);
  }
  if (own?.request === request.id) return;
  if (own) return refuseTwin(world, request, own, now);
  world.claims.set(row, {
    row,
    request: request.id,
    askedAt: now,
    state: ClaimState.waiting,
    written: false,
    nextAt: now,
  });
}

/** The platform's last word was silence, not long ago. */
function platformLost(world: World, now: Milliseconds): boolean {
  if (world.platformOkAt >= world.platformLostAt) return false;
  return now - world.platformLostAt < LOST_MS;
}

/** Another request of this host has the row. */
function refuseTwin(
  world: World,
  request: Request,
  own: Claim,
  now: Milliseconds,
): void {
  const voiding = own.state === ClaimState.voiding;
  const error = voiding ? ErrorKind.claimUnavailable : ErrorKind.claimTaken;
  failRequest(world, request, error, now);
}

function claimRow(request: Request): string {
  const { service, callerKey } = request.call;
  return `claims/${request.customer}/${service}/${callerKey}`;
}

/** Lets go of the claims of requests that ended in this step. */
export function closeClaims(world: World, now: Milliseconds): void {
  for (const request of world.ended) {
    if (request.call.once) closeClaim(world, request, now);
  }
}

/** What was never dispatched is voided, so that it can be claimed again. */
function closeClaim(
  world: World,
  request: Request,
  now: Milliseconds,
): void {
  const row = claimRow(request);
  const known = world.claims.get(row);
  if (known && known.request !== request.id) return;
  world.claims.delete(row);
  const written = known?.written === true || request.claimed;
  if (!written || request.ran !== Ran.notRun) return;
  world.claims.set(row, {
    row,
    request: request.id,
    askedAt: now,
    state: ClaimState.voiding,
    written: true,
    nextAt: now,
  });
}

/** Writes waiting claims in one batch, and gives up those that take long. */
export function settleClaims(world: World, now: Milliseconds): void {
  for (const claim of world.claims.values()) giveUpLate(world, claim, now);
  const writing = [...world.calls.values()]
    .some((call) => call.purpose === "claim");
  if (!writing) writeBatch(world, now);
  for (const claim of world.claims.values()) {
    if (now < claim.nextAt) continue;
    if (claim.state === ClaimState.reading) readClaim(world, claim, now);
    if (claim.state === ClaimState.voiding) voidClaim(world, claim, now);
  }
}

function giveUpLate(world: World, claim: Claim, now: Milliseconds): void {
  if (claim.state === ClaimState.voiding) return;
  if (now - claim.askedAt < world.options.claimTimeoutMs) return;
  const request = world.requests.get(claim.request);
  if (!request) return;
  count(world, "claims_given_up");
  failRequest(world, request, ErrorKind.claimUnavailable, now);
}

function writeBatch(world: World, now: Milliseconds): void {
  const batch = [...world.claims.values()]
    .filter((one) => one.state === ClaimState.waiting && now >= one.nextAt)
    .slice(0, BATCH);
  if (batch.length === 0) return;
  const changes: TableChange[] = [];
  for (const claim of batch) {
    claim.state = ClaimState.writing;
    claim.written = true;
    changes.push({ key: claim.row, value: claim.request, ifRevision: 0 });
  }
  const rows = batch.map((one) => one.row);
  const call = openCall(world, now, { purpose: "claim", rows });
  order(world, { type: "writeTable", call, changes });
}

function readClaim(world: World, claim: Claim, now: Milliseconds): void {
  claim.nextAt = now + world.options.platformTimeoutMs;
  const call = openCall(world, now, {
    purpose: "claimRead",
    rows: [claim.row],
  });
  order(world, { type: "readTable", call, prefix: claim.row, after: 0 });
}

function voidClaim(world: World, claim: Claim, now: Milliseconds): void {
  claim.nextAt = now + world.options.platformTimeoutMs;
  const call = openCall(world, now, { purpose: "void", rows: [claim.row] });
  const change = { key: claim.row, value: null, ifValue: claim.request };
  order(world, { type: "writeTable", call, changes: [change] });
}

/** The table took a write of claims. */
export function takeClaimsWritten(
  world: World,
  call: TableCall,
  now: Milliseconds,
): void {
  for (const claim of claimsOf(world, call)) {
    if (call.purpose === "void") world.claims.delete(claim.row);
    else winClaim(world, claim, now);
  }
}

/** Some rows of a write were there already, so none was written. */
export function takeClaimsConflict(
  world: World,
  call: TableCall,
  keys: readonly string[],
  now: Milliseconds,
): void {
  for (const claim of claimsOf(world, call)) {
    if (call.purpose === "void") {
      world.claims.delete(claim.row);
      continue;
    }
    const taken = keys.includes(claim.row);
    claim.state = taken ? ClaimState.reading : ClaimState.waiting;
    claim.nextAt = now;
  }
}

/** Nobody knows whether a call took effect: read back, or try again. */
export function takeClaimsLost(
  world: World,
  call: TableCall,
  now: Milliseconds,
): void {
  for (const claim of claimsOf(world, call)) {
    claim.nextAt = now + RETRY_MS;
    if (claim.state === ClaimState.writing) claim.state = ClaimState.reading;
  }
}

/** The row itself tells whose a claim is. */
export function takeClaimRead(
  world: World,
  call: TableCall,
  rows: readonly TableRow[],
  now: Milliseconds,
): void {
  for (const claim of claimsOf(world, call)) {
    if (claim.state !== ClaimState.reading) continue;
    const row = rows.find((one) => one.key === claim.row);
    if (!row || row.value === null) {
      claim.state = ClaimState.waiting;
      claim.nextAt = now;
      continue;
    }
    if (row.value === claim.request) winClaim(world, claim, now);
    else loseClaim(world, claim, now);
  }
}

function claimsOf(world: World, call: TableCall): Claim[] {
  if (!CLAIM_PURPOSES.includes(call.purpose)) return [];
  return call.rows.flatMap((row) => world.claims.get(row) ?? []);
}

function winClaim(world: World, claim: Claim, now: Milliseconds): void {
  if (claim.state === ClaimState.voiding) return;
  const request = world.requests.get(claim.request);
  if (!request) {
    claim.state = ClaimState.voiding;
    claim.nextAt = now;
    return;
  }
  world.claims.delete(claim.row);
  request.claimed = true;
  const late = now - claim.askedAt >= world.options.claimTimeoutMs;
  if (late) return failRequest(world, request, ErrorKind.claimUnavailable, now);
  enter(world, request, Phase.ready, now);
}

function loseClaim(world: World, claim: Claim, now: Milliseconds): void {
  claim.written = false;
  const request = world.requests.get(claim.request);
  if (!request) {
    world.claims.delete(claim.row);
    return;
  }
  count(world, "claims_lost");
  log(world, {
    part: "claims",
    sentence: "Another request holds the claim",
    request: request.id,
  });
  failRequest(world, request, ErrorKind.claimTaken, now);
}

/** Takes calls that got no answer in time as lost. */
export function expireCalls(world: World, now: Milliseconds): void {
  for (const [number, call] of world.calls) {
    const age = now - call.startedAt;
    if (age < world.options.platformTimeoutMs) continue;
    closeCall(world, number);
    world.platformLostAt = now;
    if (call.purpose === "lease") takeLeaseFailed(world, call, now);
    else takeClaimsLost(world, call, now);
  }
}
