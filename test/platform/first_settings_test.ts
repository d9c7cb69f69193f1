/**
 * Guards against a settings file that is missing or half written at the start
 * ending the process.
 */
import assert from "node:assert/strict";
import { rmSync, writeFileSync } from "node:fs";
import { test } from "node:test";
import {
  type GatewayUnderTest,
  isReady,
  waitWhileRunning,
  withGatewayProcess,
} from "./gateway_process.ts";

/** Waits until a line holds a text. */
async function waitForLine(
  gateway: GatewayUnderTest,
  text: string,
): Promise<void> {
  await waitWhileRunning(
    gateway,
    () => gateway.lines.some((line) => line.includes(text)),
  );
}

/** A prefix of the settings, which ends inside a string. */
function halfOf(text: string): string {
  return text.slice(0, text.indexOf("hall = ") + 'hall = "h'.length);
}

test("a host whose settings are half written waits for the rest", async () => {
  await withGatewayProcess({ firstSettings: halfOf }, async (gateway) => {
    await waitForLine(gateway, "gateway.toml: TOML");
    // Each new fault is reported; a SIGHUP in this time changes nothing.
    rmSync(gateway.settings);
    await waitForLine(gateway, "gateway.toml: a readable file");
    gateway.process.kill("SIGHUP");
    writeFileSync(gateway.settings, gateway.settingsText);
    await waitWhileRunning(gateway, () => isReady(gateway));
  });
});

test("a host that waits for valid settings stops with 0", async () => {
  await withGatewayProcess({ firstSettings: halfOf }, async (gateway) => {
    await waitForLine(gateway, "gateway.toml: TOML");
    gateway.process.kill("SIGTERM");
    assert.deepEqual(await gateway.ended, { code: 0, signal: null });
  });
});
