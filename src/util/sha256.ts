/** SHA-256 digests, in which form API keys are stored. */
import { createHash } from "node:crypto";

/** The SHA-256 digest of a text, in hex. */
export function sha256(text: string): string {
  return createHash("sha256").update(text).digest("hex");
}
