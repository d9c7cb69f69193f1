/** Drops the bodies of responses that nobody needs. */
import type { Milliseconds } from "../../util/units.ts";
import type { Clock } from "../clock.ts";
import type { Answer } from "./call.ts";

/** A replica in trouble may send bytes without end. */
const MAX_BYTES = 64 * 1024;
const TIMEOUT_MS: Milliseconds = 1000;

/**
 * Reads the rest of a response, so that its connection can be used again; closes
 * the connection if that takes many bytes or long.
 */
export function discardBody(
  { message }: Pick<Answer, "message">,
  clock: Clock,
): void {
  if (message.closed) return;
  const cancel = clock.after(TIMEOUT_MS, () => message.destroy());
  let length = 0;
  message.on("data", (chunk: Buffer) => {
    length += chunk.length;
    if (length > MAX_BYTES) message.destroy();
  });
  message.on("close", cancel);
  message.resume();
}
