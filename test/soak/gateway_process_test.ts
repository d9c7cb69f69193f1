/** Tests that a process which ends does not end the test's own. */
import assert from "node:assert/strict";
import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { test } from "node:test";
import { GatewayProcess } from "./gateway_process.ts";
import { PathCut } from "./replica_path.ts";

test("the paths of a process that is being killed can be cut", async () => {
  const folder = mkdtempSync(join(tmpdir(), "otterhill-process-"));
  const process = new GatewayProcess({ name: "host", folder, settings: "" });
  try {
    process.start();
    const killed = process.kill();
    // The signal has been sent, and the exit is not known yet.
    const deadline = performance.now() + 100;
    while (performance.now() < deadline) process.cutReplicas(PathCut.hang);
    await killed;
    process.cutReplicas(PathCut.none);
    assert.equal(process.exits.length, 1);
  } finally {
    rmSync(folder, { recursive: true });
  }
});
