/** Replicas that crashed or were cut off, and may return within seconds. */
import assert from "node:assert/strict";
import { test } from "node:test";
import {
  isHallLost,
  LostReplicas,
} from "../../../src/gateway/stages/lost_replicas.ts";
import { replicaEntry } from "../replica_entry.ts";

const A = replicaEntry("a", { hall: "one" });
const B = replicaEntry("b", { hall: "two" });

test("a replica that is no longer listed is expected to return for 8 s", () => {
  const replicas = new LostReplicas();
  assert.deepEqual(replicas.update([A, B], 0), []);
  assert.deepEqual(replicas.update([A], 500), [B]);
  assert.deepEqual(replicas.update([A], 8000), [B]);
  assert.deepEqual(replicas.update([A], 8001), []);
});

test("a replica that restarted under its id is not missing", () => {
  const replicas = new LostReplicas();
  replicas.update([A, B], 0);
  const restarted = replicaEntry("b@2", { id: "b", hall: "two" });
  assert.deepEqual(replicas.update([A, restarted], 500), []);
});

test("a hall is lost when none of its replicas is left", () => {
  assert.equal(isHallLost([A], [B]), true);
  assert.equal(isHallLost([A, { ...A, hall: "two" }], [B]), false);
  assert.equal(isHallLost([A], []), false);
});
