/** Attempts of resumable streams at a given host. */
import { Agent } from "node:http";
import {
  CallKind,
  callOnce,
  type CallOptions,
  type CallResult,
} from "./call.ts";
import type { FleetHost } from "./fleet.ts";

/** Sends an attempt of a stream over a connection of its own. */
export function attemptStream(
  { process, callers }: FleetHost,
  options: Pick<CallOptions, "id" | "resumption">,
): Promise<CallResult> {
  return callOnce({
    agent: new Agent(),
    host: { name: process.name, address: callers },
    kind: CallKind.resumable,
    body: "body",
    abortsEarly: false,
    ...options,
  });
}
