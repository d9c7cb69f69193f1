import type { ReplicaEntry } from "../../src/gateway/mod.ts";

/**
 * Returns an entry of a serving replica for tests; `change` overrides its
 * fields.
 */
export function replicaEntry(
  incarnation: string,
  change: Partial<ReplicaEntry> = {},
): ReplicaEntry {
  return {
    id: incarnation,
    incarnation,
    service: "s",
    address: "127.0.0.1:1",
    hall: "h",
    slots: 1,
    leaving: false,
    coldMs: 0,
    ...change,
  };
}
