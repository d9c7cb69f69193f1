/** Makes a rig use its peers, for tests. */
import assert from "node:assert/strict";
import type { Rig } from "../rig.ts";

/** Makes a rig reach its first replica through a peer. */
export function losePath({ context }: Rig): void {
  const replica = context.replicas.get("r0");
  assert.ok(replica);
  context.paths.monitor.noteLost(replica.entry, "checked");
}
