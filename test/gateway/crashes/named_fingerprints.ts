/** Fingerprints for tests of crashes. */
import type { Fingerprints } from "../../../src/gateway/crashes/fingerprint.ts";

/** The fingerprint of the service of all requests. */
export const SERVICE_FINGERPRINT = "service";

/** Fingerprints that are the given names. */
export function namedFingerprints(
  request: string,
  parts: readonly string[] = [],
): Fingerprints {
  return {
    request: () => request,
    isCostly: false,
    service: () => SERVICE_FINGERPRINT,
    parts: () => parts,
  };
}
