/** Requests the status of a model engine's replica. */
import type { Milliseconds } from "../../util/units.ts";
import type { GatewayContext } from "../context.ts";
import type { EngineReport } from "../port.ts";
import type { ReplicaEntry } from "../replicas/model.ts";
import { callEngine } from "./engine_call.ts";

/**
 * Requests the report of a replica. Undefined if this host may not call it or
 * has no path to it, or if no valid report of this incarnation arrives within
 * `timeoutMs`.
 */
export async function requestReport(
  context: GatewayContext,
  incarnation: string,
  timeoutMs: Milliseconds,
): Promise<EngineReport | undefined> {
  const { dialect, gate, paths, replicas } = context;
  const replica = replicas.get(incarnation);
  if (!replica || gate.obstacle(replica)) return undefined;
  if (paths.monitor.isLost(incarnation)) return undefined;
  const call = dialect.report;
  const { entry } = replica;
  // A report is worth no detour, and says nothing about this host's path.
  const isDirectOnly = true;
  const options = { call, timeoutMs, isDirectOnly };
  const answer = await callEngine(context, entry, options);
  const report = answer && dialect.readReport(answer.body);
  return report && isOfStart(report, entry) ? report : undefined;
}

/** Whether a report may be of this start of the replica. */
function isOfStart({ born }: EngineReport, entry: ReplicaEntry): boolean {
  const isUnknown = born === undefined || entry.born === undefined;
  return isUnknown || born === entry.born;
}
