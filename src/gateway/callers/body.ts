/** Reads the body of a caller's request, up to a size limit. */
import type { IncomingMessage } from "node:http";

/** Outcome of reading a body. */
export type BodyReadResult =
  | { readonly type: "whole"; readonly body: Buffer }
  | { readonly type: "tooLarge" }
  /** The caller disconnected before the end of the body. */
  | { readonly type: "gone" };

/** Options of {@link readCallerBody}. */
export type BodyReadOptions = {
  readonly maxBytes: number;
  /** False: the bytes are read and discarded. */
  readonly isRetained: boolean;
};

/** Reads the body; pauses the request once the body exceeds `maxBytes`. */
export function readCallerBody(
  request: IncomingMessage,
  { maxBytes, isRetained }: BodyReadOptions,
): Promise<BodyReadResult> {
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let size = 0;
    request.on("data", (chunk: Buffer) => {
      size += chunk.length;
      if (size <= maxBytes) {
        if (isRetained) chunks.push(chunk);
        return;
      }
      request.pause();
      resolve({ type: "tooLarge" });
    });
    request.on("end", () => {
      resolve({ type: "whole", body: Buffer.concat(chunks) });
    });
    request.on("error", () => resolve({ type: "gone" }));
    request.on("close", () => resolve({ type: "gone" }));
  });
}
