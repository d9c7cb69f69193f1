/** Tests of publishing: conflicts are reported, lost responses are resolved. */
import { test } from "node:test";
import assert from "node:assert/strict";
import { type Change, publish } from "../../src/operators/publish.ts";
import type { Store, WriteOutcome } from "../../src/operators/store.ts";
import {
  createPlatform,
  readRows,
  writeRows,
} from "../../src/standins/platform/model.ts";

/** A store that loses its first writes (or only their responses). */
function lossyStore(lostWrites: number, takesEffect: boolean): Store {
  const platform = createPlatform();
  let remaining = lostWrites;
  return {
    read: (prefix) => Promise.resolve(readRows(platform, prefix, 0)),
    write: (changes): Promise<WriteOutcome> => {
      remaining -= 1;
      const lost = remaining >= 0;
      if (lost && !takesEffect) return Promise.resolve({ type: "lost" });
      const result = writeRows(platform, changes);
      if (lost) return Promise.resolve({ type: "lost" });
      return Promise.resolve(
        result.ok
          ? { type: "written", revision: result.revision }
          : { type: "conflict", keys: result.conflicts },
      );
    },
  };
}

function change(id: string, value: string, base: number): Change {
  const key = "settings/customer/armor";
  return { id, key, value, base, author: "a", at: 0, guards: [] };
}

test("applies a write once when its response is lost", async () => {
  const store = lossyStore(1, true);
  const outcome = await publish(store, change("c1", "1", 0));
  assert.deepEqual(outcome, { type: "accepted", version: 1, resolved: true });
});

test("retries a write that did not reach the store", async () => {
  const store = lossyStore(2, false);
  const outcome = await publish(store, change("c1", "1", 0));
  assert.deepEqual(outcome, { type: "accepted", version: 1, resolved: true });
});

test("reports an unknown outcome when the store never responds", async () => {
  const outcome = await publish(lossyStore(99, false), change("c1", "1", 0));
  assert.deepEqual(outcome, { type: "unknown", id: "c1" });
});

test("returns the current row when a concurrent publish came first", async () => {
  const store = lossyStore(0, true);
  await publish(store, change("c1", "first", 0));
  const outcome = await publish(store, change("c2", "second", 0));
  assert.equal(outcome.type, "conflict");
  assert.equal(outcome.type === "conflict" && outcome.theirs?.value, "first");
});
