/** Guards against a SIGHUP ending the process while the program loads. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { deferReloads, onReload } from "../../src/gateway/early_reload.ts";

test("early SIGHUPs cause one reload, later ones one reload each", () => {
  deferReloads();
  process.emit("SIGHUP");
  process.emit("SIGHUP");
  let count = 0;
  onReload(() => count += 1);
  assert.equal(count, 1);
  process.emit("SIGHUP");
  assert.equal(count, 2);
});
