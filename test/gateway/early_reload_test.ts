/** SIGHUP ends nothing, not even while the program still loads. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { keepReloads, onReload } from "../../src/gateway/early_reload.ts";

test("a SIGHUP that comes too early is carried out once, later ones each", () => {
  keepReloads();
  process.emit("SIGHUP");
  process.emit("SIGHUP");
  let count = 0;
  onReload(() => count += 1);
  assert.equal(count, 1);
  process.emit("SIGHUP");
  assert.equal(count, 2);
});
