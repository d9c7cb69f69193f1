/** Asks one upstream what it holds, for operators. */
import type { AttemptId } from "../../core/mod.ts";
import { HeldAnswer } from "./bodies.ts";
import { callText } from "./http.ts";

/** What the upstream at an address holds by its own count. */
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
  if (status !== 200) throw new Error(`Status ${status} from ${address}`);
  return HeldAnswer.parse(JSON.parse(text)).requests;
}
