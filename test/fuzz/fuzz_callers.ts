/** Plays planned connections of callers against a host of their own. */
import fc from "fast-check";
import { systemClock } from "../../src/gateway/clock.ts";
import { HeldFor } from "../../src/gateway/memory/byte_budget.ts";
import { RouteKind } from "../../src/gateway/mod.ts";
import {
  chunk,
  chunkedHeaders,
  completeResponse,
  type RawAnswer,
} from "../gateway/raw_replica.ts";
import { type Rig, withRig } from "../gateway/rig.ts";
import {
  type ConnectionPlan,
  connectionPlans,
  ReplicaBehavior,
} from "./caller_plan.ts";
import { checkConnection, checkReplica } from "./check_connection.ts";
import { playConnection } from "./play_connection.ts";

/** Connections that are open at the same time. */
export const planSets: fc.Arbitrary<ConnectionPlan[]> = fc.array(
  connectionPlans,
  { minLength: 1, maxLength: 3 },
);

const LARGE_BODY = "l".repeat(300_000);
const LATE_MS = 3;
/** Time in which a host has to release what it held. */
const RELEASE_MS = 5000;
/** More digits than a plan has mutations. */
export const ID_DIGITS = 6;
const CAPACITY_BYTES = 8 << 20;
/** Below all timeouts of a host, above the delay of a probe. */
const MAX_DELAY_MS = 50;

const answer: RawAnswer = (request, socket) => {
  const { headers } = request;
  const whole = completeResponse(request, "whole");
  switch (headers.get("x-behavior")) {
    case ReplicaBehavior.chunked:
      return void socket.write(
        chunkedHeaders(request) + chunk("part") + chunk("part") + chunk(""),
      );
    case ReplicaBehavior.late:
      return void setTimeout(() => socket.write(whole), LATE_MS);
    case ReplicaBehavior.large:
      return void socket.write(completeResponse(request, LARGE_BODY));
    case ReplicaBehavior.unframed:
      return void socket.end(
        `HTTP/1.1 200 OK\r\nx-id: ${headers.get("x-id")}\r\n\r\nall`,
      );
    case ReplicaBehavior.cutOff:
      return void socket.end(whole.slice(0, -2));
    default:
      return void socket.write(whole);
  }
};

/**
 * Runs only short timers, which delay work: a stall of this process must not end
 * connections.
 */
function withoutTimeouts(ms: number, work: () => void): () => void {
  if (ms <= MAX_DELAY_MS) return systemClock.after(ms, work);
  return () => undefined;
}

/** The faults of one set of connections; none if all went as they have to. */
export async function fuzzCallers(
  plans: readonly ConnectionPlan[],
): Promise<string[]> {
  const faults: string[] = [];
  const route = { kind: RouteKind.unsafe, attempts: 1 };
  await withRig({ route, replicas: [{ answer }] }, async (rig) => {
    Object.assign(rig.context.clock, { after: withoutTimeouts });
    rig.context.heldBytes.setCapacity(CAPACITY_BYTES);
    // Mutations can't turn the id of one plan into that of another.
    const idOf = (plan: number, index: number) =>
      `${String(plan).repeat(ID_DIGITS)}-${index}`;
    const played = await Promise.all(plans.map(async (plan, number) => {
      const ids = (index: number) => idOf(number, index);
      const connection = await playConnection(rig.address, plan, ids);
      return checkConnection(plan, connection, ids);
    }));
    faults.push(...played.flat(), ...await heldFaults(rig));
    const received = rig.replicas.flatMap(({ requests }) => requests);
    faults.push(...checkReplica(received, plans, idOf));
  });
  return faults;
}

/** What the host still holds though all callers have gone. */
export async function heldFaults({ context, callers }: Rig): Promise<string[]> {
  const held = () => ({
    heads: context.heldBytes.heldFor(HeldFor.heads),
    bodies: context.heldBytes.heldFor(HeldFor.bodies),
    answers: context.heldBytes.heldFor(HeldFor.answers),
    connections: callers.connectionCount,
    requests: callers.openRequestCount,
  });
  const isHeld = () => Object.values(held()).some((count) => count > 0);
  const startedAt = Date.now();
  while (isHeld() && Date.now() - startedAt < RELEASE_MS) {
    await new Promise((resolve) => setTimeout(resolve, 1));
  }
  return isHeld() ? [`still held: ${JSON.stringify(held())}`] : [];
}
