/** Reads the body of a caller's request, within bounds of size and time. */
import type { IncomingMessage } from "node:http";
import type { Milliseconds } from "../../util/units.ts";
import { GatewayError } from "../answers.ts";
import type { Clock } from "../clock.ts";
import { type ByteBudget, HeldFor } from "../memory/byte_budget.ts";

/** Memory of a chunk besides its bytes; callers may send single bytes. */
const CHUNK_OVERHEAD_BYTES = 200;

/** A complete body. */
export type WholeBody = {
  readonly type: "whole";
  readonly body: Buffer;
  /** Releases the memory that the host holds for the body. */
  release(): void;
};

/** Outcome of reading a body. */
export type BodyReadResult =
  | WholeBody
  | { readonly type: "tooLarge" }
  /** The body didn't arrive in time. */
  | { readonly type: "tooSlow" }
  /** This host stops before it could serve the request. */
  | { readonly type: "stopping" }
  /** This host has no memory for the body. */
  | { readonly type: "overBudget" }
  /** The caller disconnected before the end of the body. */
  | { readonly type: "gone" };

/** Errors for bodies that were not read to their end. */
export const INCOMPLETE_BODY_ERRORS = {
  tooLarge: GatewayError.bodyTooLarge,
  tooSlow: GatewayError.bodyTooSlow,
  overBudget: GatewayError.hostFull,
  stopping: GatewayError.stopping,
} as const;

/** Options of {@link readCallerBody}. */
export type BodyReadOptions = {
  readonly maxBytes: number;
  /** False: the bytes are read and discarded. */
  readonly isRetained: boolean;
  /** Bytes are counted as they arrive: a declared length costs no memory. */
  readonly budget: ByteBudget;
  readonly isMostUrgent: boolean;
  readonly clock: Pick<Clock, "after">;
  readonly timeoutMs: Milliseconds;
  /**
   * Registers a function that ends the reading because this host stops; returns
   * one that removes it.
   */
  readonly onStop?: (stop: () => void) => () => void;
};

/** Reads the body; pauses the request when the body exceeds a bound. */
export function readCallerBody(
  request: IncomingMessage,
  options: BodyReadOptions,
): Promise<BodyReadResult> {
  const { maxBytes, isRetained, budget, isMostUrgent } = options;
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let size = 0;
    let held = 0;
    let isDone = false;
    const release = () => {
      budget.release(HeldFor.bodies, held);
      held = 0;
    };
    const finish = (result: BodyReadResult) => {
      if (isDone) return;
      isDone = true;
      cancelTimeout();
      removeStop();
      if (result.type !== "whole") {
        chunks.length = 0;
        release();
      }
      resolve(result);
    };
    const stop = (
      type: "tooLarge" | "tooSlow" | "overBudget" | "stopping",
    ) => {
      request.pause();
      finish({ type });
    };
    const cancelTimeout = options.clock.after(
      options.timeoutMs,
      () => stop("tooSlow"),
    );
    const removeStop = options.onStop?.(() => stop("stopping")) ??
      (() => undefined);
    request.on("data", (chunk: Buffer) => {
      if (isDone) return;
      size += chunk.length;
      if (size > maxBytes) return stop("tooLarge");
      if (!isRetained) return;
      const bytes = chunk.length + CHUNK_OVERHEAD_BYTES;
      const isHeld = budget.tryHold(HeldFor.bodies, bytes, { isMostUrgent });
      if (!isHeld) return stop("overBudget");
      held += bytes;
      chunks.push(chunk);
    });
    request.on("end", () => {
      finish({ type: "whole", body: joined(chunks), release });
    });
    request.on("error", () => finish({ type: "gone" }));
    request.on("close", () => finish({ type: "gone" }));
  });
}

/** Joins chunks without copying a single one. */
function joined(chunks: readonly Buffer[]): Buffer {
  const [first] = chunks;
  return chunks.length === 1 && first ? first : Buffer.concat(chunks);
}
