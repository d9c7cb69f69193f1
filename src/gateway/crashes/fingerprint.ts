/** Fingerprints of requests, by which retries of a request are recognized. */
import { createHash } from "node:crypto";

/** Hex digits of a fingerprint: 128 bits, to make collisions negligible. */
const DIGITS = 32;

/**
 * The parts of a request that make it the same request; ids differ per retry.
 */
export type FingerprintInput = {
  readonly method: string;
  readonly host: string;
  /** Path and query. */
  readonly target: string;
  /** Undefined where callers are not identified. */
  readonly customer: string | undefined;
  readonly body: Buffer;
};

export function fingerprintOf(input: FingerprintInput): string {
  const { method, host, target, customer = "", body } = input;
  // Encoded as JSON, so that different parts never yield the same text.
  const prefix = JSON.stringify([method, host, target, customer]);
  return createHash("sha256").update(prefix).update(body).digest("hex")
    .slice(0, DIGITS);
}

/**
 * Computes a fingerprint on first use: hashing a body of 4 MB takes
 * milliseconds, and the fingerprints of most requests are never needed.
 */
export function lazyFingerprint(input: FingerprintInput): () => string {
  let known: string | undefined;
  return () => known ??= fingerprintOf(input);
}
