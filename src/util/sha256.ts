/** SHA-256, as API keys are stored. */
import { createHash } from "node:crypto";

/** The hash of a text, in hex. */
export function sha256(text: string): string {
  return createHash("sha256").update(text).digest("hex");
}
