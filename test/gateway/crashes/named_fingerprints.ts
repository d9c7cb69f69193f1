/** Fingerprints for tests of crashes. */
import type { Fingerprints } from "../../../src/gateway/crashes/fingerprint.ts";

/** Fingerprints that are the given names. */
export function namedFingerprints(
  request: string,
  parts: readonly string[] = [],
): Fingerprints {
  return { request: () => request, parts: () => parts };
}
