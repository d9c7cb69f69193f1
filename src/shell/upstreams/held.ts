/** Lists an upstream's attempts for operators. */
import type { AttemptId } from "../../core/mod.ts";
import { HeldAnswer } from "./bodies.ts";
import { callText } from "./http.ts";

/** Requests the list of attempts from the upstream at an address. */
export async function readHeld(
  address: string,
  timeoutMs: number,
): Promise<readonly AttemptId[]> {
  const { status, text } = await callText({
    address,
    method: "GET",
    path: "/v1/requests",
    connectTimeoutMs: timeoutMs,
    silenceTimeoutMs: timeoutMs * 4,
  });
  if (status !== 200) {
    throw new Error(`status ${status} received from ${address}`);
  }
  return HeldAnswer.parse(JSON.parse(text)).requests;
}
