/** Names what a caller sends, so that it is known when it comes again. */
import { createHash } from "node:crypto";

/** Hex digits of a fingerprint: 128 bits, so that no two requests share one. */
const DIGITS = 32;

/** What makes two requests the same; a caller's id differs at each try. */
export type FingerprintSource = {
  readonly method: string;
  readonly host: string;
  /** Path and query. */
  readonly target: string;
  /** Absent where callers have no names. */
  readonly customer: string | undefined;
  readonly body: Buffer;
};

/** The fingerprint of a request. */
export function fingerprintOf(source: FingerprintSource): string {
  const { method, host, target, customer = "", body } = source;
  // As JSON, so that no two lists of parts make the same text.
  const head = JSON.stringify([method, host, target, customer]);
  return createHash("sha256").update(head).update(body).digest("hex")
    .slice(0, DIGITS);
}

/**
 * Works a fingerprint out when it is first asked for: most requests are never
 * part of a crash, and a body of 4 MB takes milliseconds to hash.
 */
export function lazyFingerprint(source: FingerprintSource): () => string {
  let known: string | undefined;
  return () => known ??= fingerprintOf(source);
}
