/**
 * Guards against a signal ending the deployed process while it loads. Runs the
 * bundle with a package that sends the signal when it is loaded.
 */
import assert from "node:assert/strict";
import { spawnSync } from "node:child_process";
import { cpSync, mkdirSync, mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join, resolve } from "node:path";
import { pathToFileURL } from "node:url";
import { before, test } from "node:test";
import {
  isReady,
  waitWhileRunning,
  withGatewayProcess,
} from "./gateway_process.ts";

/** A package that the bundle doesn't contain, so that a test can replace it. */
const EXTERNAL_PACKAGE = "ts-results";
const REAL_PACKAGE = pathToFileURL(
  resolve("node_modules", EXTERNAL_PACKAGE, "index.js"),
);

before(() => {
  const built = spawnSync("npm", ["run", "--silent", "bundle"]);
  assert.equal(built.status, 0, built.stderr.toString());
});

/** Runs `work` with the bundle, whose external package is replaced. */
async function withBundle(
  signal: NodeJS.Signals,
  work: (program: string) => Promise<void>,
): Promise<void> {
  const folder = mkdtempSync(join(tmpdir(), "otterhill-bundle-"));
  cpSync("target", join(folder, "target"), { recursive: true });
  const replacement = join(folder, "node_modules", EXTERNAL_PACKAGE);
  mkdirSync(replacement, { recursive: true });
  writeFileSync(
    join(replacement, "package.json"),
    JSON.stringify({ type: "module", exports: "./index.js" }),
  );
  writeFileSync(
    join(replacement, "index.js"),
    `process.kill(process.pid, "${signal}");
await new Promise((resolve) => setTimeout(resolve, 20));
export { default } from "${REAL_PACKAGE.href}";
`,
  );
  try {
    await work(join(folder, "target", "gateway.mjs"));
  } finally {
    rmSync(folder, { recursive: true });
  }
}

test("a SIGHUP while the deployed file loads is deferred", async () => {
  await withBundle("SIGHUP", async (program) => {
    const command = [process.execPath, program];
    await withGatewayProcess({ command }, async (gateway) => {
      await waitWhileRunning(gateway, () => isReady(gateway));
      await waitWhileRunning(
        gateway,
        () => gateway.lines.some((line) => line.includes('"reloaded"')),
      );
    });
  });
});

for (const signal of ["SIGTERM", "SIGINT"] as const) {
  test(`a ${signal} while the deployed file loads ends it with 0`, async () => {
    await withBundle(signal, async (program) => {
      const command = [process.execPath, program];
      await withGatewayProcess({ command }, async (gateway) => {
        assert.deepEqual(await gateway.ended, { code: 0, signal: null });
      });
    });
  });
}
