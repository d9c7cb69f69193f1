/** Reads request bodies of limited size. */
import type { IncomingMessage } from "node:http";

/** A complete body, or the reason why it could not be read. */
export type Body =
  | { readonly type: "whole"; readonly text: string }
  | { readonly type: "tooLarge" }
  | { readonly type: "gone" };

/** Reads a body of at most `limit` bytes. */
export function readBody(
  request: IncomingMessage,
  limit: number,
): Promise<Body> {
  return new Promise((resolve) => {
    const parts: Buffer[] = [];
    let size = 0;
    request.on("data", (part: Buffer) => {
      size += part.length;
      if (size > limit) resolve({ type: "tooLarge" });
      else parts.push(part);
    });
    request.on("end", () => {
      resolve({ type: "whole", text: Buffer.concat(parts).toString("utf8") });
    });
    request.on("error", () => resolve({ type: "gone" }));
    request.on("close", () => resolve({ type: "gone" }));
  });
}
