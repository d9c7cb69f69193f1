/** Plays planned responses of a replica against a host and its callers. */
import type { Socket } from "node:net";
import fc from "fast-check";
import { RouteKind } from "../../src/gateway/mod.ts";
import {
  callRaw,
  SeenEnding,
  type SeenResponse,
} from "../gateway/raw_caller.ts";
import type { RawAnswer } from "../gateway/raw_replica.ts";
import { withRig } from "../gateway/rig.ts";
import { heldFaults, ID_DIGITS } from "./fuzz_callers.ts";
import {
  Damage,
  responseBody,
  responseBytes,
  type ResponsePlan,
} from "./replica_plan.ts";
import { turns } from "./turns.ts";

/** Calls that are in progress at the same time; the others wait for these. */
const CONCURRENCY = 2;
/** Parts that are written in event loop turns of their own. */
const MAX_PARTS = 500;

/** Kinds of routes on which no request is sent twice. */
export const kinds = fc.constantFrom(RouteKind.unsafe, RouteKind.streaming);

/** The faults of one set of responses; none if all went as they have to. */
export async function fuzzReplicas(
  kind: RouteKind,
  plans: readonly ResponsePlan[],
): Promise<string[]> {
  const faults: string[] = [];
  const idOf = (index: number) => String(index).repeat(ID_DIGITS);
  const indexes = new Map(plans.map((_, index) => [idOf(index), index]));
  const answer: RawAnswer = (request, socket) => {
    const id = request.headers.get("x-id") ?? "";
    const plan = plans[indexes.get(id) ?? -1];
    if (plan) void writeResponse(socket, plan, id);
    else faults.push(`a replica got "${id}" unasked`);
  };
  const options = { route: { kind, attempts: 1 }, replicas: [{ answer }] };
  await withRig(options, async (rig) => {
    for (let first = 0; first < plans.length; first += CONCURRENCY) {
      const batch = plans.slice(first, first + CONCURRENCY);
      const seen = await Promise.all(
        batch.map((_, index) =>
          callRaw(rig.address, { id: idOf(first + index) })
        ),
      );
      seen.forEach((response, index) => {
        const at = first + index;
        faults.push(...responseFaults(plans, response, { at, id: idOf(at) }));
      });
    }
    const ids = rig.replicas.flatMap(({ requests }) => requests)
      .map(({ headers }) => headers.get("x-id"));
    if (new Set(ids).size < ids.length) faults.push(`sent twice: ${ids}`);
    faults.push(...await heldFaults(rig));
  });
  return faults;
}

async function writeResponse(
  socket: Socket,
  plan: ResponsePlan,
  id: string,
): Promise<void> {
  const bytes = responseBytes(plan, id);
  let at = 0;
  for (let part = 0; at < bytes.length && !socket.destroyed; part++) {
    const size = plan.partSizes[part % plan.partSizes.length] ?? bytes.length;
    socket.write(bytes.subarray(at, at + size));
    at += size;
    if (part < MAX_PARTS) await turns(1);
  }
  // A response that lacks its end would otherwise wait for its timeout.
  const isOpenEnded = plan.damage !== Damage.none || plan.mutations.length > 0;
  if (plan.ending === "reset") return void socket.resetAndDestroy();
  if (plan.ending === "ended" || isOpenEnded) socket.end();
}

function responseFaults(
  plans: readonly ResponsePlan[],
  { status, headers, body, ending }: SeenResponse,
  { at, id }: { readonly at: number; readonly id: string },
): string[] {
  const plan = plans[at];
  if (!plan || plan.mutations.length > 0) return [];
  const name = `response ${at} (${status}, ${ending})`;
  const seenId = headers.get("x-id");
  if (seenId !== undefined && seenId !== id) return [`${name} is of ${seenId}`];
  const isWhole = status === 200 && ending !== SeenEnding.truncated;
  if (isWhole && !isDeliverable(plan)) return [`${name} looks whole`];
  if (isWhole && body !== responseBody(plan, id)) {
    return [`${name}: other body`];
  }
  // A reset may come before the host has read what was sent.
  const isUndamaged = plans.every((one) =>
    one.damage === Damage.none && one.ending !== "reset"
  );
  return isUndamaged && !isWhole ? [`${name} is not whole`] : [];
}

/** Whether the host can forward the response as a complete one. */
function isDeliverable({ damage }: ResponsePlan): boolean {
  return damage === Damage.none || damage === Damage.followed;
}
