/** An entry of a replica, for tests. */
import type { ReplicaEntry } from "../../src/gateway/mod.ts";

/** A replica that takes work; `change` says what matters to a test. */
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
