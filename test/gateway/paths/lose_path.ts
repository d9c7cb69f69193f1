/** Makes a rig use its peers, for tests. */
import assert from "node:assert/strict";
import type { Rig } from "../rig.ts";

/** Makes a rig reach its only replica, at this address, through a peer. */
export function moveBehindPeer(rig: Rig, address: string): void {
  const { replicas } = rig.context;
  const entries = replicas.entries().map((entry) => ({ ...entry, address }));
  replicas.adopt({ revision: 2, entries });
  losePath(rig);
}

/** Makes a rig reach its first replica through a peer. */
export function losePath({ context }: Rig): void {
  const replica = context.replicas.get("r0");
  assert.ok(replica);
  context.paths.monitor.noteLost(replica.entry, "checked");
}
