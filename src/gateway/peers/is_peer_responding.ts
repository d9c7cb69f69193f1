/** Checks whether the process of a peer runs. */
import type { Milliseconds } from "../../util/units.ts";
import type { Clock } from "../clock.ts";
import { withTimeout } from "../state/with_timeout.ts";
import { KEEPER_PATH } from "../streams/keeper_messages.ts";
import type { PeerConnections } from "./peer_connections.ts";

const TIMEOUT_MS: Milliseconds = 300;
/** A question that any host answers in a few bytes. */
const QUESTION = {
  method: "POST",
  path: KEEPER_PATH,
  body: JSON.stringify({ type: "ask", service: "", id: "-" }),
} as const;

/**
 * Whether the peer responds now. Only a response confirms that it does: a proxy
 * in front of a peer that is gone may accept connections or keep them open. A
 * kept connection confirms as much as a new one: it carries one call at a time,
 * a call that times out closes it, and peers send nothing unasked.
 */
export async function isPeerResponding(
  address: string,
  { clock, connections }: {
    readonly clock: Clock;
    readonly connections: Pick<PeerConnections, "call">;
  },
): Promise<boolean> {
  const ask = (signal: AbortSignal) =>
    connections.call(address, { ...QUESTION, signal });
  const response = await withTimeout({
    clock,
    timeoutMs: TIMEOUT_MS,
    // The peer may have just closed the connection that was kept.
    work: (signal) => ask(signal).catch(() => ask(signal)),
    onFault: () => undefined,
  });
  return response !== undefined;
}
