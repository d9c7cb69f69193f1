/** Entries of replicas as hosts tell them to each other. */
import assert from "node:assert/strict";
import { test } from "node:test";
import {
  encodeEntry,
  ReplicaEntrySchema,
} from "../../../src/gateway/replicas/schema.ts";
import { replicaEntry } from "../replica_entry.ts";

test("an entry comes back as it was told, its start included", () => {
  const restarted = replicaEntry("a", { incarnation: "a@7", born: 7 });
  for (const entry of [replicaEntry("a"), restarted]) {
    const text = JSON.stringify(encodeEntry(entry));
    assert.deepEqual(ReplicaEntrySchema.parse(JSON.parse(text)), entry);
  }
});

test("hosts that know of no restarts under an id read the id", () => {
  const entry = replicaEntry("a", { incarnation: "a@7", born: 7 });
  assert.equal(encodeEntry(entry).incarnation, "a");
});
