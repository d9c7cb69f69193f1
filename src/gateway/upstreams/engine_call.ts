/**
 * Control calls from this host to a model engine: reservations, exports,
 * reports and stage orders.
 */
import type { Milliseconds } from "../../util/units.ts";
import type { GatewayContext } from "../context.ts";
import type { JsonCall } from "../port.ts";
import type { ReplicaEntry } from "../replicas/model.ts";
import type { JsonAnswer } from "./json_client.ts";

/**
 * Calls a replica and passes what the headers of its response report about it
 * to the gate; undefined if no complete response arrives within `timeoutMs`.
 */
export async function callEngine(
  { pool, dialect, clock, gate }: Pick<
    GatewayContext,
    "pool" | "dialect" | "clock" | "gate"
  >,
  entry: ReplicaEntry,
  { call, timeoutMs }: {
    readonly call: JsonCall & { readonly headers?: readonly string[] };
    readonly timeoutMs: Milliseconds;
  },
): Promise<JsonAnswer | undefined> {
  const sentAt = clock.now();
  const answer = await pool.sendControlCall(entry, call, timeoutMs);
  if (!answer) return undefined;
  const notice = dialect.readAnswer(answer.status, answer.headers ?? {});
  if (!notice.misdirected) {
    gate.observeCall(entry.incarnation, notice, { sentAt });
  }
  return answer;
}
