/** Gives each event to the part that it concerns. */
import type { Event } from "./events.ts";
import type { HostId } from "../util/ids.ts";
import type { Milliseconds } from "../util/units.ts";
import type { PeerMessage } from "../messages/peer.ts";
import { takeGrant, takeQueued, takeRefusal } from "./systems/asking.ts";
import { closeCall } from "./systems/calls.ts";
import {
  takeClaimRead,
  takeClaimsConflict,
  takeClaimsLost,
  takeClaimsWritten,
} from "./systems/claims.ts";
import { takeChunk, takePlainAnswer } from "./systems/delivery.ts";
import { takePrefilled } from "./systems/dispatch.ts";
import { takeCall, takeCallerGone } from "./systems/intake.ts";
import {
  takeLeaseFailed,
  takeLeaseRead,
  takeLeaseWritten,
} from "./systems/lease.ts";
import { noteReport } from "./systems/ledger.ts";
import { adoptHostList } from "./systems/host_list.ts";
import {
  clearSuspicion,
  suspectPeer,
  takeGossip,
} from "./systems/membership.ts";
import { takeAsk, takeKeep, takeProgress } from "./systems/placement.ts";
import { takeKeyEnd, takeKeyPut } from "./systems/keepers.ts";
import { takeKeyVerdict } from "./systems/registry.ts";
import { takeCancelDone } from "./systems/release.ts";
import { earnRetry, takeFailure } from "./systems/retry.ts";
import {
  passSettings,
  takePeerRows,
  takeTableRows,
} from "./systems/settings.ts";
import { takeHeld, takeSweepAsk } from "./systems/sweep.ts";
import { takeOrderRefused } from "./systems/turns.ts";
import { takeCacheEvents, takeLoadReport } from "./systems/upstreams.ts";
import type { World } from "./world.ts";

/** Changes the tables as one event says. */
export function handleEvent(
  world: World,
  event: Event,
  now: Milliseconds,
): void {
  switch (event.type) {
    case "tick":
      return;
    case "callerRequest":
      earnRetry(world);
      return takeCall(world, event, now);
    case "callerGone":
      return takeCallerGone(world, event.request, now);
    case "prefillDone":
      return takePrefilled(world, event, now);
    case "chunk":
      return takeChunk(world, event, now);
    case "plainDone":
      return takePlainAnswer(world, event, now);
    case "attemptFailed":
      return takeFailure(world, event, now);
    case "cancelDone":
      return takeCancelDone(world, event.attempt, event.upstream);
    case "orderRefused":
      return takeOrderRefused(world, event.upstream, now);
    case "settingsPublished":
      world.schedule.settings = now;
      return;
    case "stopAsked":
      world.stopping = true;
      world.view.until = 0;
      return;
    default:
      return handleReport(world, event, now);
  }
}

type Report = Exclude<Event, {
  type:
    | "tick"
    | "callerRequest"
    | "callerGone"
    | "prefillDone"
    | "chunk"
    | "plainDone"
    | "attemptFailed"
    | "cancelDone"
    | "orderRefused"
    | "settingsPublished"
    | "stopAsked";
}>;

function handleReport(world: World, event: Report, now: Milliseconds): void {
  switch (event.type) {
    case "loadReport":
      takeLoadReport(world, event.upstream, event.report, now);
      return noteReport(world, event.upstream);
    case "cacheEvents":
      return takeCacheEvents(world, event, now);
    case "heldList":
      return takeHeld(world, event.upstream, event.attempts, now);
    case "peerMessage":
      clearSuspicion(world, event.from);
      return handleMessage(world, event.from, event.message, now);
    case "peerFailed":
      return suspectPeer(world, event.peer, now);
    case "hostList":
      return adoptHostList(world, event.list, now);
    case "tableRows":
    case "tableWritten":
    case "tableConflict":
    case "tableLost":
      return handleTable(world, event, now);
  }
}

type TableAnswer = Extract<Event, {
  type: "tableRows" | "tableWritten" | "tableConflict" | "tableLost";
}>;

function handleTable(
  world: World,
  event: TableAnswer,
  now: Milliseconds,
): void {
  const call = closeCall(world, event.call);
  if (!call) return;
  if (event.type === "tableLost") world.platformLostAt = now;
  else world.platformOkAt = now;
  switch (event.type) {
    case "tableRows":
      if (call.purpose === "settings") return takeTableRows(world, event.rows);
      if (call.purpose === "leaseRead") {
        return takeLeaseRead(world, call, event.rows, now);
      }
      return takeClaimRead(world, call, event.rows, now);
    case "tableWritten":
      if (call.purpose === "lease") {
        return takeLeaseWritten(world, call, event.revision);
      }
      return takeClaimsWritten(world, call, now);
    case "tableConflict":
      if (call.purpose === "lease") return takeLeaseFailed(world, call, now);
      return takeClaimsConflict(world, call, event.keys, now);
    case "tableLost":
      if (call.purpose === "lease") return takeLeaseFailed(world, call, now);
      return takeClaimsLost(world, call, now);
  }
}

function handleMessage(
  world: World,
  from: HostId,
  message: PeerMessage,
  now: Milliseconds,
): void {
  const { kind } = message;
  switch (kind?.$case) {
    case "gossip":
      return takeGossip(world, from, kind.value, now);
    case "settingsPull":
      return passSettings(world, from, kind.value.after);
    case "settingsRows":
      return takePeerRows(world, from, kind.value);
    case "hostList":
      return adoptHostList(world, kind.value, now);
    case "planAsk":
      return takeAsk(world, from, kind.value, now);
    case "planQueued":
      return takeQueued(world, from, kind.value.request);
    case "planGrant":
      return takeGrant(world, from, kind.value, now);
    case "planRefusal":
      return takeRefusal(world, from, kind.value, now);
    case "planProgress":
      return takeProgress(world, kind.value, now);
    case "planKeep":
      return takeKeep(world, kind.value, now);
    case "keyPut":
      return takeKeyPut(world, from, kind.value, now);
    case "keyVerdict":
      return takeKeyVerdict(world, from, kind.value, now);
    case "keyEnd":
      return takeKeyEnd(world, kind.value);
    case "sweepAsk":
      return takeSweepAsk(world, kind.value, now);
    case undefined:
      return;
  }
}
