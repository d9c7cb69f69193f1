/** Reads a caller's body whole, up to a limit. */
import type { IncomingMessage } from "node:http";

/** How the reading of a body ended. */
export type BodyReading =
  | { readonly type: "whole"; readonly body: Buffer }
  | { readonly type: "tooLarge" }
  /** The caller went away before its end. */
  | { readonly type: "gone" };

/** Reads the body; stops at the limit. */
export function readCallerBody(
  request: IncomingMessage,
  limit: number,
): Promise<BodyReading> {
  return new Promise((resolve) => {
    const parts: Buffer[] = [];
    let size = 0;
    request.on("data", (part: Buffer) => {
      size += part.length;
      if (size <= limit) return void parts.push(part);
      request.pause();
      resolve({ type: "tooLarge" });
    });
    request.on("end", () => {
      resolve({ type: "whole", body: Buffer.concat(parts) });
    });
    request.on("error", () => resolve({ type: "gone" }));
    request.on("close", () => resolve({ type: "gone" }));
  });
}
