/** Reads a caller's body whole, up to a limit. */
import type { IncomingMessage } from "node:http";

/** How the reading of a body ended. */
export type BodyReading =
  | { readonly type: "whole"; readonly body: Buffer }
  | { readonly type: "tooLarge" }
  /** The caller went away before its end. */
  | { readonly type: "gone" };

/** How a body is read. */
export type BodyRule = {
  /** Most bytes. */
  readonly limit: number;
  /** False: the bytes are dropped as they come. */
  readonly isKept: boolean;
};

/** Reads the body; stops at the limit. */
export function readCallerBody(
  request: IncomingMessage,
  { limit, isKept }: BodyRule,
): Promise<BodyReading> {
  return new Promise((resolve) => {
    const parts: Buffer[] = [];
    let size = 0;
    request.on("data", (part: Buffer) => {
      size += part.length;
      if (size <= limit) {
        if (isKept) parts.push(part);
        return;
      }
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
