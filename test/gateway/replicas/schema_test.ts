/** Encoding of replica entries in messages between hosts. */
import assert from "node:assert/strict";
import { test } from "node:test";
import {
  encodeEntry,
  ReplicaEntrySchema,
} from "../../../src/gateway/replicas/schema.ts";
import { replicaEntry } from "../replica_entry.ts";

test("a decoded entry equals the encoded one, its incarnation included", () => {
  const restarted = replicaEntry("a", { incarnation: "a@7", born: 7 });
  const versioned = replicaEntry("a", { softwareVersion: "v1" });
  for (const entry of [replicaEntry("a"), restarted, versioned]) {
    const text = JSON.stringify(encodeEntry(entry));
    assert.deepEqual(ReplicaEntrySchema.parse(JSON.parse(text)), entry);
  }
});

test("the id is encoded as the incarnation, for hosts without support for restarts", () => {
  const entry = replicaEntry("a", { incarnation: "a@7", born: 7 });
  assert.equal(encodeEntry(entry).incarnation, "a");
});
