/** Tells other hosts which process this is, and asks them the same. */
import type { ServerResponse } from "node:http";
import * as z from "zod";
import type { Milliseconds } from "../../util/units.ts";
import { readJson } from "../../util/read_json.ts";
import type { Clock } from "../clock.ts";
import type { LoopStalls } from "../load/loop_stalls.ts";
import { Name } from "../name_schema.ts";
import { withTimeout } from "../state/with_timeout.ts";
import type { PeerConnections } from "./peer_connections.ts";
import type { PeerProcess } from "./peer_process.ts";

/** Path of the question on a host's peer address. */
export const PROCESS_PATH = "/process";

const TIMEOUT_MS: Milliseconds = 300;

const ProcessReport = z.object({
  run: Name,
  /** Time since its event loop caught up with a stall; absent: it had none. */
  stalledAgoMs: z.number().min(0).exactOptional(),
});
/** What a peer tells of its process. */
export type ProcessReport = z.output<typeof ProcessReport>;

/** Responds to the question of a peer. */
export function reportProcess(
  { self, stalls }: {
    readonly self: { readonly run: string };
    readonly stalls: Pick<LoopStalls, "lastAgeMs">;
  },
  response: ServerResponse,
): void {
  const stalledAgoMs = stalls.lastAgeMs();
  const report: ProcessReport = {
    run: self.run,
    ...(stalledAgoMs === undefined ? {} : { stalledAgoMs }),
  };
  response.sendDate = false;
  response.writeHead(200, { "Content-Type": "application/json" });
  response.end(JSON.stringify(report));
}

/**
 * Asks whether this process of a peer runs now; undefined if it doesn't, or
 * doesn't respond in time. Only its response confirms that it runs: a proxy in
 * front of a peer that is gone may accept connections or keep them open. A kept
 * connection confirms as much as a new one: it carries one call at a time, a call
 * that times out closes it, and peers send nothing unasked.
 */
export async function askProcess(
  { address, run }: PeerProcess,
  { clock, connections }: {
    readonly clock: Clock;
    readonly connections: Pick<PeerConnections, "call">;
  },
): Promise<ProcessReport | undefined> {
  const ask = (signal: AbortSignal) =>
    connections.call(address, { method: "GET", path: PROCESS_PATH, signal });
  const response = await withTimeout({
    clock,
    timeoutMs: TIMEOUT_MS,
    // The peer may have just closed the connection that was kept.
    work: (signal) => ask(signal).catch(() => ask(signal)),
    onFault: () => undefined,
  });
  const report = response && readJson(ProcessReport, response.body);
  return report?.run === run ? report : undefined;
}
