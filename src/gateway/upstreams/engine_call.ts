/**
 * Control calls from this host to a model engine: reservations, exports,
 * reports and stage orders.
 */
import type { GatewayContext } from "../context.ts";
import type { ReplicaEntry } from "../replicas/model.ts";
import type { JsonAnswer } from "./json_client.ts";
import type { ControlCallOptions } from "./control_call.ts";

/**
 * Calls a replica and passes what the headers of its response report about it
 * to the gate; undefined if no complete response arrives within `timeoutMs`.
 */
export async function callEngine(
  { pool, dialect, clock, gate, events, metrics }: Pick<
    GatewayContext,
    "pool" | "dialect" | "clock" | "gate" | "events" | "metrics"
  >,
  entry: ReplicaEntry,
  options: Omit<ControlCallOptions, "onSurplus">,
): Promise<JsonAnswer | undefined> {
  const sentAt = clock.now();
  const onSurplus = () => {
    metrics.count("responses_crossed");
    const { method, path } = options.call;
    events.note("crossed", {
      replica: entry.incarnation,
      call: `${method} ${path}`,
    });
  };
  const answer = await pool.sendControlCall(entry, { ...options, onSurplus });
  if (!answer) return undefined;
  const notice = dialect.readAnswer(answer.status, answer.headers ?? {});
  if (!notice.misdirected) {
    gate.observeCall(entry.incarnation, notice, { sentAt });
  }
  return answer;
}
