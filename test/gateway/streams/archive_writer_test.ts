/** Rows of streams stay within what the store accepts. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { ARCHIVE_TABLE } from "../../../src/gateway/streams/archive_rows.ts";
import { ArchiveWriter } from "../../../src/gateway/streams/archive_writer.ts";
import { VirtualTime } from "../../fake/virtual_time.ts";
import { RowStore } from "./row_store.ts";

/** The longest key of a row, in bytes. */
const MAX_KEY_BYTES = 200;

// Guards against writes that the store rejects as long as a service exists.
test("the key of a row doesn't grow with the name of its service", async () => {
  const time = new VirtualTime();
  const store = new RowStore(time.clock);
  const writer = new ArchiveWriter({
    store: store.client,
    clock: time.clock,
    events: { note: () => undefined },
    metrics: { count: () => undefined },
    origin: "host@1",
  });
  writer.add([{
    stream: { service: "s".repeat(1000), id: "a" },
    softwareVersion: "v1",
    origin: "host@1",
    order: 1,
    expiresAt: 60_000,
  }]);
  await time.runTo(1000);
  const rows = store.rowsOf(ARCHIVE_TABLE);
  assert.equal(rows.length, 1);
  assert.ok(rows.every(({ key }) => key.length <= MAX_KEY_BYTES));
});
