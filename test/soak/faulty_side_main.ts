/**
 * Entry point of a process with a faulty replica and the callers of its service,
 * so that they don't take the time of those that a test measures.
 */
import { startRawReplica } from "../gateway/raw_replica.ts";
import { faultyAnswer, openCallers } from "./endless_replies.ts";
import type { FaultySideMessage } from "./faulty_side.ts";

process.on("message", (message: FaultySideMessage) => {
  if (message.type === "call") openCallers(message.address, message.calls);
  else void start(message);
});

async function start(
  { endless }: Extract<FaultySideMessage, { type: "start" }>,
): Promise<void> {
  const { address } = await startRawReplica(faultyAnswer(endless));
  process.send?.(address);
}
